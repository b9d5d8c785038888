//! The table `fleet` of a relay's configuration: the address at which other relays reach this one, the
//! addresses of other relays, and the coordination between all of them. Without the table, the relay opens
//! no socket for messages between relays.
use crate::coordination::{self, CoordinationConfig};
use crate::error::ConfigError;
use crate::json_node::JsonNode;
use serde_json::Value;
use std::net::SocketAddr;

/// Longest name of a relay or a fleet that fits into messages between relays.
pub(crate) const MAX_NAME_BYTES: usize = 64;
/// Largest number of configured peer addresses.
const MAX_PEERS: usize = 1024;

/// Keys of the table. A key that starts with `//` is a comment.
const KEYS: [&str; 10] = [
    "name",
    "listen",
    "advertise",
    "peers",
    "voters",
    "budgets",
    "begin_within",
    "moves_per_s",
    "kind",
    "group",
];
/// Settings that may differ between the relays of one fleet.
const PER_RELAY_SETTINGS: [&str; 2] = ["SlotNo", "Zone"];

/// Configuration of a relay's membership in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Name of the fleet, 1 to 64 bytes.
    pub name: String,
    /// Address at which datagrams and streams of other relays are received.
    pub listen: SocketAddr,
    /// Address at which other relays reach this one, `listen` by default. Neither its IP address nor its
    /// port is 0.
    pub advertise: SocketAddr,
    /// Addresses at which other relays may be found, at most 1024. The relay's own address may be among
    /// them.
    pub peers: Vec<SocketAddr>,
    /// Coordination between the relays; `None` if no voters are configured.
    pub coordination: Option<CoordinationConfig>,
}

/// The result of comparing one key between two configurations.
pub(crate) struct ComparedKey {
    /// The key's path.
    pub(crate) path: &'static str,
    /// Whether the values of the key differ.
    pub(crate) differs: bool,
}

impl ComparedKey {
    pub(crate) fn new(path: &'static str, differs: bool) -> ComparedKey {
        ComparedKey { path, differs }
    }
}

impl FleetConfig {
    /// Compares the keys that can't change while the program runs with those of a later configuration.
    pub(crate) fn fixed_keys(&self, later: &FleetConfig) -> [ComparedKey; 4] {
        [
            ComparedKey::new("fleet.name", self.name != later.name),
            ComparedKey::new("fleet.listen", self.listen != later.listen),
            ComparedKey::new("fleet.advertise", self.advertise != later.advertise),
            // All keys of the coordination are reported as `fleet.voters`.
            ComparedKey::new("fleet.voters", self.coordination != later.coordination),
        ]
    }
}

/// Decodes the table `fleet` of the configuration `top`; `None` if it is missing. `relay` is the relay's
/// name.
///
/// # Errors
/// A key is missing or invalid.
pub fn decode(top: &JsonNode, relay: &str) -> Result<Option<FleetConfig>, ConfigError> {
    let Some(table) = top.option("fleet") else { return Ok(None) };
    check_keys(&table)?;
    check_ceilings(top)?;
    let name = table.key("name")?;
    if !is_name(name.text()?) {
        return name.invalid("a name of 1 to 64 bytes");
    }
    if !is_name(relay) {
        return Err(ConfigError::InvalidValue {
            path: "name".to_string(),
            value: format!("\"{relay:.80}\""),
            wanted: "1 to 64 bytes, because fleet is given".to_string(),
        });
    }
    let listen = addr(&table.key("listen")?)?;
    let peers = table.key("peers")?;
    let peer_list = peers.list()?;
    if peer_list.len() > MAX_PEERS {
        return Err(ConfigError::TooManyPeers { count: peer_list.len(), max: MAX_PEERS });
    }
    let advertise = decode_advertise(&table, listen)?;
    Ok(Some(FleetConfig {
        name: name.text()?.to_string(),
        listen,
        advertise,
        peers: peer_list.iter().map(addr).collect::<Result<_, _>>()?,
        coordination: table
            .option("voters")
            .map(|voters| coordination::decode(&table, &voters))
            .transpose()?,
    }))
}

fn check_keys(table: &JsonNode) -> Result<(), ConfigError> {
    let Some(keys) = table.value.as_object() else { return table.invalid("a table") };
    match keys.keys().find(|key| !KEYS.contains(&key.as_str()) && !key.starts_with("//")) {
        Some(unknown) => Err(ConfigError::UnknownKey { path: format!("fleet.{unknown}"), known: &KEYS }),
        None => Ok(()),
    }
}

/// Rejects a fleet if the settings forbid messages between relays.
fn check_ceilings(top: &JsonNode) -> Result<(), ConfigError> {
    let ceilings = top.key("settings")?.key("Ceilings")?;
    let allowed = ceilings.option("PeerMessages").map_or(Ok(true), |node| node.boolean())?;
    if allowed {
        return Ok(());
    }
    Err(ConfigError::PeerMessagesForbidden)
}

fn decode_advertise(table: &JsonNode, listen: SocketAddr) -> Result<SocketAddr, ConfigError> {
    let given = table.option("advertise");
    let advertise = given.as_ref().map_or(Ok(listen), addr)?;
    if advertise.ip().is_unspecified() || advertise.port() == 0 {
        let at_fault = given.unwrap_or(table.key("listen")?);
        return at_fault.invalid(
            "an address and a port at which other relays reach this one, or fleet.advertise with these",
        );
    }
    Ok(advertise)
}

/// Whether a name has 1 to 64 bytes, as messages between relays require.
pub(crate) fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES
}

fn addr(node: &JsonNode) -> Result<SocketAddr, ConfigError> {
    node.text()?.parse().or_else(|_| node.invalid("an address with a port"))
}

/// Returns a checksum of the settings that all relays of a fleet share. It does not depend on the order of
/// the keys, because it is computed over a JSON text with sorted keys.
pub fn settings_digest(settings: &Value) -> u32 {
    let mut shared = settings.clone();
    if let Some(keys) = shared.as_object_mut() {
        keys.retain(|key, _| !PER_RELAY_SETTINGS.contains(&key.as_str()));
    }
    crc32fast::hash(shared.to_string().as_bytes())
}
