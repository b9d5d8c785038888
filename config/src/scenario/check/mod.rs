//! Validates the values of a scenario beyond their types. Only the first invalid value is reported, in the
//! order of the checks.
mod faults;
mod relay_faults;

use super::{Listener, Relays, Scenario, Servers, Span};
use hallrelay_balancer::types::Micros;

/// Minimum length of the day.
const MIN_LENGTH: Micros = 1_000_000;
const MAX_RELAYS: usize = 300;
const MAX_VOTERS: usize = 7;
const MIN_SOCKETS: usize = 64;
const MAX_SERVERS: usize = 4096;
const MAX_ZONES: usize = 200;

/// A key with an invalid value, and why the value is invalid.
pub(super) struct InvalidKey {
    /// Path of the key, for example `listener[1].life_s`.
    pub(super) key: String,
    pub(super) reason: String,
}

/// Validates a scenario.
///
/// # Errors
/// The first key with an invalid value.
pub(super) fn check(scenario: &Scenario) -> Result<(), InvalidKey> {
    reject_if(scenario.length_s.us() < MIN_LENGTH, "length_s", "wanted at least 1 s")?;
    check_relays(&scenario.relays)?;
    check_servers(scenario)?;
    let listeners = &scenario.listeners;
    reject_if(listeners.is_empty(), "listener", "wanted at least one listener")?;
    let has_no_share = listeners.iter().all(|listener| listener.share.0 <= 0.0);
    reject_if(has_no_share, "listener", "wanted at least one share over 0")?;
    check_kinds(&scenario.servers)?;
    check_listeners(listeners)?;
    check_ranges(scenario)?;
    let report_every = scenario.servers.report_every_ms[0].us();
    reject_if(report_every == 0, "servers.report_every_ms", "wanted more than 0")?;
    reject_if(scenario.clients.message_s.us() == 0, "clients.message_s", "wanted more than 0")?;
    let has_no_sorts = scenario.bad.rate.0 > 0.0 && scenario.bad.sorts.is_empty();
    reject_if(has_no_sorts, "bad.sorts", "wanted at least one sort, as bad.rate is over 0")?;
    faults::check(scenario)
}

fn reject_if(is_invalid: bool, key: &str, reason: &str) -> Result<(), InvalidKey> {
    if is_invalid {
        Err(InvalidKey { key: key.to_string(), reason: reason.to_string() })
    } else {
        Ok(())
    }
}

fn check_relays(relays: &Relays) -> Result<(), InvalidKey> {
    let is_count_invalid = relays.count == 0 || relays.count > MAX_RELAYS;
    let reason = format!("wanted 1 to 300 relays, not {}", relays.count);
    reject_if(is_count_invalid, "relays.count", &reason)?;
    let lacks_state = relays.voters > 0 && !(relays.fleet && relays.state);
    reject_if(lacks_state, "relays.voters", "requires relays.fleet = true and relays.state = true")?;
    let has_too_many_voters = relays.voters > relays.count || relays.voters > MAX_VOTERS;
    let reason =
        format!("wanted at most 7, and at most relays.count = {}, not {}", relays.count, relays.voters);
    reject_if(has_too_many_voters, "relays.voters", &reason)?;
    reject_if(relays.fleet && relays.seeds == 0, "relays.seeds", "wanted at least 1")?;
    let reason = format!("wanted at least 64, not {}", relays.sockets);
    reject_if(relays.sockets < MIN_SOCKETS, "relays.sockets", &reason)?;
    reject_if(relays.most_dials == 0, "relays.most_dials", "wanted at least 1")
}

fn check_servers(scenario: &Scenario) -> Result<(), InvalidKey> {
    let servers = &scenario.servers;
    reject_if(servers.kinds.is_empty(), "servers.kind", "wanted at least one kind of server")?;
    let count = scenario.server_count();
    let is_count_invalid = count == 0 || count > MAX_SERVERS;
    let reason = format!("wanted 1 to 4096 servers in total, not {count}");
    reject_if(is_count_invalid, "servers.kind", &reason)?;
    let are_zones_invalid = servers.zones.is_empty() || servers.zones.len() > MAX_ZONES;
    let reason = format!("wanted 1 to 200 zones, not {}", servers.zones.len());
    reject_if(are_zones_invalid, "servers.zones", &reason)?;
    reject_if(servers.per_core.0 <= 0.0, "servers.per_core", "wanted more than 0")?;
    reject_if(servers.cap_per_core == 0, "servers.cap_per_core", "wanted at least 1")?;
    let never_warms = servers.cold_from.0 <= 0.0;
    reject_if(
        never_warms,
        "servers.cold_from",
        "wanted more than 0, as a server without capacity never warms up",
    )
}

fn check_kinds(servers: &Servers) -> Result<(), InvalidKey> {
    for (index, kind) in servers.kinds.iter().enumerate() {
        let key = |name: &str| format!("servers.kind[{index}].{name}");
        reject_if(kind.cores == 0, &key("cores"), "wanted at least 1")?;
        reject_if(kind.speed.0 <= 0.0, &key("speed"), "wanted more than 0")?;
    }
    Ok(())
}

fn check_listeners(listeners: &[Listener]) -> Result<(), InvalidKey> {
    for (index, listener) in listeners.iter().enumerate() {
        let key = |name: &str| format!("listener[{index}].{name}");
        let dial_timeout = listener.dial_timeout_ms.us();
        let is_shorter = dial_timeout < listener.handshake_target_ms.us();
        let target_ms = listener.handshake_target_ms.us() as f64 / 1e3;
        let reason = format!("is shorter than handshake_target_ms = {target_ms}");
        reject_if(is_shorter, &key("dial_timeout_ms"), &reason)?;
        reject_if(dial_timeout == 0, &key("dial_timeout_ms"), "wanted more than 0")?;
        reject_if(listener.life_s.us() == 0, &key("life_s"), "wanted more than 0")?;
        reject_if(listener.load.0 <= 0.0, &key("load"), "wanted more than 0")?;
        let reason = format!("wanted ASCII letters, digits, - and _, not {:?}", listener.name);
        reject_if(!is_name(&listener.name), &key("name"), &reason)?;
        let is_duplicate = listeners[..index].iter().any(|earlier| earlier.name == listener.name);
        reject_if(is_duplicate, &key("name"), "is the name of an earlier listener")?;
    }
    Ok(())
}

fn is_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !name.is_empty() && name.chars().all(is_allowed)
}

/// Checks that the first time of each pair, which are the bounds of a random time, is not the longer one.
fn check_ranges(scenario: &Scenario) -> Result<(), InvalidKey> {
    let Scenario { clients, list, servers, .. } = scenario;
    let ranges = [
        ("clients.wait_ms", clients.wait_ms.map(Span::us)),
        ("clients.rejoin_ms", clients.rejoin_ms.map(Span::us)),
        ("clients.front_notice_s", clients.front_notice_s.map(Span::us)),
        ("list.notice_s", list.notice_s.map(Span::us)),
        ("list.silent_notice_s", list.silent_notice_s.map(Span::us)),
        ("list.add_s", list.add_s.map(Span::us)),
        ("servers.report_every_ms", servers.report_every_ms.map(Span::us)),
        ("servers.report_late_ms", servers.report_late_ms.map(Span::us)),
    ];
    for (key, [shortest, longest]) in ranges {
        let (first_ms, second_ms) = (shortest as f64 / 1e3, longest as f64 / 1e3);
        let reason = format!("the first time is longer than the second: {first_ms} and {second_ms} ms");
        reject_if(shortest > longest, key, &reason)?;
    }
    Ok(())
}
