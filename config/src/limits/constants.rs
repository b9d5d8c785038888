//! Limits that do not depend on the configuration, with their reasons. Times are in microseconds.
use hallrelay_balancer::types::Micros;

pub(super) const MILLISECOND: Micros = 1_000;
pub(super) const SECOND: Micros = 1_000_000;

/// Maximum length of a line, without its line ending.
pub(super) const MAX_LINE_BYTES: usize = 4096;
/// Initial size of a connection's buffer.
pub(super) const INITIAL_BUFFER_BYTES: usize = 256;
/// Maximum size of a connection's buffer.
pub(super) const MAX_BUFFER_BYTES: usize = 8192;
/// Maximum length of one line of the endpoint list: enough for about ten thousand entries.
pub(super) const MAX_LIST_LINE_BYTES: usize = 2 << 20;
/// Maximum number of client connections over the limit that may be closing at the same time.
pub(super) const MAX_SHEDDING_CONNECTIONS: usize = 8;
pub(super) const MAX_QUEUED_EVENTS: usize = 1024;
pub(super) const MAX_QUEUED_COMMANDS: usize = 8;
pub(super) const MAX_TIMED_MESSAGES: usize = 8;
pub(super) const MAX_QUEUED_LOG_LINES: usize = 1024;

/// A client that sends nothing must be answered and closed within 3 s of its connect. Closing the
/// connection takes up to `CLOSE_TIMEOUT` more than this timeout.
pub(super) const FIRST_LINE_TIMEOUT: Micros = 2 * SECOND;
/// Clients may take 2 s to send a line in pieces. The error is sent as soon as this timeout expires;
/// `CLOSE_TIMEOUT` then leaves the client time to close.
pub(super) const MAX_FIRST_LINE_TIMEOUT: Micros = 2_700 * MILLISECOND;
pub(super) const FIRST_LINE_PAUSE_TIMEOUT: Micros = 700 * MILLISECOND;
/// No client requests a timeout near this multiple of the longest dial timeout.
pub(super) const MAX_CLIENT_TIMEOUT_FACTOR: Micros = 10;
/// Clients accept answers that are slightly late, but the wake-up delay of a busy core uses up part of that
/// tolerance.
pub(super) const ANSWER_MARGIN: Micros = 10 * MILLISECOND;
/// A session counts as lost 0.5 s after its deadline, whatever answer follows. `ANSWER_MARGIN` is added to
/// the 0.5 s.
pub(super) const LATE_ANSWER_TIMEOUT: Micros = 510 * MILLISECOND;
/// The timeout of a health check (probe) as a multiple of the connect timeout. After its connect, a health
/// check is only one small message.
pub(super) const PROBE_TIMEOUT_FACTOR: Micros = 2;
/// A backend may close an idle health-check connection earlier, which does not count as a failure.
pub(super) const PROBE_IDLE_TIMEOUT: Micros = 30 * SECOND;
/// Backends answer immediately and clients send a message every 2 s, so at most two messages are lost until
/// a backend counts as silent. Clients must be informed within 7 s.
pub(super) const SILENCE_TIMEOUT: Micros = 2 * SECOND;
pub(super) const STALLED_CLIENT_TIMEOUT: Micros = 30 * SECOND;
pub(super) const CLOSE_TIMEOUT: Micros = 500 * MILLISECOND;
pub(super) const RESUMED_SESSION_TIMEOUT: Micros = 40 * SECOND;

/// An idle watch of the endpoint list sends an empty line every 2 s, and 0.5 s allow for a late line. A
/// relay counts as notified of a change 6 s after the last line of a silent watch, so 3.5 s remain for the
/// answer to the next watch.
pub(super) const DISCOVERY_WATCH_TIMEOUT: Micros = 2_500 * MILLISECOND;

/// Enough for several operators that call every second, and for some that hold an idle connection.
pub(super) const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// Operators must be answered within 1 s, and a call is one small packet.
pub(super) const OPERATOR_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// The smallest limit that the HTTP library hyper accepts.
pub(super) const MAX_OPERATOR_HEAD_BYTES: usize = 8192;
pub(super) const MAX_OPERATOR_BODY_BYTES: usize = 4096;

/// The load balancer in front of the relays sends new connections for 0.3 s after the drain's start.
pub(super) const DRAIN_FIRST_MIGRATION_DELAY: Micros = 500 * MILLISECOND;
/// No session may remain 4 s after the drain's start, and the sessions that are migrated last need time to
/// leave.
pub(super) const DRAIN_LAST_MIGRATION_DELAY: Micros = 3_300 * MILLISECOND;
pub(super) const DRAIN_ADMISSION_TIME: Micros = SECOND;
/// The process that has taken over can already serve migrated sessions, so a longer wait has no benefit.
pub(super) const LEAVE_FIRST_MIGRATION_DELAY: Micros = 100 * MILLISECOND;

/// One process takes over, and others that try to are rejected meanwhile.
pub(super) const MAX_TAKEOVER_CONNECTIONS: usize = 3;
/// The offer of the listening socket is one message within one machine. Operators give a new process 6 s in
/// total.
pub(super) const LISTENER_OFFER_TIMEOUT: Micros = 2 * SECOND;
/// If the queue is full, the tasks that send further messages wait.
pub(super) const MAX_QUEUED_HANDOVER_MESSAGES: usize = 64;

/// Maximum number of streams from other relays, and as many to them.
pub(super) const MAX_FLEET_STREAMS: usize = 8;
/// A stream transfers a membership table, which takes a few packets. The timeout also bounds how long a
/// stalled peer can hold a stream.
pub(super) const FLEET_STREAM_TIMEOUT: Micros = 2 * SECOND;
/// In a fleet of 300 relays about 40 datagrams arrive per second, and ten times as many while half of the
/// relays return.
pub(super) const MAX_FLEET_DATAGRAMS_PER_S: u32 = 5_000;

/// The state of a backend takes about 300 bytes. The limit is enough for a hundred thousand backends,
/// stored twice.
pub(super) const MAX_STATE_BYTES: u64 = 64 << 20;
/// A slow disk reads the complete store within this time. The relay does not wait longer before it serves.
pub(super) const STATE_OPEN_TIMEOUT: Micros = 2 * SECOND;
/// A sync to disk takes a few milliseconds. A dial has 50 ms beyond its connect before the drain grace ends.
pub(super) const STATE_WRITE_TIMEOUT: Micros = 20 * MILLISECOND;
