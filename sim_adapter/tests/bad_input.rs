//! Tests that the adapter rejects malformed frames, and reports invalid settings in its reply.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run_adapter(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay-simhost"));
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("start the adapter");
    child.stdin.take().expect("standard input is piped").write_all(input).expect("write the input");
    child.wait_with_output().expect("wait for the adapter")
}

fn frame(records: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let mut body = [0u8; 16];
    body[8..12].copy_from_slice(&(records.len() as u32).to_le_bytes());
    body[12] = 1;
    let mut body = body.to_vec();
    for record in records {
        body.extend_from_slice(record);
        body.resize(body.len() + 56 - record.len(), 0);
    }
    body.extend_from_slice(tail);
    [&(body.len() as u32).to_le_bytes(), &body[..]].concat()
}

/// Asserts that the adapter rejects the input: it fails, writes one line with the expected text to standard
/// error, and writes nothing to standard output.
fn assert_rejected(input: &[u8], expected: &str) {
    let output = run_adapter(input);
    let error = String::from_utf8(output.stderr).expect("the error message is UTF-8");
    assert!(!output.status.success() && error.lines().count() == 1 && error.contains(expected), "{error}");
    assert!(output.stdout.is_empty());
}

#[test]
fn malformed_frames_are_rejected() {
    let empty = frame(&[], b"");
    let output = run_adapter(&empty);
    assert_eq!(
        (output.status.success(), output.stdout),
        (true, [8, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0].to_vec())
    );
    assert_rejected(&empty[..9], "input truncated: got 5 of 16 bytes of a frame");
    assert_rejected(&[4, 0, 0, 0, 1, 2, 3, 4], "shorter than its header of 16 bytes");
    let mut too_many = empty.clone();
    too_many[12] = 200;
    assert_rejected(&too_many, "200 records of 56 bytes exceed the 0 bytes after the header");
    assert_rejected(&frame(&[&[99]], b""), "unknown event code 99");
    assert_rejected(
        &frame(&[&[2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 9]], b"{}"),
        "outside a tail of 2 bytes",
    );
}

#[test]
fn invalid_settings_are_reported_in_reply() {
    let failure_text = |text: &[u8]| {
        let size = text.len() as u8;
        let output = run_adapter(&frame(&[&[2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, size]], text));
        assert!(output.status.success());
        assert_eq!(output.stdout[12], 73, "the reply contains a failure record");
        String::from_utf8_lossy(&output.stdout[36..]).into_owned()
    };
    assert!(failure_text(b"{nonsense").contains("not JSON"));
    assert_eq!(failure_text(b"{\"Rules\": {}}"), "settings: Ceilings is missing");
}
