//! Results of the membership audit: as lines of text, and as a section of the report page. The section has a
//! lane for each relay, a horizontal bar whose colours show the relay's view over the time of the day.
use super::html::escape;
use hallrelay_emulator::membership_audit::{DetectionTimes, LaneEntry, MembershipOutcome};
use hallrelay_emulator::node::name;
use hallrelay_emulator::service::Outcome;
use std::fmt::Write;

/// Maximum number of findings in the text.
const NAMED_FINDINGS: usize = 3;
/// Height of a lane in pixels.
const LANE_HEIGHT: usize = 18;
/// Left edge of the lanes in pixels, after the names of the relays.
const LANES_LEFT: f64 = 80.0;
/// Width of a lane in pixels.
const LANE_WIDTH: f64 = 900.0;
/// Views that are shown in the legend of the lanes.
const LEGEND: [&str; 5] = ["whole", "parts missing", "cut off", "stalled", "down"];

/// Appends the results as lines of text.
pub(super) fn text(membership: &MembershipOutcome, out: &mut String) {
    detection_text("deaths", &membership.deaths, out);
    detection_text("returns", &membership.returns, out);
    let [sent, arrived, lost, damaged] = membership.datagrams;
    _ = writeln!(
        out,
        "datagrams between relays: {sent} sent, {arrived} arrived, {lost} lost, {damaged} damaged"
    );
    if membership.finding_count == 0 {
        _ = writeln!(out, "membership views: no false state, no false death, all changes detected in time");
        return;
    }
    _ = writeln!(out, "membership views: WRONG {} times", membership.finding_count);
    for finding in membership.findings.iter().take(NAMED_FINDINGS) {
        _ = writeln!(
            out,
            "  {} at {:.1} s: {} about {}: {}",
            finding.violation.as_str(),
            finding.at,
            name(finding.observer),
            finding.subject,
            finding.details
        );
    }
}

fn detection_text(what: &str, times: &DetectionTimes, out: &mut String) {
    if times.count > 0 {
        let DetectionTimes { count, median, p95, last } = times;
        _ = writeln!(
            out,
            "{what} detected by others after {median:.2} s (p95 {p95:.2}, max {last:.2}; {count} detections)"
        );
    }
}

/// Colour of a view in the lanes.
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

/// The section of the report page.
pub(super) fn page(outcome: &Outcome, membership: &MembershipOutcome) -> String {
    let mut page = String::from("<h2>Membership view of each relay</h2><p>");
    for word in LEGEND {
        _ = write!(page, "<span style=\"background:{};padding:0 .6em\">{word}</span> ", colour(word));
    }
    page += "</p>";
    page += &lanes(outcome, membership);
    if !membership.findings.is_empty() {
        page += &findings(membership);
    }
    page += "<details><summary>All changes of membership views</summary><pre>";
    for change in &membership.view_changes {
        let subject = escape(&change.subject);
        let state = escape(&change.state);
        _ = writeln!(page, "{:8.2} s  {} about {subject}: {state}", change.at, name(change.observer));
    }
    page + "</pre></details>"
}

/// Horizontal position of a second of the day, in pixels.
fn x_of(outcome: &Outcome, at: f64) -> f64 {
    LANES_LEFT + LANE_WIDTH * (at / outcome.length_s.max(0.1)).clamp(0.0, 1.0)
}

fn lanes(outcome: &Outcome, membership: &MembershipOutcome) -> String {
    let height = LANE_HEIGHT * (membership.lanes.len() + 1);
    let mut svg = format!("<svg viewBox=\"0 0 1000 {height}\" width=\"1000\" height=\"{height}\">");
    for (relay, entries) in membership.lanes.iter().enumerate() {
        svg += &lane(outcome, relay, entries);
    }
    for band in &outcome.faults {
        let from = x_of(outcome, band.from);
        let to = x_of(outcome, band.to.max(band.from + outcome.length_s / 300.0));
        _ = write!(
            svg,
            "<rect x=\"{from:.1}\" y=\"0\" width=\"{:.1}\" height=\"{height}\" fill=\"#e6783c\" \
            fill-opacity=\"0.13\"/><text x=\"{from:.1}\" y=\"{}\" font-size=\"11\">{}</text>",
            to - from,
            height - 5,
            escape(&band.kind)
        );
    }
    svg + "</svg>"
}

fn lane(outcome: &Outcome, relay: usize, entries: &[LaneEntry]) -> String {
    let y = LANE_HEIGHT * relay;
    let mut svg = format!("<text x=\"0\" y=\"{}\" font-size=\"12\">{}</text>", y + 13, name(relay));
    for (i, entry) in entries.iter().enumerate() {
        let until = entries.get(i + 1).map_or(outcome.length_s, |next| next.at);
        let from = x_of(outcome, entry.at);
        _ = write!(
            svg,
            "<rect x=\"{from:.1}\" y=\"{}\" width=\"{:.1}\" height=\"{}\" fill=\"{}\">\
            <title>{:.1} s: {}</title></rect>",
            y + 2,
            x_of(outcome, until) - from,
            LANE_HEIGHT - 4,
            colour(&entry.word),
            entry.at,
            escape(&entry.word)
        );
    }
    svg
}

fn findings(membership: &MembershipOutcome) -> String {
    let mut html = String::from("<h2 class=\"bad\">Wrong membership views</h2><pre>");
    for finding in &membership.findings {
        let observer = name(finding.observer);
        let subject = escape(&finding.subject);
        let details = escape(&finding.details);
        let violation = finding.violation.as_str();
        _ = writeln!(html, "{:8.2} s  {violation}: {observer} about {subject}: {details}", finding.at);
    }
    html + "</pre>"
}
