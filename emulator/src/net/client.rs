//! Clients on sockets: one task per connection, from its first line until its end.
use super::lines::{self, Lines, ReadError};
use super::{Host, LeaveCommand, Shared};
use crate::audit::{Answer, RequestSent};
use crate::clients::{mix, ClientEvent, ClientRequest};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{interval_at, timeout, Instant, Interval, MissedTickBehavior};

/// Time within which a relay must answer `PING`.
const PING_TIMEOUT: Duration = Duration::from_millis(500);
/// A relay that does not accept a connection within this time is treated as dead.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a client waits for lines after its final answer. Any such line breaks rule 1 of the audit.
const AFTER_ANSWER: Duration = Duration::from_millis(500);

/// Returns whether a relay answers `PING`.
pub async fn ping(addr: SocketAddr) -> bool {
    let answer = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        lines::write(&stream, b"PING\r\n").await.then_some(())?;
        Lines::default().next(&stream).await.ok().filter(|line| line == "PONG")
    };
    matches!(timeout(PING_TIMEOUT, answer).await, Ok(Some(_)))
}

/// Runs a client's connection until it ends.
pub async fn run(request: ClientRequest, commands: mpsc::Receiver<LeaveCommand>, host: Shared) {
    let mark = request.mark;
    run_attempt(&request, commands, &host).await;
    host.clients.borrow_mut().remove(&mark);
    host.requests.borrow_mut().remove(&mark);
}

fn handle(mark: u64, event: ClientEvent, host: &Rc<Host>) {
    host.with(|day, now, _| day.clients.handle(now, mark, event));
}

fn report_left(mark: u64, host: &Rc<Host>) {
    host.with(|day, now, _| day.audit.client_left(now, mark));
}

async fn run_attempt(request: &ClientRequest, mut commands: mpsc::Receiver<LeaveCommand>, host: &Rc<Host>) {
    let mark = request.mark;
    let Some(stream) = send_first_line(request, host).await else {
        return handle(mark, ClientEvent::Unreachable, host);
    };
    let mut lines = Lines::default();
    let line = tokio::select! {
        line = lines.next(&stream) => line,
        _ = commands.recv() => return report_left(mark, host),
    };
    let has_line = line.is_ok();
    let (answer, event) = match line {
        Ok(line) => parse_answer(&line),
        Err(_) => (Answer::Closed, ClientEvent::Closed),
    };
    host.with(|day, now, _| {
        day.audit.client_answered(now, mark, &answer);
        day.clients.handle(now, mark, event);
    });
    if event == ClientEvent::Established {
        return run_session(mark, &stream, lines, commands, host).await;
    }
    if has_line {
        let next = timeout(AFTER_ANSWER, lines.next(&stream)).await;
        if let Ok(Ok(_)) = next {
            host.with(|day, now, _| day.audit.client_answered(now, mark, &Answer::Failed));
        }
    }
    report_left(mark, host);
}

/// Connects to the relay and sends the first line; none if either fails.
async fn send_first_line(request: &ClientRequest, host: &Rc<Host>) -> Option<TcpStream> {
    let addr = host.relays.borrow()[request.relay];
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    _ = stream.set_nodelay(true);
    let line = {
        let day = host.day.borrow();
        let identities = &day.servers.endpoints.identities;
        let pre_existing_at = request.pre_existing_at.map(|server| identities[server].id.clone());
        let listener = &day.scenario.listeners[request.listener].name;
        lines::first_line(request, listener, pre_existing_at.as_deref()) + "\r\n"
    };
    if !lines::write(&stream, line.as_bytes()).await {
        return None;
    }
    let sent = RequestSent {
        mark: request.mark,
        relay: request.relay,
        listener: request.listener,
        wait: request.dial_timeout,
        is_pre_existing: request.pre_existing_at.is_some(),
    };
    host.with(|day, now, _| day.audit.session_requested(now, &sent));
    Some(stream)
}

/// Parses an answer for the auditor and for the client.
fn parse_answer(line: &str) -> (Answer, ClientEvent) {
    match line.split_once(' ').unwrap_or((line, "")) {
        ("UP", receipt) => {
            let receipt = receipt.strip_prefix('r').and_then(|hex| u64::from_str_radix(hex, 16).ok());
            (Answer::Up(receipt.unwrap_or(0)), ClientEvent::Established)
        }
        ("BUSY", ms) => {
            let retry_after = ms.parse::<u64>().unwrap_or(0) * 1000;
            (Answer::Busy, ClientEvent::Rejected(retry_after))
        }
        ("BYE", _) => (Answer::Failed, ClientEvent::Ended),
        _ => (Answer::Failed, ClientEvent::Failed),
    }
}

/// Timer for the messages that a client sends. Its offset depends on the mark, so that the messages of all
/// clients are spread over the period.
fn message_times(mark: u64, host: &Rc<Host>) -> Interval {
    let period = Duration::from_micros(host.day.borrow().scenario.clients.message_s.us());
    let offset = Duration::from_micros(mix(mark) % period.as_micros().max(1) as u64);
    let mut times = interval_at(Instant::now() + offset, period);
    times.set_missed_tick_behavior(MissedTickBehavior::Delay);
    times
}

/// Sends and receives messages until either side ends the session.
async fn run_session(
    mark: u64,
    stream: &TcpStream,
    mut lines: Lines,
    mut commands: mpsc::Receiver<LeaveCommand>,
    host: &Rc<Host>,
) {
    let mut message_times = message_times(mark, host);
    let mut message_count = 0u64;
    let mut last_event = ClientEvent::Closed;
    loop {
        tokio::select! {
            line = lines.next(stream) => match line {
                Ok(line) if line == "MOVE" => last_event = ClientEvent::Migrated,
                Ok(line) if line.starts_with("BYE") => last_event = ClientEvent::Ended,
                Ok(_) => {}
                Err(ReadError::Ended | ReadError::Reset | ReadError::TooLong) => break,
            },
            _ = commands.recv() => return report_left(mark, host),
            _ = message_times.tick() => {
                message_count += 1;
                if !lines::write(stream, format!("message {message_count}\r\n").as_bytes()).await {
                    break;
                }
            }
        }
    }
    if last_event == ClientEvent::Closed {
        host.client_cut_off(mark);
    }
    handle(mark, last_event, host);
    report_left(mark, host);
}
