//! A relay's configuration for a scenario, in the format that operators write.
use crate::list::EndpointList;
use hallrelay_config::scenario::{IdempotencyScope, KnownList, Listener, Repeatability, Scenario};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Maximum `Retry-After` in microseconds if the scenario sets none.
const DEFAULT_MAX_RETRY_AFTER: u64 = 1_500_000;
/// Limit of open sessions, far above that of any scenario.
const MAX_OPEN_SESSIONS: u64 = 1_000_000;

/// Addresses of one relay, and its parameters at start.
#[derive(Clone, Debug)]
pub struct RelayPlacement {
    /// Number of the relay.
    pub relay: usize,
    /// Address on which it listens for clients.
    pub listen: SocketAddr,
    /// Address of its discovery.
    pub discovery: SocketAddr,
    /// Seed of its random draws.
    pub seed: u64,
    /// Address on which it listens for operators; none if the operator API is not used.
    pub operator: Option<SocketAddr>,
    /// Directory of its store; none if it has no store.
    pub state: Option<String>,
    /// Its addresses for the other relays; none if the relays do not form a cluster.
    pub membership: Option<MembershipAddresses>,
}

/// Addresses at which relays reach each other.
#[derive(Clone, Debug)]
pub struct MembershipAddresses {
    /// Address on which this relay listens for the others.
    pub listen: SocketAddr,
    /// By relay: address at which the others reach it.
    pub advertised: Vec<SocketAddr>,
}

fn ms(us: u64) -> f64 {
    us as f64 / 1e3
}

fn listener_settings(listener: &Listener) -> Value {
    let effect = match listener.repeat {
        Repeatability::Repeatable => "retryable",
        Repeatability::Referenced => "dedup",
        Repeatability::OnceOnly => "fragile",
    };
    let group = match listener.within {
        IdempotencyScope::All => "all",
        IdempotencyScope::Zone => "zone",
        IdempotencyScope::Cell => "cell",
    };
    json!({"Name": listener.name, "Utility": listener.utility.0, "Effect": effect, "Group": group,
        "Window": ms(listener.window_ms.us()), "HandshakeTarget": ms(listener.handshake_target_ms.us()),
        "DialTimeout": ms(listener.dial_timeout_ms.us())})
}

/// The balancer settings of a relay.
pub fn settings(scenario: &Scenario, relay: usize) -> Value {
    let s = scenario;
    let listeners: Vec<Value> = s.listeners.iter().map(listener_settings).collect();
    let retry_after = s.relays.retry_after_ms.us();
    let max_retry_after = if retry_after > 0 { retry_after } else { DEFAULT_MAX_RETRY_AFTER };
    let objectives = s.listeners.iter().map(|listener| ms(listener.message_target_ms.us()));
    let objectives: Vec<f64> = objectives.collect();
    json!({
        "Listeners": listeners,
        "Ceilings": {"MayProbe": s.relays.may_probe, "MostDials": s.relays.most_dials,
            "MaxOpen": MAX_OPEN_SESSIONS, "RetryAfter": retry_after > 0, "MaxRetryAfter": ms(max_retry_after),
            "ConnectTimeout": ms(s.relays.connect_timeout_ms.us())},
        "Rules": {"Cold": ms(s.servers.cold_s.us()), "ColdFrom": s.servers.cold_from.0,
            "FallMultiple": s.rules.fall_multiple.0, "Fall": ms(s.rules.fall_s.us()),
            "DrainGrace": ms(s.rules.drain_grace_ms.us()), "AskWithin": ms(s.rules.ask_within_s.us())},
        "Charges": {"CrossZone": 0.0, "Moves": s.goal.price_move.0, "Probe": s.goal.price_probe.0},
        "FamilyInfo": {"Mode": "proxy", "Groups": s.load.groups > 0, "TellsDelay": s.servers.tells_delay,
            "TellsLoad": s.servers.tells_load, "MessageAim": objectives},
        "Report": {"How": "on_probe", "Fields": ["inflight", "x0", "x1"]},
        "Discovery": if s.list.watched { "subscribe" } else { "automatic" },
        "FailureDomains": s.servers.zones, "Zone": relay % s.servers.zones.len(),
        "Instances": s.relays.count, "SlotNo": relay})
}

/// A relay's complete configuration, with the endpoint list that it last knew. `addr` returns the address at
/// which it reaches a server.
pub fn text(
    scenario: &Scenario,
    placement: &RelayPlacement,
    endpoints: &EndpointList,
    addr: impl Fn(usize) -> String,
) -> Value {
    let relays = &scenario.relays;
    let known = match relays.known {
        KnownList::Newest => endpoints.json(true, &endpoints.present(), addr),
        KnownList::First => endpoints.initial_json(addr),
    };
    let mut text = json!({"name": name(placement.relay), "listen": placement.listen.to_string(),
        "discovery": placement.discovery.to_string(), "seed": format!("{:016x}", placement.seed),
        "limits": {"sockets": relays.sockets}, "known": known,
        "settings": settings(scenario, placement.relay)});
    if let Some(state) = &placement.state {
        text["state"] = json!(state);
    }
    if let Some(operator) = placement.operator {
        text["operator"] = json!(operator.to_string());
    }
    if let Some(MembershipAddresses { listen, advertised }) = &placement.membership {
        let peers: Vec<String> = advertised.iter().take(relays.seeds).map(ToString::to_string).collect();
        text["fleet"] = json!({"name": scenario.name, "listen": listen.to_string(),
            "advertise": advertised[placement.relay].to_string(), "peers": peers});
        if relays.voters > 0 {
            text["fleet"]["voters"] = json!((0..relays.voters).map(name).collect::<Vec<_>>());
            text["fleet"]["budgets"] = json!([{"of": "relay", "scope": "fleet", "count": relays.out}]);
        }
    }
    text
}

/// Name of a relay.
pub fn name(relay: usize) -> String {
    format!("relay-{relay}")
}

/// Number of the relay with a name; none if the name is not that of a relay.
pub fn number(name: &str) -> Option<usize> {
    name.strip_prefix("relay-")?.parse().ok()
}
