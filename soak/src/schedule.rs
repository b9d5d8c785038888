//! Schedules of faults: what fails, at which relay or backend, and when. A schedule is drawn from a seed and
//! printed, so that a run can be repeated.
use crate::backend::Behaviour;
use crate::discovery::DiscoveryMode;
use crate::faults::SystemFault;
use crate::link::LinkMode;
use oorandom::Rand64;
use std::fmt;
use std::time::Duration;

/// Kind of fault. Relays and backends are identified by their numbers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// System calls of a relay fail.
    SystemCalls {
        /// The relay.
        relay: usize,
        /// The kind of failure.
        fault: SystemFault,
        /// Failures per thousand calls, or the unit that the `SystemFault` documents.
        value: i64,
    },
    /// A relay is requested to stop, the front (the load balancer before the relays) sends it no more
    /// clients, and the relay restarts at the fault's end.
    Stop {
        /// The relay.
        relay: usize,
    },
    /// A relay is requested to stop, the front continues to send clients to it, and the relay restarts at
    /// the fault's end.
    StopUnderTraffic {
        /// The relay.
        relay: usize,
    },
    /// A relay is killed and restarts at the fault's end.
    Kill {
        /// The relay.
        relay: usize,
    },
    /// A relay's process is paused repeatedly.
    Pause {
        /// The relay.
        relay: usize,
        /// The length of each pause.
        each: Duration,
    },
    /// A relay reloads its configuration repeatedly.
    Reload {
        /// The relay.
        relay: usize,
    },
    /// A relay is requested to stop immediately after it was requested to reload its configuration.
    ReloadThenStop {
        /// The relay.
        relay: usize,
    },
    /// A new process of a relay takes over from the running one.
    HotRestart {
        /// The relay.
        relay: usize,
    },
    /// A backend misbehaves.
    Backend {
        /// The backend.
        backend: usize,
        /// How the backend treats new sessions.
        behaviour: Behaviour,
    },
    /// The link to a backend misbehaves.
    Link {
        /// The backend.
        backend: usize,
        /// How the link forwards bytes.
        mode: LinkMode,
    },
    /// No relay has a route to a backend.
    NoRoute {
        /// The backend.
        backend: usize,
    },
    /// All open session connections of a backend are reset simultaneously.
    ResetSessions {
        /// The backend.
        backend: usize,
    },
    /// A backend drains, and is listed as up again at the fault's end.
    Drain {
        /// The backend.
        backend: usize,
    },
    /// A new backend is listed, which has just started and is warming up.
    NewBackend,
    /// Discovery misbehaves.
    Discovery {
        /// How discovery answers.
        mode: DiscoveryMode,
    },
    /// Half of the clients close or reset their connections if they are not answered within a short random
    /// time.
    ClientsCancel,
    /// Clients stop in the middle of their first line and stay connected.
    PartialRequests,
    /// Clients send their first lines in several pieces.
    SlowRequests,
    /// Many clients reconnect simultaneously.
    ReconnectStorm,
}

impl FaultKind {
    /// Returns the name of the kind without its parameters, for the coverage report.
    pub fn name(&self) -> String {
        match self {
            FaultKind::SystemCalls { fault, .. } => format!("{fault:?}"),
            FaultKind::Backend { behaviour, .. } => format!("Backend{behaviour:?}"),
            FaultKind::Discovery { mode } => format!("Discovery{mode:?}"),
            FaultKind::Link { mode, .. } => format!("Link{mode:?}"),
            other => {
                let text = format!("{other:?}");
                text.split([' ', '{']).next().unwrap_or_default().to_string()
            }
        }
    }
}

/// One fault of a schedule. Times are relative to the start of the run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// What fails.
    pub kind: FaultKind,
    /// Start time.
    pub from: Duration,
    /// End time.
    pub until: Duration,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:6.2} to {:6.2} s: {:?}", self.from.as_secs_f64(), self.until.as_secs_f64(), self.kind)
    }
}

/// Interval between the starts of two episodes.
const EPISODE_INTERVAL: Duration = Duration::from_secs(6);
/// Start time of the first episode.
const FIRST_EPISODE: Duration = Duration::from_secs(2);
/// Default number of faults that overlap in one episode.
pub const FAULTS_PER_EPISODE: u64 = 3;
/// Exclusive upper bound of the time from the start of an episode, a group of faults that overlap, to the
/// start of each of its faults.
const MAX_START_OFFSET_MS: u64 = 1_200;
/// Minimum length of a fault.
const MIN_LENGTH_MS: u64 = 600;
/// Exclusive upper bound of the length of a fault.
const MAX_LENGTH_MS: u64 = 2_600;

/// Parameters from which a schedule is drawn.
#[derive(Clone, Copy, Debug)]
pub struct ScheduleParameters {
    /// Seed of the schedule. The same parameters always give the same schedule.
    pub seed: u64,
    /// The length of the run.
    pub length: Duration,
    /// The number of relays.
    pub relays: usize,
    /// The number of backends.
    pub backends: usize,
    /// Number of faults that overlap in one episode.
    pub faults_per_episode: u64,
}

/// Draws a schedule of episodes, each with overlapping faults and followed by a period without faults. The
/// faults are sorted by their start times.
pub fn draw_schedule(parameters: &ScheduleParameters) -> Vec<ScheduledFault> {
    let mut random = Rand64::new(u128::from(parameters.seed) * 7_919 + 1);
    let mut schedule = Vec::new();
    let mut episode_start = FIRST_EPISODE;
    while episode_start + Duration::from_millis(MAX_START_OFFSET_MS + MAX_LENGTH_MS) < parameters.length {
        for _ in 0..parameters.faults_per_episode {
            let from = episode_start + Duration::from_millis(random.rand_range(0..MAX_START_OFFSET_MS));
            let until = from + Duration::from_millis(random.rand_range(MIN_LENGTH_MS..MAX_LENGTH_MS));
            let kind = draw_fault(&mut random, parameters);
            schedule.push(ScheduledFault { kind, from, until });
        }
        episode_start += EPISODE_INTERVAL;
    }
    schedule.sort_by_key(|fault| fault.from);
    schedule
}

fn draw_fault(random: &mut Rand64, parameters: &ScheduleParameters) -> FaultKind {
    let relay = random.rand_range(0..parameters.relays as u64) as usize;
    let backend = random.rand_range(0..parameters.backends as u64) as usize;
    let kinds: Vec<FaultKind> = [
        system_faults(relay),
        relay_faults(relay),
        backend_faults(backend),
        link_faults(backend),
        cluster_faults(backend),
    ]
    .concat();
    kinds[random.rand_range(0..kinds.len() as u64) as usize]
}

fn system_faults(relay: usize) -> Vec<FaultKind> {
    let faults = [
        (SystemFault::InterruptedIo, 30),
        (SystemFault::ShortIo, 400),
        (SystemFault::Connect, 1_000),
        (SystemFault::Socket, 1_000),
        (SystemFault::Connect, 200),
        (SystemFault::Accept, 1_000),
        (SystemFault::Accept, 100),
        (SystemFault::BrokenBackend, 10),
        (SystemFault::BrokenClient, 10),
        (SystemFault::WallClock, 3_600),
        (SystemFault::WallClock, -3_600),
        (SystemFault::InterruptedWait, 30),
        (SystemFault::StalledWrite, 30),
        (SystemFault::Sync, 1_000),
        (SystemFault::SlowSync, 5_000),
        (SystemFault::FileWrite, 1_000),
    ];
    faults.map(|(fault, value)| FaultKind::SystemCalls { relay, fault, value }).to_vec()
}

fn relay_faults(relay: usize) -> Vec<FaultKind> {
    vec![
        FaultKind::Stop { relay },
        FaultKind::StopUnderTraffic { relay },
        FaultKind::Kill { relay },
        FaultKind::Pause { relay, each: Duration::from_millis(150) },
        FaultKind::Pause { relay, each: Duration::from_millis(3_000) },
        FaultKind::Reload { relay },
        FaultKind::ReloadThenStop { relay },
        FaultKind::HotRestart { relay },
        FaultKind::HotRestart { relay },
        FaultKind::PartialRequests,
    ]
}

fn backend_faults(backend: usize) -> Vec<FaultKind> {
    let behaviours = [
        Behaviour::Hangs,
        Behaviour::Resets,
        Behaviour::Rejects,
        Behaviour::Fails,
        Behaviour::Trickles,
        Behaviour::TruncatesAnswer,
        Behaviour::ResetsLater,
    ];
    let mut kinds = behaviours.map(|behaviour| FaultKind::Backend { backend, behaviour }).to_vec();
    kinds.extend([FaultKind::ResetSessions { backend }, FaultKind::NoRoute { backend }]);
    kinds
}

fn link_faults(backend: usize) -> Vec<FaultKind> {
    let modes = [
        LinkMode::Delays,
        LinkMode::Stalls,
        LinkMode::Drops,
        LinkMode::Resets,
        LinkMode::Truncates,
        LinkMode::SingleBytes,
    ];
    modes.map(|mode| FaultKind::Link { backend, mode }).to_vec()
}

/// Faults of the endpoint list, of discovery and of clients.
fn cluster_faults(backend: usize) -> Vec<FaultKind> {
    vec![
        FaultKind::Drain { backend },
        FaultKind::Drain { backend },
        FaultKind::NewBackend,
        FaultKind::Discovery { mode: DiscoveryMode::Down },
        FaultKind::Discovery { mode: DiscoveryMode::Rejects },
        FaultKind::Discovery { mode: DiscoveryMode::Silent },
        FaultKind::Discovery { mode: DiscoveryMode::Slow },
        FaultKind::ClientsCancel,
        FaultKind::SlowRequests,
        FaultKind::ReconnectStorm,
    ]
}
