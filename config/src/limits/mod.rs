//! Sizes, counts and times that bound the program. They are derived at start, and again when settings are
//! reloaded.
mod constants;
mod derived;
mod printed;

use crate::error::ConfigError;
use crate::facts::Site;
use constants::*;
use derived::StopSchedule;
use hallrelay_balancer::types::Micros;

/// Limits of the program. All times are durations in microseconds.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a line in bytes, without its line ending: 4096.
    pub max_line_bytes: usize,
    /// Initial size of a connection's buffer in bytes: 256.
    pub initial_buffer_bytes: usize,
    /// Maximum size of a connection's buffer in bytes: 8192.
    pub max_buffer_bytes: usize,
    /// Maximum number of concurrent client connections, including those without a session. It is more than
    /// `max_sessions`, so that clients that get no session still get an answer.
    pub max_client_connections: usize,
    /// Maximum number of further client connections, over `max_client_connections`, that may be closing at
    /// the same time: 8.
    pub max_shedding_connections: usize,
    /// Maximum number of concurrent sessions with a backend. Each uses two file descriptors, for the
    /// connections to its client and to its backend.
    pub max_sessions: u32,
    /// Maximum number of connections for health checks (probes) that stay open, at most one for each
    /// backend.
    pub max_probe_connections: usize,
    /// Maximum length of one line of the endpoint list in bytes: 2 MiB.
    pub max_list_line_bytes: usize,
    /// Maximum number of events queued for the reducer, which makes all decisions of the relay: 1024.
    pub max_queued_events: usize,
    /// Maximum number of commands queued for one connection: 8.
    pub max_queued_commands: usize,
    /// Maximum number of messages of one session whose answers are awaited and timed at the same time: 8.
    pub max_timed_messages: usize,
    /// Maximum number of log lines queued for writing: 1024. Further lines are dropped and counted.
    pub max_queued_log_lines: usize,
    /// Time from the decision to dial until the connection must be established: the site's `ConnectTimeout`,
    /// limited to four fifths of the drain grace or 40 ms, whichever is longer.
    pub connect_timeout: Micros,
    /// Time from a client's connect within which the first bytes of its first line must arrive: 2 s.
    pub first_line_timeout: Micros,
    /// Time from a client's connect within which a first line that arrives in pieces must be complete: 2.7
    /// s.
    pub max_first_line_timeout: Micros,
    /// Longest pause between two pieces of a first line: 0.7 s.
    pub first_line_pause_timeout: Micros,
    /// Longest timeout that a client may request: ten times the longest dial timeout. A longer one violates
    /// the protocol.
    pub max_client_timeout: Micros,
    /// Time before a client's deadline at which the relay sends an answer if it has sent none: 10 ms.
    pub answer_margin: Micros,
    /// Time after a client's deadline within which the relay still sends a final answer: 0.51 s.
    pub late_answer_timeout: Micros,
    /// Timeout of a health check, including its connect: twice the site's `ConnectTimeout`.
    pub probe_timeout: Micros,
    /// Time after which an idle health-check connection is closed: 30 s.
    pub probe_idle_timeout: Micros,
    /// Time for which a message of a session may stay unanswered before its backend counts as silent: 2 s.
    pub silence_timeout: Micros,
    /// Time for which a client may accept no data before its session is ended: 30 s.
    pub stalled_client_timeout: Micros,
    /// Timeout for writing the last line of a connection, and then for the other side to close it: 0.5 s
    /// each.
    pub close_timeout: Micros,
    /// Time within which discovery must answer a call: half of the site's `AskWithin`, limited to 0.5 to 4
    /// s.
    pub discovery_answer_timeout: Micros,
    /// Delay from the end of a watch to the next one if lists are pushed: half of the drain grace, limited
    /// to 50 to 500 ms. `None` if the balancer decides when to open the next watch.
    pub discovery_retry_delay: Option<Micros>,
    /// Time without a complete line from a watch after which another watch is opened: 2.5 s.
    pub discovery_watch_timeout: Micros,
    /// Delay from SIGTERM to the first migration of a session.
    pub stop_first_migration_delay: Micros,
    /// Delay from SIGTERM to the migration of the last session.
    pub stop_last_migration_delay: Micros,
    /// Delay from SIGTERM until the relay stops waiting for the last lines of sessions.
    pub stop_end_delay: Micros,
    /// Delay from SIGTERM to the earliest exit: 1 s, but at most `stop_end_delay`.
    pub min_stop_delay: Micros,
    /// Timeout of a resumed session that waits for its backend: 40 s, but at most its client's timeout.
    pub resumed_session_timeout: Micros,
    /// Maximum number of concurrent connections of operators: 16.
    pub max_operator_connections: usize,
    /// Timeout of one call of an operator, counted from its connect: 2 s.
    pub operator_request_timeout: Micros,
    /// Maximum size of the head of an operator's call in bytes: 8192.
    pub max_operator_head_bytes: usize,
    /// Maximum size of the body of an operator's call in bytes: 4096.
    pub max_operator_body_bytes: usize,
    /// Delay from the start of a drain to the first migration of a session: 0.5 s.
    pub drain_first_migration_delay: Micros,
    /// Delay from the start of a drain to the migration of the last session: 3.3 s.
    pub drain_last_migration_delay: Micros,
    /// Time from the start of a drain during which new sessions are still admitted: 1 s.
    pub drain_admission_time: Micros,
    /// Like `stop_first_migration_delay`, for a process that has handed over its listening socket: 0.1 s.
    pub leave_first_migration_delay: Micros,
    /// Like `stop_last_migration_delay`, for a process that has handed over its listening socket: the
    /// longest dial timeout, but at least 1 s and at most `stop_last_migration_delay`.
    pub leave_last_migration_delay: Micros,
    /// Maximum number of concurrent connections of processes that request to take over (hot restart): 3.
    pub max_takeover_connections: usize,
    /// Time within which a running process must offer its listening socket to the process that takes over:
    /// 2 s.
    pub listener_offer_timeout: Micros,
    /// Maximum number of messages queued for the other process of a hot restart: 64.
    pub max_queued_handover_messages: usize,
    /// Maximum number of concurrent streams from other relays, and as many to them: 8.
    pub max_fleet_streams: usize,
    /// Timeout of one stream from or to another relay: 2 s.
    pub fleet_stream_timeout: Micros,
    /// Maximum number of datagrams from other relays that are read per second: 5,000.
    pub max_fleet_datagrams_per_s: u32,
    /// Maximum size of the state store in bytes: 64 MiB.
    pub max_state_bytes: u64,
    /// Time for which a starting relay waits for its state store: 2 s. After that it starts without its
    /// state.
    pub state_open_timeout: Micros,
    /// Time for which a dial waits until a record that must precede it is durable: 20 ms.
    pub state_write_timeout: Micros,
}

/// Optional parts of the program that need additional file descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Uses {
    /// The operators' HTTP interface, and the socket for hot restarts.
    pub operator: bool,
    /// The membership of a fleet.
    pub fleet: bool,
    /// The state store.
    pub state: bool,
}

impl Limits {
    /// Lowers the times of a stop to those of `before`, the limits that applied when the stop began. A
    /// reload during a stop then does not prolong it.
    pub fn stop_no_later(&mut self, before: &Limits) {
        let shorten = |time: &mut Micros, before: Micros| *time = before.min(*time);
        shorten(&mut self.stop_first_migration_delay, before.stop_first_migration_delay);
        shorten(&mut self.stop_last_migration_delay, before.stop_last_migration_delay);
        shorten(&mut self.stop_end_delay, before.stop_end_delay);
        shorten(&mut self.min_stop_delay, before.min_stop_delay);
        shorten(&mut self.leave_last_migration_delay, before.leave_last_migration_delay);
    }

    /// Derives the limits from a site's settings, with `sockets` file descriptors in total.
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
            discovery_retry_delay: derived::discovery_retry_delay(site),
            discovery_watch_timeout: DISCOVERY_WATCH_TIMEOUT,
            stop_first_migration_delay: stop.first_migration,
            stop_last_migration_delay: stop.last_migration,
            stop_end_delay: stop.end,
            min_stop_delay: stop.earliest_exit,
            resumed_session_timeout: RESUMED_SESSION_TIMEOUT,
            max_operator_connections: MAX_OPERATOR_CONNECTIONS,
            operator_request_timeout: OPERATOR_REQUEST_TIMEOUT,
            max_operator_head_bytes: MAX_OPERATOR_HEAD_BYTES,
            max_operator_body_bytes: MAX_OPERATOR_BODY_BYTES,
            drain_first_migration_delay: DRAIN_FIRST_MIGRATION_DELAY,
            drain_last_migration_delay: DRAIN_LAST_MIGRATION_DELAY,
            drain_admission_time: DRAIN_ADMISSION_TIME,
            leave_first_migration_delay: LEAVE_FIRST_MIGRATION_DELAY,
            leave_last_migration_delay: stop.leave_last_migration,
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
