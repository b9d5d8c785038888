//! Clients on sockets: one task a connection, from its first line to its end.
use super::lines::{self, Lines, Unread};
use super::{Host, Shared, ToClient};
use crate::audit::{Answer, RequestSent};
use crate::clients::{mix, ClientEvent, ClientRequest};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{interval_at, timeout, Instant};

/// Whether a relay answers `PING`.
pub async fn ping(addr: SocketAddr) -> bool {
    let asked = async {
        let stream = TcpStream::connect(addr).await.ok()?;
        lines::write(&stream, b"PING\r\n").await.then_some(())?;
        Lines::default().next(&stream).await.ok().filter(|line| line == "PONG")
    };
    matches!(timeout(Duration::from_millis(500), asked).await, Ok(Some(_)))
}

pub async fn run(ask: ClientRequest, commands: mpsc::Receiver<ToClient>, host: Shared) {
    let mark = ask.mark;
    session(&ask, commands, &host).await;
    host.clients.borrow_mut().remove(&mark);
    host.asks.borrow_mut().remove(&mark);
}

fn heard(mark: u64, heard: ClientEvent, host: &Rc<Host>) {
    host.with(|day, now, _| day.clients.handle(now, mark, heard));
}

async fn session(ask: &ClientRequest, mut commands: mpsc::Receiver<ToClient>, host: &Rc<Host>) {
    let mark = ask.mark;
    let addr = host.relays.borrow()[ask.relay];
    // A relay that does not take a connection for a second is as good as dead.
    let Ok(Ok(stream)) = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await else {
        return heard(mark, ClientEvent::Unreachable, host);
    };
    _ = stream.set_nodelay(true);
    let line = {
        let day = host.day.borrow();
        let at = ask.pre_existing_at.map(|i| day.servers.endpoints.identities[i].id.clone());
        lines::open(ask, &day.scenario.listeners[ask.listener].name, at.as_deref()) + "\r\n"
    };
    if !lines::write(&stream, line.as_bytes()).await {
        return heard(mark, ClientEvent::Unreachable, host);
    }
    host.with(|day, now, _| {
        day.audit.session_requested(
            now,
            &RequestSent {
                mark,
                relay: ask.relay,
                listener: ask.listener,
                wait: ask.dial_timeout,
                is_pre_existing: ask.pre_existing_at.is_some(),
            },
        );
    });
    let mut lines = Lines::default();
    let answer = tokio::select! {
        answer = lines.next(&stream) => answer,
        _ = commands.recv() => return left(mark, host),
    };
    let what = match &answer {
        Ok(line) => match line.split_once(' ').unwrap_or((line, "")) {
            ("UP", receipt) => {
                let receipt = receipt.strip_prefix('r').and_then(|r| u64::from_str_radix(r, 16).ok());
                (Answer::Up(receipt.unwrap_or(0)), ClientEvent::Established)
            }
            ("BUSY", ms) => (Answer::Busy, ClientEvent::Rejected(ms.parse::<u64>().unwrap_or(0) * 1000)),
            ("BYE", _) => (Answer::Failed, ClientEvent::Ended),
            _ => (Answer::Failed, ClientEvent::Failed),
        },
        Err(_) => (Answer::Closed, ClientEvent::Closed),
    };
    host.with(|day, now, _| {
        day.audit.client_answered(now, mark, &what.0);
        day.clients.handle(now, mark, what.1);
    });
    if what.1 == ClientEvent::Established {
        return open(ask, &stream, lines, commands, host).await;
    }
    if answer.is_ok() {
        // Whether anything comes behind the final answer.
        let more = timeout(Duration::from_millis(500), lines.next(&stream)).await;
        if let Ok(Ok(_)) = more {
            host.with(|day, now, _| day.audit.client_answered(now, mark, &Answer::Failed));
        }
    }
    left(mark, host);
}

fn left(mark: u64, host: &Rc<Host>) {
    host.with(|day, now, _| day.audit.client_left(now, mark));
}

/// Lines go and come, till one side has enough.
async fn open(
    ask: &ClientRequest,
    stream: &TcpStream,
    mut lines: Lines,
    mut commands: mpsc::Receiver<ToClient>,
    host: &Rc<Host>,
) {
    let mark = ask.mark;
    let period = Duration::from_micros(host.day.borrow().scenario.clients.message_s.us());
    // Each speaks at a moment of its own.
    let offset = Duration::from_micros(mix(mark) % period.as_micros().max(1) as u64);
    let mut messages = interval_at(Instant::now() + offset, period);
    messages.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut last = ClientEvent::Closed;
    let mut count = 0u64;
    loop {
        tokio::select! {
            line = lines.next(stream) => match line {
                Ok(line) if line == "MOVE" => last = ClientEvent::Migrated,
                Ok(line) if line.starts_with("BYE") => last = ClientEvent::Ended,
                Ok(_) => {}
                Err(Unread::Ended | Unread::Reset | Unread::Long) => break,
            },
            _ = commands.recv() => return left(mark, host),
            _ = messages.tick() => {
                count += 1;
                if !lines::write(stream, format!("message {count}\r\n").as_bytes()).await {
                    break;
                }
            }
        }
    }
    if last == ClientEvent::Closed {
        host.cut_off(mark);
    }
    heard(mark, last, host);
    left(mark, host);
}
