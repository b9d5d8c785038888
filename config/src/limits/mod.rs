//! Sizes, counts and times that bound the program: derived once at start, and again where settings are
//! reloaded.
mod constants;
mod derived;
mod printed;

use crate::error::ConfigError;
use crate::facts::Site;
use constants::*;
use derived::StopSchedule;
use hallrelay_balancer::types::Micros;

/// The bounds of the program. All times are durations in microseconds.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a line without its end: 4096.
    pub max_line_bytes: usize,
    /// Initial bytes of a connection's buffer: 256.
    pub initial_buffer_bytes: usize,
    /// Bytes to which a connection's buffer may grow: 8192.
    pub max_buffer_bytes: usize,
    /// Client connections at once, those that hold no session among them. More than `max_sessions`, so that
    /// clients over that limit still get their answer.
    pub max_client_connections: usize,
    /// Client connections beyond `max_client_connections` that may be closing at once: 8.
    pub max_shedding_connections: usize,
    /// Sessions with a backend at once; each holds a second descriptor.
    pub max_sessions: u32,
    /// Health-check connections that stay open, one for each backend at most.
    pub max_probe_connections: usize,
    /// Bytes of one line of the endpoint list: 2 MiB.
    pub max_list_line_bytes: usize,
    /// Events queued for the reducer: 1024.
    pub max_queued_events: usize,
    /// Commands queued for one connection: 8.
    pub max_queued_commands: usize,
    /// Messages of one session in flight whose answers are timed: 8.
    pub max_timed_messages: usize,
    /// Log lines that wait to be written: 1024; further ones are dropped and counted.
    pub max_queued_log_lines: usize,
    /// From the decision to dial until the connection is established: the site's `ConnectTimeout`, at most
    /// four fifths of the drain grace, or 40 ms where that is more.
    pub connect_timeout: Micros,
    /// From a client's connect to its first line, where nothing of it has arrived: 2 s.
    pub first_line_timeout: Micros,
    /// From a client's connect to the end of a first line that arrives in pieces: 2.7 s.
    pub max_first_line_timeout: Micros,
    /// Between two pieces of a first line: 0.7 s.
    pub first_line_pause_timeout: Micros,
    /// The longest timeout that a client may state: ten times the longest dial timeout. A longer one violates
    /// the protocol.
    pub max_client_timeout: Micros,
    /// An answer is sent this long before the client's deadline: 10 ms.
    pub answer_margin: Micros,
    /// How long after the deadline a final answer is still sent: 0.51 s.
    pub late_answer_timeout: Micros,
    /// A whole health check: twice the site's `ConnectTimeout`.
    pub probe_timeout: Micros,
    /// How long an idle health-check connection stays open: 30 s.
    pub probe_idle_timeout: Micros,
    /// How long a message may remain without an answer until its backend counts as silent: 2 s.
    pub silence_timeout: Micros,
    /// How long a client may accept no data until its session is ended: 30 s.
    pub stalled_client_timeout: Micros,
    /// The time to write a last line, and again for the other side to close: 0.5 s.
    pub close_timeout: Micros,
    /// How long discovery may take to answer a call: half of the site's `AskWithin`, 0.5 to 4 s.
    pub discovery_answer_timeout: Micros,
    /// From a watch's end to the next watch where lists are pushed: half of the drain grace, 50 to 500 ms.
    /// None where the balancer decides it.
    pub discovery_retry_delay: Option<Micros>,
    /// How long a watch may send no complete line until another one is opened: 2.5 s.
    pub discovery_watch_timeout: Micros,
    /// From SIGTERM to the first migration of a session.
    pub stop_first_migration_delay: Micros,
    /// From SIGTERM to the migration of the last session.
    pub stop_last_migration_delay: Micros,
    /// From SIGTERM to the end of the wait for last lines.
    pub stop_end_delay: Micros,
    /// From SIGTERM to the earliest exit: 1 s, and `stop_end_delay` at most.
    pub min_stop_delay: Micros,
    /// How long a resumed session may wait for its backend: 40 s, and its client's timeout at most.
    pub resumed_session_timeout: Micros,
    /// Operators' connections at once: 16.
    pub max_operator_connections: usize,
    /// The time of one call of an operator, from its connect: 2 s.
    pub operator_request_timeout: Micros,
    /// Bytes of the head of an operator's call: 8192.
    pub max_operator_head_bytes: usize,
    /// Bytes of the body of an operator's call: 4096.
    pub max_operator_body_bytes: usize,
    /// From the start of a drain to the first migration of a session: 0.5 s.
    pub drain_first_migration_delay: Micros,
    /// From the start of a drain to the migration of the last session: 3.3 s.
    pub drain_last_migration_delay: Micros,
    /// From the start of a drain until new sessions are rejected: 1 s.
    pub drain_admission_time: Micros,
    /// As `stop_first_migration_delay`, for a process that has handed its listener over: 0.1 s.
    pub leave_first_migration_delay: Micros,
    /// As `stop_last_migration_delay`, for a process that has handed its listener over: the longest dial
    /// timeout, at least 1 s, and `stop_last_migration_delay` at most.
    pub leave_last_migration_delay: Micros,
    /// Connections of processes that request to take over, at once: 3.
    pub max_takeover_connections: usize,
    /// How long a running process may take to offer its listener: 2 s.
    pub listener_offer_timeout: Micros,
    /// Messages queued for the other process of a hot restart: 64.
    pub max_queued_handover_messages: usize,
    /// Streams of other relays at once, in each direction: 8.
    pub max_fleet_streams: usize,
    /// The time of one stream of another relay: 2 s.
    pub fleet_stream_timeout: Micros,
    /// Datagrams of other relays that are read in a second: 5,000.
    pub max_fleet_datagrams_per_s: u32,
    /// Bytes of the state store: 64 MiB.
    pub max_state_bytes: u64,
    /// How long a start waits for the state store: 2 s. After that the relay starts without its state.
    pub state_open_timeout: Micros,
    /// How long a dial waits for a record that must be durable before it: 20 ms.
    pub state_write_timeout: Micros,
}

/// Optional parts of the program that need file descriptors of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Uses {
    /// The operators' HTTP interface, and the socket for a hot restart.
    pub operator: bool,
    /// The membership of a fleet.
    pub fleet: bool,
    /// The state store.
    pub state: bool,
}

impl Limits {
    /// Shortens the times of a stop that has started under other settings to those of `before`, so that it
    /// takes no longer than it would have.
    pub fn stop_no_later(&mut self, before: &Limits) {
        let shorten = |time: &mut Micros, before: Micros| *time = before.min(*time);
        shorten(&mut self.stop_first_migration_delay, before.stop_first_migration_delay);
        shorten(&mut self.stop_last_migration_delay, before.stop_last_migration_delay);
        shorten(&mut self.stop_end_delay, before.stop_end_delay);
        shorten(&mut self.min_stop_delay, before.min_stop_delay);
        shorten(&mut self.leave_last_migration_delay, before.leave_last_migration_delay);
    }

    /// The limits under a site's settings, with `sockets` file descriptors in all.
    ///
    /// # Errors
    /// The descriptors do not suffice for the parts in use and two sessions.
    pub fn new(site: &Site, sockets: usize, uses: Uses) -> Result<Limits, ConfigError> {
        let session_sockets = derived::session_sockets(sockets, uses)?;
        let stop = StopSchedule::new(site);
        Ok(Limits {
            max_line_bytes: MAX_LINE_BYTES,
            initial_buffer_bytes: INITIAL_BUFFER_BYTES,
            max_buffer_bytes: MAX_BUFFER_BYTES,
            max_client_connections: session_sockets / 2,
            max_shedding_connections: MAX_SHEDDING_CONNECTIONS,
            max_sessions: derived::sessions(session_sockets),
            max_probe_connections: derived::probe_connections(sockets),
            max_list_line_bytes: MAX_LIST_LINE_BYTES,
            max_queued_events: MAX_QUEUED_EVENTS,
            max_queued_commands: MAX_QUEUED_COMMANDS,
            max_timed_messages: MAX_TIMED_MESSAGES,
            max_queued_log_lines: MAX_QUEUED_LOG_LINES,
            connect_timeout: derived::connect_timeout(site),
            first_line_timeout: FIRST_LINE_TIMEOUT,
            max_first_line_timeout: MAX_FIRST_LINE_TIMEOUT,
            first_line_pause_timeout: FIRST_LINE_PAUSE_TIMEOUT,
            max_client_timeout: derived::longest_dial_timeout(site) * MAX_CLIENT_TIMEOUT_FACTOR,
            answer_margin: ANSWER_MARGIN,
            late_answer_timeout: LATE_ANSWER_TIMEOUT,
            probe_timeout: site.connect * PROBE_TIMEOUT_FACTOR,
            probe_idle_timeout: PROBE_IDLE_TIMEOUT,
            silence_timeout: SILENCE_TIMEOUT,
            stalled_client_timeout: STALLED_CLIENT_TIMEOUT,
            close_timeout: CLOSE_TIMEOUT,
            discovery_answer_timeout: derived::discovery_answer_timeout(site),
            discovery_retry_delay: derived::discovery_retry_interval(site),
            discovery_watch_timeout: DISCOVERY_WATCH_TIMEOUT,
            stop_first_migration_delay: stop.from,
            stop_last_migration_delay: stop.by,
            stop_end_delay: stop.end,
            min_stop_delay: stop.least,
            resumed_session_timeout: RESUMED_SESSION_TIMEOUT,
            max_operator_connections: MAX_OPERATOR_CONNECTIONS,
            operator_request_timeout: OPERATOR_REQUEST_TIMEOUT,
            max_operator_head_bytes: MAX_OPERATOR_HEAD_BYTES,
            max_operator_body_bytes: MAX_OPERATOR_BODY_BYTES,
            drain_first_migration_delay: DRAIN_FIRST_MIGRATION_DELAY,
            drain_last_migration_delay: DRAIN_LAST_MIGRATION_DELAY,
            drain_admission_time: DRAIN_ADMISSION_TIME,
            leave_first_migration_delay: LEAVE_FIRST_MIGRATION_DELAY,
            leave_last_migration_delay: stop.leave_by,
            max_takeover_connections: MAX_TAKEOVER_CONNECTIONS,
            listener_offer_timeout: LISTENER_OFFER_TIMEOUT,
            max_queued_handover_messages: MAX_QUEUED_HANDOVER_MESSAGES,
            max_fleet_streams: MAX_FLEET_STREAMS,
            fleet_stream_timeout: FLEET_STREAM_TIMEOUT,
            max_fleet_datagrams_per_s: MAX_FLEET_DATAGRAMS_PER_S,
            max_state_bytes: MAX_STATE_BYTES,
            state_open_timeout: STATE_OPEN_TIMEOUT,
            state_write_timeout: STATE_WRITE_TIMEOUT,
        })
    }
}
