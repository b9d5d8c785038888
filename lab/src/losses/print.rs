//! Formats the result as text: three tables by seconds, the sums, and the attempts that are unaccounted for.
use super::rows::{Attempts, Ends, Losses, Second};
use super::trace::{Traced, TracedDial};
use std::fmt::Write;

/// The complete result.
pub fn losses(losses: &Losses) -> String {
    let mut text = read(losses);
    attempts_table(losses, &mut text);
    sessions_table(losses, &mut text);
    fleet_table(losses, &mut text);
    sums(losses, &mut text);
    unaccounted(losses, &mut text);
    text
}

fn read(losses: &Losses) -> String {
    let r = &losses.read;
    format!(
        "{} relays, {} processes, {} lines, {} events and effects; skipped {} unknown and {} cut; \
         {} dropped by the relays\n",
        r.relays, r.processes, r.lines, r.entries, r.unknown, r.cut, r.dropped
    )
}

/// Attempts by the second in which they were opened, regardless of when they were answered.
fn attempts_table(losses: &Losses, text: &mut String) {
    *text += "\nattempts, by the second in which they were opened\n";
    *text += "   s opened return  no dial  after dials   left  other  waiting  unknown  placed\n";
    let row = |text: &mut String, name: &str, a: &Attempts| {
        let outcomes = &a.outcomes;
        let undialled = outcomes.rejected_undialled + outcomes.failed_undialled;
        let other =
            outcomes.served_at_once + outcomes.not_protocol + outcomes.too_late + outcomes.relay_ended;
        _ = writeln!(
            text,
            "{name:>4} {:6} {:6} {undialled:8} {:12} {:6} {other:6} {:8} {:8} {:7}",
            a.opened,
            a.returned,
            a.after_dials.total(),
            outcomes.client_left,
            outcomes.still_waiting,
            outcomes.unaccounted,
            outcomes.placed
        );
    };
    for second in &losses.seconds {
        row(text, &second.second.to_string(), &second.attempts);
    }
    row(text, "sum", &losses.sum.attempts);
}

/// Sessions by the second in which they were placed or ended.
fn sessions_table(losses: &Losses, text: &mut String) {
    *text += "\nsessions, by the second in which they were established or ended\n";
    *text +=
        "   s     up adopt  med ms worst ms | client   done  MOVE  reset  other  moved   stop h/o  died  \
              unknown |  open\n";
    let row = |text: &mut String, name: &str, s: &Second| {
        let Ends {
            client,
            complete,
            migrated_by_backend,
            reset,
            other,
            migrated,
            relay_stop,
            handed_over,
            relay_died,
            unaccounted,
        } = &s.ends;
        _ = writeln!(
            text,
            "{name:>4} {:6} {:5} {:>7} {:>8} | {client:6} {complete:6} {migrated_by_backend:5} {reset:6} \
             {other:6} {migrated:6} {relay_stop:6} {handed_over:3} {relay_died:5} {unaccounted:8} | {:5}",
            s.sessions.established,
            s.sessions.adopted,
            integer(s.wait.median_ms),
            integer(s.wait.worst_ms),
            s.fleet.open
        );
    };
    for second in &losses.seconds {
        row(text, &second.second.to_string(), second);
    }
    row(text, "sum", &losses.sum);
}

/// The fleet at the end of each second, and the health checks that ended in that second.
fn fleet_table(losses: &Losses, text: &mut String) {
    *text += "\nthe fleet at the end of each second\n";
    *text += "   s   open on started | ready draining started | groups  pairs pairs/group | probes failed  \
              load p50    p90    queued\n";
    for second in &losses.seconds {
        let (f, p) = (&second.fleet, &second.probes);
        _ = writeln!(
            text,
            "{:4} {:6} {:10} | {:5} {:8} {:7} | {:6} {:6} {:>11} | {:6} {:6} {:>9} {:>6} {:>9}",
            second.second,
            f.open,
            f.open_on_started,
            f.ready,
            f.draining,
            f.started,
            f.groups,
            f.pairs,
            decimal(f.pairs_per_group),
            p.answered,
            p.failed,
            decimal(p.load_median),
            decimal(p.load_p90),
            percent(p.queued_part)
        );
    }
}

/// The sums with a description, each with its percentage of all attempts or sessions.
fn sums(losses: &Losses, text: &mut String) {
    let sum = &losses.sum;
    let (attempts, outcomes, after) = (&sum.attempts, &sum.attempts.outcomes, &sum.attempts.after_dials);
    let outcome = |text: &mut String, name: &str, count: u64| row(text, name, count, attempts.opened);
    _ = writeln!(text, "\n{:48} {:7}  returned {}", "opened", attempts.opened, attempts.returned);
    outcome(text, "refused without any dial", outcomes.rejected_undialled);
    outcome(text, "failed without any dial", outcomes.failed_undialled);
    outcome(text, "refused or failed after dials", after.total());
    for (name, count) in [
        ("error", after.error),
        ("backend full", after.full),
        ("timeout", after.timeout),
        ("unconnected", after.unconnected),
        ("reset", after.reset),
        ("recalled (MOVE)", after.recalled),
        ("moot (no longer needed)", after.moot),
        ("BYE", after.ok),
        ("still in flight", after.in_flight),
    ] {
        outcome(text, &format!("  last dial: {name}"), count);
    }
    outcome(text, "the client left before an answer", outcomes.client_left);
    outcome(text, "served immediately (BYE)", outcomes.served_at_once);
    outcome(text, "protocol error (ERR)", outcomes.not_protocol);
    outcome(text, "closed without an answer", outcomes.too_late);
    outcome(text, "the relay process ended before an answer", outcomes.relay_ended);
    outcome(text, "still waiting at the end of the day", outcomes.still_waiting);
    outcome(text, "unaccounted for", outcomes.unaccounted);
    outcome(text, "placed", outcomes.placed);
    let d = &attempts.dial_ends;
    _ = writeln!(
        text,
        "dials {}: ended by error {}, full {}, timeout {}, unconnected {}, reset {}, recalled {}, moot {}, \
         BYE {}",
        attempts.dials, d.error, d.full, d.timeout, d.unconnected, d.reset, d.recalled, d.moot, d.ok
    );
    sums_of_sessions(losses, text);
}

fn sums_of_sessions(losses: &Losses, text: &mut String) {
    let sum = &losses.sum;
    let established = sum.sessions.total();
    let (median, worst) = (integer(sum.wait.median_ms), integer(sum.wait.worst_ms));
    _ = writeln!(
        text,
        "{:48} {:7}  median {median} ms, worst {worst} ms; {} more adopted from another process",
        "established", sum.sessions.established, sum.sessions.adopted
    );
    for (name, count) in [
        ("ended by the client", sum.ends.client),
        ("complete (BYE)", sum.ends.complete),
        ("migrated by the backend (MOVE)", sum.ends.migrated_by_backend),
        ("reset by the backend", sum.ends.reset),
        ("ended otherwise", sum.ends.other),
        ("migrated by the relay", sum.ends.migrated),
        ("migrated because the relay stopped", sum.ends.relay_stop),
        ("handed over to another process", sum.ends.handed_over),
        ("the relay process died", sum.ends.relay_died),
        ("unaccounted for", sum.ends.unaccounted),
        ("still open", sum.fleet.open),
    ] {
        row(text, name, count, established);
    }
}

fn row(text: &mut String, name: &str, count: u64, of: u64) {
    let percent = 100.0 * count as f64 / of.max(1) as f64;
    _ = writeln!(text, "  {name:46} {count:7} {percent:6.1}%");
}

/// The last line of the output.
fn unaccounted(losses: &Losses, text: &mut String) {
    let kinds: Vec<String> =
        losses.unaccounted.iter().map(|(gap, count)| format!("{}: {count}", gap.description())).collect();
    let kinds = if kinds.is_empty() { String::new() } else { format!(" ({})", kinds.join("; ")) };
    let percent = 100.0 * losses.unaccounted_fraction();
    _ = writeln!(text, "unaccounted for: {} attempts, {percent:.2}%{kinds}", losses.unaccounted_total());
}

/// The attempts of one client.
pub fn attempts(attempts: &[Traced]) -> String {
    let mut text = String::new();
    for attempt in attempts {
        let returned = if attempt.returned { ", returned" } else { "" };
        let adopted = if attempt.adopted { ", adopted" } else { "" };
        _ = writeln!(
            text,
            "{:8.3} s  {} id {} key {} group {}{returned}{adopted}",
            attempt.opened, attempt.relay, attempt.id, attempt.key, attempt.group
        );
        attempt.dials.iter().for_each(|dial| dialled(dial, &mut text));
        if let Some(placed) = attempt.placed {
            _ = writeln!(text, "{placed:8.3} s    placed");
        }
        _ = writeln!(text, "{:8.3} s    {}", attempt.ended_at, attempt.end);
    }
    text
}

fn dialled(dial: &TracedDial, text: &mut String) {
    let end = dial.end.as_ref().map_or(String::new(), |end| format!(": {end}"));
    _ = writeln!(text, "{:8.3} s    dial {}{end}", dial.at, dial.backend);
}

fn integer(value: Option<u32>) -> String {
    value.map_or("-".to_string(), |value| value.to_string())
}

fn decimal(value: Option<f64>) -> String {
    value.map_or("-".to_string(), |value| format!("{value:.2}"))
}

fn percent(fraction: Option<f64>) -> String {
    fraction.map_or("-".to_string(), |fraction| format!("{:.0}%", 100.0 * fraction))
}
