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
    /// Checksum of the settings that all relays of the fleet share.
    pub digest: u32,
    /// Seed of the relay's random numbers.
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
    /// The overrides that apply on a reload. The address of discovery comes from the new configuration.
    pub fn for_reload(self) -> Overrides {
        Overrides { discovery: None, ..self }
    }
}

impl Node {
    /// Keys that differ in a reloaded configuration but can't change while the program runs. The endpoint
    /// list and the seed are not compared, as the running relay keeps its own.
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

/// Derives the limits from a site's settings, and reduces the site's session limit to them.
fn derive_limits(mut site: Site, sockets: usize, uses: Uses) -> Result<(Site, Limits), ConfigError> {
    let limits = Limits::new(&site, sockets, uses)?;
    // At most as many sessions as this machine has descriptors for.
    site.facts.max_sessions = site.facts.max_sessions.min(limits.max_sessions);
    Ok((site, limits))
}

/// Checks that times and counts that must be positive are, and that the names of listeners are unique.
fn check_positive(settings: &JsonNode) -> Result<(), ConfigError> {
    let positive = |at: JsonNode| if at.number()? > 0.0 { Ok(()) } else { at.invalid("more than 0") };
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

/// Default number of file descriptors: the limit of a small machine.
const DEFAULT_SOCKETS: usize = 1024;

/// Parses a configuration (JSON), validates it and applies defaults.
///
/// # Errors
/// The text is not JSON, or a key is missing or invalid.
pub fn parse(text: &[u8], overrides: &Overrides) -> Result<Node, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::NotJson)?;
    let top = JsonNode::root(&value);
    let operator = decode_operator(&top, overrides)?;
    let sockets = top.option("limits").and_then(|at| at.option("sockets"));
    let sockets = sockets.map_or(Ok(DEFAULT_SOCKETS), |at| at.bounded_integer())?;
    let settings = top.key("settings")?;
    let site = facts::decode(&settings)?;
    check_positive(&settings)?;
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
        known: top.option("known").map_or(Ok(List::default()), |at| list::decode_strict(&at))?,
        site,
        limits,
        sockets,
    })
}

/// The override of a key, or its value in the configuration.
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
        (None, Some(at)) => Ok(Some(parse_addr("operator", at.text()?)?)),
        (None, None) => Ok(None),
    }
}

fn decode_state(top: &JsonNode) -> Result<Option<PathBuf>, ConfigError> {
    let path = top.option("state").map(|at| match at.text()? {
        "" => at.invalid("the path of a directory"),
        path => Ok(PathBuf::from(path)),
    });
    path.transpose()
}

/// Voting relays must have durable state.
fn check_voter_state(name: &str, fleet: Option<&FleetConfig>, has_state: bool) -> Result<(), ConfigError> {
    let coordination = fleet.and_then(|fleet| fleet.coordination.as_ref());
    if coordination.is_some_and(|config| config.voters.iter().any(|voter| voter == name)) && !has_state {
        return Err(ConfigError::VoterWithoutState);
    }
    Ok(())
}

fn decode_seed(at: &JsonNode) -> Result<u64, ConfigError> {
    u64::from_str_radix(at.text()?, 16).or_else(|_| at.invalid("16 hexadecimal digits"))
}
