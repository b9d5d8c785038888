//! The command line, for `hallrelay` itself and for programs that start a relay of their own.
use crate::drain_command::{self, DrainCommand};
use crate::fleet_table;
use crate::net::{serve, stop};
use crate::operator_client;
use crate::release_command::{self, ReleaseCommand};
use crate::shelf::{self, Shelf};
use clap::{Parser, Subcommand};
use hallrelay_config::fleet::Fleet;
use hallrelay_config::node::{self, Node, Told};
use slog::{o, Drain};
use std::net::SocketAddr;
use std::path::PathBuf;

/// A balancer for long-lived connections over a fleet of backends.
#[derive(Parser)]
#[command(name = "hallrelay", version)]
pub struct Line {
    #[command(subcommand)]
    pub what: What,
}

#[derive(Subcommand)]
pub enum What {
    /// Run one relay, until it is told to stop and is empty.
    Serve {
        #[command(flatten)]
        given: Given,
        /// Log more: what is turned away or comes too late; given twice, every event and effect.
        #[arg(long, short, action = clap::ArgAction::Count)]
        verbose: u8,
    },
    /// Read and check a relay's configuration, say what it holds, and do nothing else.
    Check {
        #[command(flatten)]
        given: Given,
    },
    /// Ask a relay about the fleet that it belongs to.
    Fleet {
        #[command(subcommand)]
        what: FleetWhat,
    },
    /// What may be out, as it is agreed across the fleet: let out, bring back, see.
    Drain {
        #[command(subcommand)]
        what: DrainCommand,
    },
    /// A release in waves over what is agreed: begin, halt, go on, go back.
    Release {
        #[command(subcommand)]
        what: ReleaseCommand,
    },
    /// Look at the store that a relay keeps in its state folder.
    Store {
        #[command(subcommand)]
        what: Shelf,
    },
    /// Print the version.
    Version,
}

#[derive(Subcommand)]
pub enum FleetWhat {
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

#[derive(clap::Args)]
pub struct Given {
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

impl Given {
    fn told(&self) -> Told {
        Told {
            name: self.name.clone(),
            listen: self.listen.clone(),
            discovery: self.discovery.clone(),
            operator: self.operator.clone(),
        }
    }

    fn read(&self, told: &Told) -> Result<Node, String> {
        let named = |what: String| format!("{}: {what}", self.config.display());
        let text = std::fs::read(&self.config).map_err(|e| named(e.to_string()))?;
        node::parse(&text, told).map_err(named)
    }
}

/// Does what the command line asks for, to its end; the exit status where all went as it should.
pub fn run(what: What) -> Result<u8, String> {
    // A program that may have held signals back from its first moment on: only a relay that serves catches them.
    if !matches!(what, What::Serve { .. }) {
        stop::open();
    }
    match what {
        What::Fleet { what: FleetWhat::Status { at, json } } => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
            let status = match runtime.block_on(operator_client::fleet_status(at)) {
                Ok(status) => status,
                Err(why) => {
                    eprintln!("hallrelay: {why}");
                    return Ok(2);
                }
            };
            if json {
                println!("{}", serde_json::to_string_pretty(&status).map_err(|e| e.to_string())?);
            } else {
                print!("{}", fleet_table::table(&status));
            }
            return Ok(u8::from(!status.is_whole()));
        }
        What::Drain { what } => return drain_command::run(what),
        What::Release { what } => return release_command::run(what),
        What::Store { what } => return Ok(shelf::run(&what)),
        What::Version => println!("hallrelay {}", env!("CARGO_PKG_VERSION")),
        What::Check { given } => {
            let node = given.read(&given.told())?;
            let (site, known) = (&node.site, &node.known);
            println!("{} on {}, discovery at {}", node.name, node.listen, node.discovery);
            match node.operator {
                Some(place) => println!("operators call at {place}"),
                None => println!("operators have nowhere to call: operator is not given"),
            }
            if let Some(fleet) = &node.fleet {
                let Fleet { name, listen, advertise, peers, voters } = fleet;
                println!(
                    "fleet {name} on {listen}, reached at {advertise}, {} addresses of others",
                    peers.len()
                );
                if let Some(voters) = voters {
                    let (names, budgets) = (&voters.names, voters.budgets.len());
                    println!("what may be out is agreed by {}, {budgets} budgets", names.join(", "));
                }
            }
            if let Some(state) = &node.state {
                println!("what it keeps is in {}", state.display());
            }
            println!("listeners {:?}, zones {:?}", site.listeners, site.zones);
            println!("{} backends known, list version {}", known.instances.len(), known.generation);
            println!("{:#?}", node.limits);
        }
        What::Serve { given, verbose } => {
            stop::hold();
            let node = given.read(&given.told())?;
            let level = match verbose {
                0 => slog::Level::Info,
                1 => slog::Level::Debug,
                _ => slog::Level::Trace,
            };
            let drain = slog_term::FullFormat::new(slog_term::PlainDecorator::new(std::io::stderr())).build();
            // Lines are written by a thread of their own, and dropped rather than waited for.
            let drain = slog_async::Async::new(drain.fuse())
                .chan_size(node.limits.log_lines)
                .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
                .build();
            let log = slog::Logger::root(drain.filter_level(level).fuse(), o!());
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
            let local = tokio::task::LocalSet::new();
            let again = given.told().again();
            let reread = move || given.read(&again);
            let served = local.block_on(&runtime, serve::run(node, reread, log));
            served.map_err(|e| format!("cannot serve: {e}"))?;
        }
    }
    Ok(0)
}
