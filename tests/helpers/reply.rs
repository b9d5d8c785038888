//! The texts of replies to operators, as scripts expect them.
use hallrelay_relay::reducer::OperatorReply;

/// The text of a reply. Metrics are joined to one line, and metrics with the value 0 are left out.
pub fn reply_text(reply: &OperatorReply) -> String {
    match reply {
        OperatorReply::Accepted(word) => format!("accepted {word}"),
        OperatorReply::Unavailable(word) => format!("unavailable {word}"),
        OperatorReply::Conflict(word) => format!("conflict {word}"),
        OperatorReply::Blocked(reason) => format!("blocked {reason}"),
        OperatorReply::Committed(command) => format!("committed {command}"),
        OperatorReply::Leases(leases) => format!("leases {}", leases.as_deref().unwrap_or("none")),
        OperatorReply::Membership(status) => {
            format!("membership {}", status.as_ref().map_or("none", |s| s.view.as_str()))
        }
        OperatorReply::Metrics(metrics) => {
            let text = hallrelay_relay::metrics::text(metrics);
            let lines = text.lines().filter(|line| !line.contains(":0|"));
            let lines: Vec<_> = lines.map(|line| line.trim_start_matches("node.")).collect();
            format!("metrics {}", lines.join(" "))
        }
    }
}
