//! Texts that operators see for invalid configurations and scenarios, compared letter for letter.
use hallrelay_config::node::{self, Overrides};
use hallrelay_config::scenario;
use serde_json::{json, Value};

fn example() -> Value {
    serde_json::from_str(include_str!("../../deploy/example/relay.json"))
        .expect("parse the example configuration")
}

/// Returns the text of the error that the example configuration gives after `change`.
fn error(change: impl FnOnce(&mut Value)) -> String {
    let mut text = example();
    change(&mut text);
    let parsed = node::parse(text.to_string().as_bytes(), &Overrides::default());
    parsed.expect_err("the changed configuration must be invalid").to_string()
}

fn with_fleet(fleet: Value) -> String {
    error(|text| text["fleet"] = fleet)
}

#[test]
fn missing_key_is_reported_with_path() {
    let text = error(|text| {
        text["settings"]["Ceilings"].as_object_mut().expect("Ceilings must be a table").remove("MaxOpen");
    });
    assert_eq!(text, "settings.Ceilings.MaxOpen is missing");
    assert_eq!(error(|text| text["name"] = Value::Null), "name is missing");
}

#[test]
fn invalid_value_is_reported_with_path_and_accepted_values() {
    let cases = [
        ("MaxOpen", json!("many"), "\"many\", wanted an integer of 0 or more"),
        ("MaxOpen", json!(1u64 << 40), "1099511627776, wanted a smaller integer"),
        ("MaxOpen", json!(0), "0, wanted more than 0"),
        ("ConnectTimeout", json!(-1), "-1, wanted a number of 0 or more"),
        ("MayProbe", json!(1), "1, wanted true or false"),
    ];
    for (key, value, wanted) in cases {
        let text = error(|text| text["settings"]["Ceilings"][key] = value);
        assert_eq!(text, format!("settings.Ceilings.{key} is {wanted}"));
    }
    let text = error(|text| text["settings"]["Listeners"][1]["Name"] = json!(7));
    assert_eq!(text, "settings.Listeners[1].Name is 7, wanted a string");
    let text = error(|text| text["settings"]["Discovery"] = json!("push"));
    assert_eq!(text, "settings.Discovery is \"push\", wanted one of [\"automatic\", \"subscribe\"]");
    assert_eq!(
        error(|text| text["listen"] = json!("here")),
        "listen is \"here\", wanted an address with a port"
    );
    assert_eq!(error(|text| text["seed"] = json!("xyz")), "seed is \"xyz\", wanted 16 hexadecimal digits");
    assert_eq!(error(|text| text["state"] = json!("")), "state is \"\", wanted the path of a directory");
    assert_eq!(error(|text| text["known"] = json!({"instances": 3})), "known.instances is 3, wanted a list");
    let text = error(|text| text["limits"] = json!({"sockets": 20}));
    let least =
        text.strip_prefix("limits.sockets is 20, wanted at least ").expect("the text must name the key");
    assert!(least.parse::<usize>().is_ok(), "{text}");
}

#[test]
fn invalid_fleet_is_reported_with_reason() {
    let keys = "\"name\", \"listen\", \"advertise\", \"peers\", \"voters\", \"budgets\", \"begin_within\", \
                \"moves_per_s\", \"kind\", \"group\"";
    let text = with_fleet(json!({"colour": 1}));
    assert_eq!(text, format!("fleet.colour is an unknown key, wanted one of [{keys}]"));
    assert_eq!(with_fleet(json!(3)), "fleet is 3, wanted a table");
    let fleet = json!({"name": "f", "listen": "127.0.0.1:7946", "peers": []});
    let text = error(|text| {
        text["fleet"] = fleet.clone();
        text["settings"]["Ceilings"]["PeerMessages"] = json!(false);
    });
    assert_eq!(
        text,
        "fleet is given, but settings.Ceilings.PeerMessages is false, which forbids messages between relays: \
         remove fleet, or set PeerMessages to true"
    );
    let text = error(|text| {
        text["fleet"] = fleet.clone();
        text["name"] = json!("n".repeat(81));
    });
    let shown = "n".repeat(80);
    assert_eq!(text, format!("name is \"{shown}\", wanted 1 to 64 bytes, because fleet is given"));
    let text = error(|text| {
        text["fleet"] = fleet.clone();
        text["fleet"]["peers"] = json!(vec!["127.0.0.1:1"; 1025]);
    });
    assert_eq!(text, "fleet.peers has 1025 addresses, wanted at most 1024");
    let text = error(|text| {
        text["fleet"] = fleet.clone();
        text["fleet"]["voters"] = json!([text["name"]]);
        text.as_object_mut().expect("the configuration must be a table").remove("state");
    });
    assert_eq!(
        text,
        "state is missing, but fleet.voters names this relay: a voter must keep its votes across restarts; \
         set state to the path of a directory, or remove this relay from fleet.voters"
    );
}

#[test]
fn json_error_names_its_document() {
    let end = "EOF while parsing an object at line 1 column 1";
    let node =
        node::parse(b"{", &Overrides::default()).expect_err("truncated JSON must be rejected").to_string();
    assert_eq!(node, format!("configuration is not JSON: {end}"));
    let list = hallrelay_config::list::parse(b"{").expect_err("truncated JSON must be rejected").to_string();
    assert_eq!(list, format!("the endpoint list is not JSON: {end}"));
    let settings = hallrelay_config::settings(b"{").expect_err("truncated JSON must be rejected").to_string();
    assert_eq!(settings, format!("settings are not JSON: {end}"));
    let settings =
        hallrelay_config::settings(b"{}").expect_err("empty settings must be rejected").to_string();
    assert_eq!(settings, "settings: Ceilings is missing");
}

#[test]
fn scenario_error_names_file_line_and_key() {
    let error =
        |text: &str| scenario::parse("day.toml", text).expect_err("the scenario must be invalid").to_string();
    assert_eq!(
        error("name = \"a\"\n[fleet]\n"),
        "day.toml:2: fleet: is now called servers; a fleet of relays is fleet = true in [relays]"
    );
    let base = "name = \"a\"\nlength_s = 20\n[load]\nrate = 1\n[[servers.kind]]\nname = \"k\"\ncount = 1\n\
                cores = 1\nspeed = 1\n[[listener]]\nname = \"l\"\nshare = 1\nutility = 1\n\
                handshake_target_ms = 100\ndial_timeout_ms = 1000\nmessage_target_ms = 100\nlife_s = 0\n";
    assert_eq!(error(base), "day.toml:17: listener[0].life_s: wanted more than 0");
    let negative = base.replace("rate = 1", "rate = -1");
    assert_eq!(error(&negative), "day.toml:4: load.rate: wanted a number of 0 or more, not -1");
    let truncated = error("name =\n");
    assert!(truncated.starts_with("day.toml:1: ") && !truncated.contains("  "), "{truncated}");
}
