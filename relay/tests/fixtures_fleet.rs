//! What relays of one fleet write, as released builds do: the JSON of `GET /v1/fleet`, the backend list that
//! one relay gives another, and the frames of their streams.
mod common;

use common::{free, Site};
use hallrelay_config::node::{self, Told};
use hallrelay_membership::membership::Event as Heard;
use hallrelay_membership::message::{decode, encode, written, Body, Fault, Packet, FRAME};
use hallrelay_membership::status::Status;
use hallrelay_membership::{About, Claim, Duty, Effect as Asks, Membership, Own, Rank, State};
use hallrelay_relay::reducer::{Effect, Event, Reducer};
use serde_json::{json, Value};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::Duration;

const FLEET: &str = "trunk";
const START: u64 = 1_800_000_000_000_000;

fn file(name: &str) -> Vec<u8> {
    let folder = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures_fleet"));
    fs::read(folder.join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn text(name: &str) -> String {
    String::from_utf8(file(name)).expect("text")
}

fn addr(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7946).into()
}

fn claim(name: &str, last: u8, state: State, by: Option<&str>) -> Claim {
    Claim {
        name: name.into(),
        addr: addr(last),
        rank: Rank { start: START + u64::from(last), incarnation: u32::from(last) },
        state,
        by: by.map(Into::into),
        about: About {
            version: "0.4.0".into(),
            digest: 0x1234 + u32::from(last),
            duty: Duty::Draining,
            sessions: 30 + u32::from(last),
            load: vec![30, u32::from(last)],
        },
    }
}

fn packet(own: Claim, body: Body, news: Vec<Claim>) -> Box<Packet> {
    Box::new(Packet { fleet: FLEET.into(), own, body, news })
}

fn own() -> Own {
    Own {
        fleet: FLEET.into(),
        name: "relay-1".into(),
        addr: addr(1),
        start: START,
        about: About {
            version: "0.4.0".into(),
            digest: 0xab,
            duty: Duty::Serving,
            sessions: 7,
            load: vec![4, 3],
        },
        peers: vec![addr(2)],
        configured: 6,
        seed: 1,
    }
}

/// A relay that holds a member in each state, met another of its own name, and dropped something of each kind.
fn in_each_state() -> Membership {
    let mut membership = Membership::new(own());
    let out = &mut Vec::new();
    let alive = |name, last| claim(name, last, State::Alive, None);
    membership.step(START, Heard::Begin, out);
    let all = vec![alive("relay-3", 3), alive("relay-4", 4), alive("relay-5", 5)];
    let first = packet(alive("relay-2", 2), Body::Exchanged, all);
    membership.step(START + 1_000, Heard::Returned { packet: first }, out);
    let news = vec![
        claim("relay-3", 3, State::Suspect, Some("relay-2")),
        claim("relay-4", 4, State::Gone, Some("relay-2")),
        claim("relay-5", 5, State::Left, None),
        Claim { addr: addr(9), ..claim("relay-1", 1, State::Alive, None) },
    ];
    let second = packet(alive("relay-2", 2), Body::Gossip, news);
    membership.step(START + 51_000, Heard::Heard { from: addr(2), packet: second }, out);
    for (i, what) in Fault::ALL.into_iter().enumerate() {
        membership.step(START + 52_000, Heard::Dropped { what, count: i as u64 + 1 }, out);
    }
    membership
}

#[test]
fn the_status_of_members_in_each_state_is_written_the_same() {
    let mut membership = in_each_state();
    let mut status = membership.status(START + 60_000);
    status.returning = "open".to_string();
    let state = |name: &str| status.members.iter().find(|m| m.name == name).map(|m| m.state.clone());
    let states =
        ["relay-1", "relay-2", "relay-3", "relay-4", "relay-5"].map(|name| state(name).unwrap_or_default());
    assert_eq!(states, ["alive", "alive", "suspect", "gone", "left"]);
    assert!(status.twin.is_some() && status.dropped.len() == Fault::ALL.len());
    assert_eq!(serde_json::to_string(&status).expect("JSON"), text("status.json").trim_end());
    assert_eq!(serde_json::to_string_pretty(&status).expect("JSON"), text("status_pretty.json").trim_end());
    assert_eq!(hallrelay_relay::fleet_table::table(&status), text("status.txt"));
    let read: Status = serde_json::from_str(&text("status.json")).expect("a status");
    assert_eq!(read, status);

    // A process that another one has replaced, and one that knows nobody.
    membership.step(START + 60_000, Heard::Yield, &mut Vec::new());
    let silent = serde_json::to_string(&membership.status(START + 60_000)).expect("JSON");
    assert_eq!(silent, text("status_silent.json").trim_end());
    let alone = serde_json::to_string(&Membership::new(own()).status(START)).expect("JSON");
    assert_eq!(alone, text("status_alone.json").trim_end());
}

/// An answer of a build from before `returning`.
#[test]
fn a_status_without_the_later_key_is_read() {
    let mut old: Value = serde_json::from_str(&text("status.json")).expect("JSON");
    old.as_object_mut().expect("an object").remove("returning").expect("the key");
    let read: Status = serde_json::from_value(old).expect("a status");
    assert_eq!(read.returning, "");
}

/// A relay that was given its list by its configuration alone.
fn reducer(instances: Value) -> Reducer {
    let mut text: Value =
        serde_json::from_str(include_str!("../../deploy/example/relay.json")).expect("the example is JSON");
    text["name"] = json!("relay-1");
    text["discovery"] = json!("10.0.0.100:9000");
    text["known"] = json!({"generation": 17, "instances": instances});
    text["fleet"] = json!({"name": FLEET, "listen": addr(1).to_string(), "peers": [addr(2).to_string()]});
    let node = node::parse(text.to_string().as_bytes(), &Told::default()).expect("a node");
    let mut reducer = Reducer::new(node, None);
    reducer.start(START, &mut Vec::new());
    reducer
}

/// The list that a relay gives the member that asks for it.
fn list_of(reducer: &mut Reducer, now: u64) -> String {
    let asker = claim("relay-2", 2, State::Alive, None);
    let mut out = Vec::new();
    let first = packet(asker.clone(), Body::Exchange, vec![]);
    reducer.step(
        now,
        Event::Membership(Heard::Visited { stream: 1, from: addr(2), packet: first }),
        &mut out,
    );
    out.clear();
    let asks = packet(asker, Body::Recall, vec![]);
    reducer.step(now, Event::Membership(Heard::Visited { stream: 2, from: addr(2), packet: asks }), &mut out);
    let answer = out.into_iter().find_map(|effect| match effect {
        Effect::Membership(Asks::Answer { stream: 2, bytes }) => bytes,
        _ => None,
    });
    let packet = decode(FLEET, &answer.expect("an answer"), FRAME).expect("a packet");
    match packet.body {
        Body::Recalled { told } => String::from_utf8(told).expect("JSON"),
        other => panic!("{other:?}"),
    }
}

#[test]
fn the_list_that_one_relay_gives_another_is_read_and_written_the_same() {
    let known = json!([
        {"instanceId": "s-0", "hostPort": "10.0.1.1:7000", "lifecycle": "up"},
        {"instanceId": "s-1", "hostPort": "10.0.1.2:7000", "lifecycle": "draining"},
    ]);
    assert_eq!(list_of(&mut reducer(known), START + 1_000), text("list.json").trim_end());

    // One that knows none of them takes them, and gives them on.
    let mut other = reducer(json!([{"instanceId": "s-9", "hostPort": "10.0.1.9:7000", "lifecycle": "up"}]));
    assert_eq!(list_of(&mut other, START + 1_000), text("list_before.json").trim_end());
    let told = Body::Recalled { told: text("list.json").trim_end().as_bytes().to_vec() };
    let returned = packet(claim("relay-2", 2, State::Alive, None), told, vec![]);
    other.step(START + 2_000, Event::Membership(Heard::Returned { packet: returned }), &mut Vec::new());
    assert_eq!(list_of(&mut other, START + 2_000), text("list_after.json").trim_end());
}

/// The frames of a stream, as they stand on the wire: the stored one is sent to a running relay, and its
/// answer has the same form.
#[test]
fn a_frame_on_a_stream_has_its_length_before_it() {
    let stored = file("frame.bin");
    let (length, rest) = stored.split_at(4);
    assert_eq!(u32::from_be_bytes(length.try_into().expect("four bytes")) as usize, rest.len());
    let own = Claim { addr: ([127, 0, 0, 1], 7946).into(), ..claim("relay-2", 2, State::Alive, None) };
    let visit = packet(own, Body::Exchange, vec![claim("relay-4", 4, State::Gone, Some("relay-2"))]);
    assert_eq!(bytes(&visit), rest);
    assert_eq!(decode(FLEET, rest, FRAME), Ok(*visit));

    let place = free();
    let mut site = Site::new("fixtures-frame");
    site.text["name"] = json!("relay-1");
    site.text["fleet"] = json!({"name": FLEET, "listen": place.to_string(), "peers": []});
    let relay = site.start();
    relay.until_ready();
    let mut stream = TcpStream::connect(place).expect("a stream");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a timeout");
    stream.write_all(&stored).expect("it is sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("an answer");
    let (length, rest) = answer.split_at(4);
    assert_eq!(u32::from_be_bytes(length.try_into().expect("four bytes")) as usize, rest.len());
    let answer = decode(FLEET, rest, FRAME).expect("a packet");
    assert_eq!((&*answer.own.name, &answer.body), ("relay-1", &Body::Exchanged));
    assert_eq!(bytes(&answer), rest);
    let names: Vec<&str> = answer.news.iter().map(|claim| &*claim.name).collect();
    assert_eq!(names, ["relay-2"], "nobody takes one that is gone for a member");
}

fn bytes(packet: &Packet) -> Vec<u8> {
    let news: Vec<Vec<u8>> = packet.news.iter().map(written).collect();
    let news = news.iter().map(Vec::as_slice);
    encode(&packet.fleet, &packet.own, packet.body.clone(), news, FRAME).0
}
