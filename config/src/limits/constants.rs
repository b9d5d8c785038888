//! The limits that do not depend on the configuration, each with its reason. Times are in microseconds.
use hallrelay_balancer::types::Micros;

pub(super) const MILLISECOND: Micros = 1_000;
pub(super) const SECOND: Micros = 1_000_000;

/// Bytes of a line without its end.
pub(super) const MAX_LINE_BYTES: usize = 4096;
/// Initial bytes of a connection's buffer.
pub(super) const INITIAL_BUFFER_BYTES: usize = 256;
/// Bytes to which a connection's buffer may grow.
pub(super) const MAX_BUFFER_BYTES: usize = 8192;
/// Bytes of one line of the endpoint list: some ten thousand entries.
pub(super) const MAX_LIST_LINE_BYTES: usize = 2 << 20;
/// Client connections beyond the limit that may be closing at once.
pub(super) const MAX_SHEDDING_CONNECTIONS: usize = 8;
pub(super) const MAX_QUEUED_EVENTS: usize = 1024;
pub(super) const MAX_QUEUED_COMMANDS: usize = 8;
pub(super) const MAX_TIMED_MESSAGES: usize = 8;
pub(super) const MAX_QUEUED_LOG_LINES: usize = 1024;

/// A client that sends nothing must be answered and closed within 3 s of its connect; `CLOSE_TIMEOUT` comes
/// on top of this.
pub(super) const FIRST_LINE_TIMEOUT: Micros = 2 * SECOND;
/// A line that is sent piece by piece may take 2 s. The error is sent at once; `CLOSE_TIMEOUT` is for the
/// other side to close.
pub(super) const MAX_FIRST_LINE_TIMEOUT: Micros = 2_700 * MILLISECOND;
pub(super) const FIRST_LINE_PAUSE_TIMEOUT: Micros = 700 * MILLISECOND;
/// The longest dial timeout times this is far beyond what any client waits.
pub(super) const MAX_CLIENT_TIMEOUT_FACTOR: Micros = 10;
/// Clients accept answers that are a little late, but the wake-up of a busy core takes some of that.
pub(super) const ANSWER_MARGIN: Micros = 10 * MILLISECOND;
/// Half a second after its deadline a session counts as lost, whatever its answer; with the margin.
pub(super) const LATE_ANSWER_TIMEOUT: Micros = 510 * MILLISECOND;
/// A health check is a small message: it may take this many times the connect timeout.
pub(super) const PROBE_TIMEOUT_FACTOR: Micros = 2;
/// A backend that closes an idle connection sooner is not at fault.
pub(super) const PROBE_IDLE_TIMEOUT: Micros = 30 * SECOND;
/// Answers come at once and clients send every 2 s, so by then at most two messages are lost, well within the
/// 7 s in which clients must be informed.
pub(super) const SILENCE_TIMEOUT: Micros = 2 * SECOND;
pub(super) const STALLED_CLIENT_TIMEOUT: Micros = 30 * SECOND;
pub(super) const CLOSE_TIMEOUT: Micros = 500 * MILLISECOND;
pub(super) const RESUMED_SESSION_TIMEOUT: Micros = 40 * SECOND;

/// An idle watch sends an empty line every 2 s; this allows for a late one. Changes that a silent watch
/// misses count as notified 6 s after its last line: 3.5 s remain for the answer to the next one.
pub(super) const DISCOVERY_WATCH_TIMEOUT: Micros = 2_500 * MILLISECOND;

/// Operators' connections: some who call every second, beside some who hold one and send nothing.
pub(super) const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// An answer is due within a second, and a call is one small packet.
pub(super) const OPERATOR_REQUEST_TIMEOUT: Micros = 2 * SECOND;
/// The least that hyper allows.
pub(super) const MAX_OPERATOR_HEAD_BYTES: usize = 8192;
pub(super) const MAX_OPERATOR_BODY_BYTES: usize = 4096;

/// The load balancer in front sends new connections for 0.3 s more.
pub(super) const DRAIN_FIRST_MIGRATION_DELAY: Micros = 500 * MILLISECOND;
/// No session may be left 4 s after the drain's start, and the last ones migrated need time to go.
pub(super) const DRAIN_LAST_MIGRATION_DELAY: Micros = 3_300 * MILLISECOND;
pub(super) const DRAIN_ADMISSION_TIME: Micros = SECOND;
/// The successor serves whoever is migrated: waiting gains nothing.
pub(super) const LEAVE_FIRST_MIGRATION_DELAY: Micros = 100 * MILLISECOND;

/// One process to take over, and some that are rejected meanwhile.
pub(super) const MAX_TAKEOVER_CONNECTIONS: usize = 3;
/// It is one message within one machine; operators give a new process 6 s in all.
pub(super) const LISTENER_OFFER_TIMEOUT: Micros = 2 * SECOND;
/// Further ones wait in their tasks.
pub(super) const MAX_QUEUED_HANDOVER_MESSAGES: usize = 64;

/// Streams of other relays, in each direction.
pub(super) const MAX_FLEET_STREAMS: usize = 8;
/// A table is some packets, and a peer that stalls holds a stream no longer than this.
pub(super) const FLEET_STREAM_TIMEOUT: Micros = 2 * SECOND;
/// 300 relays send some 40 a second, and ten times that while half of them return.
pub(super) const MAX_FLEET_DATAGRAMS_PER_S: u32 = 5_000;

/// A server takes some 300 bytes: a hundred thousand servers, twice.
pub(super) const MAX_STATE_BYTES: u64 = 64 << 20;
/// A slow disk reads the whole store in this time; service does not wait longer.
pub(super) const STATE_OPEN_TIMEOUT: Micros = 2 * SECOND;
/// A sync takes some milliseconds; a dial has 50 ms beyond its connect before the drain grace is over.
pub(super) const STATE_WRITE_TIMEOUT: Micros = 20 * MILLISECOND;
