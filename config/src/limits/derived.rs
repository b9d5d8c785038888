//! The limits that follow from the site's settings and the number of file descriptors.
use super::constants::{
    MAX_FLEET_STREAMS, MAX_OPERATOR_CONNECTIONS, MAX_TAKEOVER_CONNECTIONS, MILLISECOND, SECOND,
};
use super::Uses;
use crate::error::ConfigError;
use crate::facts::Site;
use hallrelay_balancer::types::Micros;

/// Descriptors for discovery, the listening socket, standard streams, the runtime, and a few in reserve.
const BASE_SOCKETS: usize = 24;
/// The socket of the operators' HTTP interface.
const OPERATOR_LISTENER: usize = 1;
/// The socket for a hot restart and the connections there, with one in reserve.
const TAKEOVER_SOCKETS: usize = MAX_TAKEOVER_CONNECTIONS + 2;
/// The lock, the log, the file that is to replace the log, and the directory.
const STATE_FILES: usize = 4;
/// The datagram socket and the listening socket of the membership.
const FLEET_LISTENERS: usize = 2;
/// The inverse fraction of all descriptors that open health-check connections may use.
const PROBE_SOCKETS_DIVISOR: usize = 16;
/// A session has two descriptors, so fewer sessions can't be served.
const MIN_SESSION_SOCKETS: usize = 4;

/// SIGKILL follows SIGTERM no sooner than after the longest dial timeout, up to `MAX_STOP_WAIT`, and
/// `KILL_GRACE`.
const MAX_STOP_WAIT: Micros = 3 * SECOND;
const KILL_GRACE: Micros = 700 * MILLISECOND;
/// The time in which a process that handed over its listener migrates its sessions, where SIGKILL allows it.
const MIN_LEAVE_TIME: Micros = SECOND;
/// The poll interval of a relay that need not watch the endpoint list.
const DEFAULT_ASK_WITHIN: Micros = 10 * SECOND;

/// Health-check connections that stay open, of all file descriptors.
pub(super) fn probe_connections(sockets: usize) -> usize {
    sockets / PROBE_SOCKETS_DIVISOR
}

/// The file descriptors that sessions may use, of `sockets` in all.
///
/// # Errors
/// The rest, beside the parts of the program that need descriptors of their own, is under four.
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
            wanted: format!("{} at least", own_sockets * 2),
        });
    }
    Ok(remaining)
}

/// Sessions with a backend: fewer than half of the descriptors, so that some are left for backend connections
/// that outlive their clients'.
pub(super) fn sessions(session_sockets: usize) -> u32 {
    (session_sockets * 9 / 20) as u32
}

/// The longest dial timeout of all listeners.
pub(super) fn longest_dial_timeout(site: &Site) -> Micros {
    site.dial_timeouts.iter().copied().max().unwrap_or(0)
}

/// A first line must be sent before the drain grace has passed, counted from the decision to dial. On sockets
/// every time limit is 50 ms longer: with a grace of 0 a connect still has 40 ms of these.
pub(super) fn connect_timeout(site: &Site) -> Micros {
    site.connect.min((site.drain_grace * 4 / 5).max(40 * MILLISECOND))
}

/// Two watch calls fit into the longest time without a poll; however short that is, an answer has time.
pub(super) fn discovery_answer_timeout(site: &Site) -> Micros {
    (site.ask_within.unwrap_or(DEFAULT_ASK_WITHIN) / 2).clamp(500 * MILLISECOND, 4 * SECOND)
}

/// Where lists are pushed, a change must be obeyed within the drain grace whether or not a watch is open: two
/// watches fit into it.
pub(super) fn discovery_retry_interval(site: &Site) -> Option<Micros> {
    match site.ask_within {
        None => Some((site.drain_grace / 2).clamp(50 * MILLISECOND, 500 * MILLISECOND)),
        Some(_) => None,
    }
}

/// The times of a stop, in microseconds from SIGTERM on.
pub(super) struct StopSchedule {
    /// The first migration of a session.
    pub(super) from: Micros,
    /// The last one.
    pub(super) by: Micros,
    /// The end of the wait for last lines.
    pub(super) end: Micros,
    /// The earliest exit of a process that has no successor.
    pub(super) least: Micros,
    /// The last migration in a process that has handed its listener over.
    pub(super) leave_by: Micros,
}

impl StopSchedule {
    pub(super) fn new(site: &Site) -> StopSchedule {
        let longest_wait = longest_dial_timeout(site).min(MAX_STOP_WAIT);
        let kill = longest_wait + KILL_GRACE;
        // The last sessions migrated need time to go.
        let by = kill - 350 * MILLISECOND;
        // A session that the only relay migrates early waits for the next start, the longer the more often
        // it retries; the load balancer in front sends new connections for 0.2 to 0.4 s more. Beside other
        // relays nobody waits, and the sessions are spread over all the time there is: those of a tenth of a
        // large fleet, stopped together, would reach the others as one burst.
        let has_other_relays = site.facts.relay_count > 2;
        let from = if has_other_relays { 400 * MILLISECOND } else { longest_wait.max(500 * MILLISECOND) };
        StopSchedule {
            from: from.min(kill - 450 * MILLISECOND),
            by,
            end: kill - 150 * MILLISECOND,
            least: SECOND.min(kill - 150 * MILLISECOND),
            leave_by: longest_wait.max(MIN_LEAVE_TIME).min(by),
        }
    }
}
