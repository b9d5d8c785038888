//! Tests that the adapter rejects malformed frames, and reports invalid settings in its reply. The adapter is
//! the binary `hallrelay-simhost`, which the simulator starts. `src/frame.rs`, `src/record.rs` and
//! `src/reply.rs` define the layouts.
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Size of the header of a frame from the simulator, in bytes.
const HEADER: usize = 16;
/// Size of an event record, in bytes.
const EVENT: usize = 56;
/// Size of the header of a reply, including the frame's length, in bytes.
const REPLY_HEADER: usize = 12;
/// Size of a record of a reply, in bytes.
const REPLY_RECORD: usize = 24;
/// Code of a reply's record for a relay that could not be started. The tail contains the error text.
const FAILURE: u8 = 73;
/// Number of the batch in each frame, which the reply repeats.
const BATCH: u8 = 1;

fn run_adapter(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay-simhost"));
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("start the adapter");
    child.stdin.take().expect("standard input is piped").write_all(input).expect("write the input");
    child.wait_with_output().expect("wait for the adapter")
}

/// Encodes a frame: its length, the header (time in bytes 0 to 7, number of records in bytes 8 to 11, number
/// of the batch in bytes 12 to 15), the records padded to `EVENT` bytes, and the tail.
fn frame(records: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut body = [0u8; HEADER];
    body[8..12].copy_from_slice(&(records.len() as u32).to_le_bytes());
    body[12] = BATCH;
    let mut body = body.to_vec();
    for record in records {
        body.extend_from_slice(record);
        body.resize(body.len() + EVENT - record.len(), 0);
    }
    body.extend_from_slice(tail);
    [&(body.len() as u32).to_le_bytes(), &body[..]].concat()
}

/// Encodes a start event (code 2) for relay 0 with seed 0, whose settings are `size` bytes at `offset` of the
/// tail.
fn start_record(offset: u32, size: u32) -> Vec<u8> {
    let (relay, seed) = (0u16, 0u64);
    [&[2][..], &relay.to_le_bytes(), &seed.to_le_bytes(), &offset.to_le_bytes(), &size.to_le_bytes()].concat()
}

/// Asserts that the adapter rejects the input: it fails, writes one line with the expected text to standard
/// error, and writes nothing to standard output.
fn assert_rejected(input: &[u8], expected: &str) {
    let Output { status, stdout, stderr } = run_adapter(input);
    let error = String::from_utf8(stderr).expect("the error message is UTF-8");
    assert!(
        !status.success() && error.lines().count() == 1 && error.contains(expected),
        "expected a failure with one line that contains '{expected}', got {status} with: {error}"
    );
    assert!(stdout.is_empty(), "rejected input must get no reply, got {stdout:?} with: {error}");
}

#[test]
fn malformed_frames_are_rejected() {
    let empty = frame(&[], b"");
    let output = run_adapter(&empty);
    // The reply to a batch without events: a length of 8, no records, and the number of the batch.
    assert_eq!(
        (output.status.success(), output.stdout),
        (true, [8, 0, 0, 0, 0, 0, 0, 0, BATCH, 0, 0, 0].to_vec()),
        "reply to an empty batch; standard error: {}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_rejected(&empty[..9], "input truncated: got 5 of 16 bytes of a frame");
    assert_rejected(&[4, 0, 0, 0, 1, 2, 3, 4], "shorter than its header of 16 bytes");
    let mut too_many = empty.clone();
    // The number of records is at byte 8 of the header, after the four bytes of the frame's length.
    too_many[4 + 8] = 200;
    assert_rejected(&too_many, "200 records of 56 bytes exceed the 0 bytes after the header");
    assert_rejected(&frame(&[&[99]], b""), "unknown event code 99");
    assert_rejected(&frame(&[&start_record(5, 9)], b"{}"), "outside a tail of 2 bytes");
}

#[test]
fn invalid_settings_are_reported_in_reply() {
    let failure_text = |settings: &[u8]| {
        let record = start_record(0, settings.len() as u32);
        let Output { status, stdout, stderr } = run_adapter(&frame(&[&record], settings));
        let error = String::from_utf8_lossy(&stderr);
        assert!(status.success(), "the adapter must not fail, got {status} with: {error}");
        let code = stdout.get(REPLY_HEADER).copied();
        assert_eq!(code, Some(FAILURE), "code of the first record of the reply {stdout:?}");
        let text = stdout.get(REPLY_HEADER + REPLY_RECORD..).expect("the reply contains a full record");
        String::from_utf8_lossy(text).into_owned()
    };
    let text = failure_text(b"{nonsense");
    assert!(text.contains("not JSON"), "the error must contain 'not JSON', got: {text}");
    assert_eq!(failure_text(b"{\"Rules\": {}}"), "settings: Ceilings is missing");
}
