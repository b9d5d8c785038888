//! The command line, for `hallrelay` itself and for programs that start a relay of their own.
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
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(Subcommand)]
pub enum Command {
    /// Run one relay, until it is told to stop and is empty.
    Serve {
        /// The configuration.
        #[command(flatten)]
        run_args: RunArgs,
        /// Log more: what is rejected or comes too late; given twice, every event and effect.
        #[arg(long, short, action = clap::ArgAction::Count)]
        verbose: u8,
    },
    /// Read and check a relay's configuration, say what it holds, and do nothing else.
    Check {
        /// The configuration.
        #[command(flatten)]
        run_args: RunArgs,
    },
    /// Ask a relay about the fleet that it belongs to.
    Fleet {
        /// What to ask.
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// What may be out, as it is agreed across the fleet: let out, bring back, see.
    Drain {
        /// What to do.
        #[command(subcommand)]
        command: DrainCommand,
    },
    /// A release in waves over what is agreed: begin, halt, go on, go back.
    Release {
        /// What to do.
        #[command(subcommand)]
        command: ReleaseCommand,
    },
    /// Look at the store that a relay keeps in its state folder.
    Store {
        /// What to do.
        #[command(subcommand)]
        command: StoreCommand,
    },
    /// Print the version.
    Version,
}

/// The subcommands of `fleet`.
#[derive(Subcommand)]
pub enum FleetCommand {
    /// Each relay as the asked one knows it. Exit 0: whole; 1: parts are missing; 2: no answer.
    Status {
        /// The asked relay's second address (`operator` of its configuration).
        #[arg(long, env = "NODE_OPERATOR")]
        at: SocketAddr,
        /// The whole answer as JSON.
        #[arg(long)]
        json: bool,
    },
}

/// Where the configuration is, and what overrides its keys.
#[derive(clap::Args)]
pub struct RunArgs {
    /// The relay's configuration, JSON.
    #[arg(long, env = "NODE_CONFIG")]
    config: PathBuf,
    /// The relay's name, in place of the configuration's.
    #[arg(long, env = "NODE_NAME")]
    name: Option<String>,
    /// Where clients connect, in place of the configuration's.
    #[arg(long, env = "NODE_LISTEN")]
    listen: Option<String>,
    /// Where discovery listens, in place of the configuration's.
    #[arg(long, env = "NODE_DISCOVERY")]
    discovery: Option<String>,
    /// Where operators' calls come, in place of the configuration's.
    #[arg(long, env = "NODE_OPERATOR")]
    operator: Option<String>,
}

/// Why a command could not be carried out.
#[derive(Debug, Error)]
pub enum CliError {
    /// The configuration can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The configuration's file.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// The configuration can't be used.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The configuration's file.
        path: PathBuf,
        /// The key at fault, and what it may hold.
        source: ConfigError,
    },
    /// The async runtime does not start.
    #[error("the runtime does not start: {0}")]
    Runtime(#[source] io::Error),
    /// The relay could not start or go on.
    #[error("cannot serve: {0}")]
    Serve(#[source] io::Error),
    /// An answer can't be written as JSON.
    #[error("{0}")]
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

/// A runtime for one thread, as every command uses it.
///
/// # Errors
/// What the system refuses to it.
pub(crate) fn runtime() -> Result<Runtime, CliError> {
    tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(CliError::Runtime)
}

/// Runs a command to its end; the exit status where it could be carried out.
///
/// # Errors
/// Why it was not carried out.
pub fn run(command: Command) -> Result<u8, CliError> {
    // The process may have blocked signals at its start, and only a relay that serves handles them.
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

/// The log, on standard error. `verbose` counts the flags `-v`; a thread of its own writes at most
/// `max_lines` behind, and lines beyond are dropped and counted.
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
        Some(addr) => println!("operators call at {addr}"),
        None => println!("operators have nowhere to call: operator is not given"),
    }
    if let Some(fleet) = &node.fleet {
        print_fleet(fleet);
    }
    if let Some(state) = &node.state {
        println!("what it keeps is in {}", state.display());
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
    println!("fleet {name} on {listen}, reached at {advertise}, {} addresses of others", peers.len());
    if let Some(config) = coordination {
        let voters = config.voters.join(", ");
        println!("what may be out is agreed by {voters}, {} budgets", config.budgets.len());
    }
}
