//! Probes of one backend, one at a time, on a connection that is kept for the next one.
use super::{end, read, Hub};
use crate::buffer::Buffer;
use crate::clock::span;
use crate::lines::{self, Said};
use crate::reducer::Event;
use crate::socket::{self, NotConnected};
use hallrelay_balancer::types::{DialEnd, LoadReport, ServerId};
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Receiver;
use tokio::time::{timeout, Instant};

/// Serves the probes that are asked for until nobody can ask any more.
pub async fn run(server: ServerId, keep: bool, mut asked: Receiver<SocketAddr>, hub: Hub) {
    let mut kept: Option<(SocketAddr, TcpStream, Buffer)> = None;
    loop {
        let next = if kept.is_some() {
            match timeout(span(hub.limits().probe_idle), asked.recv()).await {
                Ok(next) => next,
                Err(_) => {
                    kept = None;
                    continue;
                }
            }
        } else {
            asked.recv().await
        };
        let Some(addr) = next else { return };
        let usable = kept.take().filter(|(at, stream, _)| *at == addr && idle(stream));
        let one = async {
            // Guards a backend that closes or forgets what idles: one that ends its connection just as it is
            // asked there, or says nothing on it, has not failed. It is asked anew on a new one, within the
            // same time.
            let limits = hub.limits();
            if let Some((_, stream, mut buffer)) = usable {
                match timeout(span(limits.probe / 2), ask(&stream, &mut buffer, &hub)).await {
                    Err(_) | Ok(Err((DialEnd::Reset, _))) => {}
                    Ok(told) => return told.map(|report| (report, (addr, stream, buffer))),
                }
            }
            let (stream, mut buffer) =
                (connect(addr, &hub).await?, Buffer::new(limits.buffer_first, limits.buffer_most));
            let report = ask(&stream, &mut buffer, &hub).await?;
            Ok((report, (addr, stream, buffer)))
        };
        let (end, report) = match timeout(span(hub.limits().probe), one).await {
            Ok(Ok((report, connection))) => {
                kept = Some(connection).filter(|_| keep);
                (DialEnd::Ok, report)
            }
            Ok(Err((end, report))) => (end, report),
            Err(_) => (DialEnd::Timeout, None),
        };
        hub.tell(Event::HealthCheckEnded { server, end, report }).await;
    }
}

/// A kept connection that says something unasked, or has ended, is of no use.
fn idle(stream: &TcpStream) -> bool {
    let mut byte = [0u8; 1];
    matches!(socket::try_read(stream, &mut byte), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

type Fault = (DialEnd, Option<LoadReport>);

async fn connect(addr: SocketAddr, hub: &Hub) -> Result<TcpStream, Fault> {
    let by = Instant::now() + span(hub.limits().connect);
    hub.connect(addr, by).await.map_err(|why| match why {
        // Guards all servers against trouble of this machine: it tells nothing of them.
        NotConnected::Local(_) => (DialEnd::Moot, None),
        NotConnected::Remote(_) | NotConnected::Late => (DialEnd::Unconnected, None),
    })
}

async fn ask(stream: &TcpStream, buffer: &mut Buffer, hub: &Hub) -> Result<Option<LoadReport>, Fault> {
    let limits = hub.limits();
    if !end::write(stream, lines::STATS, limits.probe).await {
        return Err((DialEnd::Reset, None));
    }
    let answer = read::line(stream, buffer, limits.line).await.map_err(|_| (DialEnd::Reset, None))?;
    match lines::said(&answer, hub.order()) {
        Said::Pong(report) => Ok(report),
        Said::Busy(report) => Err((DialEnd::Full, report)),
        Said::Error(report) => Err((DialEnd::Error, report)),
        _ => Err((DialEnd::Error, None)),
    }
}
