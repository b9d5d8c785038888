//! The encoding of packets: encoded packets decode to the same values, and damaged or truncated packets and
//! those of another version or fleet give the matching error, without a panic for any input.
use hallrelay_membership::message::{
    decode, encode, encode_update, DecodeError, MessageBody, Packet, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES,
    MAX_LISTENERS, MAX_NAME_BYTES,
};
use hallrelay_membership::{Incarnation, MemberMetadata, MemberState, ReportedLifecycle, Update};
use oorandom::Rand64;
use std::net::SocketAddr;

fn update(rng: &mut Rand64) -> Update {
    let below = |rng: &mut Rand64, end: u64| rng.rand_range(0..end);
    let v6 = below(rng, 4) == 0;
    let port = 1 + below(rng, 60_000) as u16;
    let addr: SocketAddr = match v6 {
        true => ([0x2001, 0xdb8, 0, 0, 0, 0, 0, 1 + below(rng, 99) as u16], port).into(),
        false => ([10, 0, below(rng, 256) as u8, 1 + below(rng, 255) as u8], port).into(),
    };
    let name = "n".repeat(1 + below(rng, MAX_NAME_BYTES as u64) as usize);
    Update {
        name: name.into(),
        addr,
        incarnation: Incarnation { start: rng.rand_u64() >> below(rng, 64), counter: rng.rand_u64() as u32 },
        state: MemberState::ALL[below(rng, 4) as usize],
        reporter: (below(rng, 2) == 0).then(|| "relay-9".into()),
        metadata: MemberMetadata {
            version: "0.4.0".into(),
            settings_digest: rng.rand_u64() as u32,
            lifecycle: ReportedLifecycle::Draining,
            sessions: below(rng, 100_000) as u32,
            listener_sessions: (0..below(rng, MAX_LISTENERS as u64 + 1)).map(|i| i as u32).collect(),
        },
    }
}

fn sample(rng: &mut Rand64, max_bytes: usize) -> (Packet, Vec<u8>) {
    let target: std::rc::Rc<str> = "relay".into();
    let bodies = [
        MessageBody::Ping { sequence: 7 },
        MessageBody::PingRequest { sequence: 9, target, addr: "10.0.0.1:7".parse().expect("parse address") },
        MessageBody::Gossip,
        MessageBody::PushPullRequest,
    ];
    let sender = update(rng);
    let fleet = "trunk".into();
    let updates: Vec<Update> = (0..rng.rand_range(0..40)).map(|_| update(rng)).collect();
    let body = bodies[rng.rand_range(0..4) as usize].clone();
    let encoded: Vec<Vec<u8>> = updates.iter().map(encode_update).collect();
    let packet = encode(&fleet, &sender, body.clone(), encoded.iter().map(Vec::as_slice), max_bytes);
    let (length, count) = (packet.bytes.len(), packet.update_count);
    assert!(length <= max_bytes && count <= updates.len(), "{length} of {max_bytes} bytes, {count} updates");
    let updates = updates[..packet.update_count].to_vec();
    (Packet { fleet, sender, body, updates }, packet.bytes)
}

#[test]
fn packets_decode_as_encoded_and_fit_their_bound() {
    let mut rng = Rand64::new(1);
    let mut full = 0;
    for _ in 0..2_000 {
        let (packet, bytes) = sample(&mut rng, MAX_DATAGRAM_BYTES);
        full += usize::from(bytes.len() > MAX_DATAGRAM_BYTES - 250);
        assert_eq!(decode("trunk", &bytes, MAX_DATAGRAM_BYTES), Ok(packet));
        assert_eq!(decode("other", &bytes, MAX_DATAGRAM_BYTES), Err(DecodeError::WrongFleet));
    }
    assert!(full > 500, "at least 500 of 2000 datagrams must be nearly full: {full}");
    // A thousand members fit into one frame.
    let updates: Vec<Vec<u8>> = (0..1_000).map(|_| encode_update(&update(&mut rng))).collect();
    let sender = update(&mut rng);
    let updates = updates.iter().map(Vec::as_slice);
    let packet = encode(&"trunk".into(), &sender, MessageBody::PushPullResponse, updates, MAX_FRAME_BYTES);
    let decoded = decode("trunk", &packet.bytes, MAX_FRAME_BYTES).map(|packet| packet.updates.len());
    assert_eq!((packet.update_count, decoded), (1_000, Ok(1_000)));
}

#[test]
fn each_damaged_or_truncated_packet_is_rejected() {
    let mut rng = Rand64::new(2);
    for _ in 0..20 {
        let (_, bytes) = sample(&mut rng, 600);
        for at in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 + rng.rand_range(0..255) as u8;
            let expected = if at == 0 { DecodeError::UnsupportedVersion } else { DecodeError::Malformed };
            assert_eq!(decode("trunk", &damaged, MAX_DATAGRAM_BYTES), Err(expected), "damaged byte {at}");
            assert_eq!(
                decode("trunk", &bytes[..at], MAX_DATAGRAM_BYTES),
                Err(DecodeError::Malformed),
                "cut at {at}"
            );
        }
        let mut longer = bytes.clone();
        longer.push(0);
        assert_eq!(decode("trunk", &longer, MAX_DATAGRAM_BYTES), Err(DecodeError::Malformed));
        assert_eq!(
            decode("trunk", &bytes, bytes.len() - 1),
            Err(DecodeError::Malformed),
            "longer than the bound"
        );
    }
}

/// Random bytes with a valid checksum give an error or a valid packet, but never a panic.
#[test]
fn random_bytes_with_valid_checksum_never_panic() {
    let mut rng = Rand64::new(3);
    let mut valid = 0;
    for _ in 0..100_000 {
        let (_, mut bytes) = if rng.rand_range(0..2) == 0 {
            sample(&mut rng, 500)
        } else {
            let len = rng.rand_range(5..200) as usize;
            let bytes = (0..len).map(|_| rng.rand_u64() as u8).collect();
            (sample(&mut rng, 500).0, bytes)
        };
        bytes[0] = 1;
        for _ in 0..rng.rand_range(0..3) {
            let at = rng.rand_range(5..bytes.len().max(6) as u64) as usize;
            if let Some(byte) = bytes.get_mut(at) {
                *byte = rng.rand_u64() as u8;
            }
        }
        let sum = crc32fast::hash(&bytes[5..]);
        bytes[1..5].copy_from_slice(&sum.to_le_bytes());
        if let Ok(packet) = decode("trunk", &bytes, MAX_DATAGRAM_BYTES) {
            valid += 1;
            for u in packet.updates.iter().chain([&packet.sender]) {
                let is_name = !u.name.is_empty() && u.name.len() <= MAX_NAME_BYTES;
                assert!(is_name && u.addr.port() != 0, "decoded an update out of its bounds: {u:?}");
            }
        }
    }
    assert!(valid > 1_000, "too few of the packets are valid: {valid}");
}
