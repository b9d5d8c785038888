//! Parsers for the lines of the protocol. They read no sockets and make no decisions.
use hallrelay_balancer::types::LoadReport;
use hallrelay_config::facts::ReportOrder;
use std::ops::Range;
use winnow::ascii::{alpha1, float};
use winnow::combinator::{opt, preceded, separated, separated_pair};
use winnow::prelude::*;
use winnow::token::{rest, take_while};

/// The line end.
pub const END: &[u8] = b"\r\n";
/// To a client or from a backend: the client is to reconnect with the same key, and its session continues
/// elsewhere.
pub const MOVE: &[u8] = b"MOVE\r\n";
/// The answer to `PING` of a ready relay.
pub const PONG: &[u8] = b"PONG\r\n";
/// A rejection without a delay after which the client may retry.
pub const BUSY: &[u8] = b"BUSY\r\n";
/// The final answer of a session that failed after its first line was forwarded.
pub const FAIL: &[u8] = b"FAIL\r\n";
/// The answer to a line that violates the protocol.
pub const ERROR: &[u8] = b"ERR\r\n";
/// A request to a backend for its load report.
pub const STATS: &[u8] = b"STATS\r\n";

/// The complete lines in `bytes`, without their line ends.
pub fn complete_lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    let mut left = bytes;
    std::iter::from_fn(move || {
        let at = left.windows(END.len()).position(|w| w == END)?;
        let line = &left[..at];
        left = &left[at + END.len()..];
        Some(line)
    })
}

/// A client's first line.
#[derive(Clone, Debug, PartialEq)]
pub enum FirstLine {
    /// `PING`: the client asks whether this relay is ready.
    Ping,
    /// `OPEN`: the client requests a session.
    Open(SessionRequest),
}

/// An `OPEN` line.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SessionRequest {
    /// The id that the client gave this connection.
    pub id: u64,
    /// The listener's name; never empty.
    pub listener: String,
    /// The client's own identifier, the same when it reconnects; 0 for none.
    pub key: u64,
    /// The group of keys; 0 for none.
    pub group: u64,
    /// Whether the client reconnects for a session that was open before.
    pub returned: bool,
    /// The client's timeout in milliseconds.
    pub wait_ms: u64,
    /// The position of the timeout within the line, in bytes.
    pub wait_at: Range<usize>,
    /// The id of the backend at which this session was open before.
    pub at: Option<String>,
}

/// Parses 16 hexadecimal digits in lower case.
fn hex16(input: &mut &str) -> ModalResult<u64> {
    take_while(16, |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c))
        .try_map(|t| u64::from_str_radix(t, 16))
        .parse_next(input)
}

fn name<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_ascii_alphanumeric() || c == '_').parse_next(input)
}

fn value<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(1.., |c: char| c.is_ascii_graphic() && c != ',' && c != '=').parse_next(input)
}

fn pairs<'a>(input: &mut &'a str) -> ModalResult<Vec<(&'a str, &'a str)>> {
    separated(1.., separated_pair(name, '=', value), ',').parse_next(input)
}

/// Parses a first line without its line end; `None` if it violates the protocol.
pub fn parse_first_line(line: &[u8]) -> Option<FirstLine> {
    let text = std::str::from_utf8(line).ok()?;
    if text == "PING" {
        return Some(FirstLine::Ping);
    }
    let head = ("OPEN ", hex16, ' ', hex16, ' ').map(|(_, id, _, key, _)| (id, key));
    let ((id, key), pairs) = (head, pairs).parse(text).ok()?;
    let mut open = SessionRequest { id, key, ..SessionRequest::default() };
    let (mut names, mut wait) = (Vec::with_capacity(pairs.len()), None);
    // Keys: `c` listener, `d` timeout, `g` group, `again` returned, `at` backend. `r` must be a flag, but is
    // not used. Other keys are ignored.
    for (name, value) in pairs {
        if names.contains(&name) {
            return None;
        }
        names.push(name);
        match name {
            "c" => open.listener = value.to_string(),
            "d" => {
                let at = value.as_ptr() as usize - text.as_ptr() as usize;
                let is_integer = value.bytes().all(|b| b.is_ascii_digit());
                wait = Some((value.parse().ok().filter(|_| is_integer)?, at..at + value.len()));
            }
            "g" => open.group = u64::from_str_radix(value, 16).ok()?,
            "again" => open.returned = flag(value)?,
            "r" => _ = flag(value)?,
            "at" => open.at = Some(value.to_string()),
            _ => {}
        }
    }
    (open.wait_ms, open.wait_at) = wait?;
    (!open.listener.is_empty()).then_some(FirstLine::Open(open))
}

fn flag(value: &str) -> Option<bool> {
    ["0", "1"].iter().position(|v| *v == value).map(|i| i == 1)
}

/// A line from a backend: the first line of its answer, or a later one.
#[derive(Clone, Debug, PartialEq)]
pub enum BackendReply {
    /// The session is established.
    Up,
    /// The session ended normally.
    Bye(Option<LoadReport>),
    /// The client is to reconnect, and its session continues elsewhere.
    Move,
    /// The session failed at the backend.
    Error(Option<LoadReport>),
    /// The session was rejected, and nothing ran.
    Busy(Option<LoadReport>),
    /// The answer to a health check.
    Pong(Option<LoadReport>),
    /// The load of an open session, or its message delay in milliseconds; never negative.
    Load(f64),
    /// Any other line, including malformed ones; it is forwarded.
    Other,
}

/// Parses a backend's line without its line end. `order` names the fields of its load report.
pub fn parse_backend_reply(line: &[u8], order: ReportOrder) -> BackendReply {
    let Ok(text) = std::str::from_utf8(line) else { return BackendReply::Other };
    let Ok((word, tail)) = split.parse(text) else { return BackendReply::Other };
    let report = || {
        let values = pairs.parse(tail?).ok()?;
        Some(order.find(|name| values.iter().find(|v| v.0 == name).and_then(|v| non_negative_number(v.1))))
    };
    match word {
        "UP" => BackendReply::Up,
        "BYE" => BackendReply::Bye(report()),
        "MOVE" => BackendReply::Move,
        "ERR" => BackendReply::Error(report()),
        // `BUSY` means that the request did not run. This must not be guessed, so a malformed line does not
        // count as `BUSY`.
        "BUSY" if tail.is_none() || tail.is_some_and(is_rejection_detail) => BackendReply::Busy(report()),
        "PONG" => BackendReply::Pong(report()),
        "LOAD" => tail.and_then(non_negative_number).map_or(BackendReply::Other, BackendReply::Load),
        _ => BackendReply::Other,
    }
}

/// Whether `tail` may follow `BUSY` in a backend's line: a retry delay or a load report.
fn is_rejection_detail(tail: &str) -> bool {
    non_negative_number(tail).is_some() || pairs.parse(tail).is_ok()
}

fn split<'a>(input: &mut &'a str) -> ModalResult<(&'a str, Option<&'a str>)> {
    (alpha1, opt(preceded(' ', rest))).parse_next(input)
}

fn non_negative_number(text: &str) -> Option<f64> {
    let mut number = float::<_, f64, winnow::error::ContextError>;
    number.parse(text).ok().filter(|x| x.is_finite() && *x >= 0.0)
}

/// A rejection, with the delay in milliseconds after which the client may retry, unless it is 0.
pub fn busy(after_ms: u64) -> Vec<u8> {
    match after_ms {
        0 => BUSY.to_vec(),
        ms => format!("BUSY {ms}\r\n").into_bytes(),
    }
}

/// The name with `_` for each character that metrics or paths could take for a separator.
pub fn sanitize(name: &str) -> String {
    let replace = |c: char| if c.is_ascii_alphanumeric() || "-_".contains(c) { c } else { '_' };
    name.chars().map(replace).collect()
}

/// The client's first line as it is forwarded: its timeout is replaced by the time that the relay waits, and
/// the rest is unchanged.
pub fn rewrite_timeout(line: &[u8], wait_at: &Range<usize>, wait_ms: u64) -> Vec<u8> {
    [&line[..wait_at.start], wait_ms.to_string().as_bytes(), &line[wait_at.end..], END].concat()
}
