//! Why a command of the laboratory could not be carried out.
use crate::cost::CostError;
use crate::losses::LogsError;
use crate::scenario_keys::KeyError;
use hallrelay_config::scenario::ScenarioError;
use hallrelay_config::ConfigError;
use hallrelay_relay::cli::CliError;
use std::error::Error;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Why a command could not be carried out. Its text is for the user; the program then exits with 2.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A file or folder can't be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or folder.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A result can't be read back.
    #[error("{}: {source}", path.display())]
    ResultFile {
        /// The file.
        path: PathBuf,
        /// Where it is not the JSON of a result.
        source: serde_json::Error,
    },
    /// A result can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A relay's configuration that follows from the scenario is not valid.
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
    #[error("--values: wanted one value at least")]
    NoValues,
    /// `--counts` of `members` is out of bounds.
    #[error("--counts: wanted 1 to 1000 relays")]
    RelayCounts,
    /// `--loss` of `members` is out of bounds.
    #[error("--loss: wanted parts from 0 to below 1")]
    LossParts,
    /// `--seconds` or `--rounds` of `members` is out of bounds.
    #[error("--seconds: wanted more than 20, and --rounds 1 at least")]
    DayLength,
    /// A side of a comparison is nothing that can be played.
    #[error("{side}: neither a scenario (.toml), nor a program, nor `own`")]
    UnknownSide {
        /// The argument.
        side: String,
    },
    /// Another build of the relay was to be played in virtual time.
    #[error("{side}: another build can only be played on sockets, not with --virtual")]
    BuildInVirtualTime {
        /// The argument.
        side: String,
    },
    /// A scenario with drains of relays was to be played on sockets.
    #[error("trouble of kind \"relays-out\" is played with --virtual only")]
    DrainsOnSockets,
    /// The limit of open files is lower than what a day needs.
    #[error(
        "this day wants about {needed} descriptors in this process ({sessions:.0} sessions at once, two \
         each, and {listeners} listening sockets), and the limit of open files (RLIMIT_NOFILE) is \
         {soft_limit}, {hard_limit} at most: lower load.rate, load.standing or relays.count, raise the limit \
         with `ulimit -n`, or play it with --virtual"
    )]
    DescriptorLimit {
        /// Descriptors that the day needs.
        needed: u64,
        /// Sessions that may be open at once.
        sessions: f64,
        /// Listening sockets of the servers.
        listeners: usize,
        /// The limit now.
        soft_limit: u64,
        /// What it could be raised to.
        hard_limit: u64,
    },
    /// The ports from `relays.first_port` on exceed 65535.
    #[error("relays.first_port: there are no ports behind it")]
    PortRange,
    /// A port of the scenario is in use.
    #[error("relays.first_port: {addr} is not free: {source}")]
    PortInUse {
        /// The address.
        addr: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// More relays than have addresses of their own on loopback.
    #[error("relays.count is {count}: on sockets {max} at most, play it with --virtual")]
    TooManyRelays {
        /// Relays of the scenario.
        count: usize,
        /// Largest number on sockets.
        max: usize,
    },
    /// The emulated discovery service found no free port.
    #[error("no free port for the list service")]
    NoDiscoveryPort,
    /// The emulated fleet can't be set up; the text names the reason.
    #[error("{0}")]
    Emulator(#[source] Box<dyn Error + Send + Sync>),
    /// Interrupts can't be waited for.
    #[error(transparent)]
    Signals(std::io::Error),
    /// The asynchronous runtime does not start.
    #[error("the runtime does not start: {0}")]
    Runtime(#[source] std::io::Error),
    /// The path of this program, which is the relay's too, is unknown.
    #[error("this program is not found: {0}")]
    OwnProgram(#[source] std::io::Error),
    /// A relay's process can't be started.
    #[error("the relay does not start: {0}")]
    RelaySpawn(#[source] std::io::Error),
    /// A relay's process ended before its number was known.
    #[error("the relay ended at once")]
    RelayEndedAtOnce,
    /// A relay runs and does not serve.
    #[error(
        "relay {relay} does not answer PING within {} s; the last that it logged:\n{log}",
        crate::sockets::START_TIMEOUT.as_secs()
    )]
    RelayUnresponsive {
        /// Index of the relay.
        relay: usize,
        /// The last lines of its log.
        log: String,
    },
    /// A relay's process ended during its start.
    #[error("relay {relay} ended before it served ({exit}); the last that it logged:\n{log}")]
    RelayEnded {
        /// Index of the relay.
        relay: usize,
        /// Its exit code or signal.
        exit: String,
        /// The last lines of its log.
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
    /// A measurement of costs failed.
    #[error(transparent)]
    Cost(#[from] CostError),
    /// Logs can't be accounted for.
    #[error(transparent)]
    Logs(#[from] LogsError),
    /// The relay's own command line failed.
    #[error(transparent)]
    Relay(#[from] CliError),
}

impl LabError {
    /// For `map_err`: adds the file or folder that the system's answer is about.
    pub fn file(path: &Path) -> impl Fn(std::io::Error) -> LabError + '_ {
        move |source| LabError::File { path: path.to_path_buf(), source }
    }

    /// For `map_err`: an error of the emulated fleet.
    pub fn emulator(error: impl Into<Box<dyn Error + Send + Sync>>) -> LabError {
        LabError::Emulator(error.into())
    }
}
