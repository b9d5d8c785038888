//! `hallrelay-checker`: searches, and says what was found.
use clap::Parser;
use hallrelay_model_checker::releases::{self, Releases};
use hallrelay_model_checker::search::Model;
use hallrelay_model_checker::search::{search, Bounds, Found};
use hallrelay_model_checker::voters::Planted;
use std::process::ExitCode;
use std::time::Instant;

/// Every order of events of a few voters and holders, breadth first, with faults between them.
#[derive(Parser)]
#[command(name = "hallrelay-checker", version)]
struct Line {
    /// One of the scenes: elections, crashes, holders, leaders, disks, unplanned, snapshots, restarts,
    /// releases. All where none is named.
    scene: Vec<String>,
    /// Plants each known fault and wants it found.
    #[arg(long)]
    planted: bool,
    /// States of a scene at most.
    #[arg(long, default_value_t = 1_000_000)]
    states: usize,
    /// Of each scene one state in so many is looked at for a way on; 0 is none.
    #[arg(long, default_value_t = 16)]
    way_on: u64,
}

/// The scene that is not of voters.
const RELEASES: &str = "releases";

fn main() -> ExitCode {
    let line = Line::parse();
    let scenes = hallrelay_model_checker::scenes::ALL;
    let known = |name: &str| name == RELEASES || scenes.iter().any(|scene| scene.name == name);
    if let Some(odd) = line.scene.iter().find(|name| !known(name)) {
        let names: Vec<&str> = scenes.iter().map(|scene| scene.name).collect();
        eprintln!("hallrelay-checker: no scene {odd}, wanted one of {}", names.join(", "));
        return ExitCode::from(2);
    }
    let bounds = Bounds { states: line.states, depth: usize::MAX, way_on: line.way_on };
    let chosen = |name: &str| line.scene.is_empty() || line.scene.iter().any(|one| one == name);
    let mut right = true;
    for scene in scenes.iter().filter(|scene| chosen(scene.name)) {
        if line.planted {
            for planted in scene.finds {
                let found = timed(scene.name, &planted.word(), &scene.with(*planted), &bounds);
                right &= found.broken.is_some();
            }
            continue;
        }
        let found = timed(scene.name, "nothing planted", &scene.with(Planted::Nothing), &bounds);
        right &= found.broken.is_none();
    }
    if chosen(RELEASES) {
        let planted = match line.planted {
            true => releases::Planted::ALL.to_vec(),
            false => vec![releases::Planted::Nothing],
        };
        for planted in planted {
            let model = Releases { planted, failures: 2, words: 4 };
            let found = timed(RELEASES, &format!("{planted:?}").to_lowercase(), &model, &bounds);
            right &= found.broken.is_some() == line.planted;
        }
    }
    ExitCode::from(u8::from(!right))
}

fn timed(scene: &str, planted: &str, model: &impl Model, bounds: &Bounds) -> Found {
    let begun = Instant::now();
    let found = search(model, bounds);
    let whole = if found.whole { "all" } else { "the first" };
    println!(
        "{scene}, {planted}: {whole} {} states, {} steps, {} deep, {} looked at for a way on, {:.1} s",
        found.states,
        found.steps,
        found.depth,
        found.looked,
        begun.elapsed().as_secs_f64()
    );
    if let Some((what, way)) = &found.broken {
        println!("  broken: {what}, after {} steps", way.len());
        way.iter().for_each(|step| println!("    {step}"));
    }
    found
}
