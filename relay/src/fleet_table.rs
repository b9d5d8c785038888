//! The table that `hallrelay fleet status` prints.
use hallrelay_membership::status::{MemberStatus, Status};
use std::fmt::Write;

/// One relay's view of its fleet as text, that relay first.
pub fn table(s: &Status) -> String {
    let mut t = String::new();
    _ = writeln!(
        t,
        "fleet {}, as {} believes: {}; it hears {} of {} configured (itself among them)",
        s.fleet, s.name, s.believes, s.hears, s.configured
    );
    if !s.returning.is_empty() && s.returning != "open" {
        _ = writeln!(t, "its service is on its way back: {}", s.returning);
    }
    if let Some(twin) = &s.twin {
        let holds = if twin.holds { "that one holds the name" } else { "this one holds the name" };
        _ = writeln!(t, "another relay at {} has this one's name; {holds}, as the later start", twin.addr);
    }
    let dropped: Vec<String> = s.dropped.iter().map(|(what, n)| format!("{n} {what}")).collect();
    if !dropped.is_empty() {
        _ = writeln!(t, "messages dropped: {}", dropped.join(", "));
    }
    if s.doubt > 0 {
        _ = writeln!(t, "it doubts itself {} of 8: it was late, or is told that it was", s.doubt);
    }
    let row = |m: &MemberStatus, own: bool| {
        let heard = match (&m.told_by, m.heard_ms) {
            _ if own => "itself".to_string(),
            (Some(by), _) => format!("by {by}"),
            (None, Some(ms)) => format!("{} ago", ago(ms)),
            (None, None) => "never".to_string(),
        };
        let state = match m.accused_by.as_slice() {
            [] => m.state.clone(),
            by => format!("{}, says {}", m.state, by.join(" and ")),
        };
        let since = if own { "-".to_string() } else { ago(m.since_ms) };
        [
            m.name.clone(),
            state,
            since,
            heard,
            m.duty.clone(),
            m.sessions.to_string(),
            m.version.clone(),
            m.digest.clone(),
            m.addr.clone(),
        ]
    };
    let head = ["relay", "state", "since", "heard", "duty", "sessions", "version", "settings", "address"];
    let mut rows = vec![head.map(String::from)];
    rows.extend(s.members.iter().enumerate().map(|(i, m)| row(m, i == 0)));
    let width = |i: usize| rows.iter().map(|row| row[i].chars().count()).max().unwrap_or(0);
    let widths: [usize; 9] = std::array::from_fn(width);
    for row in &rows {
        let cells: Vec<String> =
            row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        _ = writeln!(t, "{}", cells.join("  ").trim_end());
    }
    t
}

fn ago(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{:.1} s", ms as f64 / 1e3),
        _ => format!("{} min", ms / 60_000),
    }
}
