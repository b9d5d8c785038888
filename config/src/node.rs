//! A relay's configuration: addresses, limits, settings, and the initial endpoint list.
use crate::error::ConfigError;
use crate::facts::{self, Site};
use crate::fleet::{self, ComparedKey, FleetConfig};
use crate::json_node::JsonNode;
use crate::limits::{Limits, Uses};
use crate::list::{self, List};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Configuration of one relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The relay's name.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the operators' HTTP interface; `None` if it is disabled.
    pub operator: Option<SocketAddr>,
    /// Membership of a fleet of relays; `None` if this relay is not part of a fleet.
    pub fleet: Option<FleetConfig>,
    /// Directory of the durable state; `None` if nothing is stored.
    pub state: Option<PathBuf>,
    /// Checksum of the settings that all relays of the fleet share, by which relays compare their settings.
    pub digest: u32,
    /// Seed of the relay's random numbers; the configuration has it as a hexadecimal text.
    pub seed: u64,
    /// The site's settings.
    pub site: Site,
    /// The initial endpoint list; empty by default.
    pub known: List,
    /// Sizes, counts and times that bound the program.
    pub limits: Limits,
    /// Number of file descriptors, from which the limits on counts are derived; 1024 by default.
    pub sockets: usize,
}

/// Values from the environment or the command line that override those of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Replaces `name`.
    pub name: Option<String>,
    /// Replaces `listen`.
    pub listen: Option<String>,
    /// Replaces `discovery`.
    pub discovery: Option<String>,
    /// Replaces `operator`.
    pub operator: Option<String>,
}

impl Overrides {
    /// Returns the overrides that apply to a reloaded configuration: all except that of discovery's address,
    /// which a reload takes from the file.
    pub fn for_reload(self) -> Overrides {
        Overrides { discovery: None, ..self }
    }
}

impl Node {
    /// Returns the keys that can't change while the program runs, but differ in the configuration `later`.
    /// The endpoint list and the seed are not compared, because the running relay keeps those that it has.
    pub fn changed_fixed_keys(&self, later: &Node) -> Vec<&'static str> {
        let (own, new) = (&self.site.facts, &later.site.facts);
        let has_moved = own.relay_index != new.relay_index || own.zone != new.zone;
        let fleet = match (&self.fleet, &later.fleet) {
            (Some(own), Some(new)) => Vec::from(own.fixed_keys(new)),
            (own, new) => vec![ComparedKey::new("fleet", own.is_some() != new.is_some())],
        };
        let keys = [
            ComparedKey::new("name", self.name != later.name),
            ComparedKey::new("listen", self.listen != later.listen),
            ComparedKey::new("operator", self.operator != later.operator),
            ComparedKey::new("state", self.state != later.state),
            ComparedKey::new("limits", self.sockets != later.sockets),
            ComparedKey::new("settings.Discovery", own.must_watch != new.must_watch),
            // A different `Zone` is reported as `SlotNo` too.
            ComparedKey::new("settings.SlotNo", has_moved),
        ];
        keys.into_iter().chain(fleet).filter(|key| key.differs).map(|key| key.path).collect()
    }

    fn uses(&self) -> Uses {
        Uses { operator: self.operator.is_some(), fleet: self.fleet.is_some(), state: self.state.is_some() }
    }

    /// Applies reloaded settings, except those that can't change while the program runs.
    ///
    /// # Errors
    /// The file descriptors do not suffice under the new settings. The previous settings stay in effect.
    pub fn apply_settings(&mut self, mut site: Site) -> Result<(), ConfigError> {
        let (own, new) = (&self.site.facts, &mut site.facts);
        new.must_watch = own.must_watch;
        new.relay_index = own.relay_index;
        new.zone = own.zone;
        (self.site, self.limits) = derive_limits(site, self.sockets, self.uses())?;
        Ok(())
    }
}

/// Derives the limits from a site's settings, and lowers the site's maximum number of sessions to the
/// number for which this machine has file descriptors.
fn derive_limits(mut site: Site, sockets: usize, uses: Uses) -> Result<(Site, Limits), ConfigError> {
    let limits = Limits::new(&site, sockets, uses)?;
    site.facts.max_sessions = site.facts.max_sessions.min(limits.max_sessions);
    Ok((site, limits))
}

/// Checks that certain times and counts are more than 0, and that the names of listeners are unique.
fn check_values(settings: &JsonNode) -> Result<(), ConfigError> {
    let positive = |node: JsonNode| if node.number()? > 0.0 { Ok(()) } else { node.invalid("more than 0") };
    let ceilings = settings.key("Ceilings")?;
    ["MostDials", "MaxOpen", "ConnectTimeout"].iter().try_for_each(|key| positive(ceilings.key(key)?))?;
    let listeners = settings.key("Listeners")?.list()?;
    for (index, listener) in listeners.iter().enumerate() {
        ["DialTimeout", "HandshakeTarget"].iter().try_for_each(|key| positive(listener.key(key)?))?;
        let name = listener.key("Name")?;
        if listeners[..index].iter().any(|other| other.value["Name"] == *name.value) {
            return name.invalid("a name that no earlier listener has");
        }
    }
    Ok(())
}

/// Default number of file descriptors: the usual limit for a process of a small machine.
const DEFAULT_SOCKETS: usize = 1024;

/// Parses a configuration (JSON), validates it and applies defaults.
///
/// # Errors
/// The text is not JSON, or a key is missing or invalid.
pub fn parse(text: &[u8], overrides: &Overrides) -> Result<Node, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::NotJson)?;
    let top = JsonNode::root(&value);
    let operator = decode_operator(&top, overrides)?;
    let sockets = top.option("limits").and_then(|node| node.option("sockets"));
    let sockets = sockets.map_or(Ok(DEFAULT_SOCKETS), |node| node.bounded_integer())?;
    let settings = top.key("settings")?;
    let site = facts::decode(&settings)?;
    check_values(&settings)?;
    let name = text_of(&top, "name", &overrides.name)?;
    let fleet = fleet::decode(&top, &name)?;
    let state = decode_state(&top)?;
    check_voter_state(&name, fleet.as_ref(), state.is_some())?;
    let uses = Uses { operator: operator.is_some(), fleet: fleet.is_some(), state: state.is_some() };
    let (site, limits) = derive_limits(site, sockets, uses)?;
    let listen = addr_of(&top, "listen", &overrides.listen)?;
    let discovery = addr_of(&top, "discovery", &overrides.discovery)?;
    Ok(Node {
        name,
        listen,
        discovery,
        operator,
        fleet,
        state,
        digest: fleet::settings_digest(settings.value),
        seed: decode_seed(&top.key("seed")?)?,
        known: top.option("known").map_or(Ok(List::default()), |node| list::decode_strict(&node))?,
        site,
        limits,
        sockets,
    })
}

/// Returns the override of a key if there is one, otherwise the key's value in the configuration.
fn text_of(top: &JsonNode, key: &str, overriding: &Option<String>) -> Result<String, ConfigError> {
    match overriding {
        Some(text) => Ok(text.clone()),
        None => Ok(top.key(key)?.text()?.to_string()),
    }
}

fn addr_of(top: &JsonNode, key: &str, overriding: &Option<String>) -> Result<SocketAddr, ConfigError> {
    parse_addr(key, &text_of(top, key, overriding)?)
}

fn parse_addr(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidValue {
        path: key.to_string(),
        value: format!("\"{text}\""),
        wanted: "an address with a port".to_string(),
    })
}

fn decode_operator(top: &JsonNode, overrides: &Overrides) -> Result<Option<SocketAddr>, ConfigError> {
    match (&overrides.operator, top.option("operator")) {
        (Some(text), _) => Ok(Some(parse_addr("operator", text)?)),
        (None, Some(node)) => Ok(Some(parse_addr("operator", node.text()?)?)),
        (None, None) => Ok(None),
    }
}

fn decode_state(top: &JsonNode) -> Result<Option<PathBuf>, ConfigError> {
    let path = top.option("state").map(|node| match node.text()? {
        "" => node.invalid("the path of a directory"),
        path => Ok(PathBuf::from(path)),
    });
    path.transpose()
}

/// Checks that a voting relay has durable state.
fn check_voter_state(name: &str, fleet: Option<&FleetConfig>, has_state: bool) -> Result<(), ConfigError> {
    let coordination = fleet.and_then(|fleet| fleet.coordination.as_ref());
    if coordination.is_some_and(|config| config.voters.iter().any(|voter| voter == name)) && !has_state {
        return Err(ConfigError::VoterWithoutState);
    }
    Ok(())
}

fn decode_seed(node: &JsonNode) -> Result<u64, ConfigError> {
    u64::from_str_radix(node.text()?, 16).or_else(|_| node.invalid("16 hexadecimal digits"))
}
