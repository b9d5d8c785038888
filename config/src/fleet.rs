//! What a relay is told of the other relays: where it may meet them, and by which name their fleet goes.
use crate::at::At;
use serde_json::Value;
use std::net::SocketAddr;

/// Bytes of a name that fits into messages; configured addresses at most.
const NAME: usize = 64;
const PEERS: usize = 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub name: String,
    /// Datagrams and streams of other relays come here.
    pub listen: SocketAddr,
    /// Where others reach it, if that is another address than it listens on.
    pub advertise: SocketAddr,
    /// Where others may be met first; its own address among them does no harm.
    pub peers: Vec<SocketAddr>,
}

impl Fleet {
    /// Keys that differ in a text read later and can't change while the program runs.
    pub(crate) fn fixed(&self, later: &Fleet) -> [(&'static str, bool); 3] {
        [
            ("fleet.name", self.name != later.name),
            ("fleet.listen", self.listen != later.listen),
            ("fleet.advertise", self.advertise != later.advertise),
        ]
    }
}

/// The table `fleet` of a relay's text; none where it is left out, and then nothing is opened.
pub fn decode(top: &At, relay: &str) -> Result<Option<Fleet>, String> {
    let Some(at) = top.option("fleet") else { return Ok(None) };
    let Some(keys) = at.value.as_object() else { return at.wrong("a table") };
    if let Some(odd) = keys.keys().find(|key| !KEYS.contains(&key.as_str()) && !key.starts_with("//")) {
        return Err(format!("fleet.{odd} is no key, wanted one of {KEYS:?}"));
    }
    let ceilings = top.key("settings")?.key("Ceilings")?;
    let forbids = ceilings.option("PeerMessages").map_or(Ok(false), |at| at.yes().map(|may| !may))?;
    if forbids {
        return Err(
            "fleet is given, and settings.Ceilings.PeerMessages is false: relays may not talk there, \
                    leave out one of the two"
                .to_string(),
        );
    }
    let name = at.key("name")?;
    let fits = |name: &str| !name.is_empty() && name.len() <= NAME;
    if !fits(name.text()?) {
        return name.wrong("a name of 1 to 64 bytes");
    }
    if !fits(relay) {
        return Err(format!("name is \"{relay:.80}\", wanted 1 to 64 bytes where fleet is given"));
    }
    let listen = place(&at.key("listen")?)?;
    let advertise = at.option("advertise");
    let peers = at.key("peers")?;
    let list = peers.list()?;
    if list.len() > PEERS {
        return Err(format!("fleet.peers has {} addresses, wanted {PEERS} at most", list.len()));
    }
    let advertised = advertise.as_ref().map_or(Ok(listen), place)?;
    if advertised.ip().is_unspecified() || advertised.port() == 0 {
        let told = advertise.unwrap_or(at.key("listen")?);
        return told
            .wrong("an address and a port at which others reach this relay (or fleet.advertise beside it)");
    }
    Ok(Some(Fleet {
        name: name.text()?.to_string(),
        listen,
        advertise: advertised,
        peers: list.iter().map(place).collect::<Result<_, _>>()?,
    }))
}

const KEYS: [&str; 4] = ["name", "listen", "advertise", "peers"];

fn place(at: &At) -> Result<SocketAddr, String> {
    at.text()?.parse().or_else(|_| at.wrong("an address with a port"))
}

/// What tells settings apart, over the text's own bytes in the order of keys.
pub fn digest(settings: &Value) -> u32 {
    let mut shared = settings.clone();
    // What is one relay's own.
    if let Some(keys) = shared.as_object_mut() {
        keys.retain(|key, _| !OWN.contains(&key.as_str()));
    }
    crc32fast::hash(shared.to_string().as_bytes())
}

const OWN: [&str; 2] = ["SlotNo", "Zone"];
