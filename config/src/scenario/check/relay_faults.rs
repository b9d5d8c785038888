//! Validates the keys of faults that affect relays and the links between them.
use super::super::FaultKind::{
    LinkCut, LinkDamage, LinkDelay, LinkDouble, LinkLoss, LinkReorder, LinkSplit, ListCut, RelayLooping,
    RelayStalled, RelaysOut, ServersCut,
};
use super::faults::FaultCheck;
use super::InvalidKey;
use hallrelay_balancer::types::Micros;

/// Minimum period of an intermittent fault (`every_s`).
const MIN_PERIOD: Micros = 100_000;

pub(super) fn check(check: &FaultCheck) -> Result<(), InvalidKey> {
    check_kind(check)?;
    check_relay_numbers(check)?;
    check_selection(check)?;
    check_period(check)?;
    check_strength(check)?;
    check_delay(check)
}

fn check_kind(check: &FaultCheck) -> Result<(), InvalidKey> {
    let (kind, relays) = (check.fault.kind, &check.scenario.relays);
    let lacks_fleet = kind.is_link() && !relays.fleet;
    check.reject_if(
        lacks_fleet,
        "kind",
        "requires relays that form a fleet, but relays.fleet is not true",
    )?;
    let lacks_voters = kind == RelaysOut && relays.voters == 0;
    check.reject_if(lacks_voters, "kind", "requires voters that grant leases, but relays.voters is 0")?;
    let must_last = kind.is_link() || matches!(kind, RelayStalled | RelayLooping | ListCut | ServersCut);
    check.reject_if(must_last && check.fault.length_s.us() == 0, "length_s", "wanted more than 0")
}

fn check_relay_numbers(check: &FaultCheck) -> Result<(), InvalidKey> {
    let fault = check.fault;
    let count = check.scenario.relays.count;
    let unknown_relay = format!("names a relay that does not exist, wanted 0 to {}", count.saturating_sub(1));
    let is_unknown = |relay: usize| relay >= count;
    let has_unknown = |relays: &[usize]| relays.iter().any(|&relay| is_unknown(relay));
    let lists = [("relays", &fault.relays), ("from", &fault.from), ("to", &fault.to)];
    for (name, list) in lists {
        check.reject_if(has_unknown(list), name, &unknown_relay)?;
    }
    let groups_have_unknown = fault.groups.iter().any(|group| has_unknown(group));
    check.reject_if(groups_have_unknown, "groups", &unknown_relay)?;
    let members: Vec<usize> = fault.groups.iter().flatten().copied().collect();
    let has_duplicate = (1..members.len()).any(|index| members[..index].contains(&members[index]));
    check.reject_if(
        has_duplicate,
        "groups",
        "names a relay twice, wanted `bridge` for a relay that reaches all groups",
    )?;
    check.reject_if(fault.bridge.is_some_and(is_unknown), "bridge", &unknown_relay)
}

/// Checks that keys which select relays or links are only given for kinds of faults that use them.
fn check_selection(check: &FaultCheck) -> Result<(), InvalidKey> {
    let fault = check.fault;
    let is_split = fault.kind == LinkSplit;
    let has_split_keys = !fault.groups.is_empty() || fault.bridge.is_some();
    check.reject_if(!is_split && has_split_keys, "groups", "applies only to kind = \"link-split\"")?;
    let has_links = fault.kind.is_link() && !is_split;
    let has_link_keys = !fault.from.is_empty() || !fault.to.is_empty();
    check.reject_if(
        has_link_keys && !has_links,
        "from",
        "applies only to link faults other than link-split",
    )?;
    let is_one_way_invalid = fault.one_way && (!has_links || fault.from.is_empty());
    check.reject_if(
        is_one_way_invalid,
        "one_way",
        "requires `from`, and a link fault other than link-split",
    )?;
    let has_relays_misplaced = !fault.relays.is_empty() && !fault.kind.is_of_relays();
    check.reject_if(has_relays_misplaced, "relays", "applies only to faults of relays")
}

fn check_period(check: &FaultCheck) -> Result<(), InvalidKey> {
    let kind = check.fault.kind;
    let period = check.fault.every_s.us();
    let is_intermittent = matches!(kind, LinkCut | LinkSplit);
    let may_have_period = is_intermittent || kind == RelayLooping;
    check.reject_if(period > 0 && !may_have_period, "every_s", "does not apply to this kind")?;
    let is_too_short = period < MIN_PERIOD && (kind == RelayLooping || is_intermittent && period > 0);
    let reason = format!("wanted at least 0.1 s, not {} s", period as f64 / 1e6);
    check.reject_if(is_too_short, "every_s", &reason)
}

fn check_strength(check: &FaultCheck) -> Result<(), InvalidKey> {
    let strength = check.fault.strength.0;
    let is_fraction = matches!(check.fault.kind, LinkLoss | LinkDouble | LinkReorder | LinkDamage);
    let is_out_of_range = is_fraction && !(strength > 0.0 && strength <= 1.0);
    let reason = format!("wanted a fraction of datagrams over 0 and at most 1, not {strength}");
    check.reject_if(is_out_of_range, "strength", &reason)
}

fn check_delay(check: &FaultCheck) -> Result<(), InvalidKey> {
    let has_delay = matches!(check.fault.kind, LinkDelay | LinkReorder);
    let [shortest, longest] = check.fault.delay_ms.map(|time| time.us());
    check.reject_if(shortest > longest, "delay_ms", "the first time is longer than the second")?;
    check.reject_if(has_delay && longest == 0, "delay_ms", "wanted two times, [shortest, longest]")?;
    check.reject_if(!has_delay && longest > 0, "delay_ms", "does not apply to this kind")
}
