//! Regression test of every decision in a seeded run: ten sites with one relay each, and 2,000 inputs of all
//! kinds per site. The inputs include simulated servers' answers to the effects, so a changed decision
//! changes all later inputs of its site.
//!
//! The time and the effects of each input are added to a hash. `fixtures/decisions.txt` contains the expected
//! hash after every 100 inputs, which locates the first changed decision. A line of the fixture consists of
//! the site, the number of inputs, the hash, and the number of effects of each kind (in the order of
//! `encode`) up to that input.
mod config;
mod site;

use hallrelay_balancer::types::*;
use site::Site;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

const SITES: u32 = 10;
const INPUTS_PER_SITE: u32 = 2_000;
const INPUTS_PER_LINE: u32 = 100;

/// An FNV-1a hash of a sequence of integers.
struct TraceHash(u64);

impl TraceHash {
    fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

/// Returns the index of an effect's kind, and the effect's fields as integers.
fn encode(effect: &Effect) -> (usize, Vec<u64>) {
    match *effect {
        Effect::Dial { session, server, timeout, send_within } => {
            let send_within = send_within.map_or([0, 0], |time| [1, time]);
            (0, vec![u64::from(session), u64::from(server), timeout, send_within[0], send_within[1]])
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
fn decisions_match_recorded_trace() {
    let trace: String = (0..SITES).map(|number| Site::new(number).run()).collect();
    let expected = include_str!("../fixtures/decisions.txt");
    if trace == expected {
        return;
    }
    let trace_path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("decisions.txt");
    std::fs::write(&trace_path, &trace).expect("write the actual trace");
    let difference = trace.lines().zip(expected.lines()).find(|(actual, expected)| actual != expected);
    panic!("first different lines (actual, expected): {difference:?}; full trace: {}", trace_path.display());
}
