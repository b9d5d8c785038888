//! Servers on sockets. Depending on the models, a server accepts connections, refuses them or does not
//! respond. Each connection has a task.
use super::host::ServerConnection;
use super::lines::{self, FirstLine, Lines, ReadError};
use super::{ConnectionCommand, Host, Shared};
use crate::audit::DialReceived;
use crate::clients::ClientRequest;
use crate::servers::{ConnectionId, DialRequest, Reachability, ServerLine};
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::ConnectionFault;
use socket2::{Domain, SockRef, Socket, Type};
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, RawFd};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

/// Maximum number of connections that the system completes before the server accepts them.
const BACKLOG: i32 = 1024;
/// Number of connections that the emulator opens to its own socket with a backlog of 0, to fill the backlog:
/// the system does not respond to further connection attempts.
const FILLER_COUNT: usize = 4;
/// Maximum number of commands queued for a connection's task.
const COMMAND_CAPACITY: usize = 16;
/// Backoff after a failure to bind an address.
const BIND_BACKOFF: Duration = Duration::from_millis(100);
/// Backoff after a failure to accept a connection, for example because no descriptor is free.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);
/// Delay of a server with a slow reader before each answer.
const SLOW_READER_DELAY: Duration = Duration::from_secs(1);
/// Time for which input is still read after the last line was sent. If a connection is closed with unread
/// input, the system resets it, and the last line may be lost.
const LINGER: Duration = Duration::from_millis(500);

fn listening_socket(addr: SocketAddr, backlog: i32) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&addr.into())?;
    socket.listen(backlog)?;
    Ok(socket)
}

/// Opens a connection that is never accepted.
fn filler(addr: SocketAddr) -> Option<Socket> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None).ok()?;
    socket.set_nonblocking(true).ok()?;
    _ = socket.connect(&addr.into());
    Some(socket)
}

/// Listens as one server for one relay, for the lifetime of the runtime.
pub async fn listen(server: usize, relay: usize, host: Shared) {
    let addr = host.servers[relay][server];
    let mut changes = host.reachability.subscribe();
    loop {
        let reachability = host.day.borrow().servers.reachability(server, relay);
        let backlog = match reachability {
            Reachability::Refused => {
                _ = changes.changed().await;
                continue;
            }
            Reachability::Open => BACKLOG,
            Reachability::Unresponsive => 0,
        };
        let socket = match listening_socket(addr, backlog) {
            Ok(socket) => socket,
            Err(error) => {
                let text = format!("cannot listen on {addr}: {error}");
                host.with(|day, now, _| day.service.log_event(now, text));
                tokio::time::sleep(BIND_BACKOFF).await;
                continue;
            }
        };
        if reachability == Reachability::Unresponsive {
            let _fillers: Vec<_> = (0..FILLER_COUNT).map(|_| filler(addr)).collect();
            while host.day.borrow().servers.reachability(server, relay) == Reachability::Unresponsive {
                _ = changes.changed().await;
            }
            continue;
        }
        let Ok(listener) = TcpListener::from_std(socket.into()) else { continue };
        accept(server, relay, &listener, &mut changes, &host).await;
    }
}

/// Accepts connections while the server is open to the relay.
async fn accept(
    server: usize,
    relay: usize,
    listener: &TcpListener,
    changes: &mut watch::Receiver<u64>,
    host: &Shared,
) {
    while host.day.borrow().servers.reachability(server, relay) == Reachability::Open {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    _ = stream.set_nodelay(true);
                    tokio::task::spawn_local(run_connection(server, relay, stream, host.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_BACKOFF).await,
            },
            _ = changes.changed() => {}
        }
    }
}

/// Sets a connection to end by a reset when it is closed.
fn reset(stream: &TcpStream) {
    _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn run_connection(server: usize, relay: usize, stream: TcpStream, host: Shared) {
    let fault = host.day.borrow_mut().servers.draw_wire_fault(server);
    if matches!(fault, Some(ConnectionFault::ResetBefore | ConnectionFault::Refused)) {
        return reset(&stream);
    }
    let (sender, commands) = mpsc::channel(COMMAND_CAPACITY);
    if fault == Some(ConnectionFault::NeverUp) {
        return hold(&stream, commands, &host).await;
    }
    let descriptor = stream.as_raw_fd();
    let reachability = host.reachability.subscribe();
    let mut connection = ConnectionTask {
        server,
        relay,
        descriptor,
        fault,
        stream,
        sender,
        reachability,
        host,
        session: None,
        first_byte_at: None,
    };
    connection.run(commands).await;
}

/// A session on a connection.
struct Session {
    id: ConnectionId,
    is_open: bool,
}

/// Whether a connection's task continues.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    /// The connection is closed; the relay has ended its session.
    Close,
    /// The connection has already ended.
    Ended,
}

/// Task of one connection.
struct ConnectionTask {
    server: usize,
    relay: usize,
    descriptor: RawFd,
    /// Fault that affects the connection.
    fault: Option<ConnectionFault>,
    stream: TcpStream,
    /// Channel on which the models send commands to this task.
    sender: mpsc::Sender<ConnectionCommand>,
    reachability: watch::Receiver<u64>,
    host: Shared,
    session: Option<Session>,
    /// When the first line began to arrive; none after a session has taken this time.
    first_byte_at: Option<Micros>,
}

impl ConnectionTask {
    async fn run(&mut self, mut commands: mpsc::Receiver<ConnectionCommand>) {
        let mut lines = Lines::default();
        loop {
            self.wait_until_reachable().await;
            let flow = tokio::select! {
                biased;
                command = commands.recv() => self.perform(command).await,
                line = lines.next(&self.stream) => self.handle_line(line).await,
                _ = self.reachability.changed() => Flow::Continue,
            };
            match flow {
                Flow::Continue => {}
                Flow::Close => break,
                Flow::Ended => return,
            }
        }
        if let Some(session) = self.session.take() {
            self.host.connection_closed(session.id);
        }
    }

    /// Waits while data sent by the server cannot reach the relay.
    async fn wait_until_reachable(&mut self) {
        while !self.host.day.borrow().servers.can_send(self.server, self.relay) {
            if self.reachability.changed().await.is_err() {
                return;
            }
        }
    }

    async fn handle_line(&mut self, line: Result<String, ReadError>) -> Flow {
        self.first_byte_at = self.first_byte_at.or(Some(self.host.now()));
        let line = match line {
            Ok(line) => line,
            Err(ReadError::Ended | ReadError::Reset | ReadError::TooLong) => return Flow::Close,
        };
        match &self.session {
            Some(session) if session.is_open => self.echo(&line).await,
            _ if line == "PING" || line == "STATS" => self.answer_probe(&line).await,
            None => self.handle_first_line(&line).await,
            // Lines received before the answer are dropped.
            Some(_) => Flow::Continue,
        }
    }

    /// Answers a message on an open session with the same line.
    async fn echo(&mut self, line: &str) -> Flow {
        if self.fault == Some(ConnectionFault::SlowReader) {
            tokio::time::sleep(SLOW_READER_DELAY).await;
        }
        // The server may have stopped responding in the meantime.
        self.wait_until_reachable().await;
        self.write(&format!("{line}\r\n")).await
    }

    async fn write(&self, text: &str) -> Flow {
        if lines::write(&self.stream, text.as_bytes()).await {
            Flow::Continue
        } else {
            Flow::Close
        }
    }

    async fn answer_probe(&self, line: &str) -> Flow {
        let (server, relay) = (self.server, self.relay);
        let (answered_at, figures) = self
            .host
            .with(|day, now, todo| day.servers.answer_probe(now, server, relay, &mut todo.server_events));
        tokio::time::sleep_until(self.host.clock.at(answered_at)).await;
        if !self.host.day.borrow().servers.can_send(server, relay) {
            return Flow::Continue;
        }
        if line == "PING" {
            return self.write("PONG\r\n").await;
        }
        let sessions = figures.inflight;
        let load = figures.load;
        let queue_delay = figures.queue_delay;
        self.write(&format!("PONG inflight={sessions},x0={load:.4},x1={queue_delay:.4}\r\n")).await
    }

    async fn handle_first_line(&mut self, line: &str) -> Flow {
        let first_byte_at = self.first_byte_at.take().unwrap_or_default();
        let Some(id) = self.start_session(line, first_byte_at) else {
            _ = lines::write(&self.stream, b"SYNTAX\r\n").await;
            return Flow::Close;
        };
        self.session = Some(Session { id, is_open: false });
        match self.fault {
            Some(ConnectionFault::ResetAfter) => {
                self.host.connection_closed(id);
                reset(&self.stream);
                return Flow::Ended;
            }
            Some(ConnectionFault::HalfLine) => _ = lines::write(&self.stream, b"UP half-a-li").await,
            _ => {}
        }
        Flow::Continue
    }

    /// Registers a session with the auditor and the models. Returns none if no client sent its first line.
    fn start_session(&self, line: &str, first_byte_at: Micros) -> Option<ConnectionId> {
        let host = &self.host;
        let request = known_request(line, host).or_else(|| foreign_request(line, host));
        let Some(request) = request else {
            // The client may have left while the line was in flight: the auditor decides whether this is a
            // breach.
            let mark = lines::parse_first_line(line).map_or(0, |first_line| first_line.mark);
            let server = self.server;
            host.with(|day, now, _| day.audit.unexpected_line(now, first_byte_at, mark, server, line));
            return None;
        };
        let mark = request.mark;
        host.close_ended_connections(mark);
        let id = host.add_connection(ServerConnection {
            commands: self.sender.clone(),
            mark,
            server: self.server,
            descriptor: self.descriptor,
        });
        let dial = DialRequest {
            server: self.server,
            relay: self.relay,
            listener: request.listener,
            key: request.key,
            group: request.group,
            is_pre_existing: request.pre_existing_at.is_some(),
            lifetime: request.ended_after,
        };
        let received = DialReceived { mark, relay: self.relay, backend: self.server, first_byte_at };
        let is_answered = !matches!(self.fault, Some(ConnectionFault::Silence | ConnectionFault::HalfLine));
        host.with(|day, now, todo| {
            if !host.accepts_foreign_clients.get() {
                day.audit.dial_received(now, &received);
            }
            if is_answered {
                day.servers.dial_received(now, id, &dial, &mut todo.server_events);
            }
        });
        Some(id)
    }

    async fn perform(&mut self, command: Option<ConnectionCommand>) -> Flow {
        let Some(ConnectionCommand::Send(line)) = command else {
            reset(&self.stream);
            return Flow::Ended;
        };
        let text = match line {
            ServerLine::Up => {
                let id = self.session.as_mut().map_or(0, |session| {
                    session.is_open = true;
                    session.id
                });
                format!("UP r{id:x}\r\n")
            }
            ServerLine::Busy => "BUSY\r\n".to_string(),
            ServerLine::Err => "ERR\r\n".to_string(),
            ServerLine::Bye => "BYE\r\n".to_string(),
            ServerLine::Move => "MOVE\r\n".to_string(),
            ServerLine::Load(load) => format!("LOAD {load:.1}\r\n"),
        };
        if self.write(&text).await == Flow::Close {
            return Flow::Close;
        }
        if matches!(line, ServerLine::Up | ServerLine::Load(_)) {
            return Flow::Continue;
        }
        self.end_after_last_line().await;
        Flow::Ended
    }

    /// Ends the connection after the relay has read the last line.
    async fn end_after_last_line(&mut self) {
        if let Some(session) = self.session.take() {
            self.host.remove_connection(session.id);
        }
        _ = SockRef::from(&self.stream).shutdown(Shutdown::Write);
        _ = tokio::time::timeout(LINGER, discard(&self.stream, &self.host)).await;
    }
}

/// Discards input until the other side ends the connection.
async fn discard(stream: &TcpStream, host: &Rc<Host>) {
    while stream.readable().await.is_ok() {
        match stream.try_read(&mut host.discarded.borrow_mut()) {
            Ok(0) => return,
            Err(error) if error.kind() != io::ErrorKind::WouldBlock => return,
            _ => {}
        }
    }
}

/// Holds a connection open without sending anything.
async fn hold(stream: &TcpStream, mut commands: mpsc::Receiver<ConnectionCommand>, host: &Rc<Host>) {
    tokio::select! {
        _ = commands.recv() => {}
        () = discard(stream, host) => {}
    }
}

/// The request of a client in the models, if the first line is what that client sent.
fn known_request(line: &str, host: &Rc<Host>) -> Option<ClientRequest> {
    let FirstLine { mark, unchanged } = lines::parse_first_line(line)?;
    let request = host.requests.borrow().get(&mark)?.clone();
    let day = host.day.borrow();
    let identities = &day.servers.endpoints.identities;
    let pre_existing_at = request.pre_existing_at.map(|server| identities[server].id.clone());
    let listener = &day.scenario.listeners[request.listener].name;
    let sent = lines::first_line(&request, listener, pre_existing_at.as_deref());
    (lines::parse_first_line(&sent)?.unchanged == unchanged).then_some(request)
}

/// The request of a client outside the models, if such clients are accepted.
fn foreign_request(line: &str, host: &Rc<Host>) -> Option<ClientRequest> {
    let first_line = lines::parse_first_line(line).filter(|_| host.accepts_foreign_clients.get())?;
    let FirstLine { mark, unchanged } = first_line;
    let pairs = unchanged.split([' ', ',']).filter_map(|pair| pair.split_once('='));
    let value = |name: &str| pairs.clone().find(|pair| pair.0 == name).map(|pair| pair.1);
    let hex = |text: &str| u64::from_str_radix(text, 16).ok();
    let day = host.day.borrow();
    let name = value("c")?;
    Some(ClientRequest {
        mark,
        relay: 0,
        listener: day.scenario.listeners.iter().position(|listener| listener.name == name)?,
        key: unchanged.split(' ').nth(1).and_then(hex)?,
        group: value("g").and_then(hex).unwrap_or(0),
        returned: value("again").is_some(),
        retry: value("r").is_some(),
        dial_timeout: 0,
        pre_existing_at: None,
        ended_after: None,
    })
}
