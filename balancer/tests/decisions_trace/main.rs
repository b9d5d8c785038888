//! Every decision of a seeded run, pinned: ten sites of one relay each, two thousand inputs of all kinds to
//! each. What an input leads to is added, number by number, to a hash that `fixtures/decisions.txt` has after
//! each hundred inputs, so a decision that changes is found and located. The inputs answer the effects, as
//! servers would: a changed decision changes all that follows in its site.
//!
//! A line of the fixture: site, inputs so far, the hash, then how many effects of each kind there were.
mod config;
mod site;

use hallrelay_balancer::types::*;
use site::Site;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

const SITES: u32 = 10;
const INPUTS_PER_SITE: u32 = 2_000;
const INPUTS_PER_LINE: u32 = 100;

/// FNV-1a over whole numbers.
struct Chain(u64);

impl Chain {
    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// The kind of an effect, by which it is counted, and its fields.
fn numbers(effect: &Effect) -> (usize, Vec<u64>) {
    match *effect {
        Effect::Dial { session, server, timeout, send_within } => {
            let window = send_within.map_or([0, 0], |window| [1, window]);
            (0, vec![u64::from(session), u64::from(server), timeout, window[0], window[1]])
        }
        Effect::Reject { session, retry_after } => (1, vec![u64::from(session), retry_after]),
        Effect::TearDown { session } => (2, vec![u64::from(session)]),
        Effect::Migrate { session } => (3, vec![u64::from(session)]),
        Effect::Probe { server } => (4, vec![u64::from(server)]),
        Effect::SetTimer { after, label } => (5, vec![after, u64::from(label)]),
        Effect::WatchEndpoints => (6, vec![]),
    }
}

#[test]
fn every_decision_is_as_before() {
    let trace: String = (0..SITES).map(|number| Site::new(number).play()).collect();
    let pinned = include_str!("../fixtures/decisions.txt");
    if trace == pinned {
        return;
    }
    let written = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("decisions.txt");
    std::fs::write(&written, &trace).expect("the trace is written");
    let differs = trace.lines().zip(pinned.lines()).find(|(now, then)| now != then);
    panic!("{differs:?} is where decisions differ first (now, then); all of them: {}", written.display());
}
