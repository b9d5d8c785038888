//! The report of a day as text.
use super::{membership, played};
use hallrelay_emulator::service::{ListenerFigures, Outcome};
use std::fmt::Write;

/// Breaches that the text names; the page has all.
const NAMED_BREACHES: usize = 3;

/// Ten lines or so: what happened, and whether the rules held.
pub fn text(outcome: &Outcome) -> String {
    let mut out = String::new();
    service(outcome, &mut out);
    sessions(outcome, &mut out);
    backends(outcome, &mut out);
    drains(outcome, &mut out);
    if outcome.stale_dials > 0 {
        _ = writeln!(
            out,
            "{} dials to servers that the relay had been told to leave before it restarted",
            outcome.stale_dials
        );
    }
    faults(outcome, &mut out);
    if outcome.way == "sockets" {
        relays(outcome, &mut out);
    }
    let bad_clients = &outcome.bad_clients;
    if bad_clients.came > 0 {
        _ = writeln!(
            out,
            "bad clients: {} came, {} answered, {} left waiting",
            bad_clients.came, bad_clients.answered, bad_clients.left_waiting
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
        played(outcome),
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
        "sessions: {} asked for ({} tries), {} up, {} refused, {} torn down, {} given up by clients; \
         {} open at most",
        sum(|listener| listener.first_tries),
        sum(|listener| listener.tries),
        sum(|listener| listener.up),
        sum(|listener| listener.refused),
        sum(|listener| listener.failed + listener.closed),
        sum(|listener| listener.given_up),
        outcome.most_open
    );
    for listener in &outcome.listeners {
        let [p50, p99, p999, longest] = listener.wait_ms;
        _ = writeln!(
            out,
            "{}: service {:.3}, up in {p50:.1} ms (p99 {p99:.1}, p99.9 {p999:.1}, \
             most {longest:.0}), {} refused",
            listener.name, listener.service, listener.refused
        );
    }
}

fn backends(outcome: &Outcome, out: &mut String) {
    _ = writeln!(
        out,
        "{} moves, {} breaks, {} dials, {} probes, {} cold servers fell over",
        outcome.moves, outcome.breaks, outcome.dials, outcome.probes, outcome.cold_falls
    );
}

fn drains(outcome: &Outcome, out: &mut String) {
    let Some(drains) = &outcome.outs else { return };
    _ = writeln!(
        out,
        "relays let out {} of {} wanted (told to wait {} times), {} at a time at most, {} with the dead; \
         over what may: {}; {:.0} s in all",
        drains.let_out,
        drains.wanted,
        drains.held,
        drains.most_draining,
        drains.most_away,
        drains.over,
        drains.took_s
    );
}

fn faults(outcome: &Outcome, out: &mut String) {
    let bands = outcome.troubles.iter();
    let bands: Vec<String> =
        bands.map(|band| format!("{} {:.0} to {:.0} s", band.kind, band.from, band.to)).collect();
    let bands = if bands.is_empty() { "none".to_string() } else { bands.join(", ") };
    _ = writeln!(out, "troubles: {bands}");
}

fn relays(outcome: &Outcome, out: &mut String) {
    let usage = outcome.relays.iter().map(|r| format!("{:.2} s CPU, {:.1} MB", r.cpu_s, r.resident_mb));
    let usage: Vec<String> = usage.collect();
    let crashed = outcome.relays.iter().filter(|relay| relay.crashed).count();
    let crashed = if crashed > 0 { format!("; {crashed} CRASHED") } else { String::new() };
    _ = writeln!(
        out,
        "relays: {}{crashed}; the emulator ran {:.0} ms late at most",
        usage.join("; "),
        outcome.late_ms
    );
}

fn rules(outcome: &Outcome, out: &mut String) {
    let (breaches, sessions) = (outcome.breaches_in_all, outcome.sessions_seen);
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
