//! The command line, for `hallrelay` itself and for other programs that run a relay.
use crate::drain_command::{self, DrainCommand};
use crate::fleet_table;
use crate::net::{serve, signals};
use crate::operator_client;
use crate::release_command::{self, ReleaseCommand};
use crate::store_command::{self, StoreCommand};
use clap::{Parser, Subcommand};
use hallrelay_config::fleet::FleetConfig;
use hallrelay_config::node::{self, Node, Overrides};
use hallrelay_config::ConfigError;
use slog::{o, Drain};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::runtime::Runtime;
use tokio::task::LocalSet;

/// A balancer for long-lived connections over a fleet of backends.
#[derive(Parser)]
#[command(name = "hallrelay", version)]
pub struct Cli {
    /// The subcommand.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run one relay until it is stopped and its sessions have ended or moved.
    Serve {
        /// The configuration.
        #[command(flatten)]
        run_args: RunArgs,
        /// Log more. Once: also what is rejected or too late; twice: every event and effect.
        #[arg(long, short, action = clap::ArgAction::Count)]
        verbose: u8,
    },
    /// Check a relay's configuration and print a summary of it.
    Check {
        /// The configuration.
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Query a relay about its fleet.
    Fleet {
        /// The subcommand.
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Drain relays and backends within the fleet's disruption budgets, return them, or show the grants.
    Drain {
        /// The subcommand.
        #[command(subcommand)]
        command: DrainCommand,
    },
    /// Roll out a release in waves within the disruption budgets: start, halt, resume, roll back.
    Release {
        /// The subcommand.
        #[command(subcommand)]
        command: ReleaseCommand,
    },
    /// Inspect, verify, compact or export the store in a relay's state directory.
    Store {
        /// The subcommand.
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Print the version.
    Version,
}

/// The subcommands of `fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Show each relay of the fleet as the called one sees it. Exit status 0: all are reachable; 1: some are
    /// missing; 2: no answer.
    Status {
        /// Operator address of the relay to call (`operator` in its configuration).
        #[arg(long, env = "NODE_OPERATOR")]
        at: SocketAddr,
        /// Print the complete answer as JSON.
        #[arg(long)]
        json: bool,
    },
}

/// The configuration file, and options that override its keys.
#[derive(clap::Args)]
pub struct RunArgs {
    /// The relay's configuration file, JSON.
    #[arg(long, env = "NODE_CONFIG")]
    config: PathBuf,
    /// The relay's name. Overrides the configuration file.
    #[arg(long, env = "NODE_NAME")]
    name: Option<String>,
    /// Address for clients. Overrides the configuration file.
    #[arg(long, env = "NODE_LISTEN")]
    listen: Option<String>,
    /// Address of the discovery service. Overrides the configuration file.
    #[arg(long, env = "NODE_DISCOVERY")]
    discovery: Option<String>,
    /// Address for operators' calls. Overrides the configuration file.
    #[arg(long, env = "NODE_OPERATOR")]
    operator: Option<String>,
}

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CliError {
    /// The configuration can't be read.
    #[error("cannot read the configuration {}: {source}", path.display())]
    Unreadable {
        /// The configuration file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration is invalid.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The configuration file.
        path: PathBuf,
        /// The key at fault, and what it may hold.
        source: ConfigError,
    },
    /// The async runtime could not be started.
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    /// The relay could not start, or failed while it served.
    #[error("cannot serve: {0}")]
    Serve(#[source] io::Error),
    /// The answer can't be encoded as JSON.
    #[error("cannot encode the answer as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl RunArgs {
    fn overrides(&self) -> Overrides {
        Overrides {
            name: self.name.clone(),
            listen: self.listen.clone(),
            discovery: self.discovery.clone(),
            operator: self.operator.clone(),
        }
    }

    fn read(&self, overrides: &Overrides) -> Result<Node, CliError> {
        let path = || self.config.clone();
        let text =
            std::fs::read(&self.config).map_err(|source| CliError::Unreadable { path: path(), source })?;
        node::parse(&text, overrides).map_err(|source| CliError::Configuration { path: path(), source })
    }
}

/// The single-threaded runtime that every command uses.
///
/// # Errors
/// The system refuses the resources that the runtime needs.
pub(crate) fn runtime() -> Result<Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)
}

/// Runs a command to its end and returns its exit status.
///
/// # Errors
/// The command could not be carried out.
pub fn run(command: Command) -> Result<u8, CliError> {
    // The process may have blocked signals at its start. Only a relay that serves handles them; it unblocks
    // them itself.
    if !matches!(command, Command::Serve { .. }) {
        signals::unblock();
    }
    match command {
        Command::Serve { run_args, verbose } => serve(run_args, verbose),
        Command::Check { run_args } => check(&run_args),
        Command::Fleet { command: FleetCommand::Status { at, json } } => fleet_status(at, json),
        Command::Drain { command } => drain_command::run(command),
        Command::Release { command } => release_command::run(command),
        Command::Store { command } => Ok(store_command::run(&command)),
        Command::Version => {
            println!("hallrelay {}", env!("CARGO_PKG_VERSION"));
            Ok(0)
        }
    }
}

fn serve(run_args: RunArgs, verbose: u8) -> Result<u8, CliError> {
    signals::block();
    let node = run_args.read(&run_args.overrides())?;
    let log = logger(verbose, node.limits.max_queued_log_lines);
    let at_reload = run_args.overrides().for_reload();
    let read_configuration = move || run_args.read(&at_reload);
    let serving = serve::run(node, read_configuration, log);
    LocalSet::new().block_on(&runtime()?, serving).map_err(CliError::Serve)?;
    Ok(0)
}

/// The log, on standard error. `verbose` is the number of `-v` flags. A separate thread writes the log: at
/// most `max_lines` lines are queued for it, and further lines are dropped and counted.
fn logger(verbose: u8, max_lines: usize) -> slog::Logger {
    let level = match verbose {
        0 => slog::Level::Info,
        1 => slog::Level::Debug,
        _ => slog::Level::Trace,
    };
    let decorator = slog_term::PlainDecorator::new(io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build();
    let drain = slog_async::Async::new(drain.fuse())
        .chan_size(max_lines)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    slog::Logger::root(drain.filter_level(level).fuse(), o!())
}

fn check(run_args: &RunArgs) -> Result<u8, CliError> {
    let node = run_args.read(&run_args.overrides())?;
    println!("{} on {}, discovery at {}", node.name, node.listen, node.discovery);
    match node.operator {
        Some(addr) => println!("operator address {addr}"),
        None => println!("no operator address: `operator` is not configured"),
    }
    if let Some(fleet) = &node.fleet {
        print_fleet(fleet);
    }
    if let Some(state) = &node.state {
        println!("state directory {}", state.display());
    }
    println!("listeners {:?}, zones {:?}", node.site.listeners, node.site.zones);
    println!("{} backends known, list version {}", node.known.instances.len(), node.known.generation);
    println!("{:#?}", node.limits);
    Ok(0)
}

fn fleet_status(addr: SocketAddr, json: bool) -> Result<u8, CliError> {
    let status = match runtime()?.block_on(operator_client::fleet_status(addr)) {
        Ok(status) => status,
        Err(reason) => {
            eprintln!("hallrelay: {reason}");
            return Ok(2);
        }
    };
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print!("{}", fleet_table::table(&status));
    }
    Ok(u8::from(!status.is_whole()))
}

fn print_fleet(fleet: &FleetConfig) {
    let FleetConfig { name, listen, advertise, peers, coordination } = fleet;
    println!("fleet {name}: listens on {listen}, advertises {advertise}, {} peer addresses", peers.len());
    if let Some(config) = coordination {
        let voters = config.voters.join(", ");
        println!("{} disruption budgets, coordinated by the voters {voters}", config.budgets.len());
    }
}
