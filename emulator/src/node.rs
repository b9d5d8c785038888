//! What a relay is told at its start, from a scenario: the same text that operators write.
use crate::list::EndpointList;
use hallrelay_config::scenario::{KnownList, Ring, Scenario, Sort};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Where one relay listens and finds the list.
#[derive(Clone, Debug)]
pub struct RelayPlacement {
    pub relay: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    /// Where operators call; none where nobody does.
    pub operator: Option<SocketAddr>,
    /// The folder in which it keeps what it must know; none where it keeps nothing.
    pub state: Option<String>,
    /// Where it meets the other relays, and where all of them are reached; none where they know nobody.
    pub fleet: Option<(SocketAddr, Vec<SocketAddr>)>,
}

pub fn settings(s: &Scenario, relay: usize) -> Value {
    let ms = |us: u64| us as f64 / 1e3;
    let listeners: Vec<Value> = s
        .listeners
        .iter()
        .map(|l| {
            let effect = match l.repeat {
                Sort::Repeatable => "retryable",
                Sort::Referenced => "dedup",
                Sort::OnceOnly => "fragile",
            };
            let group = match l.within {
                Ring::All => "all",
                Ring::Zone => "zone",
                Ring::Cell => "cell",
            };
            json!({"Name": l.name, "Utility": l.utility.0, "Effect": effect, "Group": group,
                "Window": ms(l.window_ms.us()), "HandshakeTarget": ms(l.handshake_target_ms.us()),
                "DialTimeout": ms(l.dial_timeout_ms.us())})
        })
        .collect();
    let retry_after = s.relays.retry_after_ms.us();
    let longest = if retry_after > 0 { retry_after } else { 1_500_000 };
    let messages: Vec<f64> = s.listeners.iter().map(|l| ms(l.message_target_ms.us())).collect();
    json!({
        "Listeners": listeners,
        "Ceilings": {"MayProbe": s.relays.may_probe, "MostDials": s.relays.most_dials, "MaxOpen": 1_000_000,
            "RetryAfter": retry_after > 0, "MaxRetryAfter": ms(longest),
            "ConnectTimeout": ms(s.relays.connect_timeout_ms.us())},
        "Rules": {"Cold": ms(s.servers.cold_s.us()), "ColdFrom": s.servers.cold_from.0,
            "FallMultiple": s.rules.fall_multiple.0, "Fall": ms(s.rules.fall_s.us()),
            "DrainGrace": ms(s.rules.drain_grace_ms.us()), "AskWithin": ms(s.rules.ask_within_s.us())},
        "Charges": {"CrossZone": 0.0, "Moves": s.goal.price_move.0, "Probe": s.goal.price_probe.0},
        "FamilyInfo": {"Mode": "proxy", "Groups": s.load.groups > 0, "TellsDelay": s.servers.tells_delay,
            "TellsLoad": s.servers.tells_load, "MessageAim": messages},
        "Report": {"How": "on_probe", "Fields": ["inflight", "x0", "x1"]},
        "Discovery": if s.list.watched { "subscribe" } else { "automatic" },
        "FailureDomains": s.servers.zones, "Zone": relay % s.servers.zones.len(),
        "Instances": s.relays.count, "SlotNo": relay})
}

/// The whole text, with the list as this relay last had it.
pub fn text(
    s: &Scenario,
    place: &RelayPlacement,
    endpoints: &EndpointList,
    addr: impl Fn(usize) -> String,
) -> Value {
    let known = match s.relays.known {
        KnownList::Newest => endpoints.json(true, &endpoints.present(), addr),
        KnownList::First => endpoints.initial_json(addr),
    };
    let mut text = json!({"name": name(place.relay), "listen": place.listen.to_string(),
        "discovery": place.discovery.to_string(), "seed": format!("{:016x}", place.seed),
        "limits": {"sockets": s.relays.sockets}, "known": known, "settings": settings(s, place.relay)});
    if let Some(state) = &place.state {
        text["state"] = json!(state);
    }
    if let Some(operator) = place.operator {
        text["operator"] = json!(operator.to_string());
    }
    if let Some((listen, reached)) = &place.fleet {
        let peers: Vec<String> = reached.iter().take(s.relays.seeds).map(ToString::to_string).collect();
        text["fleet"] = json!({"name": s.name, "listen": listen.to_string(),
            "advertise": reached[place.relay].to_string(), "peers": peers});
        if s.relays.voters > 0 {
            text["fleet"]["voters"] = json!((0..s.relays.voters).map(name).collect::<Vec<_>>());
            text["fleet"]["budgets"] = json!([{"of": "relay", "scope": "fleet", "count": s.relays.out}]);
        }
    }
    text
}

/// How a relay is called.
pub fn name(relay: usize) -> String {
    format!("relay-{relay}")
}

/// The relay of a name.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix("relay-")?.parse().ok()
}
