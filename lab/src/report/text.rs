//! The report of a day as text.
use super::{membership, mode_description};
use hallrelay_emulator::service::{ListenerFigures, Outcome};
use std::fmt::Write;

/// Maximum number of breaches in the text; the page has all of them.
const NAMED_BREACHES: usize = 3;

/// Formats the summary of a day and whether any rule was broken, in about ten lines.
pub fn text(outcome: &Outcome) -> String {
    let mut out = String::new();
    service(outcome, &mut out);
    sessions(outcome, &mut out);
    backends(outcome, &mut out);
    drains(outcome, &mut out);
    if outcome.stale_dials > 0 {
        _ = writeln!(
            out,
            "{} dials to servers whose drain the relay knew of before it restarted",
            outcome.stale_dials
        );
    }
    faults(outcome, &mut out);
    if outcome.mode == "sockets" {
        relays(outcome, &mut out);
    }
    let malformed_clients = &outcome.malformed_clients;
    if malformed_clients.connected > 0 {
        _ = writeln!(
            out,
            "bad clients: {} connected, {} answered, {} not answered",
            malformed_clients.connected, malformed_clients.answered, malformed_clients.unanswered
        );
    }
    if let Some(outcome) = &outcome.membership {
        membership::text(outcome, &mut out);
    }
    rules(outcome, &mut out);
    out
}

fn service(outcome: &Outcome, out: &mut String) {
    let partial = outcome.partial.as_ref().map(|reason| format!(" (PARTIAL: {reason})")).unwrap_or_default();
    _ = writeln!(
        out,
        "{}: {:.1} s {}, seed {}{partial}",
        outcome.name,
        outcome.length_s,
        mode_description(outcome),
        outcome.seed
    );
    _ = writeln!(
        out,
        "service {:.3}: whole {:.3}, worst ten seconds {:.3}, worst listener {:.3}, prices {:.3}",
        outcome.figure, outcome.whole, outcome.worst_window, outcome.worst_listener, outcome.prices
    );
}

fn sessions(outcome: &Outcome, out: &mut String) {
    let sum = |count: fn(&ListenerFigures) -> u64| outcome.listeners.iter().map(count).sum::<u64>();
    _ = writeln!(
        out,
        "sessions: {} requested ({} attempts), {} established, {} refused, {} failed or closed, \
         {} abandoned by clients; at most {} open",
        sum(|listener| listener.first_attempts),
        sum(|listener| listener.attempts),
        sum(|listener| listener.established),
        sum(|listener| listener.rejected),
        sum(|listener| listener.failed + listener.closed),
        sum(|listener| listener.given_up),
        outcome.max_open
    );
    for listener in &outcome.listeners {
        let [p50, p99, p999, longest] = listener.wait_ms;
        _ = writeln!(
            out,
            "{}: service {:.3}, median {p50:.1} ms to UP (p99 {p99:.1}, p99.9 {p999:.1}, \
             max {longest:.0}), {} refused",
            listener.name, listener.service, listener.rejected
        );
    }
}

fn backends(outcome: &Outcome, out: &mut String) {
    _ = writeln!(
        out,
        "{} moves, {} breaks, {} dials, {} probes, {} overloads of cold servers",
        outcome.moves, outcome.breaks, outcome.dials, outcome.probes, outcome.overloads
    );
}

fn drains(outcome: &Outcome, out: &mut String) {
    let Some(drains) = &outcome.outs else { return };
    _ = writeln!(
        out,
        "drains of relays: {} granted of {} requested ({} times deferred), at most {} at the same time, \
         at most {} relays unavailable; {} beyond the limit; {:.0} s in total",
        drains.granted,
        drains.requested,
        drains.deferred,
        drains.max_draining,
        drains.max_unavailable,
        drains.over,
        drains.duration_s
    );
}

fn faults(outcome: &Outcome, out: &mut String) {
    let bands = outcome.faults.iter();
    let bands: Vec<String> =
        bands.map(|band| format!("{} {:.0} to {:.0} s", band.kind, band.from, band.to)).collect();
    let bands = if bands.is_empty() { "none".to_string() } else { bands.join(", ") };
    _ = writeln!(out, "faults: {bands}");
}

fn relays(outcome: &Outcome, out: &mut String) {
    let usage = outcome.relays.iter().map(|r| format!("{:.2} s CPU, {:.1} MB", r.cpu_s, r.resident_mb));
    let usage: Vec<String> = usage.collect();
    let crashed = outcome.relays.iter().filter(|relay| relay.crashed).count();
    let crashed = if crashed > 0 { format!("; {crashed} CRASHED") } else { String::new() };
    _ = writeln!(
        out,
        "relays: {}{crashed}; maximum delay of the emulator {:.0} ms",
        usage.join("; "),
        outcome.max_delay_ms
    );
}

fn rules(outcome: &Outcome, out: &mut String) {
    let (breaches, sessions) = (outcome.breach_count, outcome.sessions_seen);
    if breaches == 0 {
        _ = writeln!(out, "rules: all four kept over {sessions} sessions");
        return;
    }
    _ = writeln!(out, "rules: BROKEN {breaches} times over {sessions} sessions");
    for breach in outcome.breaches.iter().take(NAMED_BREACHES) {
        _ = writeln!(
            out,
            "  rule {} at {:.3} s, session {}: {}",
            breach.rule,
            breach.at as f64 / 1e6,
            breach.session,
            breach.details
        );
        for line in &breach.trace {
            _ = writeln!(out, "    {line}");
        }
    }
}
