//! A relay's configuration: addresses, limits, settings, and the endpoint list that it starts from.
use crate::error::ConfigError;
use crate::facts::{self, Site};
use crate::fleet::{self, ComparedKey, FleetConfig};
use crate::json_node::JsonNode;
use crate::limits::{Limits, Uses};
use crate::list::{self, List};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration of one relay.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The relay's name.
    pub name: String,
    /// Address at which clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Address of the operators' HTTP interface; none where it is off.
    pub operator: Option<SocketAddr>,
    /// Membership of a fleet of relays; none where this relay is not part of one.
    pub fleet: Option<FleetConfig>,
    /// Directory of the durable state; none where nothing is stored.
    pub state: Option<PathBuf>,
    /// Checksum of the settings that all relays share.
    pub digest: u32,
    /// Seed of the relay's random numbers.
    pub seed: u64,
    /// The site's settings.
    pub site: Site,
    /// The endpoint list to start with; empty by default.
    pub known: List,
    /// Sizes, counts and times that bound the program.
    pub limits: Limits,
    /// File descriptors that the limits of counts are derived from; 1024 by default.
    pub sockets: usize,
}

/// Values from the environment or the command line that replace those of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// In place of `name`.
    pub name: Option<String>,
    /// In place of `listen`.
    pub listen: Option<String>,
    /// In place of `discovery`.
    pub discovery: Option<String>,
    /// In place of `operator`.
    pub operator: Option<String>,
}

impl Overrides {
    /// The overrides that hold on a reload: the address of discovery is that of the new configuration.
    pub fn for_reload(self) -> Overrides {
        Overrides { discovery: None, ..self }
    }
}

impl Node {
    /// Keys that differ in a reloaded configuration and can't change while the program runs. Its endpoint
    /// list and its seed are not compared: the running relay retains its own.
    pub fn fixed(&self, later: &Node) -> Vec<&'static str> {
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
    /// The descriptors don't suffice under them; the former settings stay.
    pub fn tune(&mut self, mut site: Site) -> Result<(), ConfigError> {
        let (own, new) = (&self.site.facts, &mut site.facts);
        new.must_watch = own.must_watch;
        new.relay_index = own.relay_index;
        new.zone = own.zone;
        (self.site, self.limits) = derive_limits(site, self.sockets, self.uses())?;
        Ok(())
    }
}

/// The limits that follow from a site's settings, and the site with its session limit within them.
fn derive_limits(mut site: Site, sockets: usize, uses: Uses) -> Result<(Site, Limits), ConfigError> {
    let limits = Limits::new(&site, sockets, uses)?;
    // No more sessions than this machine has descriptors for.
    site.facts.max_sessions = site.facts.max_sessions.min(limits.max_sessions);
    Ok((site, limits))
}

/// Checks the times and counts that must be more than 0, and that listeners have different names.
fn check_positive(settings: &JsonNode) -> Result<(), ConfigError> {
    let positive = |at: JsonNode| if at.number()? > 0.0 { Ok(()) } else { at.invalid("more than 0") };
    let ceilings = settings.key("Ceilings")?;
    ["MostDials", "MaxOpen", "ConnectTimeout"].iter().try_for_each(|key| positive(ceilings.key(key)?))?;
    let listeners = settings.key("Listeners")?.list()?;
    for (index, listener) in listeners.iter().enumerate() {
        ["DialTimeout", "HandshakeTarget"].iter().try_for_each(|key| positive(listener.key(key)?))?;
        let name = listener.key("Name")?;
        if listeners[..index].iter().any(|other| other.value["Name"] == *name.value) {
            return name.invalid("a name that no listener before it has");
        }
    }
    Ok(())
}

/// File descriptors where the configuration has no number: those of a small machine.
const DEFAULT_SOCKETS: usize = 1024;

/// Reads a configuration (JSON), checks it and applies its defaults.
///
/// # Errors
/// Not JSON, a key that is missing, or a value that can't be used.
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

/// The override of a key, or else its value.
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
        "" => at.invalid("a folder"),
        path => Ok(PathBuf::from(path)),
    });
    path.transpose()
}

/// A relay that votes must have durable state.
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
