//! Compatibility with encodings of released builds in a fleet: the JSON of `GET /v1/fleet`, the endpoint list
//! that a relay sends to another one, and the frames of their streams.
mod common;

use common::{free_address, RelayConfig};
use hallrelay_config::node::{self, Overrides};
use hallrelay_membership::message::{
    decode, encode, encode_update, DropReason, MessageBody, Packet, MAX_FRAME_BYTES,
};
use hallrelay_membership::status::Status;
use hallrelay_membership::{
    Effect as MembershipEffect, Event as MembershipEvent, Incarnation, LocalMember, MemberMetadata,
    MemberState, Membership, ReportedLifecycle, Update,
};
use hallrelay_relay::reducer::{Effect, Event, Reducer};
use serde_json::{json, Value};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

const FLEET: &str = "trunk";
/// Time at which `relay-1` starts, in microseconds since the Unix epoch.
const START: u64 = 1_800_000_000_000_000;

fn fixture_bytes(name: &str) -> Vec<u8> {
    let directory = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures_fleet"));
    fs::read(directory.join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn fixture_text(name: &str) -> String {
    String::from_utf8(fixture_bytes(name)).expect("the fixture is UTF-8")
}

fn addr(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7946).into()
}

fn update(name: &str, last: u8, state: MemberState, reporter: Option<&str>) -> Update {
    Update {
        name: name.into(),
        addr: addr(last),
        incarnation: Incarnation { start: START + u64::from(last), counter: u32::from(last) },
        state,
        reporter: reporter.map(Into::into),
        metadata: MemberMetadata {
            version: "0.4.0".into(),
            settings_digest: 0x1234 + u32::from(last),
            lifecycle: ReportedLifecycle::Draining,
            sessions: 30 + u32::from(last),
            listener_sessions: vec![30, u32::from(last)],
        },
    }
}

fn packet(sender: Update, body: MessageBody, updates: Vec<Update>) -> Box<Packet> {
    Box::new(Packet { fleet: FLEET.into(), sender, body, updates })
}

fn local_member() -> LocalMember {
    LocalMember {
        fleet: FLEET.into(),
        name: "relay-1".into(),
        addr: addr(1),
        start: START,
        metadata: MemberMetadata {
            version: "0.4.0".into(),
            settings_digest: 0xab,
            lifecycle: ReportedLifecycle::Serving,
            sessions: 7,
            listener_sessions: vec![4, 3],
        },
        peers: vec![addr(2)],
        configured_relays: 6,
        random_seed: 1,
    }
}

/// Returns the view of `relay-1`, with a member in each state, a name conflict and packets dropped for each
/// reason.
fn membership_in_each_state() -> Membership {
    let mut membership = Membership::new(local_member());
    let out = &mut Vec::new();
    let alive = |name, last| update(name, last, MemberState::Alive, None);
    membership.step(START, MembershipEvent::Activate, out);
    let all = vec![alive("relay-3", 3), alive("relay-4", 4), alive("relay-5", 5)];
    let first = packet(alive("relay-2", 2), MessageBody::PushPullResponse, all);
    membership.step(START + 1_000, MembershipEvent::StreamResponse { packet: first }, out);
    let updates = vec![
        update("relay-3", 3, MemberState::Suspect, Some("relay-2")),
        update("relay-4", 4, MemberState::Dead, Some("relay-2")),
        update("relay-5", 5, MemberState::Left, None),
        Update { addr: addr(9), ..update("relay-1", 1, MemberState::Alive, None) },
    ];
    let second = packet(alive("relay-2", 2), MessageBody::Gossip, updates);
    membership.step(START + 51_000, MembershipEvent::DatagramReceived { from: addr(2), packet: second }, out);
    for (i, reason) in DropReason::ALL.into_iter().enumerate() {
        membership.step(START + 52_000, MembershipEvent::PacketsDropped { reason, count: i as u64 + 1 }, out);
    }
    membership
}

#[test]
fn status_of_members_in_each_state_is_unchanged() {
    let mut membership = membership_in_each_state();
    let mut status = membership.status(START + 60_000);
    status.recovery_stage = "open".to_string();
    let state = |name: &str| status.members.iter().find(|m| m.name == name).map(|m| m.state.clone());
    let states =
        ["relay-1", "relay-2", "relay-3", "relay-4", "relay-5"].map(|name| state(name).unwrap_or_default());
    assert_eq!(states, ["alive", "alive", "suspect", "gone", "left"]);
    assert!(status.name_conflict.is_some() && status.dropped.len() == DropReason::ALL.len(), "{status:?}");
    assert_eq!(
        serde_json::to_string(&status).expect("serialize the status"),
        fixture_text("status.json").trim_end()
    );
    assert_eq!(
        serde_json::to_string_pretty(&status).expect("serialize the status"),
        fixture_text("status_pretty.json").trim_end()
    );
    assert_eq!(hallrelay_relay::fleet_table::table(&status), fixture_text("status.txt"));
    let read: Status = serde_json::from_str(&fixture_text("status.json")).expect("parse the status");
    assert_eq!(read, status);

    // The status after a hot restart to another process, and the status without any other member.
    membership.step(START + 60_000, MembershipEvent::Deactivate, &mut Vec::new());
    let silent = serde_json::to_string(&membership.status(START + 60_000)).expect("serialize the status");
    assert_eq!(silent, fixture_text("status_silent.json").trim_end());
    let alone =
        serde_json::to_string(&Membership::new(local_member()).status(START)).expect("serialize the status");
    assert_eq!(alone, fixture_text("status_alone.json").trim_end());
}

/// Responses of earlier builds do not have the key `returning`.
#[test]
fn status_without_returning_key_is_parsed() {
    let mut old: Value =
        serde_json::from_str(&fixture_text("status.json")).expect("parse the fixture as JSON");
    old.as_object_mut()
        .expect("the status is an object")
        .remove("returning")
        .expect("the status has the key");
    let read: Status = serde_json::from_value(old).expect("parse the status");
    assert_eq!(read.recovery_stage, "");
}

/// Returns a reducer whose endpoint list is only that of its configuration.
fn reducer(instances: Value) -> Reducer {
    let mut text: Value = serde_json::from_str(include_str!("../../deploy/example/relay.json"))
        .expect("parse the example as JSON");
    text["name"] = json!("relay-1");
    text["discovery"] = json!("10.0.0.100:9000");
    text["known"] = json!({"generation": 17, "instances": instances});
    text["fleet"] = json!({"name": FLEET, "listen": addr(1).to_string(), "peers": [addr(2).to_string()]});
    let node =
        node::parse(text.to_string().as_bytes(), &Overrides::default()).expect("parse the configuration");
    let mut reducer = Reducer::new(node, None);
    reducer.start(START, &mut Vec::new());
    reducer
}

/// Returns the endpoint list that a relay sends to a member that requests it.
fn request_endpoint_list(reducer: &mut Reducer, now: u64) -> String {
    let requester = update("relay-2", 2, MemberState::Alive, None);
    let mut out = Vec::new();
    let first = packet(requester.clone(), MessageBody::PushPullRequest, vec![]);
    reducer.step(
        now,
        Event::Membership(MembershipEvent::StreamRequest { stream: 1, from: addr(2), packet: first }),
        &mut out,
    );
    out.clear();
    let request = packet(requester, MessageBody::EndpointListRequest, vec![]);
    reducer.step(
        now,
        Event::Membership(MembershipEvent::StreamRequest { stream: 2, from: addr(2), packet: request }),
        &mut out,
    );
    let answer = out.into_iter().find_map(|effect| match effect {
        Effect::Membership(MembershipEffect::ReplyOnStream { stream: 2, bytes }) => bytes,
        _ => None,
    });
    let packet = decode(FLEET, &answer.expect("the relay replies on the stream"), MAX_FRAME_BYTES)
        .expect("decode the packet");
    match packet.body {
        MessageBody::EndpointListResponse { bytes } => String::from_utf8(bytes).expect("the list is UTF-8"),
        other => panic!("unexpected response: {other:?}"),
    }
}

#[test]
fn endpoint_list_between_relays_is_unchanged() {
    let known = json!([
        {"instanceId": "s-0", "hostPort": "10.0.1.1:7000", "lifecycle": "up"},
        {"instanceId": "s-1", "hostPort": "10.0.1.2:7000", "lifecycle": "draining"},
    ]);
    assert_eq!(
        request_endpoint_list(&mut reducer(known), START + 1_000),
        fixture_text("list.json").trim_end()
    );

    // A relay that has none of these backends adds them and sends them to other relays.
    let mut other = reducer(json!([{"instanceId": "s-9", "hostPort": "10.0.1.9:7000", "lifecycle": "up"}]));
    assert_eq!(request_endpoint_list(&mut other, START + 1_000), fixture_text("list_before.json").trim_end());
    let response =
        MessageBody::EndpointListResponse { bytes: fixture_text("list.json").trim_end().as_bytes().to_vec() };
    let returned = packet(update("relay-2", 2, MemberState::Alive, None), response, vec![]);
    other.step(
        START + 2_000,
        Event::Membership(MembershipEvent::StreamResponse { packet: returned }),
        &mut Vec::new(),
    );
    assert_eq!(request_endpoint_list(&mut other, START + 2_000), fixture_text("list_after.json").trim_end());
}

/// The stored frame is sent to a running relay on a stream, and the relay's response has the same format.
#[test]
fn frame_on_stream_is_preceded_by_its_length() {
    let stored = fixture_bytes("frame.bin");
    let (length, rest) = stored.split_at(4);
    assert_eq!(
        u32::from_be_bytes(length.try_into().expect("the length has four bytes")) as usize,
        rest.len()
    );
    let sender =
        Update { addr: ([127, 0, 0, 1], 7946).into(), ..update("relay-2", 2, MemberState::Alive, None) };
    let request = packet(
        sender,
        MessageBody::PushPullRequest,
        vec![update("relay-4", 4, MemberState::Dead, Some("relay-2"))],
    );
    assert_eq!(encoded(&request), rest);
    assert_eq!(decode(FLEET, rest, MAX_FRAME_BYTES), Ok(*request));

    let address = free_address();
    let mut config = RelayConfig::new("fixtures-frame");
    config.json["name"] = json!("relay-1");
    config.json["fleet"] = json!({"name": FLEET, "listen": address.to_string(), "peers": []});
    let relay = config.start();
    relay.wait_until_ready();
    let mut stream = TcpStream::connect(address).expect("connect to the membership port");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("set the read timeout");
    stream.write_all(&stored).expect("send the stored frame");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("read the response");
    let (length, rest) = answer.split_at(4);
    assert_eq!(
        u32::from_be_bytes(length.try_into().expect("the length has four bytes")) as usize,
        rest.len()
    );
    let answer = decode(FLEET, rest, MAX_FRAME_BYTES).expect("decode the packet");
    assert_eq!((&*answer.sender.name, &answer.body), ("relay-1", &MessageBody::PushPullResponse));
    assert_eq!(encoded(&answer), rest);
    let names: Vec<&str> = answer.updates.iter().map(|update| &*update.name).collect();
    assert_eq!(names, ["relay-2"], "a dead member must not be added");
}

fn encoded(packet: &Packet) -> Vec<u8> {
    let updates: Vec<Vec<u8>> = packet.updates.iter().map(encode_update).collect();
    let updates = updates.iter().map(Vec::as_slice);
    encode(&packet.fleet, &packet.sender, packet.body.clone(), updates, MAX_FRAME_BYTES).bytes
}
