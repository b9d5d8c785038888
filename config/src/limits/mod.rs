//! Sizes, counts and times that bound the program: derived once at start, and again where settings are
//! reloaded.
mod constants;
mod derived;

use crate::error::ConfigError;
use crate::facts::Site;
use constants::*;
use derived::StopSchedule;
use hallrelay_balancer::types::Micros;

/// The bounds of the program. All times are durations in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a line without its end: 4096.
    pub line: usize,
    /// Initial bytes of a connection's buffer: 256.
    pub buffer_first: usize,
    /// Bytes to which a connection's buffer may grow: 8192.
    pub buffer_most: usize,
    /// Client connections at once, those that hold no session among them. More than `sessions`, so that
    /// clients over that limit still get their answer.
    pub clients: usize,
    /// Client connections beyond `clients` that may be closing at once: 8.
    pub shedding: usize,
    /// Sessions with a backend at once; each holds a second descriptor.
    pub sessions: u32,
    /// Health-check connections that stay open, one for each backend at most.
    pub probes: usize,
    /// Bytes of one line of the endpoint list: 2 MiB.
    pub list: usize,
    /// Events queued for the reducer: 1024.
    pub events: usize,
    /// Commands queued for one connection: 8.
    pub commands: usize,
    /// Messages of one session in flight whose answers are timed: 8.
    pub unanswered: usize,
    /// Log lines that wait to be written: 1024; further ones are dropped and counted.
    pub log_lines: usize,
    /// From the decision to dial until the connection is established: the site's `ConnectTimeout`, at most
    /// four fifths of the drain grace, or 40 ms where that is more.
    pub connect: Micros,
    /// From a client's connect to its first line, where nothing of it has arrived: 2 s.
    pub first_line: Micros,
    /// From a client's connect to the end of a first line that arrives in pieces: 2.7 s.
    pub first_line_most: Micros,
    /// Between two pieces of a first line: 0.7 s.
    pub first_line_pause: Micros,
    /// The longest timeout that a client may state: ten times the longest dial timeout. A longer one violates
    /// the protocol.
    pub wait: Micros,
    /// An answer is sent this long before the client's deadline: 10 ms.
    pub answer_margin: Micros,
    /// How long after the deadline a final answer is still sent: 0.51 s.
    pub answer_late: Micros,
    /// A whole health check: twice the site's `ConnectTimeout`.
    pub probe: Micros,
    /// How long an idle health-check connection stays open: 30 s.
    pub probe_idle: Micros,
    /// How long a message may remain without an answer until its backend counts as silent: 2 s.
    pub silence: Micros,
    /// How long a client may accept no data until its session is ended: 30 s.
    pub stuck: Micros,
    /// The time to write a last line, and again for the other side to close: 0.5 s.
    pub end: Micros,
    /// How long discovery may take to answer a call: half of the site's `AskWithin`, 0.5 to 4 s.
    pub discovery_first: Micros,
    /// From a watch's end to the next watch where lists are pushed: half of the drain grace, 50 to 500 ms.
    /// None where the balancer decides it.
    pub discovery_again: Option<Micros>,
    /// How long a watch may send no complete line until another one is opened: 2.5 s.
    pub discovery_doubt: Micros,
    /// From SIGTERM to the first migration of a session.
    pub stop_from: Micros,
    /// From SIGTERM to the migration of the last session.
    pub stop_by: Micros,
    /// From SIGTERM to the end of the wait for last lines.
    pub stop_end: Micros,
    /// From SIGTERM to the earliest exit: 1 s, and `stop_end` at most.
    pub stop_least: Micros,
    /// How long a resumed session may wait for its backend: 40 s, and its client's timeout at most.
    pub standing: Micros,
    /// Operators' connections at once: 16.
    pub callers: usize,
    /// The time of one call of an operator, from its connect: 2 s.
    pub call: Micros,
    /// Bytes of the head of an operator's call: 8192.
    pub call_head: usize,
    /// Bytes of the body of an operator's call: 4096.
    pub call_body: usize,
    /// From the start of a drain to the first migration of a session: 0.5 s.
    pub drain_from: Micros,
    /// From the start of a drain to the migration of the last session: 3.3 s.
    pub drain_by: Micros,
    /// From the start of a drain until new sessions are rejected: 1 s.
    pub drain_takes: Micros,
    /// As `stop_from`, for a process that has handed its listener over: 0.1 s.
    pub leave_from: Micros,
    /// As `stop_by`, for a process that has handed its listener over: the longest dial timeout, at least 1 s,
    /// and `stop_by` at most.
    pub leave_by: Micros,
    /// Connections of processes that request to take over, at once: 3.
    pub visitors: usize,
    /// How long a running process may take to offer its listener: 2 s.
    pub offer: Micros,
    /// Messages queued for the other process of a hot restart: 64.
    pub passing: usize,
    /// Streams of other relays at once, in each direction: 8.
    pub fleet_streams: usize,
    /// The time of one stream of another relay: 2 s.
    pub fleet_stream: Micros,
    /// Datagrams of other relays that are read in a second: 5,000.
    pub fleet_datagrams: u32,
    /// Bytes of the state store: 64 MiB.
    pub state_bytes: u64,
    /// How long a start waits for the state store: 2 s. After that the relay starts without its state.
    pub state_open: Micros,
    /// How long a dial waits for a record that must be durable before it: 20 ms.
    pub state_wait: Micros,
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
        shorten(&mut self.stop_from, before.stop_from);
        shorten(&mut self.stop_by, before.stop_by);
        shorten(&mut self.stop_end, before.stop_end);
        shorten(&mut self.stop_least, before.stop_least);
        shorten(&mut self.leave_by, before.leave_by);
    }

    /// The limits under a site's settings, with `sockets` file descriptors in all.
    ///
    /// # Errors
    /// The descriptors do not suffice for the parts in use and two sessions.
    pub fn new(site: &Site, sockets: usize, uses: Uses) -> Result<Limits, ConfigError> {
        let session_sockets = derived::session_sockets(sockets, uses)?;
        let stop = StopSchedule::new(site);
        Ok(Limits {
            line: LINE_BYTES,
            buffer_first: INITIAL_BUFFER_BYTES,
            buffer_most: MAX_BUFFER_BYTES,
            clients: session_sockets / 2,
            shedding: SHEDDING_CONNECTIONS,
            sessions: derived::sessions(session_sockets),
            probes: derived::probe_connections(sockets),
            list: LIST_BYTES,
            events: QUEUED_EVENTS,
            commands: QUEUED_COMMANDS,
            unanswered: TIMED_MESSAGES,
            log_lines: QUEUED_LOG_LINES,
            connect: derived::connect_timeout(site),
            first_line: FIRST_LINE_TIMEOUT,
            first_line_most: MAX_FIRST_LINE_TIMEOUT,
            first_line_pause: FIRST_LINE_PAUSE,
            wait: derived::longest_dial_timeout(site) * MAX_WAIT_FACTOR,
            answer_margin: ANSWER_MARGIN,
            answer_late: ANSWER_LATE,
            probe: site.connect * PROBE_CONNECT_FACTOR,
            probe_idle: PROBE_IDLE,
            silence: SILENCE,
            stuck: STALLED_CLIENT,
            end: CLOSE_TIMEOUT,
            discovery_first: derived::discovery_answer_timeout(site),
            discovery_again: derived::discovery_retry_interval(site),
            discovery_doubt: DISCOVERY_DOUBT,
            stop_from: stop.from,
            stop_by: stop.by,
            stop_end: stop.end,
            stop_least: stop.least,
            standing: RESUMED_SESSION_WAIT,
            callers: OPERATOR_CONNECTIONS,
            call: OPERATOR_CALL,
            call_head: OPERATOR_HEAD_BYTES,
            call_body: OPERATOR_BODY_BYTES,
            drain_from: DRAIN_FROM,
            drain_by: DRAIN_BY,
            drain_takes: DRAIN_TAKES,
            leave_from: LEAVE_FROM,
            leave_by: stop.leave_by,
            visitors: TAKEOVER_CONNECTIONS,
            offer: LISTENER_OFFER,
            passing: QUEUED_HANDOVER_MESSAGES,
            fleet_streams: FLEET_STREAMS,
            fleet_stream: FLEET_STREAM,
            fleet_datagrams: FLEET_DATAGRAMS_PER_S,
            state_bytes: STATE_BYTES,
            state_open: STATE_OPEN,
            state_wait: STATE_WAIT,
        })
    }
}
