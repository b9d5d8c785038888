//! One dial: connect, send the first line, wait for the backend's first word. Dropping it gives it up.
use super::read::{self, State};
use super::{end, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, Said};
use crate::reducer::Event;
use crate::socket::{self, NotConnected};
use hallrelay::types::{DialEnd, Micros, Report};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

pub struct Backend {
    pub stream: TcpStream,
    pub buffer: Buffer,
    /// The line with which it took the session, for the client.
    pub up: Vec<u8>,
}

pub struct Order<'a> {
    pub addr: SocketAddr,
    pub line: &'a [u8],
    pub wait: Micros,
    /// Not begun later than this.
    pub by: Micros,
}

pub enum Ended {
    Up(Backend),
    /// Served to its end at once, with this line.
    Over((Vec<u8>, Option<Report>)),
    Not(DialEnd, Option<Report>),
    /// Not begun: this machine could not, which is no fault of the backend's.
    NotBegun,
    /// Not begun: its client does not wait any more.
    Client(State),
}

/// Whether the last byte of the line was written tells whether the dial may have run.
pub async fn run(order: Order<'_>, client: &TcpStream, hub: &Hub) -> Ended {
    let Order { addr, line, wait, by } = order;
    let limits = hub.limits();
    let over = Instant::now() + span(wait);
    let never = Ended::Not(DialEnd::Unconnected, None);
    // Guards a client that has left, as the system knows by now and its task does not: here, and as a
    // connection comes up late.
    if let stirred @ (State::More | State::Ended) = read::now(client) {
        return Ended::Client(stirred);
    }
    // Guards a drain's grace, and a server's name, against a standstill of this relay: what it decided long
    // ago is not begun, and is no fault of the server's.
    let moot = || hub.clock.now() > by;
    if moot() {
        return Ended::Not(DialEnd::Moot, None);
    }
    let stream = match socket::connect(addr, over.min(hub.clock.at(by))).await {
        Ok(stream) => stream,
        Err(NotConnected::Local(why)) => {
            slog::warn!(hub.log, "this machine can't connect"; "error" => %why);
            return Ended::NotBegun;
        }
        Err(NotConnected::Remote(_) | NotConnected::Late) => return never,
    };
    if let stirred @ (State::More | State::Ended) = read::now(client) {
        return Ended::Client(stirred);
    }
    if moot() {
        return Ended::Not(DialEnd::Moot, None);
    }
    if !end::write(&stream, line, wait).await {
        return never;
    }
    hub.tell(Event::Written).await;
    let mut buffer = Buffer::new(limits.buffer_first, limits.buffer_most);
    let answer = read::line(&stream, &mut buffer, limits.line);
    let Ok(answer) = timeout_at(over, answer).await else {
        return Ended::Not(DialEnd::Timeout, None);
    };
    let Ok(mut up) = answer else { return Ended::Not(DialEnd::Reset, None) };
    match lines::said(&up, hub.order()) {
        Said::Up => {
            up.extend_from_slice(lines::END);
            Ended::Up(Backend { stream, buffer, up })
        }
        Said::Bye(report) => {
            up.extend_from_slice(lines::END);
            Ended::Over((up, report))
        }
        Said::Move => Ended::Not(DialEnd::Recalled, None),
        Said::Busy(report) => Ended::Not(DialEnd::Full, report),
        Said::Error(report) => Ended::Not(DialEnd::Error, report),
        // A line that no backend of this protocol sends: it may have run.
        _ => Ended::Not(DialEnd::Error, None),
    }
}
