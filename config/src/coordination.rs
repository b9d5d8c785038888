//! Coordination between the relays of a fleet: the keys `voters`, `budgets`, `begin_within`, `moves_per_s`,
//! `kind` and `group` of the table `fleet`.
//!
//! The voters grant leases. A lease permits its holder to take one relay or backend out of service, and is
//! granted only if the disruption budgets allow it: each limits how many may be unavailable at the same
//! time.
use crate::error::ConfigError;
use crate::fleet::{is_name, MAX_NAME_BYTES};
use crate::json_node::JsonNode;
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{Budget, Scope, TargetKind, MAX_BUDGETS};

/// Default time in seconds within which the holder of a lease must begin the disruption: long enough to
/// receive the lease and to begin. Requests for the same budget wait at most this long for a holder that
/// never begins.
const DEFAULT_LEASE_START_S: f64 = 10.0;
/// Default rate of migrations per second. At this rate a backend with a few hundred sessions is drained in
/// about half a minute.
const DEFAULT_MOVES_PER_S: u32 = 20;
/// Largest number of voters.
const MAX_VOTERS: usize = 7;

/// The voters, the limits that they enforce, and this relay's place in the budgets.
#[derive(Clone, Debug, PartialEq)]
pub struct CoordinationConfig {
    /// Names of the voting relays: 1 to 7 different names, usually three or five.
    pub voters: Vec<String>,
    /// Disruption budgets, at most 64; none by default.
    pub budgets: Vec<Budget>,
    /// Time in microseconds after which a lease expires if its holder has not begun: 1 to 3600 s; 10 s by
    /// default.
    pub lease_start_timeout: Micros,
    /// Sessions per second that all relays together migrate away from draining backends: 1 to 100,000; 20 by
    /// default.
    pub moves_per_s: u32,
    /// Name of this relay's failure domain in budgets of scope `kind`, at most 64 bytes; empty for none.
    pub kind: String,
    /// Name of this relay's failure domain in budgets of scope `group`, at most 64 bytes; empty for none.
    pub group: String,
}

/// Decodes the keys from the table `fleet`; `voters` is the value of its key `voters`.
///
/// # Errors
/// A key is missing or invalid.
pub(crate) fn decode(table: &JsonNode, voters: &JsonNode) -> Result<CoordinationConfig, ConfigError> {
    let voters = decode_voters(voters)?;
    let budgets = table.option("budgets").map_or(Ok(Vec::new()), |node| decode_budgets(&node))?;
    let lease_start_s =
        table.option("begin_within").map_or(Ok(DEFAULT_LEASE_START_S), |node| match node.number()? {
            seconds if (1.0..=3600.0).contains(&seconds) => Ok(seconds),
            _ => node.invalid("1 to 3600 s"),
        })?;
    let moves_per_s = table.option("moves_per_s").map_or(Ok(DEFAULT_MOVES_PER_S), |node| {
        match node.bounded_integer()? {
            moves if (1..=100_000).contains(&moves) => Ok(moves),
            _ => node.invalid("1 to 100000 per second"),
        }
    })?;
    let (kind, group) = (decode_domain(table, "kind")?, decode_domain(table, "group")?);
    Ok(CoordinationConfig {
        voters,
        budgets,
        lease_start_timeout: (lease_start_s * 1e6) as Micros,
        moves_per_s,
        kind,
        group,
    })
}

fn decode_voters(node: &JsonNode) -> Result<Vec<String>, ConfigError> {
    let names = node.list()?;
    let names =
        names.iter().map(|name| Ok(name.text()?.to_string())).collect::<Result<Vec<_>, ConfigError>>()?;
    let has_duplicate = (1..names.len()).any(|index| names[..index].contains(&names[index]));
    let is_valid = !names.is_empty() && names.len() <= MAX_VOTERS && names.iter().all(|name| is_name(name));
    if has_duplicate || !is_valid {
        return node.invalid("1 to 7 different names of relays, usually 3 or 5");
    }
    Ok(names)
}

/// Decodes the name of a failure domain; empty if the key is missing.
fn decode_domain(table: &JsonNode, key: &str) -> Result<String, ConfigError> {
    table.option(key).map_or(Ok(String::new()), |node| match node.text()? {
        text if text.len() <= MAX_NAME_BYTES => Ok(text.to_string()),
        _ => node.invalid("at most 64 bytes"),
    })
}

fn decode_budgets(node: &JsonNode) -> Result<Vec<Budget>, ConfigError> {
    let list = node.list()?;
    if list.len() > MAX_BUDGETS {
        return node.invalid("at most 64 budgets");
    }
    list.iter().map(decode_budget).collect()
}

fn decode_budget(node: &JsonNode) -> Result<Budget, ConfigError> {
    const KINDS: [(&str, TargetKind); 2] = [("relay", TargetKind::Relay), ("backend", TargetKind::Backend)];
    const SCOPES: [(&str, Scope); 4] =
        [("fleet", Scope::Fleet), ("zone", Scope::Zone), ("kind", Scope::Kind), ("group", Scope::Group)];
    let target_kind = one_of(&node.key("of")?, &KINDS, "relay or backend")?;
    let scope = one_of(&node.key("scope")?, &SCOPES, "fleet, zone, kind or group")?;
    let max_count: Option<u32> = node.option("count").map(|node| node.bounded_integer()).transpose()?;
    let share = node.option("share").map(|node| match node.number()? {
        share if (0.0..=1.0).contains(&share) => Ok((share * 1e6).round() as u32),
        _ => node.invalid("0 to 1"),
    });
    let max_share_ppm = share.transpose()?;
    if max_count.is_none() && max_share_ppm.is_none() {
        return node.invalid("a count, a share, or both");
    }
    Ok(Budget { target_kind, scope, max_count, max_share_ppm })
}

fn one_of<T: Clone>(node: &JsonNode, words: &[(&str, T)], wanted: &str) -> Result<T, ConfigError> {
    let found = words.iter().find(|(word, _)| node.text().is_ok_and(|text| text == *word));
    found.map_or_else(|| node.invalid(wanted), |(_, value)| Ok(value.clone()))
}
