//! The bytes between relays: what is written is read; what is damaged, cut short, of another version or of
//! another fleet is a fault by name, whatever the bytes are, and never more than that.
use hallrelay_membership::message::{
    decode, encode, written, Body, Fault, Packet, DATAGRAM, FRAME, LISTENERS, NAME,
};
use hallrelay_membership::{About, Claim, Duty, Rank, State};
use oorandom::Rand64;
use std::net::SocketAddr;

fn claim(rng: &mut Rand64) -> Claim {
    let below = |rng: &mut Rand64, end: u64| rng.rand_range(0..end);
    let v6 = below(rng, 4) == 0;
    let port = 1 + below(rng, 60_000) as u16;
    let addr: SocketAddr = match v6 {
        true => ([0x2001, 0xdb8, 0, 0, 0, 0, 0, 1 + below(rng, 99) as u16], port).into(),
        false => ([10, 0, below(rng, 256) as u8, 1 + below(rng, 255) as u8], port).into(),
    };
    let name = "n".repeat(1 + below(rng, NAME as u64) as usize);
    Claim {
        name: name.into(),
        addr,
        rank: Rank { start: rng.rand_u64() >> below(rng, 64), incarnation: rng.rand_u64() as u32 },
        state: State::ALL[below(rng, 4) as usize],
        by: (below(rng, 2) == 0).then(|| "accuser".into()),
        about: About {
            version: "0.4.0".into(),
            digest: rng.rand_u64() as u32,
            duty: Duty::Draining,
            sessions: below(rng, 100_000) as u32,
            load: (0..below(rng, LISTENERS as u64 + 1)).map(|i| i as u32).collect(),
        },
    }
}

fn sample(rng: &mut Rand64, most: usize) -> (Packet, Vec<u8>) {
    let name: std::rc::Rc<str> = "relay".into();
    let bodies = [
        Body::Ping { seq: 7 },
        Body::Ask { seq: 9, name, addr: "10.0.0.1:7".parse().expect("an address") },
        Body::Gossip,
        Body::Exchange,
    ];
    let (own, fleet) = (claim(rng), "trunk".into());
    let news: Vec<Claim> = (0..rng.rand_range(0..40)).map(|_| claim(rng)).collect();
    let body = bodies[rng.rand_range(0..4) as usize].clone();
    let bytes: Vec<Vec<u8>> = news.iter().map(written).collect();
    let (bytes, fit) = encode(&fleet, &own, body.clone(), bytes.iter().map(Vec::as_slice), most);
    assert!(bytes.len() <= most && fit <= news.len());
    (Packet { fleet, own, body, news: news[..fit].to_vec() }, bytes)
}

#[test]
fn what_is_written_is_read_and_fits() {
    let mut rng = Rand64::new(1);
    let mut full = 0;
    for _ in 0..2_000 {
        let (packet, bytes) = sample(&mut rng, DATAGRAM);
        full += usize::from(bytes.len() > DATAGRAM - 250);
        assert_eq!(decode("trunk", &bytes, DATAGRAM), Ok(packet));
        assert_eq!(decode("other", &bytes, DATAGRAM), Err(Fault::OtherFleet));
    }
    assert!(full > 500, "many datagrams are full: {full}");
    // A thousand members fit into one frame.
    let claims: Vec<Vec<u8>> = (0..1_000).map(|_| written(&claim(&mut rng))).collect();
    let own = claim(&mut rng);
    let (bytes, fit) =
        encode(&"trunk".into(), &own, Body::Exchanged, claims.iter().map(Vec::as_slice), FRAME);
    assert_eq!((fit, decode("trunk", &bytes, FRAME).map(|p| p.news.len())), (1_000, Ok(1_000)));
}

#[test]
fn each_damaged_byte_and_each_cut_is_seen() {
    let mut rng = Rand64::new(2);
    for _ in 0..20 {
        let (_, bytes) = sample(&mut rng, 600);
        for at in 0..bytes.len() {
            let mut damaged = bytes.clone();
            damaged[at] ^= 1 + rng.rand_range(0..255) as u8;
            let wanted = if at == 0 { Fault::Version } else { Fault::Damaged };
            assert_eq!(decode("trunk", &damaged, DATAGRAM), Err(wanted), "byte {at}");
            assert_eq!(decode("trunk", &bytes[..at], DATAGRAM), Err(Fault::Damaged), "cut at {at}");
        }
        let mut longer = bytes.clone();
        longer.push(0);
        assert_eq!(decode("trunk", &longer, DATAGRAM), Err(Fault::Damaged));
        assert_eq!(decode("trunk", &bytes, bytes.len() - 1), Err(Fault::Damaged), "over the bound");
    }
}

/// Bytes with a right checksum that nobody sound writes: a fault or a sound packet, never an end.
#[test]
fn garbage_under_a_right_checksum() {
    let mut rng = Rand64::new(3);
    let mut sound = 0;
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
        if let Ok(packet) = decode("trunk", &bytes, DATAGRAM) {
            sound += 1;
            let all = packet.news.iter().chain([&packet.own]);
            assert!(all.clone().all(|c| !c.name.is_empty() && c.name.len() <= NAME && c.addr.port() != 0));
        }
    }
    assert!(sound > 1_000, "some are sound still: {sound}");
}
