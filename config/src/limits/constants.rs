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
/// Client connections over the limit that may be in the process of closing at the same time.
pub(super) const MAX_SHEDDING_CONNECTIONS: usize = 8;
pub(super) const MAX_QUEUED_EVENTS: usize = 1024;
pub(super) const MAX_QUEUED_COMMANDS: usize = 8;
pub(super) const MAX_TIMED_MESSAGES: usize = 8;
pub(super) const MAX_QUEUED_LOG_LINES: usize = 1024;

/// A client that sends nothing must be answered and closed within 3 s of its connect. `CLOSE_TIMEOUT` is
/// added to this timeout.
pub(super) const FIRST_LINE_TIMEOUT: Micros = 2 * SECOND;
/// Clients may take 2 s to send a line in pieces. The error is sent as soon as this timeout expires;
/// `CLOSE_TIMEOUT` then leaves the client time to close.
pub(super) const MAX_FIRST_LINE_TIMEOUT: Micros = 2_700 * MILLISECOND;
pub(super) const FIRST_LINE_PAUSE_TIMEOUT: Micros = 700 * MILLISECOND;
/// No client waits anywhere near this multiple of the longest dial timeout.
pub(super) const MAX_CLIENT_TIMEOUT_FACTOR: Micros = 10;
/// Clients accept answers that are slightly late, but the wake-up delay of a busy core uses up part of that
/// tolerance.
pub(super) const ANSWER_MARGIN: Micros = 10 * MILLISECOND;
/// A session counts as lost 0.5 s after its deadline, whatever its answer. `ANSWER_MARGIN` is added to that.
pub(super) const LATE_ANSWER_TIMEOUT: Micros = 510 * MILLISECOND;
/// A health check is one small message, so it may take this multiple of the connect timeout.
pub(super) const PROBE_TIMEOUT_FACTOR: Micros = 2;
/// A backend may close an idle connection earlier, which does not count as a failure.
pub(super) const PROBE_IDLE_TIMEOUT: Micros = 30 * SECOND;
/// Backends answer immediately and clients send every 2 s, so at most two messages are lost within this time,
/// well before the 7 s within which clients must be informed.
pub(super) const SILENCE_TIMEOUT: Micros = 2 * SECOND;
pub(super) const STALLED_CLIENT_TIMEOUT: Micros = 30 * SECOND;
pub(super) const CLOSE_TIMEOUT: Micros = 500 * MILLISECOND;
pub(super) const RESUMED_SESSION_TIMEOUT: Micros = 40 * SECOND;

/// An idle watch sends an empty line every 2 s; the rest allows for a late one. Changes that a silent watch
/// misses count as notified 6 s after its last line, so 3.5 s remain for the answer to the next watch.
pub(super) const DISCOVERY_WATCH_TIMEOUT: Micros = 2_500 * MILLISECOND;

/// Enough for several operators that call every second, beside some that hold an idle connection.
pub(super) const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// An answer is due within 1 s, and a call is one small packet.
pub(super) const OPERATOR_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// The minimum that hyper accepts.
pub(super) const MAX_OPERATOR_HEAD_BYTES: usize = 8192;
pub(super) const MAX_OPERATOR_BODY_BYTES: usize = 4096;

/// The load balancer in front of the relays sends new connections for another 0.3 s.
pub(super) const DRAIN_FIRST_MIGRATION_DELAY: Micros = 500 * MILLISECOND;
/// No session may be left 4 s after the drain's start, and the last migrated sessions need time to leave.
pub(super) const DRAIN_LAST_MIGRATION_DELAY: Micros = 3_300 * MILLISECOND;
pub(super) const DRAIN_ADMISSION_TIME: Micros = SECOND;
/// The successor already serves migrated sessions, so waiting longer gains nothing.
pub(super) const LEAVE_FIRST_MIGRATION_DELAY: Micros = 100 * MILLISECOND;

/// One process that takes over, and some that are rejected meanwhile.
pub(super) const MAX_TAKEOVER_CONNECTIONS: usize = 3;
/// The offer is one message within one machine; operators give a new process 6 s in total.
pub(super) const LISTENER_OFFER_TIMEOUT: Micros = 2 * SECOND;
/// Further messages wait in their tasks.
pub(super) const MAX_QUEUED_HANDOVER_MESSAGES: usize = 64;

/// Streams to and from other relays, for each direction.
pub(super) const MAX_FLEET_STREAMS: usize = 8;
/// A table takes a few packets. The timeout also bounds how long a stalled peer can hold a stream.
pub(super) const FLEET_STREAM_TIMEOUT: Micros = 2 * SECOND;
/// 300 relays send about 40 a second, and ten times that while half of them return.
pub(super) const MAX_FLEET_DATAGRAMS_PER_S: u32 = 5_000;

/// A server takes about 300 bytes: enough for a hundred thousand servers, stored twice.
pub(super) const MAX_STATE_BYTES: u64 = 64 << 20;
/// A slow disk reads the complete store within this time; the start of service is not delayed any longer.
pub(super) const STATE_OPEN_TIMEOUT: Micros = 2 * SECOND;
/// A sync takes a few milliseconds; a dial has 50 ms beyond its connect before the drain grace ends.
pub(super) const STATE_WRITE_TIMEOUT: Micros = 20 * MILLISECOND;
