//! What a run was, in ten lines of text and as one page.
use crate::html::escape;
use crate::membership_report;
use hallrelay_emulator::service::{Outcome, Sample};
use plotters::prelude::*;
use std::fmt::Write;

/// Ten lines or so: what happened, and whether the rules held.
pub fn text(o: &Outcome) -> String {
    let mut t = String::new();
    let sum =
        |f: fn(&hallrelay_emulator::service::ListenerFigures) -> u64| o.listeners.iter().map(f).sum::<u64>();
    let partial = o.partial.as_ref().map(|why| format!(" (PARTIAL: {why})")).unwrap_or_default();
    _ = writeln!(t, "{}: {:.1} s {}, seed {}{partial}", o.name, o.length_s, on(o), o.seed);
    _ = writeln!(
        t,
        "service {:.3}: whole {:.3}, worst ten seconds {:.3}, worst listener {:.3}, prices {:.3}",
        o.figure, o.whole, o.worst_window, o.worst_listener, o.prices
    );
    _ = writeln!(
        t,
        "sessions: {} asked for ({} tries), {} up, {} refused, {} torn down, {} given up by clients; \
         {} open at most",
        sum(|l| l.first_attempts),
        sum(|l| l.attempts),
        sum(|l| l.established),
        sum(|l| l.rejected),
        sum(|l| l.failed + l.closed),
        sum(|l| l.given_up),
        o.max_open
    );
    for l in &o.listeners {
        let [p50, p99, p999, most] = l.wait_ms;
        _ = writeln!(
            t,
            "{}: service {:.3}, up in {p50:.1} ms (p99 {p99:.1}, p99.9 {p999:.1}, \
             most {most:.0}), {} refused",
            l.name, l.service, l.rejected
        );
    }
    _ = writeln!(
        t,
        "{} moves, {} breaks, {} dials, {} probes, {} cold servers fell over",
        o.moves, o.breaks, o.dials, o.probes, o.overloads
    );
    if let Some(outs) = &o.outs {
        _ = writeln!(
            t,
            "relays let out {} of {} wanted (told to wait {} times), {} at a time at most, {} with the dead; \
             over what may: {}; {:.0} s in all",
            outs.granted, outs.requested, outs.deferred, outs.max_draining, outs.max_unavailable, outs.over, outs.duration_s
        );
    }
    if o.stale_dials > 0 {
        _ = writeln!(
            t,
            "{} dials to servers that the relay had been told to leave before it restarted",
            o.stale_dials
        );
    }
    let troubles: Vec<String> =
        o.faults.iter().map(|b| format!("{} {:.0} to {:.0} s", b.kind, b.from, b.to)).collect();
    _ = writeln!(
        t,
        "troubles: {}",
        if troubles.is_empty() { "none".to_string() } else { troubles.join(", ") }
    );
    if o.mode == "sockets" {
        let relays = o.relays.iter().map(|r| format!("{:.2} s CPU, {:.1} MB", r.cpu_s, r.resident_mb));
        let relays: Vec<String> = relays.collect();
        let crashed = o.relays.iter().filter(|r| r.crashed).count();
        let crashed = if crashed > 0 { format!("; {crashed} CRASHED") } else { String::new() };
        _ = writeln!(
            t,
            "relays: {}{crashed}; the emulator ran {:.0} ms late at most",
            relays.join("; "),
            o.max_delay_ms
        );
    }
    if o.malformed_clients.connected > 0 {
        let b = &o.malformed_clients;
        _ = writeln!(
            t,
            "bad clients: {} came, {} answered, {} left waiting",
            b.connected, b.answered, b.unanswered
        );
    }
    if let Some(membership) = &o.membership {
        membership_report::text(membership, &mut t);
    }
    if o.breach_count == 0 {
        _ = writeln!(t, "rules: all four kept over {} sessions", o.sessions_seen);
    } else {
        _ = writeln!(t, "rules: BROKEN {} times over {} sessions", o.breach_count, o.sessions_seen);
        // All are on the page; three show what it is about.
        for b in o.breaches.iter().take(3) {
            _ = writeln!(
                t,
                "  rule {} at {:.3} s, session {}: {}",
                b.rule,
                b.at as f64 / 1e6,
                b.session,
                b.details
            );
            b.trace.iter().for_each(|line| _ = writeln!(t, "    {line}"));
        }
    }
    t
}

fn on(o: &Outcome) -> &'static str {
    if o.mode == "virtual" {
        "in virtual time (emulated)"
    } else {
        "on sockets (emulated)"
    }
}

/// One self-contained page.
pub fn page(o: &Outcome) -> Result<String, String> {
    let mut p = String::new();
    let verdict = if o.breach_count == 0 { "all four rules kept" } else { "RULES BROKEN" };
    _ = write!(
        p,
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>{name}</title><style>\
        body{{font:15px/1.5 sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}}\
        pre{{background:#f4f4f4;padding:1em;overflow:auto}}table{{border-collapse:collapse}}\
        td,th{{padding:2px 10px;text-align:right;border-bottom:1px solid #ddd}}\
        .bad{{color:#b00020}}svg{{max-width:100%;height:auto}}</style></head><body>\
        <h1>{name}</h1><p>{way}, seed {seed}: <b{class}>{verdict}</b></p><pre>{text}</pre>",
        name = escape(&o.name),
        way = on(o),
        seed = o.seed,
        class = if o.breach_count == 0 { "" } else { " class=\"bad\"" },
        text = escape(&text(o))
    );
    let figure = |title: &str, unit: &str, lines: &[Line]| plot(o, title, unit, lines);
    let line = |name: &str, value: &dyn Fn(&Sample) -> f64| Line {
        name: name.to_string(),
        points: o.samples.iter().map(|s| (s.at, value(s))).collect(),
    };
    p += &figure("Service", "part of the utility asked for", &[line("service", &|s| s.service)])?;
    let states = [
        line("wanted", &|s| f64::from(s.wanted)),
        line("open", &|s| f64::from(s.open)),
        line("asking", &|s| f64::from(s.requesting)),
        line("away", &|s| f64::from(s.waiting)),
    ];
    p += &figure("Sessions by state", "clients", &states)?;
    // More lines than this tell nothing apart.
    const LINES: usize = 16;
    let mut loads: Vec<Line> = Vec::new();
    if o.servers.len() <= LINES {
        for (i, name) in o.servers.iter().enumerate() {
            loads.push(line(name, &|s| f64::from(s.loads.get(i).copied().unwrap_or(0.0))));
        }
    } else {
        for (name, part) in
            [("least", 0.0), ("lower tenth", 0.1), ("middle", 0.5), ("upper tenth", 0.9), ("most", 1.0)]
        {
            loads.push(line(name, &|s| {
                let mut all = s.loads.clone();
                all.sort_by(f32::total_cmp);
                let at = ((all.len().max(1) - 1) as f64 * part).round() as usize;
                all.get(at).copied().map_or(0.0, f64::from)
            }));
        }
    }
    p += &figure("Load by server", "load asked over what it can do", &loads)?;
    let mut refused: Vec<Line> = Vec::new();
    for (i, l) in o.listeners.iter().enumerate() {
        refused
            .push(line(&format!("refused, {}", l.name), &|s| s.rejected.get(i).copied().unwrap_or(0) as f64));
    }
    refused.push(line("failed or unanswered", &|s| s.failed as f64));
    p += &figure("Refusals and failures, summed up", "tries", &refused)?;
    let moves = [line("moves", &|s| s.moves as f64), line("breaks", &|s| s.breaks as f64)];
    p += &figure("Moves and breaks, summed up", "sessions", &moves)?;
    p += "<h2>From the first line to UP</h2><table><tr><th>listener</th><th>p50 ms</th><th>p99 ms</th>\
        <th>p99.9 ms</th><th>most ms</th><th>in handshake target</th></tr>";
    for l in &o.listeners {
        let part =
            if l.established > 0 { 100.0 * l.within_target as f64 / l.established as f64 } else { 100.0 };
        let [a, b, c, d] = l.wait_ms;
        _ = write!(
            p,
            "<tr><td>{}</td><td>{a:.2}</td><td>{b:.2}</td><td>{c:.2}</td><td>{d:.1}</td>\
             <td>{part:.2}%</td></tr>",
            escape(&l.name)
        );
    }
    p += "</table>";
    if let Some(membership) = &o.membership {
        p += &membership_report::page(o, membership);
    }
    if !o.breaches.is_empty() {
        p += "<h2 class=\"bad\">Broken rules</h2>";
        for b in &o.breaches {
            let lines = b.trace.join("\n");
            _ = write!(
                p,
                "<p>Rule {} at {:.3} s, session {}: {}</p><pre>{}</pre>",
                b.rule,
                b.at as f64 / 1e6,
                escape(&b.session),
                escape(&b.details),
                escape(&lines)
            );
        }
    }
    p += "<h2>What happened</h2><pre>";
    for mark in &o.log {
        _ = writeln!(p, "{:8.2} s  {}", mark.at, escape(&mark.text));
    }
    p += "</pre></body></html>\n";
    Ok(p)
}

struct Line {
    name: String,
    points: Vec<(f64, f64)>,
}

/// Lines over the time of the day, the troubles as bands behind them.
fn plot(o: &Outcome, title: &str, unit: &str, lines: &[Line]) -> Result<String, String> {
    let mut svg = String::new();
    let most = lines.iter().flat_map(|l| l.points.iter().map(|p| p.1)).fold(0.0, f64::max);
    let top = if most > 0.0 { most * 1.05 } else { 1.0 };
    {
        let told = |e: DrawingAreaErrorKind<std::io::Error>| format!("cannot draw {title}: {e}");
        let area = SVGBackend::with_string(&mut svg, (1000, 300)).into_drawing_area();
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .caption(title, ("sans-serif", 18))
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..o.length_s.max(0.1), 0.0..top)
            .map_err(told)?;
        for band in &o.faults {
            // What is over at once still shows.
            let to = band.to.max(band.from + o.length_s / 300.0).min(o.length_s);
            let shape =
                Rectangle::new([(band.from, 0.0), (to, top)], RGBColor(230, 120, 60).mix(0.13).filled());
            chart.draw_series(std::iter::once(shape)).map_err(told)?;
            let name = Text::new(band.kind.clone(), (band.from, top * 0.98), ("sans-serif", 11));
            chart.draw_series(std::iter::once(name)).map_err(told)?;
        }
        chart.configure_mesh().light_line_style(WHITE).x_desc("s").y_desc(unit).draw().map_err(told)?;
        for (i, line) in lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let series = LineSeries::new(line.points.iter().copied(), colour.stroke_width(1));
            chart
                .draw_series(series)
                .map_err(told)?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour.stroke_width(2)));
        }
        if lines.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::MiddleRight)
                .background_style(WHITE.mix(0.7))
                .draw()
                .map_err(told)?;
        }
        area.present().map_err(told)?;
    }
    Ok(svg)
}

type DrawingAreaErrorKind<E> = plotters::drawing::DrawingAreaErrorKind<E>;
