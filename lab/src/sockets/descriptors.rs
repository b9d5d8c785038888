//! Checks and raises the limit of file descriptors for a day.
use crate::error::LabError;
use hallrelay_config::scenario::Scenario;

/// Factor by which more descriptors are needed than for the open sessions alone, since sessions open while
/// others close, and all clients may return at the same time.
const SESSION_MARGIN: f64 = 1.34;

/// Number of file descriptors that the laboratory needs for a day: two per session, one per listening socket,
/// and a reserve.
pub fn descriptors_needed(scenario: &Scenario) -> u64 {
    let sessions = (scenario.most_open() * 2.0 * SESSION_MARGIN) as u64;
    let listeners = (scenario.relays.count * scenario.server_count()) as u64;
    let bad_clients = (scenario.bad.rate.0 * 8.0) as u64;
    sessions + listeners + 10 * scenario.relays.count as u64 + bad_clients + 64
}

/// Raises the soft limit of open files to `needed`, if the hard limit allows it.
///
/// # Errors
/// If the limit stays below `needed`. It is not an error if the limit can't be read, because opening a file
/// fails anyway when the limit is reached.
pub fn raise_descriptor_limit(scenario: &Scenario, needed: u64) -> Result<(), LabError> {
    let mut limit = libc::rlimit { rlim_cur: 0, rlim_max: 0 };
    // SAFETY: the pointers are to a plain struct that outlives the calls.
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
