//! What relays believed of each other, in some lines and as lanes of a page: a lane a relay.
use crate::report::safe;
use hallrelay_emulator::beliefs::{FleetOutcome, Knew};
use hallrelay_emulator::node::name;
use hallrelay_emulator::service::Outcome;
use std::fmt::Write;

pub fn text(fleet: &FleetOutcome, t: &mut String) {
    let knew = |what: &str, k: &Knew, t: &mut String| {
        if k.count > 0 {
            let Knew { count, median, p95, last } = k;
            _ = writeln!(
                t,
                "{what} known to others after {median:.2} s (95 in 100 {p95:.2}, the last {last:.2}; {count})"
            );
        }
    };
    knew("deaths", &fleet.deaths, t);
    knew("returns", &fleet.returns, t);
    let [sent, arrived, lost, damaged] = fleet.datagrams;
    _ = writeln!(
        t,
        "datagrams between relays: {sent} sent, {arrived} arrived, {lost} lost, {damaged} damaged"
    );
    if fleet.findings_in_all == 0 {
        _ = writeln!(t, "beliefs: nothing that was never true, nobody falsely gone, all known in time");
        return;
    }
    _ = writeln!(t, "beliefs: WRONG {} times", fleet.findings_in_all);
    for f in fleet.findings.iter().take(3) {
        _ = writeln!(
            t,
            "  {:?} at {:.1} s: {} of {}: {}",
            f.wrong,
            f.at,
            name(f.observer),
            f.subject,
            f.what
        );
    }
}

/// The colour of what a relay says of itself, or of what was done to it.
fn colour(word: &str) -> &'static str {
    match word {
        "whole" => "#7fbf7f",
        "parts missing" => "#f0c060",
        "cut off" => "#d07070",
        "down" => "#333",
        "stalled" => "#8080c0",
        _ => "#ccc",
    }
}

pub fn page(o: &Outcome, fleet: &FleetOutcome) -> String {
    const HIGH: usize = 18;
    const LEFT: f64 = 80.0;
    const WIDE: f64 = 900.0;
    let x = |at: f64| LEFT + WIDE * (at / o.length_s.max(0.1)).clamp(0.0, 1.0);
    let high = HIGH * (fleet.lanes.len() + 1);
    let mut p = String::from("<h2>What each relay believed</h2><p>");
    for word in ["whole", "parts missing", "cut off", "stalled", "down"] {
        _ = write!(p, "<span style=\"background:{};padding:0 .6em\">{word}</span> ", colour(word));
    }
    _ = write!(p, "</p><svg viewBox=\"0 0 1000 {high}\" width=\"1000\" height=\"{high}\">");
    for (relay, lane) in fleet.lanes.iter().enumerate() {
        let y = HIGH * relay;
        _ = write!(p, "<text x=\"0\" y=\"{}\" font-size=\"12\">{}</text>", y + 13, name(relay));
        for (i, word) in lane.iter().enumerate() {
            let to = lane.get(i + 1).map_or(o.length_s, |next| next.at);
            let (from, wide) = (x(word.at), x(to) - x(word.at));
            _ = write!(
                p,
                "<rect x=\"{from:.1}\" y=\"{}\" width=\"{wide:.1}\" height=\"{}\" fill=\"{}\">\
                <title>{:.1} s: {}</title></rect>",
                y + 2,
                HIGH - 4,
                colour(&word.word),
                word.at,
                safe(&word.word)
            );
        }
    }
    for band in &o.troubles {
        let (from, to) = (x(band.from), x(band.to.max(band.from + o.length_s / 300.0)));
        _ = write!(
            p,
            "<rect x=\"{from:.1}\" y=\"0\" width=\"{:.1}\" height=\"{high}\" fill=\"#e6783c\" \
            fill-opacity=\"0.13\"/><text x=\"{from:.1}\" y=\"{}\" font-size=\"11\">{}</text>",
            to - from,
            high - 5,
            safe(&band.kind)
        );
    }
    p += "</svg>";
    if !fleet.findings.is_empty() {
        p += "<h2 class=\"bad\">Beliefs that were wrong</h2><pre>";
        for f in &fleet.findings {
            let (observer, subject) = (name(f.observer), safe(&f.subject));
            _ = writeln!(p, "{:8.2} s  {:?}: {observer} of {subject}: {}", f.at, f.wrong, safe(&f.what));
        }
        p += "</pre>";
    }
    p += "<details><summary>Who believed what of whom</summary><pre>";
    for b in &fleet.beliefs {
        _ = writeln!(p, "{:8.2} s  {} of {}: {}", b.at, name(b.observer), safe(&b.subject), safe(&b.state));
    }
    p + "</pre></details>"
}
