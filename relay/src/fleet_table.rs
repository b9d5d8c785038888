//! The text that `hallrelay fleet status` prints: a summary of the relay's view, then a table of the members.
use hallrelay_membership::status::{MemberStatus, Status};
use std::fmt::Write;

/// The table's columns, named like the keys of the JSON answer. `since` is the time in the state, `heard` the
/// time since the last message of the relay or how it is known, and `duty` its lifecycle.
const HEADER: [&str; COLUMNS] =
    ["relay", "state", "since", "heard", "duty", "sessions", "version", "settings", "address"];
const COLUMNS: usize = 9;

type Row = [String; COLUMNS];

/// One relay's view of its fleet as text, that relay first.
pub fn table(status: &Status) -> String {
    let mut text = summary(status);
    let mut rows = vec![HEADER.map(String::from)];
    rows.extend(status.members.iter().enumerate().map(|(i, member)| row(member, i == 0)));
    let width = |column: usize| rows.iter().map(|row| row[column].chars().count()).max().unwrap_or(0);
    let widths: [usize; COLUMNS] = std::array::from_fn(width);
    for row in &rows {
        let cells = row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}"));
        let line = cells.collect::<Vec<_>>().join("  ");
        _ = writeln!(text, "{}", line.trim_end());
    }
    text
}

/// The lines before the table.
fn summary(status: &Status) -> String {
    let mut text = format!(
        "fleet {}, as seen by {}: {}; {} of {} configured relays are reachable, itself included\n",
        status.fleet, status.name, status.view, status.reachable_relays, status.configured_relays
    );
    if !status.recovery_stage.is_empty() && status.recovery_stage != "open" {
        _ = writeln!(text, "recovery after the start is in progress: {}", status.recovery_stage);
    }
    if let Some(conflict) = &status.name_conflict {
        let holder = if conflict.holds_name { "that relay" } else { "this relay" };
        _ = writeln!(
            text,
            "another relay at {} has the same name; {holder} holds the name, because it started later",
            conflict.addr
        );
    }
    if !status.dropped.is_empty() {
        let dropped: Vec<String> =
            status.dropped.iter().map(|(reason, count)| format!("{count} {reason}")).collect();
        _ = writeln!(text, "messages dropped: {}", dropped.join(", "));
    }
    if status.local_health > 0 {
        let (health, name) = (status.local_health, &status.name);
        _ = writeln!(
            text,
            "local health score {health} (0 to 8, 0 is healthy): {name} was late, or reported as late"
        );
    }
    text
}

fn row(member: &MemberStatus, is_local: bool) -> Row {
    let state = match member.suspected_by.as_slice() {
        [] => member.state.clone(),
        reporters => format!("{}, reported by {}", member.state, reporters.join(" and ")),
    };
    let since = if is_local { "-".to_string() } else { duration(member.since_ms) };
    [
        member.name.clone(),
        state,
        since,
        last_received(member, is_local),
        member.lifecycle.clone(),
        member.sessions.to_string(),
        member.version.clone(),
        member.settings_digest.clone(),
        member.addr.clone(),
    ]
}

fn last_received(member: &MemberStatus, is_local: bool) -> String {
    match (&member.source, member.last_received_ms) {
        _ if is_local => "itself".to_string(),
        (Some(source), _) => format!("by {source}"),
        (None, Some(ms)) => format!("{} ago", duration(ms)),
        (None, None) => "never".to_string(),
    }
}

fn duration(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{:.1} s", ms as f64 / 1e3),
        _ => format!("{} min", ms / 60_000),
    }
}
