//! What one relay is told at its start: its addresses, limits, settings and the list as it last had it.
use crate::at::At;
use crate::error::ConfigError;
use crate::facts::{self, Site};
use crate::fleet::{self, FleetConfig};
use crate::limits::{Limits, Uses};
use crate::list::{self, List};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators' calls come; none where nobody calls.
    pub operator: Option<SocketAddr>,
    /// The other relays; none where this one is to know of none.
    pub fleet: Option<FleetConfig>,
    /// The folder in which it keeps what it must know after a restart; none where nothing is kept.
    pub state: Option<PathBuf>,
    /// Of the settings: the same where these are.
    pub digest: u32,
    pub seed: u64,
    pub site: Site,
    pub known: List,
    pub limits: Limits,
    /// Descriptors that all limits of counts come from.
    pub sockets: usize,
}

/// What the environment or the command line says in place of the text.
#[derive(Clone, Debug, Default)]
pub struct Told {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub operator: Option<String>,
}

impl Told {
    /// What holds as the text is read anew: where discovery is, the new text alone tells.
    pub fn again(self) -> Told {
        Told { discovery: None, ..self }
    }
}

impl Node {
    /// Keys that differ in a text read later and can't change while the program runs. The list in it may be
    /// old, and the seed is that of the start.
    pub fn fixed(&self, later: &Node) -> Vec<&'static str> {
        let (own, new) = (&self.site.facts, &later.site.facts);
        let fleet = match (&self.fleet, &later.fleet) {
            (Some(own), Some(new)) => own.fixed_keys(new).to_vec(),
            (own, new) => vec![("fleet", own.is_some() != new.is_some())],
        };
        let keys = [
            ("name", self.name != later.name),
            ("listen", self.listen != later.listen),
            ("operator", self.operator != later.operator),
            ("state", self.state != later.state),
            ("limits", self.sockets != later.sockets),
            ("settings.Discovery", own.must_watch != new.must_watch),
            ("settings.SlotNo", (own.relay_index, own.zone) != (new.relay_index, new.zone)),
        ];
        keys.into_iter().chain(fleet).filter(|key| key.1).map(|key| key.0).collect()
    }

    fn uses(&self) -> Uses {
        Uses { operator: self.operator.is_some(), fleet: self.fleet.is_some(), state: self.state.is_some() }
    }

    /// Takes over other settings, but for what can't change while the program runs.
    pub fn tune(&mut self, mut site: Site) -> Result<(), ConfigError> {
        let (own, new) = (&self.site.facts, &mut site.facts);
        new.must_watch = own.must_watch;
        new.relay_index = own.relay_index;
        new.zone = own.zone;
        (self.site, self.limits) = fitting(site, self.sockets, self.uses())?;
        Ok(())
    }
}

/// The limits under some settings, and these within them.
fn fitting(mut site: Site, sockets: usize, uses: Uses) -> Result<(Site, Limits), ConfigError> {
    let limits = Limits::new(&site, sockets, uses)?;
    // C_ID of the design: no more sessions than this machine has descriptors for.
    site.facts.max_sessions = site.facts.max_sessions.min(limits.sessions);
    Ok((site, limits))
}

/// Times and counts of the settings that a relay can do nothing with at 0.
fn over_0(settings: &At) -> Result<(), ConfigError> {
    let over = |at: At| if at.num()? > 0.0 { Ok(()) } else { at.wrong("more than 0") };
    let ceilings = settings.key("Ceilings")?;
    ["MostDials", "MaxOpen", "ConnectTimeout"].iter().try_for_each(|key| over(ceilings.key(key)?))?;
    let listeners = settings.key("Listeners")?.list()?;
    for (i, listener) in listeners.iter().enumerate() {
        ["DialTimeout", "HandshakeTarget"].iter().try_for_each(|key| over(listener.key(key)?))?;
        let name = listener.key("Name")?;
        if listeners[..i].iter().any(|other| other.value["Name"] == *name.value) {
            return name.wrong("a name that no listener before it has");
        }
    }
    Ok(())
}

/// What holds where the text names no limit: that of a small machine.
const SOCKETS: usize = 1024;

pub fn parse(text: &[u8], told: &Told) -> Result<Node, ConfigError> {
    let value: Value = serde_json::from_slice(text).map_err(ConfigError::NotJson)?;
    let top = At::top(&value);
    let said = |key: &str, told: &Option<String>| -> Result<String, ConfigError> {
        told.clone().map_or_else(|| Ok(top.key(key)?.text()?.to_string()), Ok)
    };
    let place = |key: &str, text: &str| -> Result<SocketAddr, ConfigError> {
        text.parse().map_err(|_| ConfigError::InvalidValue {
            path: key.to_string(),
            value: format!("\"{text}\""),
            wanted: "an address with a port".to_string(),
        })
    };
    let addr = |key: &str, told: &Option<String>| place(key, &said(key, told)?);
    let operator = match (&told.operator, top.option("operator")) {
        (Some(text), _) => Some(place("operator", text)?),
        (None, Some(at)) => Some(place("operator", at.text()?)?),
        (None, None) => None,
    };
    let seed = |at: At| -> Result<u64, ConfigError> {
        let text = at.text()?;
        u64::from_str_radix(text, 16).or_else(|_| at.wrong("16 hexadecimal digits"))
    };
    let sockets = top.option("limits").and_then(|at| at.option("sockets"));
    let sockets = sockets.map_or(Ok(SOCKETS), |at| at.small())?;
    let settings = top.key("settings")?;
    let site = facts::decode(&settings)?;
    over_0(&settings)?;
    let name = said("name", &told.name)?;
    let fleet = fleet::decode(&top, &name)?;
    let state = top.option("state").map(|at| match at.text()? {
        "" => at.wrong("a folder"),
        path => Ok(PathBuf::from(path)),
    });
    let state = state.transpose()?;
    let coordination = fleet.as_ref().and_then(|fleet| fleet.coordination.as_ref());
    if coordination.is_some_and(|config| config.voters.contains(&name)) && state.is_none() {
        return Err(ConfigError::VoterWithoutState);
    }
    let uses = Uses { operator: operator.is_some(), fleet: fleet.is_some(), state: state.is_some() };
    let (site, limits) = fitting(site, sockets, uses)?;
    Ok(Node {
        name,
        listen: addr("listen", &told.listen)?,
        discovery: addr("discovery", &told.discovery)?,
        operator,
        fleet,
        state,
        digest: fleet::settings_digest(settings.value),
        seed: seed(top.key("seed")?)?,
        known: top.option("known").map_or(Ok(List::default()), |at| list::strict(&at))?,
        site,
        limits,
        sockets,
    })
}
