//! One dial: connect, send the first line, wait for the backend's first word. Dropping it gives it up.
use super::permit::{permit, Denied, Permit, Terms};
use super::read::{self, State};
use super::{end, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, Said};
use crate::reducer::Event;
use crate::socket::NotConnected;
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros};
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
    pub terms: Terms,
}

pub enum Ended {
    Up(Backend),
    /// Served to its end at once, with this line.
    Over((Vec<u8>, Option<LoadReport>)),
    Not(DialEnd, Option<LoadReport>),
    /// Not begun: this machine could not, or the backend is to be left; no fault of its own.
    NotBegun,
    /// Not begun: its client does not wait any more.
    Client(State),
}

fn denied(why: Denied) -> Ended {
    match why {
        Denied::Client(stirred) => Ended::Client(stirred),
        Denied::Late => Ended::Not(DialEnd::Moot, None),
        Denied::Leaving => Ended::NotBegun,
    }
}

/// Writes a first line, for which it takes a permit that was made at this moment.
async fn send(stream: &TcpStream, line: &[u8], wait: Micros, _permit: Permit) -> bool {
    end::write(stream, line, wait).await
}

/// Whether the last byte of the line was written tells whether the dial may have run.
pub async fn run(order: Order<'_>, client: &TcpStream, hub: &Hub) -> Ended {
    let Order { addr, line, wait, terms } = order;
    let limits = hub.limits();
    let over = Instant::now() + span(wait);
    let never = Ended::Not(DialEnd::Unconnected, None);
    if let Err(why) = permit(terms, client, hub) {
        return denied(why);
    }
    let stream = match hub.connect(addr, over.min(hub.clock.at(terms.by))).await {
        Ok(stream) => stream,
        Err(NotConnected::Local(why)) => {
            slog::warn!(hub.log, "this machine can't connect"; "error" => %why);
            return Ended::NotBegun;
        }
        Err(NotConnected::Remote(_) | NotConnected::Late) => return never,
    };
    let permit = match permit(terms, client, hub) {
        Ok(permit) => permit,
        Err(why) => return denied(why),
    };
    if !send(&stream, line, wait, permit).await {
        return never;
    }
    hub.tell(Event::FirstLineForwarded).await;
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
