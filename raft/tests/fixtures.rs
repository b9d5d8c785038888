//! Compares the encodings that relays exchange and store with recorded bytes. The bytes must not change; only
//! the names in Rust may.
use hallrelay_raft::{AppendEntries, Entry, Message, MessageBody, Payload, Snapshot, Term, Voter};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::path::PathBuf;

/// Compares lines `name hex` with a recorded file. Writes a missing file and fails.
fn compare_with_file(file: &str, lines: &[String]) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let text = lines.join("\n") + "\n";
    match std::fs::read_to_string(&path) {
        Ok(recorded) => assert_eq!(recorded, text, "{file}"),
        Err(_) => {
            std::fs::write(&path, text).expect("write the missing fixture");
            panic!("fixture {file} was missing and has been written from this run; check it and commit it");
        }
    }
}

/// The bytes of the recorded line with a name; `None` if the file or the line does not exist yet.
fn recorded_bytes(file: &str, name: &str) -> Option<Vec<u8>> {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let text = std::fs::read_to_string(path).ok()?;
    let (_, hex) = text.lines().filter_map(|line| line.split_once(' ')).find(|line| line.0 == name)?;
    let byte = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("parse two hexadecimal digits");
    Some((0..hex.len()).step_by(2).map(byte).collect())
}

/// Checks that each value encodes to the recorded bytes, and that these decode to the value.
fn check_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(file: &str, values: &[(&str, T)]) {
    let mut lines = Vec::new();
    for (name, value) in values {
        let bytes = postcard::to_stdvec(value).expect("encode the value with postcard");
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        lines.push(format!("{name} {hex}"));
        if let Some(recorded) = recorded_bytes(file, name) {
            let decoded: T = postcard::from_bytes(&recorded).expect("decode the recorded bytes");
            assert_eq!(&decoded, value, "{file}: {name}");
        }
    }
    compare_with_file(file, &lines);
}

const A: Voter = Voter { id: 1, incarnation: 3 };
const B: Voter = Voter { id: 4_000_000_000, incarnation: 0x0123_4567_89ab_cdef };

fn entries() -> Vec<Entry> {
    vec![
        Entry { index: 1, term: 0, payload: Payload::Configuration(vec![A, B]) },
        Entry { index: 2, term: 1, payload: Payload::Noop },
        Entry { index: 300, term: 200, payload: Payload::Command(vec![0, 1, 255]) },
        Entry { index: 301, term: 200, payload: Payload::Command(Vec::new()) },
        Entry { index: 302, term: u64::MAX, payload: Payload::Configuration(Vec::new()) },
    ]
}

fn snapshot() -> Snapshot {
    Snapshot { index: 128, term: 7, voters: vec![B, A], state: vec![9, 8, 7, 0] }
}

fn message(term: Term, body: MessageBody) -> Message {
    Message { from: A, to: B, term, body }
}

#[test]
fn messages_encode_to_recorded_bytes() {
    let values = [
        ("announce-empty", message(0, MessageBody::Announce { uninitialized: true })),
        ("announce", message(5, MessageBody::Announce { uninitialized: false })),
        ("bootstrap", message(0, MessageBody::Bootstrap { voters: vec![A, B] })),
        (
            "pre-vote-request",
            message(129, MessageBody::RequestPreVote { last_log_index: 300, last_log_term: 128 }),
        ),
        ("pre-vote-granted", message(129, MessageBody::PreVoteResponse { granted: true })),
        ("pre-vote-denied", message(130, MessageBody::PreVoteResponse { granted: false })),
        (
            "vote-request",
            message(131, MessageBody::RequestVote { last_log_index: u64::MAX, last_log_term: 0 }),
        ),
        ("vote-granted", message(131, MessageBody::VoteResponse { granted: true })),
        ("vote-denied", message(131, MessageBody::VoteResponse { granted: false })),
        (
            "append-none",
            message(
                1,
                MessageBody::AppendEntries(AppendEntries {
                    prev_log_index: 0,
                    prev_log_term: 0,
                    entries: Vec::new(),
                    leader_commit: 0,
                }),
            ),
        ),
        (
            "append-entries",
            message(
                1 << 40,
                MessageBody::AppendEntries(AppendEntries {
                    prev_log_index: 127,
                    prev_log_term: 6,
                    entries: entries(),
                    leader_commit: 200,
                }),
            ),
        ),
        ("append-accepted", message(2, MessageBody::AppendResponse { success: true, index: 302 })),
        ("append-refused", message(2, MessageBody::AppendResponse { success: false, index: 0 })),
        ("snapshot", message(7, MessageBody::InstallSnapshot { snapshot: snapshot() })),
        ("snapshot-empty", message(7, MessageBody::InstallSnapshot { snapshot: Snapshot::default() })),
    ];
    check_encoding("messages.hex", &values);
}

#[test]
fn entries_and_snapshots_encode_to_recorded_bytes() {
    let names = ["first-voters", "nothing", "command", "command-empty", "voters-none"];
    let values: Vec<(&str, Entry)> = names.into_iter().zip(entries()).collect();
    check_encoding("entries.hex", &values);
    check_encoding("snapshots.hex", &[("empty", Snapshot::default()), ("some", snapshot())]);
}

/// The record of a vote in the store: the incarnation of the voter's disk, the term and the vote.
type StoredVote = (u64, Term, Option<Voter>);

#[test]
fn stored_votes_encode_to_recorded_bytes() {
    let values: [(&str, StoredVote); 2] = [("none", (u64::MAX, 0, None)), ("given", (7, 300, Some(B)))];
    check_encoding("votes.hex", &values);
}
