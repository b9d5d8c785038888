//! The balancer's interface: the settings of its site, its inputs, and its effects.
//!
//! Times are whole microseconds on the caller's clock, ages and durations too unless a unit is named. Loads
//! and capacities are fractions of one server, 1.0 being a saturated one.

/// A time or a duration in microseconds.
pub type Micros = u64;
/// A session, as the caller numbers it.
pub type SessionId = u32;
/// A server, as the caller numbers it. All relays of a fleet must use the same number for the same server.
pub type ServerId = u32;

/// Whether a session may be dialled again once its first dial may have reached a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeated dial does no harm.
    #[default]
    Idempotent,
    /// Dials carry an idempotency key: servers within `scope` drop repeats.
    Keyed {
        /// The servers that know each other's keys.
        scope: KeyScope,
        /// How long a key is known, from the first dial that may have run.
        window: Micros,
    },
    /// A dial that may have run must not be repeated.
    NonIdempotent,
}

/// The servers among which an idempotency key is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// Those of the zone of the first dial.
    Zone,
    /// Those of the cell of the first dial.
    Cell,
}

/// A class of sessions that share their rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listener {
    /// The priority weight of a session, 0 or more; listeners in the upper half of the site's range are of
    /// high priority.
    pub priority_weight: f64,
    /// Whether a dial may be repeated.
    pub idempotency: Idempotency,
    /// Latency objective from the request to the established session.
    pub handshake_target: Micros,
    /// Latency objective of a message on an established session.
    pub message_target: Micros,
}

/// The settings of a site, as one relay of it is given them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// The listeners, by index; one at least.
    pub listeners: Vec<Listener>,
    /// Relays that share the servers, this one among them; 1 at least.
    pub relay_count: u32,
    /// This relay's number, from 0 to `relay_count` - 1.
    pub relay_index: u32,
    /// The zone of this relay.
    pub zone: u8,
    /// Whether the endpoint list must be watched; otherwise it is received without a request.
    pub must_watch: bool,
    /// Whether servers may be probed for load reports.
    pub may_probe: bool,
    /// Whether sessions of one group share work on a server.
    pub groups_enabled: bool,
    /// Dials of one session, at most; 1 at least.
    pub max_dials: u32,
    /// Sessions of this relay, dialled and established, at most (the paper's c_id).
    pub max_sessions: u32,
    /// The longest Retry-After that a client heeds; none where it is not conveyed.
    pub max_retry_after: Option<Micros>,
    /// How long a server warms up after its start.
    pub warm_up: Micros,
    /// The fraction of its capacity that a server has at its start.
    pub initial_capacity: f64,
    /// How many times the sessions that saturate it a warming server accepts within one warm-up.
    pub overload_multiple: f64,
    /// How long a warming server sustains more than that before it fails.
    pub overload_window: Micros,
    /// Cost of a session in another zone, as a fraction of a session's value; 0 where zones do not matter.
    pub cross_zone_cost: f64,
    /// Cost of a session's migration, in the same unit.
    pub migration_cost: f64,
    /// Cost of a probe for each session, in the same unit.
    pub probe_cost: f64,
}

/// A server's load report; each value is none where it is not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Demand over capacity.
    pub load: Option<f64>,
    /// Queue delay, in seconds.
    pub queue_delay: Option<f64>,
    /// Sessions of all relays on the server.
    pub sessions: Option<f64>,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes new sessions.
    Ready,
    /// Accepts no new sessions; those that it has may end there.
    Draining,
    /// Removed from the list, or never in it.
    #[default]
    Gone,
}

/// One server of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its state.
    pub phase: Phase,
    /// When it started, on the caller's clock; 0 is long ago.
    pub started_at: Micros,
    /// The zone it is in.
    pub zone: u8,
    /// The cell it is in.
    pub cell: u16,
}

impl Endpoint {
    /// Whether it takes new sessions.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}

/// What an answer about the endpoint list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// All servers; any other one is removed.
    Snapshot,
    /// Only the servers that changed.
    Delta,
    /// None: the call got no answer, or the watch broke.
    WatchFailed,
}

/// How a dial, an established session or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEnd {
    /// It was served.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server was full and rejected it; it did not run.
    Full,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection was established; it did not run.
    Unconnected,
    /// The connection broke; it may have run.
    Reset,
    /// The server ended it with `MOVE`, or the caller cancelled it; it may have run.
    Cancelled,
    /// It was not sent: its time had passed, or this machine could not start it.
    NotSent,
}

/// A session that requests a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionRequest {
    /// Its listener's index; one beyond the last counts as the last.
    pub listener: usize,
    /// The client's own identifier, the same when it returns; 0 is none.
    pub key: u64,
    /// Sessions of one group share work on a server; 0 is none.
    pub group: u64,
    /// Whether the client returned after a lost or migrated session.
    pub returned: bool,
    /// The rest of the client's timeout.
    pub time_remaining: Micros,
}

/// The state that a relay's process hands to its successor in a hot restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The estimate of one session's load on a server, as a fraction of the server.
    pub session_load: f64,
    /// The state of each server.
    pub servers: Vec<ServerSnapshot>,
}

/// A relay's state of one server. Times are ages.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// Its last load report.
    pub report: Option<PastReport>,
    /// Probes and connects in a row that failed.
    pub misses: u32,
    /// Sessions placed there in the last seconds, less those that ended.
    pub recent_sessions: f64,
    /// Its slow-start slot.
    pub slot: SlotSnapshot,
}

/// A load report and its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PastReport {
    /// How long ago it was received.
    pub age: Micros,
    /// The report.
    pub report: LoadReport,
}

/// The state of a relay's slow-start slot at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotSnapshot {
    /// How long ago the interval to the next slot started.
    pub age: Micros,
    /// The fraction of an interval that the next slot takes.
    pub interval_fraction: f64,
}

/// The inputs of a relay.
#[derive(Clone, Debug)]
pub enum Input {
    /// The site's settings have changed; sessions retain the rules that they were requested under.
    Configure(Box<SiteConfig>),
    /// The state of the predecessor in a hot restart.
    Restore(Snapshot),
    /// The endpoint list, or that it could not be read.
    EndpointList {
        /// What `endpoints` are.
        update: ListUpdate,
        /// Servers of the list; empty where the watch failed.
        endpoints: Vec<Endpoint>,
    },
    /// A session requests a server.
    SessionRequested {
        /// The session, not known before.
        session: SessionId,
        /// Its request.
        request: AdmissionRequest,
    },
    /// A session was already established before this relay decided anything.
    SessionAdopted {
        /// The session, not known before.
        session: SessionId,
        /// Where it is.
        server: ServerId,
        /// Its request.
        request: AdmissionRequest,
    },
    /// A dialled session was established at its server.
    SessionEstablished {
        /// The session.
        session: SessionId,
        /// Which of its dials, from 0.
        dial: u32,
    },
    /// A session's load, in any unit that is the same for all sessions.
    SessionLoad {
        /// The session.
        session: SessionId,
        /// Its load now.
        load: f64,
    },
    /// How long messages take on an established session.
    MessageDelay {
        /// The session.
        session: SessionId,
        /// The time from a message to its answer, in seconds.
        delay: f64,
    },
    /// A dial ended without an established session, or an established session ended at its server.
    DialEnded {
        /// The session.
        session: SessionId,
        /// Which of its dials, from 0; others than the last are ignored.
        dial: u32,
        /// How.
        end: DialEnd,
        /// Whether the session is over; otherwise it is placed again.
        settled: bool,
        /// The load report that was received with it.
        report: Option<LoadReport>,
    },
    /// This machine could not start the last dial: it does not count.
    DialNotStarted {
        /// The session.
        session: SessionId,
        /// Which of its dials, from 0; others than the last are ignored.
        dial: u32,
    },
    /// The client ended the session.
    SessionEnded {
        /// The session.
        session: SessionId,
    },
    /// A probe ended.
    ProbeEnded {
        /// The server.
        server: ServerId,
        /// How.
        end: DialEnd,
        /// Its answer.
        report: Option<LoadReport>,
    },
    /// A timer that was set has expired.
    TimerExpired {
        /// As it was set.
        label: u32,
    },
}

/// The effects that a relay requests of its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Dial a server for a session.
    Dial {
        /// The session.
        session: SessionId,
        /// Where.
        server: ServerId,
        /// How long the dial may take.
        timeout: Micros,
        /// Within which the request must be sent, where its idempotency key bounds that.
        send_within: Option<Micros>,
    },
    /// Reject a session. Its client may retry.
    Reject {
        /// The session.
        session: SessionId,
        /// Retry-After; 0 where that is not conveyed.
        retry_after: Micros,
    },
    /// Close a session that may have run: its client must not see a rejection.
    TearDown {
        /// The session.
        session: SessionId,
    },
    /// Request an established session's client to reconnect, to be placed elsewhere.
    Migrate {
        /// The session.
        session: SessionId,
    },
    /// Probe a server for a load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Give `Input::TimerExpired` after a time.
    SetTimer {
        /// From now.
        after: Micros,
        /// Returned in the input.
        label: u32,
    },
    /// Watch the endpoint list.
    WatchEndpoints,
}
