//! Commands and options of `hallrelay-lab`. Doc comments here are its help texts.
use clap::{Args, Parser, Subcommand};
use hallrelay_lab::relay_process::Program;
use hallrelay_lab::{losses, members};
use std::path::PathBuf;

/// Rehearses a fleet's days on one machine: emulated servers, list service and clients, real relays.
#[derive(Parser)]
#[command(name = "hallrelay-lab", version)]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Play one day, audit it, and leave a page. Without a scenario: calm, then a crash, 20 s.
    Rehearse {
        /// The scenario, TOML.
        scenario: Option<PathBuf>,
        #[command(flatten)]
        options: PlayOptions,
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
        options: PlayOptions,
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
        options: PlayOptions,
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
pub struct PlayOptions {
    /// In virtual time, without sockets.
    #[arg(long = "virtual")]
    pub is_virtual: bool,
    /// In place of the scenario's seed.
    #[arg(long)]
    pub seed: Option<u64>,
    /// Another build of the relay, in place of the one that this laboratory was built with.
    #[arg(long)]
    pub relay: Option<PathBuf>,
    /// Where results go.
    #[arg(long, default_value = "lab-out")]
    pub out: PathBuf,
}

impl PlayOptions {
    /// The build that is played where the command names none.
    pub fn program(&self) -> Program {
        program(self.relay.clone())
    }
}

/// Another build, or the one that the laboratory was built with.
pub fn program(relay: Option<PathBuf>) -> Program {
    relay.map_or(Program::Own, Program::At)
}
