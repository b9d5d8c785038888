//! The bytes of each message between relays as released builds write them. Each file must decode to the value
//! defined here, and the value must encode to the bytes of the file.
use hallrelay_membership::message::{
    decode, encode, encode_update, MessageBody, Packet, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES, MAX_LISTENERS,
    MAX_NAME_BYTES,
};
use hallrelay_membership::{
    Incarnation, LocalMember, MemberMetadata, MemberState, Membership, ReportedLifecycle, Update,
};
use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

const FLEET: &str = "trunk";

fn fixture_directory() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures"))
}

fn fixture(name: &str) -> Vec<u8> {
    fs::read(fixture_directory().join(name)).unwrap_or_else(|e| panic!("read fixture {name}: {e}"))
}

fn v4(last: u8) -> SocketAddr {
    ([10, 0, 0, last], 7946).into()
}

fn v6(last: u16) -> SocketAddr {
    ([0x2001, 0xdb8, 0, 0, 0, 0, 0, last], 65_535).into()
}

/// The sender of all messages.
fn sender() -> Update {
    Update {
        name: "relay-1".into(),
        addr: v4(1),
        incarnation: Incarnation { start: 1_800_000_000_000_000, counter: 3 },
        state: MemberState::Alive,
        reporter: None,
        metadata: MemberMetadata {
            version: "0.4.0".into(),
            settings_digest: 0xdead_beef,
            lifecycle: ReportedLifecycle::Serving,
            sessions: 1_234,
            listener_sessions: vec![1_000, 200, 34],
        },
    }
}

/// A member that reports only default values.
fn member(name: &str, addr: SocketAddr, state: MemberState, reporter: Option<&str>) -> Update {
    let incarnation = Incarnation { start: 1_800_000_000_000_001, counter: 0 };
    Update {
        name: name.into(),
        addr,
        incarnation,
        state,
        reporter: reporter.map(Into::into),
        metadata: MemberMetadata::default(),
    }
}

/// An update for each state, with and without a reporter.
fn each_state() -> Vec<Update> {
    let mut all = Vec::new();
    for state in MemberState::ALL {
        let name = format!("relay-{}", state.as_str());
        all.push(member(&name, v4(10), state, None));
        all.push(member(&name, v6(11), state, Some("relay-1")));
    }
    all
}

/// An update for each lifecycle state that a relay can report.
fn each_lifecycle() -> Vec<Update> {
    let all = [
        ReportedLifecycle::Starting,
        ReportedLifecycle::Serving,
        ReportedLifecycle::Draining,
        ReportedLifecycle::Stopping,
    ];
    let update = |lifecycle: ReportedLifecycle| {
        let metadata = MemberMetadata { lifecycle, version: "1.2.3".into(), ..MemberMetadata::default() };
        Update { metadata, ..member(lifecycle.as_str(), v4(20), MemberState::Alive, None) }
    };
    all.map(update).to_vec()
}

/// Updates with the smallest and the largest value of each field.
fn limits() -> Vec<Update> {
    let largest = MemberMetadata {
        version: "v".repeat(MAX_NAME_BYTES).as_str().into(),
        settings_digest: u32::MAX,
        lifecycle: ReportedLifecycle::Stopping,
        sessions: u32::MAX,
        listener_sessions: vec![u32::MAX; MAX_LISTENERS],
    };
    let longest_name = "n".repeat(MAX_NAME_BYTES);
    let incarnation = Incarnation { start: u64::MAX, counter: u32::MAX };
    vec![
        Update {
            incarnation: Incarnation::default(),
            ..member("a", ([0, 0, 0, 1], 1).into(), MemberState::Alive, None)
        },
        Update {
            incarnation,
            metadata: largest,
            ..member(&longest_name, v6(u16::MAX), MemberState::Suspect, Some(&longest_name))
        },
    ]
}

/// More members than fit into a datagram.
fn many_members(count: usize) -> Vec<Update> {
    let numbered_member = |i: usize| {
        let addr = ([10, 1, (i >> 8) as u8, i as u8], 7946).into();
        member(&format!("other-{i}"), addr, MemberState::ALL[i % 4], None)
    };
    (0..count).map(numbered_member).collect()
}

/// File name, body, updates and largest length of each message.
fn cases() -> Vec<(&'static str, MessageBody, Vec<Update>, usize)> {
    let ping_request = |addr| MessageBody::PingRequest { sequence: 9, target: "relay-7".into(), addr };
    let longest = MessageBody::PingRequest {
        sequence: u32::MAX,
        target: "n".repeat(MAX_NAME_BYTES).as_str().into(),
        addr: v6(7),
    };
    vec![
        ("ping.bin", MessageBody::Ping { sequence: 7 }, vec![], MAX_DATAGRAM_BYTES),
        ("ping_limit.bin", MessageBody::Ping { sequence: u32::MAX }, vec![], MAX_DATAGRAM_BYTES),
        ("ack.bin", MessageBody::Ack { sequence: 128 }, vec![], MAX_DATAGRAM_BYTES),
        ("ask_v4.bin", ping_request(v4(7)), vec![], MAX_DATAGRAM_BYTES),
        ("ask_v6.bin", ping_request(v6(7)), vec![], MAX_DATAGRAM_BYTES),
        ("ask_limit.bin", longest, vec![], MAX_DATAGRAM_BYTES),
        ("nack.bin", MessageBody::Nack { sequence: 16_384 }, vec![], MAX_DATAGRAM_BYTES),
        ("gossip.bin", MessageBody::Gossip, each_state(), MAX_DATAGRAM_BYTES),
        ("ping_with_duties.bin", MessageBody::Ping { sequence: 1 }, each_lifecycle(), MAX_DATAGRAM_BYTES),
        ("ack_with_limits.bin", MessageBody::Ack { sequence: 0 }, limits(), MAX_DATAGRAM_BYTES),
        ("gossip_full.bin", MessageBody::Gossip, many_members(100), MAX_DATAGRAM_BYTES),
        ("exchange.bin", MessageBody::PushPullRequest, each_state(), MAX_FRAME_BYTES),
        ("exchanged.bin", MessageBody::PushPullResponse, many_members(300), MAX_FRAME_BYTES),
        ("recall.bin", MessageBody::EndpointListRequest, vec![], MAX_FRAME_BYTES),
        (
            "recalled.bin",
            MessageBody::EndpointListResponse { bytes: br#"{"source":"10.0.0.9:1"}"#.to_vec() },
            vec![],
            MAX_FRAME_BYTES,
        ),
        ("recalled_empty.bin", MessageBody::EndpointListResponse { bytes: vec![] }, vec![], MAX_FRAME_BYTES),
        ("word.bin", MessageBody::User { bytes: (0..=255).collect() }, vec![], MAX_DATAGRAM_BYTES),
        (
            "word_long.bin",
            MessageBody::User { bytes: vec![0x5a; MAX_DATAGRAM_BYTES] },
            vec![],
            MAX_FRAME_BYTES,
        ),
    ]
}

fn bytes_of(sender: &Update, body: &MessageBody, updates: &[Update], max_bytes: usize) -> (Vec<u8>, usize) {
    let updates: Vec<Vec<u8>> = updates.iter().map(encode_update).collect();
    let packet = encode(&FLEET.into(), sender, body.clone(), updates.iter().map(Vec::as_slice), max_bytes);
    (packet.bytes, packet.update_count)
}

#[test]
fn each_message_matches_its_fixture() {
    for (name, body, mut updates, max_bytes) in cases() {
        let (bytes, update_count) = bytes_of(&sender(), &body, &updates, max_bytes);
        updates.truncate(update_count);
        let stored = fixture(name);
        assert_eq!(bytes, stored, "{name}: encoded");
        let packet = decode(FLEET, &stored, max_bytes).unwrap_or_else(|e| panic!("{name}: {e:?}"));
        assert_eq!(
            packet,
            Packet { fleet: FLEET.into(), sender: sender(), body, updates },
            "{name}: decoded"
        );
        let encoded_again = bytes_of(&packet.sender, &packet.body, &packet.updates, max_bytes);
        assert_eq!(encoded_again, (stored, update_count), "{name}: encoded again");
    }
    let decoded_updates = |name: &str, max_bytes: usize| {
        decode(FLEET, &fixture(name), max_bytes).map(|packet| packet.updates.len())
    };
    assert_eq!(decoded_updates("gossip.bin", MAX_DATAGRAM_BYTES), Ok(8));
    assert_eq!(decoded_updates("exchanged.bin", MAX_FRAME_BYTES), Ok(300));
    let count = decoded_updates("gossip_full.bin", MAX_DATAGRAM_BYTES);
    assert!(count.is_ok_and(|count| (20..100).contains(&count)), "gossip_full.bin: {count:?} updates");
}

/// A process that takes over a relay reads the member table that its predecessor wrote.
#[test]
fn restored_member_table_encodes_to_the_stored_bytes() {
    let local = LocalMember {
        fleet: FLEET.into(),
        name: sender().name,
        addr: sender().addr,
        start: 1,
        metadata: sender().metadata,
        peers: vec![v4(2)],
        configured_relays: 3,
        random_seed: 1,
    };
    let mut membership = Membership::new(local);
    membership.restore(1_800_000_000_000_100, &fixture("exchanged.bin"));
    assert_eq!(membership.incarnation(), Incarnation { counter: 4, ..sender().incarnation });
    assert_eq!(membership.members().count(), 150, "only live members are restored");
    assert_eq!(membership.snapshot(), fixture("estate.bin"));
}

#[test]
fn each_fixture_file_has_a_case() {
    let names: BTreeSet<String> = fs::read_dir(fixture_directory())
        .expect("read the fixture directory")
        .map(|entry| entry.expect("read a directory entry").file_name().to_string_lossy().into_owned())
        .collect();
    let mut expected: BTreeSet<String> = cases().iter().map(|case| case.0.to_string()).collect();
    expected.insert("estate.bin".to_string());
    assert_eq!(names, expected);
}
