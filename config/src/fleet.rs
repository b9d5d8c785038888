//! What a relay is told of the other relays: where it may meet them, and by which name their fleet goes.
use crate::at::At;
use hallrelay_balancer::types::Micros;
use hallrelay_disruption::{Budget, Scope, TargetKind, MAX_BUDGETS};
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
    /// Who agrees on what may be out; none where nothing is agreed.
    pub voters: Option<Voters>,
}

/// What is agreed across the fleet, and by whom.
#[derive(Clone, Debug, PartialEq)]
pub struct Voters {
    /// Relays by their names: three or five, seven at most.
    pub names: Vec<String>,
    pub budgets: Vec<Budget>,
    /// A grant that is not begun by then lapses.
    pub begin_within: Micros,
    /// Sessions that the whole fleet moves off draining backends in a second.
    pub moves: u32,
    /// What this relay is counted with, beside its zone.
    pub kind: String,
    pub group: String,
}

impl Fleet {
    /// Keys that differ in a text read later and can't change while the program runs.
    pub(crate) fn fixed(&self, later: &Fleet) -> [(&'static str, bool); 4] {
        [
            ("fleet.name", self.name != later.name),
            ("fleet.listen", self.listen != later.listen),
            ("fleet.advertise", self.advertise != later.advertise),
            ("fleet.voters", self.voters != later.voters),
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
        voters: at.option("voters").map(|names| voters(&at, &names)).transpose()?,
    }))
}

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

/// Long enough for whoever was granted to hear of it, and to begin; a wish beside it waits no longer.
const BEGIN_WITHIN: f64 = 10.0;
/// Of a fleet that serves some thousand sessions, half a minute for a backend's hundreds.
const MOVES: u32 = 20;
const VOTERS: usize = 7;

fn voters(at: &At, names: &At) -> Result<Voters, String> {
    let all =
        names.list()?.iter().map(|name| Ok(name.text()?.to_string())).collect::<Result<Vec<_>, String>>()?;
    let sound = |name: &String| !name.is_empty() && name.len() <= NAME;
    let twice = (1..all.len()).any(|i| all[..i].contains(&all[i]));
    if all.is_empty() || all.len() > VOTERS || twice || !all.iter().all(sound) {
        return names.wrong("1 to 7 different names of relays, three or five by custom");
    }
    let budgets = at.option("budgets").map_or(Ok(Vec::new()), |all| match all.list()? {
        list if list.len() > MAX_BUDGETS => all.wrong("64 budgets at most"),
        list => list.iter().map(budget).collect(),
    })?;
    let within = at.option("begin_within").map_or(Ok(BEGIN_WITHIN), |at| match at.num()? {
        s if (1.0..=3600.0).contains(&s) => Ok(s),
        _ => at.wrong("1 to 3600 s"),
    })?;
    let moves = at.option("moves_per_s").map_or(Ok(MOVES), |at| match at.small()? {
        moves if (1..=100_000).contains(&moves) => Ok(moves),
        _ => at.wrong("1 to 100000 a second"),
    })?;
    let named = |key: &str| -> Result<String, String> {
        at.option(key).map_or(Ok(String::new()), |at| match at.text()? {
            text if text.len() <= NAME => Ok(text.to_string()),
            _ => at.wrong("64 bytes at most"),
        })
    };
    Ok(Voters {
        names: all,
        budgets,
        begin_within: (within * 1e6) as Micros,
        moves,
        kind: named("kind")?,
        group: named("group")?,
    })
}

fn budget(at: &At) -> Result<Budget, String> {
    const OF: [(&str, TargetKind); 2] = [("relay", TargetKind::Relay), ("backend", TargetKind::Backend)];
    const SCOPES: [(&str, Scope); 4] =
        [("fleet", Scope::Fleet), ("zone", Scope::Zone), ("kind", Scope::Kind), ("group", Scope::Group)];
    let word = at.key("of")?;
    let of = OF.iter().find(|of| word.text().is_ok_and(|text| text == of.0));
    let Some((_, of)) = of else { return word.wrong("relay or backend") };
    let word = at.key("scope")?;
    let scope = SCOPES.iter().find(|scope| word.text().is_ok_and(|text| text == scope.0));
    let Some((_, scope)) = scope else { return word.wrong("fleet, zone, kind or group") };
    let count: Option<u32> = at.option("count").map(|at| at.small()).transpose()?;
    let part = at.option("share").map(|at| match at.num()? {
        part if (0.0..=1.0).contains(&part) => Ok((part * 1e6).round() as u32),
        _ => at.wrong("0 to 1"),
    });
    let part = part.transpose()?;
    if count.is_none() && part.is_none() {
        return at.wrong("a count, a share, or both");
    }
    Ok(Budget { target_kind: *of, scope: *scope, max_count: count, max_share_ppm: part })
}

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
