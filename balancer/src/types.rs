//! The balancer's interface: the settings of a site, the inputs, and the effects.
//!
//! Times are integer microseconds on the caller's clock. Ages and durations are also in microseconds unless
//! their documentation names another unit. Loads and capacities are fractions of one server, where 1.0 means
//! saturated. A server *warms up* after its start: its capacity rises over some time, and a *slow start*
//! limits its new sessions in that time. A *slot* is one dial that this relay may make to a warming server.
//! A request *has run* if a server executed it.

/// A time or a duration in microseconds.
pub type Micros = u64;
/// The number that the caller assigned to a session.
pub type SessionId = u32;
/// The number that the caller assigned to a server. All relays of a fleet must use the same number for it.
pub type ServerId = u32;

/// Whether a session may be dialled again after a server may have run the request of an earlier dial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A request that runs several times does no harm, so a dial may be repeated.
    #[default]
    Idempotent,
    /// Dials carry an idempotency key, and servers within `scope` drop repeated dials.
    Keyed {
        /// The servers that share the key.
        scope: KeyScope,
        /// Time for which servers keep a key, from the start of the first dial that may have run.
        window: Micros,
    },
    /// A session must not be dialled again after a dial that may have run.
    NonIdempotent,
}

/// The servers that share an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All servers.
    All,
    /// The servers in the zone of the first dial that may have run.
    Zone,
    /// The servers in the cell of the first dial that may have run.
    Cell,
}

/// A class of sessions that share the same rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listener {
    /// The priority weight of a session, at least 0. A listener has high priority if its weight is at or
    /// above the midpoint between the lowest and the highest weight of the site's listeners.
    pub priority_weight: f64,
    /// Whether a session may be dialled again after a dial that may have run.
    pub idempotency: Idempotency,
    /// Latency objective from the request to the established session.
    pub handshake_target: Micros,
    /// Latency objective of a message on an established session, from the message to its answer.
    pub message_target: Micros,
}

/// The settings of a site for one of its relays.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// The listeners by index. At least one is required.
    pub listeners: Vec<Listener>,
    /// Number of relays that share the servers, including this one. At least 1.
    pub relay_count: u32,
    /// The index of this relay, from 0 to `relay_count` - 1.
    pub relay_index: u32,
    /// The zone of this relay.
    pub zone: u8,
    /// Whether this relay must request the endpoint list by a watch; otherwise it is pushed to the relay.
    pub must_watch: bool,
    /// Whether servers may be probed for load reports.
    pub may_probe: bool,
    /// Whether sessions of the same group share work on a server.
    pub groups_enabled: bool,
    /// Maximum number of dials of one session. At least 1.
    pub max_dials: u32,
    /// Maximum number of sessions of this relay, including those being dialled. It is c_id of Bartolini's
    /// paper on session based access control, which the module `admission` cites.
    pub max_sessions: u32,
    /// The longest Retry-After that clients respect. `None` if Retry-After is not sent to clients.
    pub max_retry_after: Option<Micros>,
    /// Duration of a server's warm-up after its start.
    pub warm_up: Micros,
    /// The fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Maximum rate of new sessions that a server sustains at the end of its warm-up: the number of sessions
    /// per `warm_up`, as a multiple of the number that saturates the server. Earlier in the warm-up the rate
    /// is lower, in proportion to the server's capacity.
    pub overload_multiple: f64,
    /// The window over which that rate is measured. A warming server fails if it gets more sessions within
    /// one window than the rate allows.
    pub overload_window: Micros,
    /// Cost of placing a session in another zone, as a fraction of the value of one served session. 0 if
    /// zones are ignored.
    pub cross_zone_cost: f64,
    /// Cost of migrating a session, as a fraction of a session's value.
    pub migration_cost: f64,
    /// Cost of one probe, as a fraction of a session's value.
    pub probe_cost: f64,
}

/// A server's load report. A value that the server does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Demand divided by capacity.
    pub load: Option<f64>,
    /// Queue delay, in seconds.
    pub queue_delay: Option<f64>,
    /// Number of sessions of all relays on the server.
    pub sessions: Option<f64>,
}

/// The state of a server in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes new sessions.
    Ready,
    /// Accepts no new sessions. Its existing sessions may run to their end.
    Draining,
    /// Removed from the list, or never listed.
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
    /// The server's start, on the caller's clock. 0 means that it started long ago.
    pub started_at: Micros,
    /// The zone of the server.
    pub zone: u8,
    /// The cell of the server.
    pub cell: u16,
}

impl Endpoint {
    /// Whether the server takes new sessions.
    pub fn ready(&self) -> bool {
        self.phase == Phase::Ready
    }
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// All servers. Any server that is missing from it has been removed.
    Snapshot,
    /// Only the servers that changed.
    Delta,
    /// No servers: the request was not answered, or the watch was interrupted.
    WatchFailed,
}

/// How a dial, an established session or a probe ended. The request is the session's request, which the relay
/// sends to the server when it dials, or the request of the probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialEnd {
    /// The server served the request: the session ended normally, or the probe was answered.
    Ok,
    /// The server answered with an error; the request may have run.
    Error,
    /// The server was full and rejected the request, which did not run.
    Full,
    /// The server did not answer within the timeout; the request may have run.
    Timeout,
    /// No connection was established; the request did not run.
    Unconnected,
    /// The connection was reset; the request may have run.
    Reset,
    /// The server sent `MOVE`, which ends a dial or session and makes the client reconnect, or the caller
    /// cancelled the dial or probe. The request may have run.
    Cancelled,
    /// The dial or probe ended before its request was sent: the deadline for sending had passed, or this
    /// machine could not start it. The request did not run. Unlike a dial in [`Input::DialNotStarted`], such
    /// a dial counts as one of the session's `max_dials`.
    NotSent,
}

impl DialEnd {
    /// Whether the server may have executed the request of a dial with this end.
    pub fn may_have_run(self) -> bool {
        !matches!(self, DialEnd::Unconnected | DialEnd::Full | DialEnd::NotSent)
    }
}

/// A session's request for a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct AdmissionRequest {
    /// The index of the session's listener. An index beyond the last listener selects the last one.
    pub listener: usize,
    /// The client's identifier, which is the same when the client returns. 0 means none. It is not an
    /// idempotency key.
    pub key: u64,
    /// The session's group: sessions of the same group share work on a server. 0 means none.
    pub group: u64,
    /// Whether the client returns after its session was lost or migrated.
    pub returned: bool,
    /// The time until the client's timeout expires.
    pub time_remaining: Micros,
}

/// The state that a relay process hands over to its successor in a hot restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The estimated load of one session on a server, as a fraction of the server.
    pub session_load: f64,
    /// The state of each server.
    pub servers: Vec<ServerSnapshot>,
}

/// A relay's state for one server. Times are given as ages when the snapshot is taken.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSnapshot {
    /// The server.
    pub server: ServerId,
    /// The last load report of the server.
    pub report: Option<PastReport>,
    /// Number of consecutive failed probes and connection attempts.
    pub misses: u32,
    /// Sessions placed on the server in the last 8 s, minus those that ended, weighted by their load.
    pub recent_sessions: f64,
    /// The relay's wait for its next slot at the server.
    pub slot: SlotSnapshot,
}

/// A load report and its age.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PastReport {
    /// Time since the report was received.
    pub age: Micros,
    /// The report.
    pub report: LoadReport,
}

/// A relay's wait for its next slot at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotSnapshot {
    /// Time since the start of the wait: since the relay's last dial at the server, or since the relay was
    /// notified of the server's start.
    pub age: Micros,
    /// Length of the wait, as a fraction of the full interval between two slots. It is 1.0 after a dial.
    /// Before the first slot it is less, so that the first slots of all relays are spread over one interval.
    pub interval_fraction: f64,
}

/// The inputs of a relay's balancer.
#[derive(Clone, Debug)]
pub enum Input {
    /// The site's settings have changed. Existing sessions keep the rules that applied at their request.
    Configure(Box<SiteConfig>),
    /// The state of the predecessor process in a hot restart.
    Restore(Snapshot),
    /// The endpoint list was received or could not be read.
    EndpointList {
        /// What `endpoints` contains.
        update: ListUpdate,
        /// The listed servers. Empty if the watch failed.
        endpoints: Vec<Endpoint>,
    },
    /// A session requests a server.
    SessionRequested {
        /// The session, not known before.
        session: SessionId,
        /// Its request.
        request: AdmissionRequest,
    },
    /// A session was already established before this balancer was created, for example by the predecessor
    /// process.
    SessionAdopted {
        /// The session, not known before.
        session: SessionId,
        /// The server of the session.
        server: ServerId,
        /// Its request.
        request: AdmissionRequest,
    },
    /// A dialled session was established on its server.
    SessionEstablished {
        /// The session.
        session: SessionId,
        /// The index of the dial, from 0.
        dial: u32,
    },
    /// The load of a session was measured, in a unit that is the same for all sessions.
    SessionLoad {
        /// The session.
        session: SessionId,
        /// The current load of the session.
        load: f64,
    },
    /// The message delay of an established session was measured.
    MessageDelay {
        /// The session.
        session: SessionId,
        /// The time from a message to its answer, in seconds.
        delay: f64,
    },
    /// A dial ended without an established session, or the server ended an established session.
    DialEnded {
        /// The session.
        session: SessionId,
        /// The index of the dial, from 0. Inputs about any dial but the last are ignored.
        dial: u32,
        /// The result of the dial.
        end: DialEnd,
        /// Whether the session has ended. Otherwise the balancer may dial it again.
        settled: bool,
        /// The load report that was received with the result.
        report: Option<LoadReport>,
    },
    /// A fault of this machine prevented the start of the last dial. The dial does not count as one of the
    /// session's `max_dials`.
    DialNotStarted {
        /// The session.
        session: SessionId,
        /// The index of the dial, from 0. Inputs about any dial but the last are ignored.
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
        /// The result of the probe.
        end: DialEnd,
        /// The load report in the answer.
        report: Option<LoadReport>,
    },
    /// A timer set by [`Effect::SetTimer`] has expired.
    TimerExpired {
        /// The label of the timer.
        label: u32,
    },
}

/// The effects that a balancer requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Dial a server for a session.
    Dial {
        /// The session.
        session: SessionId,
        /// The server to dial.
        server: ServerId,
        /// The timeout of the dial.
        timeout: Micros,
        /// The time within which the request must be sent, so that servers still keep its idempotency key.
        /// `None` if no key limits it.
        send_within: Option<Micros>,
    },
    /// Reject a session. The client may retry.
    Reject {
        /// The session.
        session: SessionId,
        /// Retry-After for the client. 0 if it is not sent to clients.
        retry_after: Micros,
    },
    /// Close a session whose request may have run and must not run again. The client must not get a
    /// rejection, because it would then retry.
    TearDown {
        /// The session.
        session: SessionId,
    },
    /// Ask the client of an established session to reconnect, so that it is placed on another server.
    Migrate {
        /// The session.
        session: SessionId,
    },
    /// Probe a server for a load report.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Pass [`Input::TimerExpired`] to the balancer after a delay.
    SetTimer {
        /// The delay from now.
        after: Micros,
        /// The label to return in the input.
        label: u32,
    },
    /// Start a watch of the endpoint list.
    WatchEndpoints,
}
