//! `hallrelay-lab`: the command line.
mod serve_fleet;

use clap::{Args, Parser, Subcommand};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::relays::Program;
use hallrelay_lab::{cost, keys, losses, members, pairs, report, sockets, virt};
use indicatif::{ProgressBar, ProgressStyle};
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Rehearses a fleet's days on one machine: emulated servers, list service and clients, real relays.
#[derive(Parser)]
#[command(name = "hallrelay-lab", version)]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Play one day, audit it, and leave a page. Without a scenario: calm, then a crash, 20 s.
    Rehearse {
        /// The scenario, TOML.
        scenario: Option<PathBuf>,
        #[command(flatten)]
        how: How,
        /// Print the whole result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play two builds, or two scenarios, in turn on the same seeds; B over A with a 95% interval.
    Compare {
        /// A relay's program, a scenario (.toml), or `own` for the relay that this laboratory was built with.
        a: String,
        b: String,
        /// The day on which two builds are compared.
        #[arg(long)]
        scenario: Option<PathBuf>,
        /// Pairs of days.
        #[arg(long, default_value_t = 5)]
        rounds: u64,
        #[command(flatten)]
        how: How,
        #[arg(long)]
        json: bool,
    },
    /// Play a scenario over values of one of its keys.
    Sweep {
        scenario: PathBuf,
        /// The key, such as load.rate or trouble[0].share.
        #[arg(long)]
        key: String,
        /// Its values, as TOML, with commas between.
        #[arg(long)]
        values: String,
        /// Days for each value.
        #[arg(long, default_value_t = 1)]
        rounds: u64,
        #[command(flatten)]
        how: How,
        #[arg(long)]
        json: bool,
    },
    /// Emulated servers and list service alone, to point a relay of one's own at, until interrupted.
    ServeFleet {
        scenario: Option<PathBuf>,
        /// Where that relay will listen.
        #[arg(long, default_value = "127.0.0.1:8443")]
        listen: std::net::SocketAddr,
        /// Where the relay's configuration is written.
        #[arg(long, default_value = "relay.json")]
        config: PathBuf,
    },
    /// What a relay costs: CPU for an open and for a line, at rest, memory a session.
    Cost {
        /// Numbers of open sessions, with commas between.
        #[arg(long, default_value = "1000,5000,9000", value_delimiter = ',')]
        sessions: Vec<usize>,
        /// Sessions that open and end beside them.
        #[arg(long, default_value_t = 3000)]
        opens: usize,
        /// Another build of the relay.
        #[arg(long)]
        relay: Option<PathBuf>,
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// What membership costs and finds, in virtual time: deaths known, false accusations, bytes, CPU.
    Members {
        #[command(flatten)]
        plan: members::Plan,
        #[arg(long)]
        json: bool,
    },
    /// Account for lost service from the logs of all relays, written at -vv: where offered sessions went,
    /// second by second and in sum.
    Losses {
        #[command(flatten)]
        plan: losses::Plan,
    },
    /// Say again what a result was, and draw its page anew.
    Report {
        /// A result.json.
        result: PathBuf,
        /// Where the page goes; none is drawn without.
        #[arg(long)]
        html: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Read a scenario, say what it holds or which key is wrong, and start nothing.
    Check { scenario: PathBuf },
    /// A relay, as rehearsals start it.
    #[command(hide = true)]
    Relay(hallrelay_relay::cli::Cli),
}

#[derive(Args, Clone)]
struct How {
    /// In virtual time, without sockets.
    #[arg(long = "virtual")]
    is_virtual: bool,
    /// In place of the scenario's seed.
    #[arg(long)]
    seed: Option<u64>,
    /// Another build of the relay, in place of the one that this laboratory was built with.
    #[arg(long)]
    relay: Option<PathBuf>,
    /// Where results go.
    #[arg(long, default_value = "lab-out")]
    out: PathBuf,
}

const BUILT_IN: &str = include_str!("../../deploy/example/scenarios/calm-then-crash.toml");

/// How a run of the program ends: 0 all is well, 1 a rule is broken or a relay crashed, 2 it could not be
/// done.
enum End {
    Well,
    Broken,
    Interrupted,
}

fn main() -> ExitCode {
    match run(Line::parse().what) {
        Ok(End::Well) => ExitCode::SUCCESS,
        Ok(End::Broken) => ExitCode::from(1),
        Ok(End::Interrupted) => ExitCode::from(130),
        Err(what) => {
            eprintln!("hallrelay-lab: {what}");
            ExitCode::from(2)
        }
    }
}

fn read(path: Option<&Path>) -> Result<(String, String), String> {
    let Some(path) = path else { return Ok(("built-in".to_string(), BUILT_IN.to_string())) };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((path.display().to_string(), text))
}

fn load(path: Option<&Path>) -> Result<Scenario, String> {
    let (name, text) = read(path)?;
    scenario::parse(&name, &text).map_err(|e| e.to_string())
}

fn run(what: What) -> Result<End, String> {
    match what {
        What::Relay(line) => {
            hallrelay_relay::cli::run(line.command).map(|_| End::Well).map_err(|e| e.to_string())
        }
        What::Check { scenario } => {
            let s = load(Some(&scenario))?;
            println!(
                "{}: {} s, {} relays, {} servers",
                s.name,
                s.length_s.us() as f64 / 1e6,
                s.relays.count,
                s.server_count()
            );
            println!("{:.0} sessions at once, about {} descriptors", s.most_open(), sockets::descriptors(&s));
            Ok(End::Well)
        }
        What::Rehearse { scenario, how, json } => {
            let s = load(scenario.as_deref())?;
            let stop = interrupts()?;
            let seed = how.seed.unwrap_or(s.seed);
            let program = how.relay.clone().map_or(Program::Own, Program::At);
            let out = how.out.join(format!("{}-{seed}", s.name));
            let o = play(&s, seed, how.is_virtual, &program, &out, &stop, &s.name)?;
            let (result, page) = write(&o, &out)?;
            if json {
                println!("{}", serde_json::to_string_pretty(&o).map_err(|e| e.to_string())?);
            } else {
                print!("{}", report::text(&o));
                println!("result {}, page {}", result.display(), page.display());
            }
            Ok(end(&o))
        }
        What::Compare { a, b, scenario, rounds, how, json } => {
            compare([&a, &b], scenario.as_deref(), rounds, &how, json)
        }
        What::Sweep { scenario, key, values, rounds, how, json } => {
            sweep(&scenario, &key, &values, rounds, &how, json)
        }
        What::Cost { sessions, opens, relay, out, json } => {
            cost(&sessions, opens, &relay.map_or(Program::Own, Program::At), &out, json)
        }
        What::Members { plan, json } => {
            let rows = members::run(&plan)?;
            if json {
                println!("{}", serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?);
            } else {
                print!("{}", members::text(&rows));
            }
            Ok(End::Well)
        }
        What::Losses { plan } => losses::run(&plan).map(|()| End::Well),
        What::ServeFleet { scenario, listen, config } => {
            serve_fleet::run(scenario.as_deref(), listen, &config)
        }
        What::Report { result, html, json } => {
            let text = std::fs::read_to_string(&result).map_err(|e| format!("{}: {e}", result.display()))?;
            let o: Outcome = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", result.display()))?;
            if let Some(html) = html {
                std::fs::write(&html, report::page(&o)?).map_err(|e| format!("{}: {e}", html.display()))?;
            }
            if json {
                println!("{}", serde_json::to_string_pretty(&o).map_err(|e| e.to_string())?);
            } else {
                print!("{}", report::text(&o));
            }
            Ok(end(&o))
        }
    }
}

fn end(o: &Outcome) -> End {
    let wrong = o.membership.as_ref().is_some_and(|membership| membership.finding_count > 0);
    if wrong || o.breach_count > 0 || o.relays.iter().any(|r| r.crashed) {
        End::Broken
    } else if o.partial.is_some() {
        End::Interrupted
    } else {
        End::Well
    }
}

/// Set as somebody interrupts.
fn interrupts() -> Result<Arc<AtomicBool>, String> {
    let stop = Arc::new(AtomicBool::new(false));
    let set = stop.clone();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    std::thread::spawn(move || {
        runtime.block_on(async {
            use tokio::signal::unix::{signal, SignalKind};
            let Ok(mut term) = signal(SignalKind::terminate()) else { return };
            tokio::select! {
                _ = tokio::signal::ctrl_c() => {}
                _ = term.recv() => {}
            }
            set.store(true, Ordering::Relaxed);
        });
    });
    Ok(stop)
}

/// Shown on a terminal, not in a pipe.
fn bar(name: &str) -> ProgressBar {
    let bar = if std::io::stderr().is_terminal() { ProgressBar::new(1000) } else { ProgressBar::hidden() };
    if let Ok(style) = ProgressStyle::with_template("{msg} [{bar:40}] {percent}% {elapsed}") {
        bar.set_style(style);
    }
    bar.set_message(name.to_string());
    bar
}

fn play(
    s: &Scenario,
    seed: u64,
    is_virtual: bool,
    program: &Program,
    out: &Path,
    stop: &Arc<AtomicBool>,
    name: &str,
) -> Result<Outcome, String> {
    let bar = bar(name);
    let show = |part: f64| bar.set_position((part * 1000.0) as u64);
    let o = if is_virtual {
        virt::run(s, seed, virt::reducers(), &mut |part| {
            show(part);
            !stop.load(Ordering::Relaxed)
        })
        .map_err(|e| e.to_string())
    } else {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
        let options = sockets::Options { program: program.clone(), out, progress: &show };
        let stopped = async {
            while !stop.load(Ordering::Relaxed) {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        };
        tokio::task::LocalSet::new().block_on(&runtime, sockets::run(s, seed, &options, stopped))
    };
    bar.finish_and_clear();
    o
}

fn write(o: &Outcome, out: &Path) -> Result<(PathBuf, PathBuf), String> {
    let (result, page) = (out.join("result.json"), out.join("page.html"));
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let text = serde_json::to_string(o).map_err(|e| e.to_string())?;
    std::fs::write(&result, text + "\n").map_err(|e| format!("{}: {e}", result.display()))?;
    std::fs::write(&page, report::page(o)?).map_err(|e| format!("{}: {e}", page.display()))?;
    Ok((result, page))
}

/// One side of a comparison: a day and the relay that plays it.
struct Side {
    s: Scenario,
    program: Program,
}

fn side(what: &str, scenario: Option<&Path>, how: &How) -> Result<Side, String> {
    let relay = how.relay.clone().map_or(Program::Own, Program::At);
    if what == "own" {
        return Ok(Side { s: load(scenario)?, program: Program::Own });
    }
    if what.ends_with(".toml") {
        return Ok(Side { s: load(Some(Path::new(what)))?, program: relay });
    }
    if !Path::new(what).is_file() {
        return Err(format!("{what}: neither a scenario (.toml), nor a program, nor `own`"));
    }
    if how.is_virtual {
        return Err(format!("{what}: another build can only be played on sockets, not with --virtual"));
    }
    Ok(Side { s: load(scenario)?, program: Program::At(PathBuf::from(what)) })
}

fn compare(
    what: [&str; 2],
    scenario: Option<&Path>,
    rounds: u64,
    how: &How,
    json: bool,
) -> Result<End, String> {
    let sides = [side(what[0], scenario, how)?, side(what[1], scenario, how)?];
    let (stop, mut all, mut broken) = (interrupts()?, Vec::new(), false);
    for round in 0..rounds.max(1) {
        let seed = how.seed.unwrap_or(sides[0].s.seed) + round;
        // The first of each pair is A and B in turn, so that a machine that grows slower meets both alike.
        let order = if round.is_multiple_of(2) { [0, 1] } else { [1, 0] };
        let mut pair = [None, None];
        for which in order {
            let Side { s, program } = &sides[which];
            let name = ["a", "b"][which];
            let out = how.out.join(format!("compare-{seed}-{name}"));
            let o = play(s, seed, how.is_virtual, program, &out, &stop, &format!("{name} {}", round + 1))?;
            write(&o, &out)?;
            broken |= matches!(end(&o), End::Broken);
            if o.partial.is_some() {
                println!("interrupted after {} pairs", all.len());
                return Ok(End::Interrupted);
            }
            if !json {
                println!(
                    "{name}, seed {seed}: service {:.4}, whole {:.4}, rules broken {}",
                    o.figure, o.whole, o.breach_count
                );
            }
            pair[which] = Some(o);
        }
        if let [Some(a), Some(b)] = pair {
            all.push((a, b));
        }
    }
    let rows = pairs::rows(&all);
    if json {
        println!("{}", serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?);
    } else {
        print!("{}", pairs::text(&rows, all.len()));
    }
    Ok(if broken { End::Broken } else { End::Well })
}

fn sweep(path: &Path, key: &str, values: &str, rounds: u64, how: &How, json: bool) -> Result<End, String> {
    let (name, text) = read(Some(path))?;
    scenario::parse(&name, &text).map_err(|e| e.to_string())?;
    let values = keys::values(values).map_err(|what| format!("--values: {what}"))?;
    if values.is_empty() {
        return Err("--values: wanted one value at least".to_string());
    }
    // All are read before the first is played.
    let mut days = Vec::new();
    for value in &values {
        let changed = keys::set(&text, key, value)?;
        let name = format!("{name} with {key} = {value}");
        days.push(scenario::parse(&name, &changed).map_err(|e| e.to_string())?);
    }
    let (stop, mut rows, mut broken) = (interrupts()?, Vec::new(), false);
    let program = how.relay.clone().map_or(Program::Own, Program::At);
    if !json {
        println!("{key:>16} seed  service   whole worst10 refused  moves open CPU s  rules");
    }
    for (value, s) in values.iter().zip(&days) {
        for round in 0..rounds.max(1) {
            let seed = how.seed.unwrap_or(s.seed) + round;
            let out =
                how.out.join(format!("sweep-{}-{seed}", value.to_string().replace(['"', '/', ' '], "")));
            let o = play(s, seed, how.is_virtual, &program, &out, &stop, &format!("{key} = {value}"))?;
            write(&o, &out)?;
            broken |= matches!(end(&o), End::Broken);
            if o.partial.is_some() {
                return Ok(End::Interrupted);
            }
            let refused: u64 = o.listeners.iter().map(|l| l.rejected).sum();
            let cpu: f64 = o.relays.iter().map(|r| r.cpu_s).sum();
            if !json {
                println!(
                    "{:>16} {seed:4}  {:7.4} {:7.4} {:7.4} {refused:7} {:6} {:4} {cpu:5.2}  {}",
                    value.to_string(),
                    o.figure,
                    o.whole,
                    o.worst_window,
                    o.moves,
                    o.max_open,
                    if o.breach_count == 0 {
                        "kept".to_string()
                    } else {
                        format!("BROKEN {}", o.breach_count)
                    }
                );
            }
            rows.push(serde_json::json!({"value": value.to_string(), "seed": seed, "service": o.figure,
                "whole": o.whole, "worst_window": o.worst_window, "refused": refused, "moves": o.moves,
                "most_open": o.max_open, "cpu_s": cpu, "breaches": o.breach_count}));
        }
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?);
    }
    Ok(if broken { End::Broken } else { End::Well })
}

fn cost(sessions: &[usize], opens: usize, program: &Program, out: &Path, json: bool) -> Result<End, String> {
    let mut rows = Vec::new();
    if !json {
        println!("sessions  us an open  ms to UP p50  p99  us a line and back  idle core  kB a session");
    }
    for &count in sessions {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
        let measured = cost::measure(count.max(1), opens.max(1), program, out);
        let row = tokio::task::LocalSet::new().block_on(&runtime, measured)?;
        if !json {
            let [p50, p99] = row.wait_ms;
            println!(
                "{:8}  {:10.1}  {p50:12.2} {p99:4.1}  {:18.1}  {:9.4}  {:12.2}",
                row.sessions, row.open_us, row.line_us, row.idle, row.memory_kb
            );
        }
        rows.push(row);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?);
    }
    Ok(End::Well)
}
