//! Limits that are derived from the site's settings and the number of file descriptors.
use super::constants::{
    MAX_FLEET_STREAMS, MAX_OPERATOR_CONNECTIONS, MAX_TAKEOVER_CONNECTIONS, MILLISECOND, SECOND,
};
use super::Uses;
use crate::error::ConfigError;
use crate::facts::Site;
use hallrelay_balancer::types::Micros;

/// Descriptors for discovery, the listening socket, the standard streams and the runtime, and a reserve.
const BASE_SOCKETS: usize = 24;
/// One descriptor for the listening socket of the operators' HTTP interface.
const OPERATOR_LISTENER: usize = 1;
/// Descriptors for the listening socket of hot restarts and for its connections, and one in reserve.
const TAKEOVER_SOCKETS: usize = MAX_TAKEOVER_CONNECTIONS + 2;
/// Descriptors of the state store: its lock, its log, the file that replaces the log, and the directory.
const STATE_FILES: usize = 4;
/// Descriptors for the datagram socket and the listening socket for messages between relays.
const FLEET_LISTENERS: usize = 2;
/// Open health-check connections may use the number of descriptors divided by this.
const PROBE_SOCKETS_DIVISOR: usize = 16;
/// Minimum for two sessions, as each session uses two descriptors.
const MIN_SESSION_SOCKETS: usize = 4;

/// SIGKILL follows SIGTERM after at least the sum of two times: the longest dial timeout, limited to this,
/// and `KILL_GRACE`.
const MAX_STOP_WAIT: Micros = 3 * SECOND;
/// Minimum time from the end of the longest dial, limited to `MAX_STOP_WAIT`, to SIGKILL.
const KILL_GRACE: Micros = 700 * MILLISECOND;
/// Time within which a process that handed over its listening socket migrates its sessions, if the longest
/// dial timeout is shorter. SIGKILL may leave less time.
const MIN_LEAVE_TIME: Micros = SECOND;
/// Assumed interval of requests for the endpoint list if the site pushes it and so sets no `AskWithin`.
const DEFAULT_POLL_INTERVAL: Micros = 10 * SECOND;

/// Returns the maximum number of open health-check connections, with `sockets` file descriptors in total.
pub(super) fn probe_connections(sockets: usize) -> usize {
    sockets / PROBE_SOCKETS_DIVISOR
}

/// Returns the number of file descriptors that sessions may use, with `sockets` in total.
///
/// # Errors
/// Fewer than `MIN_SESSION_SOCKETS` remain after those that other parts of the program need.
pub(super) fn session_sockets(sockets: usize, uses: Uses) -> Result<usize, ConfigError> {
    let operator_sockets = MAX_OPERATOR_CONNECTIONS + OPERATOR_LISTENER + TAKEOVER_SOCKETS;
    let fleet_sockets = 2 * MAX_FLEET_STREAMS + FLEET_LISTENERS;
    let own_sockets = BASE_SOCKETS
        + usize::from(uses.operator) * operator_sockets
        + usize::from(uses.state) * STATE_FILES
        + usize::from(uses.fleet) * fleet_sockets;
    let remaining = sockets.saturating_sub(own_sockets + probe_connections(sockets));
    if remaining < MIN_SESSION_SOCKETS {
        return Err(ConfigError::InvalidValue {
            path: "limits.sockets".to_string(),
            value: sockets.to_string(),
            wanted: format!("at least {}", own_sockets * 2),
        });
    }
    Ok(remaining)
}

/// Returns the maximum number of sessions with a backend. A session uses two descriptors, but the number is
/// less than half of the descriptors, which leaves some for backend connections that outlive those of their
/// clients.
pub(super) fn sessions(session_sockets: usize) -> u32 {
    (session_sockets * 9 / 20) as u32
}

/// Returns the longest dial timeout of all listeners.
pub(super) fn longest_dial_timeout(site: &Site) -> Micros {
    site.dial_timeouts.iter().copied().max().unwrap_or(0)
}

/// Returns the connect timeout. The first line must be sent before the drain grace, counted from the
/// decision to dial, ends, so a connect gets at most four fifths of the grace. On sockets every time limit
/// is 50 ms longer, so a connect gets 40 ms even with a grace of 0.
pub(super) fn connect_timeout(site: &Site) -> Micros {
    site.connect.min((site.drain_grace * 4 / 5).max(40 * MILLISECOND))
}

/// Returns the time within which discovery must answer. Two calls fit into the longest time that may pass
/// without a request for the endpoint list. An answer has at least 0.5 s, however short that time is.
pub(super) fn discovery_answer_timeout(site: &Site) -> Micros {
    (site.max_poll_interval.unwrap_or(DEFAULT_POLL_INTERVAL) / 2).clamp(500 * MILLISECOND, 4 * SECOND)
}

/// Returns the delay before the next watch if lists are pushed. Relays must then obey a change within the
/// drain grace, whether or not a watch is open, so two watches fit into the grace.
pub(super) fn discovery_retry_delay(site: &Site) -> Option<Micros> {
    match site.max_poll_interval {
        None => Some((site.drain_grace / 2).clamp(50 * MILLISECOND, 500 * MILLISECOND)),
        Some(_) => None,
    }
}

/// The schedule of a stop, in microseconds after SIGTERM.
pub(super) struct StopSchedule {
    /// When the first session is migrated.
    pub(super) first_migration: Micros,
    /// When the last session is migrated.
    pub(super) last_migration: Micros,
    /// When the relay stops waiting for the last lines of sessions.
    pub(super) end: Micros,
    /// The earliest exit of a process without a successor.
    pub(super) earliest_exit: Micros,
    /// When a process that has handed over its listening socket migrates its last session.
    pub(super) leave_last_migration: Micros,
}

impl StopSchedule {
    pub(super) fn new(site: &Site) -> StopSchedule {
        let longest_wait = longest_dial_timeout(site).min(MAX_STOP_WAIT);
        let kill = longest_wait + KILL_GRACE;
        // The last migrated sessions need time to leave.
        let last_migration = kill - 350 * MILLISECOND;
        // A session that the only relay migrates early must wait for the relay's next start, and its wait
        // grows with each retry, so the migrations begin late. The load balancer in front sends new
        // connections for 0.2 to 0.4 s after SIGTERM. If other relays are up, no session waits, and
        // migrations are spread over all the available time. Otherwise, if a tenth of a large fleet stops
        // together, its sessions would reach the other relays in one burst.
        let has_other_relays = site.facts.relay_count > 2;
        let first_migration =
            if has_other_relays { 400 * MILLISECOND } else { longest_wait.max(500 * MILLISECOND) };
        StopSchedule {
            first_migration: first_migration.min(kill - 450 * MILLISECOND),
            last_migration,
            end: kill - 150 * MILLISECOND,
            earliest_exit: SECOND.min(kill - 150 * MILLISECOND),
            leave_last_migration: longest_wait.max(MIN_LEAVE_TIME).min(last_migration),
        }
    }
}
