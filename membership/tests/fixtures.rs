//! The bytes of each message between relays, as released builds write them: each file is decoded to the value
//! that stands here, and the value is encoded to the same bytes again.
use hallrelay_membership::message::{
    decode, encode, written, Body, Packet, DATAGRAM, FRAME, LISTENERS, NAME,
};
use hallrelay_membership::{About, Claim, Duty, Membership, Own, Rank, State};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

const FLEET: &str = "trunk";

fn folder() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures"))
}

fn file(name: &str) -> Vec<u8> {
    fs::read(folder().join(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn v4(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7946).into()
}

fn v6(last: u16) -> SocketAddr {
    ([0x2001, 0xdb8, 0, 0, 0, 0, 0, last], 65_535).into()
}

/// The sender of all messages here.
fn sender() -> Claim {
    Claim {
        name: "relay-1".into(),
        addr: v4(1),
        rank: Rank { start: 1_800_000_000_000_000, incarnation: 3 },
        state: State::Alive,
        by: None,
        about: About {
            version: "0.4.0".into(),
            digest: 0xdead_beef,
            duty: Duty::Serving,
            sessions: 1_234,
            load: vec![1_000, 200, 34],
        },
    }
}

/// A member with nothing but defaults in what it says of itself.
fn member(name: &str, addr: SocketAddr, state: State, by: Option<&str>) -> Claim {
    let rank = Rank { start: 1_800_000_000_000_001, incarnation: 0 };
    Claim { name: name.into(), addr, rank, state, by: by.map(Into::into), about: About::default() }
}

/// A claim of each state, with an accuser and without.
fn each_state() -> Vec<Claim> {
    let mut all = Vec::new();
    for state in State::ALL {
        let name = format!("relay-{}", state.word());
        all.push(member(&name, v4(10), state, None));
        all.push(member(&name, v6(11), state, Some("relay-1")));
    }
    all
}

/// Each lifecycle state that a relay says of itself.
fn each_duty() -> Vec<Claim> {
    let duties = [Duty::Starting, Duty::Serving, Duty::Draining, Duty::Stopping];
    let one = |duty: Duty| {
        let about = About { duty, version: "1.2.3".into(), ..About::default() };
        Claim { about, ..member(duty.word(), v4(20), State::Alive, None) }
    };
    duties.map(one).to_vec()
}

/// The least and the most of each field.
fn limits() -> Vec<Claim> {
    let most = About {
        version: "v".repeat(NAME).as_str().into(),
        digest: u32::MAX,
        duty: Duty::Stopping,
        sessions: u32::MAX,
        load: vec![u32::MAX; LISTENERS],
    };
    let long = "n".repeat(NAME);
    let rank = Rank { start: u64::MAX, incarnation: u32::MAX };
    vec![
        Claim { rank: Rank::default(), ..member("a", ([0, 0, 0, 1], 1).into(), State::Alive, None) },
        Claim { rank, about: most, ..member(&long, v6(u16::MAX), State::Suspect, Some(&long)) },
    ]
}

/// More members than a datagram holds.
fn many(count: usize) -> Vec<Claim> {
    let one = |i: usize| {
        let addr = ([10, 1, (i >> 8) as u8, i as u8], 7946).into();
        member(&format!("other-{i}"), addr, State::ALL[i % 4], None)
    };
    (0..count).map(one).collect()
}

/// Name of the file, the message's own part, the claims that ride on it, and the bytes that it may have.
fn cases() -> Vec<(&'static str, Body, Vec<Claim>, usize)> {
    let ask = |addr| Body::Ask { seq: 9, name: "relay-7".into(), addr };
    let longest = Body::Ask { seq: u32::MAX, name: "n".repeat(NAME).as_str().into(), addr: v6(7) };
    vec![
        ("ping.bin", Body::Ping { seq: 7 }, vec![], DATAGRAM),
        ("ping_limit.bin", Body::Ping { seq: u32::MAX }, vec![], DATAGRAM),
        ("ack.bin", Body::Ack { seq: 128 }, vec![], DATAGRAM),
        ("ask_v4.bin", ask(v4(7)), vec![], DATAGRAM),
        ("ask_v6.bin", ask(v6(7)), vec![], DATAGRAM),
        ("ask_limit.bin", longest, vec![], DATAGRAM),
        ("nack.bin", Body::Nack { seq: 16_384 }, vec![], DATAGRAM),
        ("gossip.bin", Body::Gossip, each_state(), DATAGRAM),
        ("ping_with_duties.bin", Body::Ping { seq: 1 }, each_duty(), DATAGRAM),
        ("ack_with_limits.bin", Body::Ack { seq: 0 }, limits(), DATAGRAM),
        ("gossip_full.bin", Body::Gossip, many(100), DATAGRAM),
        ("exchange.bin", Body::Exchange, each_state(), FRAME),
        ("exchanged.bin", Body::Exchanged, many(300), FRAME),
        ("recall.bin", Body::Recall, vec![], FRAME),
        ("recalled.bin", Body::Recalled { told: br#"{"source":"10.0.0.9:1"}"#.to_vec() }, vec![], FRAME),
        ("recalled_empty.bin", Body::Recalled { told: vec![] }, vec![], FRAME),
        ("word.bin", Body::Word { bytes: (0..=255).collect() }, vec![], DATAGRAM),
        ("word_long.bin", Body::Word { bytes: vec![0x5a; DATAGRAM] }, vec![], FRAME),
    ]
}

fn bytes_of(own: &Claim, body: &Body, news: &[Claim], most: usize) -> (Vec<u8>, usize) {
    let news: Vec<Vec<u8>> = news.iter().map(written).collect();
    encode(&FLEET.into(), own, body.clone(), news.iter().map(Vec::as_slice), most)
}

#[test]
fn each_message_is_decoded_and_written_the_same() {
    for (name, body, mut news, most) in cases() {
        let (bytes, fit) = bytes_of(&sender(), &body, &news, most);
        news.truncate(fit);
        let stored = file(name);
        assert_eq!(bytes, stored, "{name}: encoded");
        let packet = decode(FLEET, &stored, most).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(packet, Packet { fleet: FLEET.into(), own: sender(), body, news }, "{name}: decoded");
        let again = bytes_of(&packet.own, &packet.body, &packet.news, most);
        assert_eq!(again, (stored, fit), "{name}: encoded again");
    }
    let fit = |name: &str, most: usize| decode(FLEET, &file(name), most).map(|packet| packet.news.len());
    assert_eq!(fit("gossip.bin", DATAGRAM), Ok(8));
    assert_eq!(fit("exchanged.bin", FRAME), Ok(300));
    assert!(fit("gossip_full.bin", DATAGRAM).is_ok_and(|fit| (20..100).contains(&fit)));
}

/// A process that takes over a relay reads the table that the one before it wrote.
#[test]
fn the_table_for_the_next_process_is_read_and_written_the_same() {
    let own = Own {
        fleet: FLEET.into(),
        name: sender().name,
        addr: sender().addr,
        start: 1,
        about: sender().about,
        peers: vec![v4(2)],
        configured: 3,
        seed: 1,
    };
    let mut membership = Membership::new(own);
    membership.inherit(1_800_000_000_000_100, &file("exchanged.bin"));
    assert_eq!(membership.rank(), Rank { incarnation: 4, ..sender().rank });
    assert_eq!(membership.members().count(), 150, "those that may be there");
    assert_eq!(membership.estate(), file("estate.bin"));
}

#[test]
fn each_file_has_its_case() {
    let names: BTreeSet<String> = fs::read_dir(folder())
        .expect("a folder")
        .map(|entry| entry.expect("an entry").file_name().to_string_lossy().into_owned())
        .collect();
    let mut wanted: BTreeSet<String> = cases().iter().map(|case| case.0.to_string()).collect();
    wanted.insert("estate.bin".to_string());
    assert_eq!(names, wanted);
}
