//! The configuration of the relays in a run, and the settings that the oracle checks a run against.
use crate::oracle::Settings;
use crate::plan::Plan;
use serde_json::{json, Value};
use std::time::Duration;

/// Request timeout of clients, which is also the relays' longest dial timeout.
pub const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Target duration of the handshake, in milliseconds.
const HANDSHAKE_TARGET_MS: u64 = 300;
/// Target message latency of each listener, in milliseconds.
const MESSAGE_LATENCY_MS: u64 = 60;

/// The relays' settings, which the oracle checks a run against.
pub const SETTINGS: Settings = Settings {
    drain_grace: Duration::from_millis(250),
    idempotency_window: Duration::from_millis(1_000),
    warm_up: Duration::from_secs(8),
    initial_capacity: 0.2,
    overload_window: Duration::from_secs(1),
    overload_multiple: 3.0,
    capacity: 40.0,
};

/// Names of the listeners (classes of sessions). Requests of the first may be repeated, those of the second
/// may not, and those of the third have an idempotency key and may be repeated within its window.
pub const LISTENERS: [&str; 3] = ["low", "once", "referenced"];

fn milliseconds(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

fn listener(name: &str, utility: f64, effect: &str) -> Value {
    json!({
        "Name": name,
        "Utility": utility,
        "Effect": effect,
        "Group": "all",
        "Window": milliseconds(SETTINGS.idempotency_window),
        "HandshakeTarget": HANDSHAKE_TARGET_MS,
        "DialTimeout": milliseconds(REQUEST_TIMEOUT),
    })
}

/// Returns the configuration that all relays of a run share. `known` is the endpoint list at the start.
pub fn shared_configuration(plan: &Plan, known: Value) -> Value {
    let example = include_str!("../../deploy/example/relay.json");
    let mut configuration: Value = serde_json::from_str(example).expect("parse deploy/example/relay.json");
    configuration["known"] = known;
    let settings = &mut configuration["settings"];
    settings["Listeners"] = json!([
        listener(LISTENERS[0], 1.0, "retryable"),
        listener(LISTENERS[1], 5.0, "fragile"),
        listener(LISTENERS[2], 5.0, "dedup")
    ]);
    settings["Instances"] = json!(plan.relays);
    settings["FamilyInfo"]["MessageAim"] = json!(vec![MESSAGE_LATENCY_MS; 3]);
    let rules = &mut settings["Rules"];
    rules["Cold"] = json!(milliseconds(SETTINGS.warm_up));
    rules["ColdFrom"] = json!(SETTINGS.initial_capacity);
    rules["Fall"] = json!(milliseconds(SETTINGS.overload_window));
    rules["FallMultiple"] = json!(SETTINGS.overload_multiple);
    rules["DrainGrace"] = json!(milliseconds(SETTINGS.drain_grace));
    configuration
}
