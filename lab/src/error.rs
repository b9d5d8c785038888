//! Errors that prevent a command of the laboratory from being carried out.
use crate::cost::CostError;
use crate::losses::LogsError;
use crate::scenario_keys::KeyError;
use hallrelay_config::scenario::ScenarioError;
use hallrelay_config::ConfigError;
use hallrelay_relay::cli::CliError;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The reason why a command could not be carried out. It is printed for the user, and the exit code is 2.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or directory can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// The error that the system returned.
        source: std::io::Error,
    },
    /// A result file is not valid.
    #[error("{}: not a valid result: {source}", path.display())]
    ResultFile {
        /// The file.
        path: PathBuf,
        /// The position of the error, and what was expected there.
        source: serde_json::Error,
    },
    /// A result can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A relay configuration derived from the scenario is not valid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// A scenario is not valid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A key can't be set in a scenario.
    #[error(transparent)]
    Key(#[from] KeyError),
    /// `--values` is not a list of TOML values.
    #[error("--values: {0}")]
    Values(#[source] KeyError),
    /// `--values` is empty.
    #[error("--values: expected at least one value")]
    NoValues,
    /// `--counts` of `members` is out of bounds.
    #[error("--counts: expected 1 to 1000 relays")]
    RelayCounts,
    /// `--loss` of `members` is out of bounds.
    #[error("--loss: expected fractions of at least 0 and less than 1")]
    LossParts,
    /// `--seconds` or `--rounds` of `members` is out of bounds.
    #[error("expected --seconds above 20 and --rounds of at least 1")]
    DayLength,
    /// A side of a comparison is neither a scenario nor a build of the relay.
    #[error("{side}: expected a scenario (.toml), an existing program file, or `own`")]
    UnknownSide {
        /// The argument.
        side: String,
    },
    /// A comparison in virtual time names another build of the relay.
    #[error("{side}: another build can only be played on sockets, not with --virtual")]
    BuildInVirtualTime {
        /// The argument.
        side: String,
    },
    /// A scenario with drains of relays was given without `--virtual`.
    #[error("a fault of kind \"relays-out\" can only be played with --virtual")]
    DrainsOnSockets,
    /// The limit of open files is too low for a day.
    #[error(
        "this day needs about {needed} file descriptors in this process ({sessions:.0} concurrent sessions \
         with two each, and {listeners} listening sockets), but the limit of open files (RLIMIT_NOFILE) is \
         {soft_limit} and can be raised to at most {hard_limit}: lower load.rate, load.standing or \
         relays.count, raise the limit with `ulimit -n`, or play the day with --virtual"
    )]
    DescriptorLimit {
        /// File descriptors that the day needs.
        needed: u64,
        /// Highest expected number of concurrent sessions.
        sessions: f64,
        /// Listening sockets of the servers.
        listeners: usize,
        /// The current limit.
        soft_limit: u64,
        /// The value to which the limit can be raised.
        hard_limit: u64,
    },
    /// The ports starting at `relays.first_port` exceed 65535.
    #[error("relays.first_port: too high, the ports of the scenario end above 65535")]
    PortRange,
    /// A port of the scenario is in use.
    #[error("relays.first_port: cannot listen on {addr}: {source}")]
    PortInUse {
        /// The address.
        addr: SocketAddr,
        /// The error that the system returned.
        source: std::io::Error,
    },
    /// The scenario has more relays than there are loopback addresses for them.
    #[error("relays.count is {count}, at most {max} are possible on sockets: play the day with --virtual")]
    TooManyRelays {
        /// Relays of the scenario.
        count: usize,
        /// Largest number on sockets.
        max: usize,
    },
    /// No free port was found for the emulated discovery service.
    #[error("found no free port for the emulated list service")]
    NoDiscoveryPort,
    /// The emulated fleet can't be set up. The text is that of the source.
    #[error("{0}")]
    Emulator(#[source] Box<dyn Error + Send + Sync>),
    /// The runtime of the thread that waits for interrupts can't be started.
    #[error("cannot start the runtime that waits for signals: {0}")]
    Signals(#[source] std::io::Error),
    /// The asynchronous runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The path of this program, which also contains the relay, is unknown.
    #[error("cannot determine the path of this program to start it as a relay: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// A relay process can't be started.
    #[error("cannot start the relay process: {0}")]
    RelaySpawn(#[source] std::io::Error),
    /// A relay process ended before its process ID was known.
    #[error("the relay process ended immediately after its start")]
    RelayEndedAtOnce,
    /// A relay process runs but does not serve.
    #[error(
        "relay {relay} did not answer PING within {} s; its last log lines:\n{log}",
        crate::sockets::START_TIMEOUT.as_secs()
    )]
    RelayUnresponsive {
        /// Index of the relay.
        relay: usize,
        /// Last lines of its log.
        log: String,
    },
    /// A relay process ended during its start.
    #[error("relay {relay} ended during its start ({exit}); its last log lines:\n{log}")]
    RelayEnded {
        /// Index of the relay.
        relay: usize,
        /// Its exit code or signal.
        exit: String,
        /// Last lines of its log.
        log: String,
    },
    /// A plot of the report page can't be drawn.
    #[error("cannot draw {title}: {source}")]
    Plot {
        /// Title of the plot.
        title: String,
        /// The error of the plotting library.
        source: Box<dyn Error + Send + Sync>,
    },
    /// A cost measurement failed.
    #[error(transparent)]
    Cost(#[from] CostError),
    /// The logs of a day can't be read or evaluated.
    #[error(transparent)]
    Logs(#[from] LogsError),
    /// The command of the relay failed.
    #[error(transparent)]
    Relay(#[from] CliError),
}

impl LabError {
    /// For `map_err`: adds the path of the file or directory to the system's error.
    pub fn file(path: &Path) -> impl Fn(std::io::Error) -> LabError + '_ {
        move |source| LabError::File { path: path.to_path_buf(), source }
    }

    /// For `map_err`: wraps an error of the emulated fleet.
    pub fn emulator(error: impl Into<Box<dyn Error + Send + Sync>>) -> LabError {
        LabError::Emulator(error.into())
    }
}
