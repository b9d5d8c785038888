//! Commands and options of `hallrelay-lab`. Doc comments here are its help texts.
use clap::{Args, Parser, Subcommand};
use hallrelay_lab::relay_process::Program;
use hallrelay_lab::{losses, members};
use std::path::PathBuf;

/// Rehearses days of a fleet on one machine, with real relays and emulated servers, list service and clients.
#[derive(Parser)]
#[command(name = "hallrelay-lab", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Play and audit one day, and write a report page. The default scenario lasts 20 s, with one crash.
    Rehearse {
        /// The scenario, a TOML file.
        scenario: Option<PathBuf>,
        #[command(flatten)]
        options: PlayOptions,
        /// Print the complete result as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Play two builds or two scenarios alternately on the same seeds; print B over A with a 95% interval.
    Compare {
        /// A relay program, a scenario (.toml), or `own` for the relay that is built into this program.
        a: String,
        b: String,
        /// The scenario on which two builds are compared.
        #[arg(long)]
        scenario: Option<PathBuf>,
        /// Number of pairs of days.
        #[arg(long, default_value_t = 5)]
        rounds: u64,
        #[command(flatten)]
        options: PlayOptions,
        #[arg(long)]
        json: bool,
    },
    /// Play a scenario with each of several values for one of its keys.
    Sweep {
        scenario: PathBuf,
        /// The key, such as load.rate or trouble[0].share.
        #[arg(long)]
        key: String,
        /// The values as TOML, separated by commas.
        #[arg(long)]
        values: String,
        /// Number of days for each value.
        #[arg(long, default_value_t = 1)]
        rounds: u64,
        #[command(flatten)]
        options: PlayOptions,
        #[arg(long)]
        json: bool,
    },
    /// Run the emulated servers and list service for a relay that you start yourself, until interrupted.
    ServeFleet {
        scenario: Option<PathBuf>,
        /// Address on which that relay will listen.
        #[arg(long, default_value = "127.0.0.1:8443")]
        listen: std::net::SocketAddr,
        /// File to which the relay's configuration is written.
        #[arg(long, default_value = "relay.json")]
        config: PathBuf,
    },
    /// Measure the cost of a relay: CPU per opened session, per line and when idle; memory per session.
    Cost {
        /// Numbers of open sessions, separated by commas.
        #[arg(long, default_value = "1000,5000,9000", value_delimiter = ',')]
        sessions: Vec<usize>,
        /// Sessions that are opened and closed in addition.
        #[arg(long, default_value_t = 3000)]
        opens: usize,
        /// Relay program to measure instead of the built-in relay.
        #[arg(long)]
        relay: Option<PathBuf>,
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Measure membership in virtual time: detection of dead relays, false suspicions, bytes, CPU.
    Members {
        #[command(flatten)]
        plan: members::Plan,
        #[arg(long)]
        json: bool,
    },
    /// Account for lost service from the logs of all relays, written at -vv: what happened to the offered
    /// sessions, per second and in total.
    Losses {
        #[command(flatten)]
        plan: losses::Plan,
    },
    /// Print a stored result again, and optionally write its report page.
    Report {
        /// A result.json.
        result: PathBuf,
        /// File to which the page is written; without it, no page is written.
        #[arg(long)]
        html: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// Read a scenario and print a summary or the invalid key, without playing it.
    Check { scenario: PathBuf },
    /// Run a relay, as rehearsals do.
    #[command(hide = true)]
    Relay(hallrelay_relay::cli::Cli),
}

#[derive(Args, Clone)]
pub struct PlayOptions {
    /// Play in virtual time, without sockets.
    #[arg(long = "virtual")]
    pub is_virtual: bool,
    /// Seed to use instead of the scenario's.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Relay program to use instead of the built-in relay.
    #[arg(long)]
    pub relay: Option<PathBuf>,
    /// Directory for results.
    #[arg(long, default_value = "lab-out")]
    pub out: PathBuf,
}

impl PlayOptions {
    /// The build to play if the command does not name one.
    pub fn program(&self) -> Program {
        program(self.relay.clone())
    }
}

/// The relay program at the path, or the built-in relay if there is none.
pub fn program(relay: Option<PathBuf>) -> Program {
    relay.map_or(Program::Own, Program::At)
}
