//! Whether this process may open as many descriptors as a day needs.
use crate::error::LabError;
use hallrelay_config::scenario::Scenario;

/// Margin for sessions that come and go, and for clients that return all at once.
const SESSION_MARGIN: f64 = 1.34;

/// Descriptors that the laboratory needs for a day: two a session, those that listen, and some more.
pub fn descriptors_needed(scenario: &Scenario) -> u64 {
    let sessions = (scenario.most_open() * 2.0 * SESSION_MARGIN) as u64;
    let listeners = (scenario.relays.count * scenario.server_count()) as u64;
    let bad_clients = (scenario.bad.rate.0 * 8.0) as u64;
    sessions + listeners + 10 * scenario.relays.count as u64 + bad_clients + 64
}

/// Raises the soft limit of open files, as far as the system allows without privileges.
///
/// # Errors
/// Where it stays below `needed`. A limit that can't be read is no error: an open that fails reports it.
pub fn raise_descriptor_limit(scenario: &Scenario, needed: u64) -> Result<(), LabError> {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: both calls get a plain struct that outlives them.
    unsafe {
        if libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) != 0 {
            return Ok(());
        }
        if limit.rlim_cur < needed && limit.rlim_cur < limit.rlim_max {
            limit.rlim_cur = limit.rlim_max.min(needed.max(limit.rlim_cur));
            libc::setrlimit(libc::RLIMIT_NOFILE, &raw const limit);
            libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit);
        }
    }
    if limit.rlim_cur >= needed {
        return Ok(());
    }
    Err(LabError::DescriptorLimit {
        needed,
        sessions: scenario.most_open(),
        listeners: scenario.relays.count * scenario.server_count(),
        soft_limit: limit.rlim_cur,
        hard_limit: limit.rlim_max,
    })
}
