//! The report of a day as an HTML page.
use super::html::escape;
use super::plot::{plot, Series};
use super::{membership, mode_description, text};
use crate::error::LabError;
use hallrelay_emulator::service::{Outcome, Sample};
use std::fmt::Write;

/// Maximum number of servers that get a line each in the plot of loads. For more, quantiles are drawn.
const MAX_SERVER_LINES: usize = 16;

/// Quantiles of server loads that are drawn, with their names.
const LOAD_QUANTILES: [(&str, f64); 5] =
    [("minimum", 0.0), ("p10", 0.1), ("median", 0.5), ("p90", 0.9), ("maximum", 1.0)];

/// Generates the self-contained page.
///
/// # Errors
/// If a plot can't be drawn.
pub fn page(outcome: &Outcome) -> Result<String, LabError> {
    let mut page = head(outcome);
    page += &plots(outcome)?;
    page += &waits(outcome);
    if let Some(views) = &outcome.membership {
        page += &membership::page(outcome, views);
    }
    if !outcome.breaches.is_empty() {
        page += &breaches(outcome);
    }
    page += "<h2>Events</h2><pre>";
    for entry in &outcome.log {
        _ = writeln!(page, "{:8.2} s  {}", entry.at, escape(&entry.text));
    }
    page += "</pre></body></html>\n";
    Ok(page)
}

fn head(outcome: &Outcome) -> String {
    let has_no_breach = outcome.breach_count == 0;
    format!(
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title><style>\
        body{{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}\
        pre{{background:#f4f4f4;padding:1em;overflow:auto}}table{{border-collapse:collapse}}\
        td,th{{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}}\
        .bad{{color:#b00020}}svg{{max-width:100%;height:auto}}</style></head><body>\
        <h1>{name}</h1><p>{mode}, seed {seed}: <b{class}>{verdict}</b></p><pre>{text}</pre>",
        name = escape(&outcome.name),
        mode = mode_description(outcome),
        seed = outcome.seed,
        class = if has_no_breach { "" } else { " class=\"bad\"" },
        verdict = if has_no_breach { "all four rules kept" } else { "RULES BROKEN" },
        text = escape(&text(outcome))
    )
}

/// The line of a plot with one value of each sample.
fn series(outcome: &Outcome, name: &str, value: &dyn Fn(&Sample) -> f64) -> Series {
    Series {
        name: name.to_string(),
        points: outcome.samples.iter().map(|sample| (sample.at, value(sample))).collect(),
    }
}

fn plots(outcome: &Outcome) -> Result<String, LabError> {
    let line = |name: &str, value: &dyn Fn(&Sample) -> f64| series(outcome, name, value);
    let service = [line("service", &|s| s.service)];
    let states = [
        line("wanted", &|s| f64::from(s.wanted)),
        line("open", &|s| f64::from(s.open)),
        line("requesting", &|s| f64::from(s.requesting)),
        line("waiting to retry", &|s| f64::from(s.waiting)),
    ];
    let moves = [line("moves", &|s| s.moves as f64), line("breaks", &|s| s.breaks as f64)];
    let plots = [
        plot(outcome, "Service", "fraction of the requested utility", &service)?,
        plot(outcome, "Sessions by state", "clients", &states)?,
        plot(outcome, "Load by server", "offered load / capacity", &server_loads(outcome))?,
        plot(outcome, "Refusals and failures, cumulative", "attempts", &failures(outcome))?,
        plot(outcome, "Moves and breaks, cumulative", "sessions", &moves)?,
    ];
    Ok(plots.concat())
}

fn server_loads(outcome: &Outcome) -> Vec<Series> {
    if outcome.servers.len() <= MAX_SERVER_LINES {
        let servers = outcome.servers.iter().enumerate();
        let load = |sample: &Sample, server: usize| sample.loads.get(server).copied().unwrap_or(0.0);
        return servers
            .map(|(server, name)| series(outcome, name, &|sample| f64::from(load(sample, server))))
            .collect();
    }
    let quantiles = LOAD_QUANTILES.iter();
    quantiles
        .map(|&(name, fraction)| series(outcome, name, &|sample| load_quantile(&sample.loads, fraction)))
        .collect()
}

fn load_quantile(loads: &[f32], fraction: f64) -> f64 {
    let mut sorted = loads.to_vec();
    sorted.sort_by(f32::total_cmp);
    let index = ((sorted.len().max(1) - 1) as f64 * fraction).round() as usize;
    sorted.get(index).copied().map_or(0.0, f64::from)
}

fn failures(outcome: &Outcome) -> Vec<Series> {
    let mut lines = Vec::new();
    for (index, listener) in outcome.listeners.iter().enumerate() {
        let name = format!("refused, {}", listener.name);
        let rejected = |sample: &Sample| sample.rejected.get(index).copied().unwrap_or(0) as f64;
        lines.push(series(outcome, &name, &rejected));
    }
    lines.push(series(outcome, "failed or unanswered", &|sample| sample.failed as f64));
    lines
}

/// The table of times from the first line to `UP`.
fn waits(outcome: &Outcome) -> String {
    let mut table = String::from(
        "<h2>Time from the first line to UP</h2><table><tr><th>listener</th><th>p50 ms</th>\
        <th>p99 ms</th><th>p99.9 ms</th><th>max ms</th><th>within handshake target</th></tr>",
    );
    for listener in &outcome.listeners {
        let in_target = if listener.established > 0 {
            100.0 * listener.within_target as f64 / listener.established as f64
        } else {
            100.0
        };
        let [p50, p99, p999, longest] = listener.wait_ms;
        _ = write!(
            table,
            "<tr><td>{}</td><td>{p50:.2}</td><td>{p99:.2}</td><td>{p999:.2}</td><td>{longest:.1}</td>\
             <td>{in_target:.2}%</td></tr>",
            escape(&listener.name)
        );
    }
    table + "</table>"
}

fn breaches(outcome: &Outcome) -> String {
    let mut html = String::from("<h2 class=\"bad\">Broken rules</h2>");
    for breach in &outcome.breaches {
        _ = write!(
            html,
            "<p>Rule {} at {:.3} s, session {}: {}</p><pre>{}</pre>",
            breach.rule,
            breach.at as f64 / 1e6,
            escape(&breach.session),
            escape(&breach.details),
            escape(&breach.trace.join("\n"))
        );
    }
    html
}
