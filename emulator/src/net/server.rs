//! Servers on sockets: listening, refusing or never coming up as the models say, and one task a connection.
use super::lines::{self, Lines, Unread};
use super::{Conn, Host, Shared, ToConn};
use crate::audit::DialReceived;
use crate::clients::ClientRequest;
use crate::servers::{DialRequest, Reachability, ServerLine};
use hallrelay_config::scenario::Fault;
use socket2::{Domain, SockRef, Socket, Type};
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, RawFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// A wave of dials waits here.
const BACKLOG: i32 = 1024;

fn socket(addr: SocketAddr, backlog: i32) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(backlog)?;
    Ok(socket)
}

/// Listens as one server towards one relay, as long as the process lives.
pub async fn listen(server: usize, relay: usize, host: Shared) {
    let addr = host.servers[relay][server];
    let mut changed = host.reach.subscribe();
    loop {
        let reach = host.day.borrow().servers.reachability(server, relay);
        let what = match reach {
            Reachability::Refused => {
                _ = changed.changed().await;
                continue;
            }
            Reachability::Open => socket(addr, BACKLOG),
            Reachability::Unresponsive => socket(addr, 0),
        };
        let what = match what {
            Ok(what) => what,
            Err(e) => {
                host.with(|day, now, _| {
                    day.service.log_event(now, format!("{addr} cannot be listened on: {e}"))
                });
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            }
        };
        if reach == Reachability::Unresponsive {
            // Connections that nobody takes fill the place there is: what comes after them never comes up.
            let fillers: Vec<_> = (0..4).map(|_| filler(addr)).collect();
            while host.day.borrow().servers.reachability(server, relay) == Reachability::Unresponsive {
                _ = changed.changed().await;
            }
            drop(fillers);
            continue;
        }
        let Ok(listener) = TcpListener::from_std(what.into()) else { continue };
        while host.day.borrow().servers.reachability(server, relay) == Reachability::Open {
            tokio::select! {
                taken = listener.accept() => match taken {
                    Ok((stream, _)) => {
                        _ = stream.set_nodelay(true);
                        tokio::task::spawn_local(conn(server, relay, stream, host.clone()));
                    }
                    // Descriptors are short: the ones that wait do so a little longer.
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                },
                _ = changed.changed() => {}
            }
        }
    }
}

fn filler(addr: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None).ok()?;
    socket.set_nonblocking(true).ok()?;
    _ = socket.connect(&addr.into());
    Some(socket)
}

/// Ends a connection by a reset.
fn reset(stream: TcpStream) {
    _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

/// Where a connection came in, and what befalls it.
struct At {
    server: usize,
    relay: usize,
    fd: RawFd,
    fault: Option<Fault>,
}

/// What a connection is at.
struct Session {
    no: u64,
    open: bool,
}

async fn conn(server: usize, relay: usize, stream: TcpStream, host: Shared) {
    let fault = host.day.borrow_mut().servers.draw_wire_fault(server);
    if matches!(fault, Some(Fault::ResetBefore | Fault::Refused)) {
        return reset(stream);
    }
    let (to, mut commands) = mpsc::channel(16);
    let mut lines = Lines::default();
    let mut session: Option<Session> = None;
    let mut first = None;
    let mut reach = host.reach.subscribe();
    if fault == Some(Fault::NeverUp) {
        return hold(stream, commands, &host).await;
    }
    let at = At { server, relay, fd: stream.as_raw_fd(), fault };
    loop {
        mute(server, relay, &mut reach, &host).await;
        let command = tokio::select! {
            biased;
            command = commands.recv() => command,
            line = lines.next(&stream) => {
                first = first.or(Some(host.now()));
                match line {
                    // Who fell silent while this came says nothing to it now; it stays, unanswered.
                    Ok(line) if session.as_ref().is_some_and(|s| s.open) => {
                        if fault == Some(Fault::SlowReader) {
                            tokio::time::sleep(Duration::from_secs(1)).await;
                        }
                        mute(server, relay, &mut reach, &host).await;
                        if !lines::write(&stream, format!("{line}\r\n").as_bytes()).await {
                            break;
                        }
                    }
                    Ok(line) if line == "PING" || line == "STATS" => {
                        if !probed(server, relay, &line, &stream, &host).await {
                            break;
                        }
                    }
                    Ok(line) if session.is_none() => {
                        let began = first.take().unwrap_or_default();
                        let no = match dialled(&line, began, &to, &at, &host) {
                            Ok(no) => no,
                            Err(answer) => {
                                _ = lines::write(&stream, answer).await;
                                break;
                            }
                        };
                        session = Some(Session { no, open: false });
                        match fault {
                            Some(Fault::ResetAfter) => {
                                host.closed(no);
                                return reset(stream);
                            }
                            Some(Fault::HalfLine) => _ = lines::write(&stream, b"UP half-a-li").await,
                            _ => {}
                        }
                    }
                    Ok(_) => {} // more before the answer: kept for nobody
                    Err(Unread::Ended | Unread::Reset | Unread::Long) => break,
                }
                continue;
            }
            _ = reach.changed() => continue,
        };
        let Some(ToConn::ServerLine(word)) = command else {
            // Reset, or nobody can say anything any more.
            return reset(stream);
        };
        let text = match word {
            ServerLine::Up => {
                let no = session.as_mut().map_or(0, |s| {
                    s.open = true;
                    s.no
                });
                format!("UP r{no:x}\r\n")
            }
            ServerLine::Busy => "BUSY\r\n".to_string(),
            ServerLine::Err => "ERR\r\n".to_string(),
            ServerLine::Bye => "BYE\r\n".to_string(),
            ServerLine::Move => "MOVE\r\n".to_string(),
            ServerLine::Load(x) => format!("LOAD {x:.1}\r\n"),
        };
        let written = lines::write(&stream, text.as_bytes()).await;
        if !written {
            break;
        }
        if !matches!(word, ServerLine::Up | ServerLine::Load(_)) {
            // The last word is out: the end follows, once the other side has read it.
            if let Some(s) = session.take() {
                host.forget(s.no);
            }
            _ = SockRef::from(&stream).shutdown(std::net::Shutdown::Write);
            drain(&stream, &host).await;
            return;
        }
    }
    if let Some(s) = session {
        host.closed(s.no);
    }
}

/// Waits as long as the machine is silent or cut off.
async fn mute(server: usize, relay: usize, reach: &mut watch::Receiver<u64>, host: &Rc<Host>) {
    while !host.day.borrow().servers.can_send(server, relay) {
        if reach.changed().await.is_err() {
            return;
        }
    }
}

/// Reads on, so that the last line is not lost to a reset.
async fn drain(stream: &TcpStream, host: &Rc<Host>) {
    let until_end = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut host.waste.borrow_mut()) {
                Ok(0) => return,
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                _ => {}
            }
        }
    };
    _ = tokio::time::timeout(Duration::from_millis(500), until_end).await;
}

/// Takes a connection and says nothing.
async fn hold(stream: TcpStream, mut commands: mpsc::Receiver<ToConn>, host: &Rc<Host>) {
    tokio::select! {
        _ = commands.recv() => {}
        () = async {
            while stream.readable().await.is_ok() {
                match stream.try_read(&mut host.waste.borrow_mut()) {
                    Ok(0) => return,
                    Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return,
                    _ => {}
                }
            }
        } => {}
    }
}

async fn probed(server: usize, relay: usize, line: &str, stream: &TcpStream, host: &Rc<Host>) -> bool {
    let (done, figures) =
        host.with(|day, now, todo| day.servers.answer_probe(now, server, relay, &mut todo.server_events));
    tokio::time::sleep_until(host.clock.at(done)).await;
    if !host.day.borrow().servers.can_send(server, relay) {
        return true;
    }
    let text = if line == "PING" {
        "PONG\r\n".to_string()
    } else {
        format!("PONG inflight={},x0={:.4},x1={:.4}\r\n", figures.inflight, figures.load, figures.queue_delay)
    };
    lines::write(stream, text.as_bytes()).await
}

/// A session's first line: known to auditor and models from here on. Else the answer that ends it.
fn dialled(
    line: &str,
    first: u64,
    to: &mpsc::Sender<ToConn>,
    at: &At,
    host: &Rc<Host>,
) -> Result<u64, &'static [u8]> {
    let (mark, ask) = match known(line, host).or_else(|| foreign(line, host)) {
        Some(known) => known,
        None => {
            // A client that has left meanwhile is nothing new: the auditor knows it, and says what is wrong.
            let mark = lines::opened(line).map_or(0, |opened| opened.0);
            host.with(|day, now, _| day.audit.unexpected_line(now, first, mark, at.server, line));
            return Err(b"SYNTAX\r\n");
        }
    };
    host.settle(mark);
    let no = host.next_conn.get() + 1;
    host.next_conn.set(no);
    host.remember(no, Conn { to: to.clone(), mark, server: at.server, fd: at.fd });
    let dialled = DialRequest {
        server: at.server,
        relay: at.relay,
        listener: ask.listener,
        key: ask.key,
        group: ask.group,
        is_pre_existing: ask.pre_existing_at.is_some(),
        lifetime: ask.ended_after,
    };
    let held = matches!(at.fault, Some(Fault::Silence | Fault::HalfLine));
    host.with(|day, now, todo| {
        if !host.accepts_foreign_clients.get() {
            day.audit.dial_received(
                now,
                &DialReceived { mark, relay: at.relay, backend: at.server, first_byte_at: first },
            );
        }
        if !held {
            day.servers.dial_received(now, no, &dialled, &mut todo.server_events);
        }
    });
    Ok(no)
}

/// The client of ours that sent a line, where it is as that one sent it.
fn known(line: &str, host: &Rc<Host>) -> Option<(u64, ClientRequest)> {
    let (mark, rest) = lines::opened(line)?;
    let ask = host.asks.borrow().get(&mark)?.clone();
    let day = host.day.borrow();
    let at = ask.pre_existing_at.map(|i| day.servers.endpoints.identities[i].id.clone());
    let sent = lines::open(&ask, &day.scenario.listeners[ask.listener].name, at.as_deref());
    (lines::opened(&sent)?.1 == rest).then_some((mark, ask))
}

/// A line of a client that is not ours, where such are taken.
fn foreign(line: &str, host: &Rc<Host>) -> Option<(u64, ClientRequest)> {
    let (mark, rest) = lines::opened(line).filter(|_| host.accepts_foreign_clients.get())?;
    let value = |name: &str| rest.split([' ', ',']).filter_map(|p| p.split_once('=')).find(|p| p.0 == name);
    let hex = |text: &str| u64::from_str_radix(text, 16).ok();
    let day = host.day.borrow();
    let listener = value("c")?.1;
    Some((
        mark,
        ClientRequest {
            mark,
            relay: 0,
            listener: day.scenario.listeners.iter().position(|l| l.name == listener)?,
            key: rest.split(' ').nth(1).and_then(hex)?,
            group: value("g").and_then(|v| hex(v.1)).unwrap_or(0),
            returned: value("again").is_some(),
            retry: value("r").is_some(),
            dial_timeout: 0,
            pre_existing_at: None,
            ended_after: None,
        },
    ))
}
