//! What the host does with frames and settings that are not as the wire has them.
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn host(input: &[u8]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay-simhost"));
    let command = command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().expect("the host starts");
    child.stdin.take().expect("piped").write_all(input).expect("the host reads");
    child.wait_with_output().expect("the host ends")
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

/// One plain line on standard error, a failing exit, and nothing but replies on standard output.
fn refused(input: &[u8], what: &str) {
    let out = host(input);
    let told = String::from_utf8(out.stderr).expect("text");
    assert!(!out.status.success() && told.lines().count() == 1 && told.contains(what), "{told}");
    assert!(out.stdout.is_empty());
}

#[test]
fn frames() {
    let empty = frame(&[], b"");
    let out = host(&empty);
    assert_eq!((out.status.success(), out.stdout), (true, [8, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0].to_vec()));
    refused(&empty[..9], "input ends 5 bytes into a frame of 16");
    refused(&[4, 0, 0, 0, 1, 2, 3, 4], "shorter than its header");
    let mut many = empty.clone();
    many[12] = 200;
    refused(&many, "200 records do not fit");
    refused(&frame(&[&[99]], b""), "unknown event code 99");
    refused(&frame(&[&[2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 9]], b"{}"), "outside a tail of 2 bytes");
}

#[test]
fn settings() {
    let start = |text: &[u8]| {
        let size = text.len() as u8;
        let out = host(&frame(&[&[2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, size]], text));
        assert!(out.status.success());
        assert_eq!(out.stdout[12], 73, "the instance declares its failure");
        String::from_utf8_lossy(&out.stdout[36..]).into_owned()
    };
    assert!(start(b"{nonsense").contains("not JSON"));
    assert_eq!(start(b"{\"Rules\": {}}"), "settings: Ceilings is missing");
}
