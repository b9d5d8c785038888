//! The result as text: two tables by seconds, the sums, and what is not accounted for.
use super::rows::{Attempts, Ends, Losses, Second};
use super::trace::{Traced, TracedDial};
use std::fmt::Write;

/// The whole accounting.
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

/// Attempts by the second in which they were opened, whenever they were answered.
fn attempts_table(losses: &Losses, text: &mut String) {
    *text += "\nattempts, by the second in which they were opened\n";
    *text += "   s opened   back  no dial  after dials   left  other  waiting  unknown  placed\n";
    let row = |text: &mut String, name: &str, a: &Attempts| {
        let fates = &a.fates;
        let undialled = fates.refused_undialled + fates.failed_undialled;
        let other = fates.served_at_once + fates.not_protocol + fates.too_late + fates.relay_ended;
        _ = writeln!(
            text,
            "{name:>4} {:6} {:6} {undialled:8} {:12} {:6} {other:6} {:8} {:8} {:7}",
            a.opened,
            a.returned,
            a.after_dials.total(),
            fates.client_left,
            fates.still_waiting,
            fates.unaccounted,
            fates.placed
        );
    };
    for second in &losses.seconds {
        row(text, &second.second.to_string(), &second.attempts);
    }
    row(text, "sum", &losses.sum.attempts);
}

/// Sessions by the second in which they came up, and ended.
fn sessions_table(losses: &Losses, text: &mut String) {
    *text += "\nsessions, by the second in which they came up and ended\n";
    *text +=
        "   s     up  over  med ms worst ms | client   done  sent  reset  other  moved   stop  on  died  \
              unknown |  open\n";
    let row = |text: &mut String, name: &str, s: &Second| {
        let Ends {
            client,
            done,
            sent_away,
            reset,
            otherwise,
            moved,
            relay_stop,
            passed_on,
            relay_died,
            unaccounted,
        } = &s.ends;
        _ = writeln!(
            text,
            "{name:>4} {:6} {:5} {:>7} {:>8} | {client:6} {done:6} {sent_away:5} {reset:6} {otherwise:6} \
             {moved:6} {relay_stop:6} {passed_on:3} {relay_died:5} {unaccounted:8} | {:5}",
            s.sessions.came_up,
            s.sessions.taken_over,
            shown(s.wait.median_ms),
            shown(s.wait.worst_ms),
            s.fleet.open
        );
    };
    for second in &losses.seconds {
        row(text, &second.second.to_string(), second);
    }
    row(text, "sum", &losses.sum);
}

/// The fleet at the end of each second, and the probes in it.
fn fleet_table(losses: &Losses, text: &mut String) {
    *text += "\nthe fleet at the end of each second\n";
    *text += "   s   open on started | ready draining started | groups  pairs pairs/group | probes failed  \
              load p50    p90  piled up\n";
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
            percent(p.piled_part)
        );
    }
}

/// The sums in words, each with its part of what it is a sum of.
fn sums(losses: &Losses, text: &mut String) {
    let sum = &losses.sum;
    let (attempts, fates, after) = (&sum.attempts, &sum.attempts.fates, &sum.attempts.after_dials);
    let fate = |text: &mut String, name: &str, count: u64| row(text, name, count, attempts.opened);
    _ = writeln!(text, "\n{:48} {:7}  back {}", "opened", attempts.opened, attempts.returned);
    fate(text, "refused without any dial", fates.refused_undialled);
    fate(text, "failed without any dial", fates.failed_undialled);
    fate(text, "answered after dials", after.total());
    for (name, count) in [
        ("the last ended by error", after.error),
        ("the last found it full", after.full),
        ("the last timed out", after.timeout),
        ("the last did not connect", after.unconnected),
        ("the last was reset", after.reset),
        ("the last was recalled", after.recalled),
        ("the last was moot", after.moot),
        ("the last ended by BYE", after.ok),
        ("the last was still out", after.out),
    ] {
        fate(text, &format!("  {name}"), count);
    }
    fate(text, "the client left first", fates.client_left);
    fate(text, "served at once (BYE)", fates.served_at_once);
    fate(text, "not of the protocol", fates.not_protocol);
    fate(text, "closed without an answer", fates.too_late);
    fate(text, "the relay's process ended first", fates.relay_ended);
    fate(text, "still waiting as the day ends", fates.still_waiting);
    fate(text, "unaccounted for", fates.unaccounted);
    fate(text, "placed", fates.placed);
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
    let begun = sum.sessions.total();
    let (median, worst) = (shown(sum.wait.median_ms), shown(sum.wait.worst_ms));
    _ = writeln!(
        text,
        "{:48} {:7}  median {median} ms, worst {worst} ms; {} more taken over",
        "came up", sum.sessions.came_up, sum.sessions.taken_over
    );
    for (name, count) in [
        ("ended by the client", sum.ends.client),
        ("done (BYE)", sum.ends.done),
        ("sent away by the backend", sum.ends.sent_away),
        ("reset by the backend", sum.ends.reset),
        ("ended otherwise", sum.ends.otherwise),
        ("moved by the relay", sum.ends.moved),
        ("moved as the relay stopped", sum.ends.relay_stop),
        ("passed on to another process", sum.ends.passed_on),
        ("the relay's process died", sum.ends.relay_died),
        ("unaccounted for", sum.ends.unaccounted),
        ("still open", sum.fleet.open),
    ] {
        row(text, name, count, begun);
    }
}

fn row(text: &mut String, name: &str, count: u64, of: u64) {
    let part = 100.0 * count as f64 / of.max(1) as f64;
    _ = writeln!(text, "  {name:46} {count:7} {part:6.1}%");
}

/// The last line.
fn unaccounted(losses: &Losses, text: &mut String) {
    let kinds: Vec<String> =
        losses.unaccounted.iter().map(|(gap, count)| format!("{}: {count}", gap.words())).collect();
    let kinds = if kinds.is_empty() { String::new() } else { format!(" ({})", kinds.join("; ")) };
    let part = 100.0 * losses.unaccounted_part();
    _ = writeln!(text, "unaccounted for: {} attempts, {part:.2}%{kinds}", losses.unaccounted_in_all());
}

/// One client's attempts.
pub fn attempts(attempts: &[Traced]) -> String {
    let mut text = String::new();
    for one in attempts {
        let back = if one.returned { ", back" } else { "" };
        let taken_over = if one.taken_over { ", taken over" } else { "" };
        _ = writeln!(
            text,
            "{:8.3} s  {} id {} key {} group {}{back}{taken_over}",
            one.opened, one.relay, one.id, one.key, one.group
        );
        one.dials.iter().for_each(|dial| dialled(dial, &mut text));
        if let Some(placed) = one.placed {
            _ = writeln!(text, "{placed:8.3} s    placed");
        }
        _ = writeln!(text, "{:8.3} s    {}", one.over, one.end);
    }
    text
}

fn dialled(dial: &TracedDial, text: &mut String) {
    let end = dial.end.as_ref().map_or(String::new(), |end| format!(": {end}"));
    _ = writeln!(text, "{:8.3} s    dial {}{end}", dial.at, dial.backend);
}

fn shown(value: Option<u32>) -> String {
    value.map_or("-".to_string(), |value| value.to_string())
}

fn decimal(value: Option<f64>) -> String {
    value.map_or("-".to_string(), |value| format!("{value:.2}"))
}

fn percent(part: Option<f64>) -> String {
    part.map_or("-".to_string(), |part| format!("{:.0}%", 100.0 * part))
}
