//! Tests of the tasks that serve connections, without the reducer, on real connections. A test acts as the
//! reducer, the client, the backends and discovery, and so forces each order of two events: the test decides
//! when a task gets a command, and waits until bytes, closes and resets have arrived in the system's queues
//! before it lets the tasks run. "The program" is the relay, as opposed to the test.
mod endpoint_watch;
mod health_checks;
mod open_session;
mod waiting_session;

use super::dial_permit::DialConditions;
use super::{first_line, Command, Hub};
use crate::reducer::Event;
use hallrelay_balancer::types::{Micros, ServerId, SessionId};
use hallrelay_config::limits::Limits;
use hallrelay_config::node::{self, Overrides};
use socket2::{SockRef, Socket};
use std::future::Future;
use std::io::ErrorKind;
use std::net::Shutdown;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Timeout for an event that must occur.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which a dial must start, in microseconds. Tests that are not about this limit never reach it.
const LONG_START_LIMIT: Micros = 10_000_000;
/// The server of all dials and health checks.
const SERVER: ServerId = 7;
const LINE: &str = "OPEN 0000000000000001 0000000000000002 c=nomination,d=2000\r\n";

/// The reducer's side of the tasks.
struct Harness {
    hub: Hub,
    events: mpsc::Receiver<Event>,
}

/// Runs a test on a single-threaded runtime, like the program.
fn run_test<F: Future<Output = ()>>(test: impl FnOnce(Harness) -> F) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build the runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (hub, events) = hub(|_| {});
        test(Harness { hub, events }).await;
    });
}

/// Returns a hub with the example configuration's limits, as changed by `tune`, and the receiver of its
/// events.
fn hub(tune: impl FnOnce(&mut Limits)) -> (Hub, mpsc::Receiver<Event>) {
    let text = include_bytes!("../../../../deploy/example/relay.json");
    let node = node::parse(text, &Overrides::default()).expect("parse the example configuration");
    let mut limits = node.limits;
    tune(&mut limits);
    Hub::new(limits, node.site.report, slog::Logger::root(slog::Discard, slog::o!()))
}

async fn bind_local() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("bind a free port")
}

/// Waits for a future that must complete; `what` names what is awaited.
async fn await_soon<T>(what: &str, future: impl Future<Output = T>) -> T {
    timeout(EVENT_TIMEOUT, future).await.unwrap_or_else(|_| panic!("no {what} within {EVENT_TIMEOUT:?}"))
}

/// The test's end of a connection.
struct Peer {
    stream: BufReader<TcpStream>,
    /// A handle to the program's end, to inspect its unread input.
    program_end: Option<Socket>,
}

impl Peer {
    fn new(stream: TcpStream, program_end: Option<Socket>) -> Peer {
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        Peer { stream: BufReader::new(stream), program_end }
    }

    async fn send(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).await.expect("write to the connection");
    }

    /// Returns the next line with its line ending; an empty line is the end of the connection.
    async fn read_line(&mut self) -> String {
        let mut line = String::new();
        match await_soon("line", self.stream.read_line(&mut line)).await {
            Err(e) if e.kind() == ErrorKind::ConnectionReset => "reset".to_string(),
            result => {
                result.expect("read a line or the end of the connection");
                line
            }
        }
    }

    fn shutdown_write(&self) {
        SockRef::from(self.stream.get_ref()).shutdown(Shutdown::Write).expect("shut down the sending side");
    }

    fn reset(self) {
        SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).expect("set SO_LINGER");
    }

    /// Blocks until the effect of this end has arrived at the program's end; no task runs meanwhile.
    fn wait_for_unread(&self, expected: Unread) {
        let program_end = self.program_end.as_ref().expect("a handle to the program's end");
        let started = Instant::now();
        loop {
            let mut byte = [std::mem::MaybeUninit::uninit()];
            let unread = match program_end.peek(&mut byte) {
                Ok(0) => Some(Unread::End),
                Ok(_) => Some(Unread::Bytes),
                Err(e) if e.kind() == ErrorKind::WouldBlock => None,
                Err(_) => Some(Unread::Reset),
            };
            if unread == Some(expected) {
                return;
            }
            assert!(started.elapsed() < EVENT_TIMEOUT, "{expected:?} not received within {EVENT_TIMEOUT:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

/// The kind of unread input at the program's end of a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Unread {
    Bytes,
    End,
    Reset,
}

impl Harness {
    /// Connects a client and starts its task, which runs when the test next waits.
    async fn client(&self) -> Peer {
        self.client_with("").await
    }

    /// Connects a client whose first bytes have arrived before its connection is accepted.
    async fn client_with(&self, text: &str) -> Peer {
        let mut peer = self.connect_unserved(text).await;
        self.serve(&mut peer);
        peer.1
    }

    /// Connects a client, sends a text and waits until it has arrived; no task serves the client yet.
    async fn connect_unserved(&self, text: &str) -> (Option<TcpStream>, Peer) {
        let listener = bind_local().await;
        let addr = listener.local_addr().expect("read the local address");
        let stream = TcpStream::connect(addr).await.expect("connect a client");
        let (accepted, _) = listener.accept().await.expect("accept the client");
        let program_end = SockRef::from(&accepted).try_clone().expect("duplicate the socket");
        let mut peer = Peer::new(stream, Some(program_end));
        if !text.is_empty() {
            peer.send(text).await;
            peer.wait_for_unread(Unread::Bytes);
        }
        (Some(accepted), peer)
    }

    /// Starts the task that serves a client; it runs when the test next waits.
    fn serve(&self, unserved: &mut (Option<TcpStream>, Peer)) {
        let (stream, hub) = (unserved.0.take().expect("the client is not served yet"), self.hub.clone());
        tokio::task::spawn_local(async move {
            let (connection_id, commands) = hub.register();
            first_line::run(connection_id, stream, commands, &hub).await;
            hub.connections.borrow_mut().remove(&connection_id);
            hub.notify(Event::ClientDisconnected { session_id: connection_id }).await;
        });
    }

    /// Returns the next event, without the three kinds that only report progress of a connection.
    async fn next_event(&mut self) -> Event {
        loop {
            let event = await_soon("event", self.events.recv()).await.expect("the event channel is open");
            if !matches!(
                event,
                Event::ClientConnected { .. } | Event::FirstLineStarted { .. } | Event::FirstLineForwarded
            ) {
                return event;
            }
        }
    }

    /// Waits for the first line of a session and returns the session's id.
    async fn next_session(&mut self) -> SessionId {
        match self.next_event().await {
            Event::SessionRequested { session_id, .. } => session_id,
            other => panic!("expected SessionRequested, got {other:?}"),
        }
    }

    /// Asserts that no relevant event arrives after all tasks have run.
    async fn assert_no_events(&mut self) {
        self.run_tasks().await;
        while let Ok(event) = self.events.try_recv() {
            let is_relevant = !matches!(
                event,
                Event::ClientConnected { .. } | Event::FirstLineStarted { .. } | Event::FirstLineForwarded
            );
            assert!(!is_relevant, "unexpected event {event:?}");
        }
    }

    /// Runs every task until it waits.
    async fn run_tasks(&self) {
        // The runtime polls its sockets only between runs of its tasks, so one yield is not enough.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
    }

    fn command(&self, connection_id: SessionId, command: Command) {
        let is_registered = self.hub.connections.borrow().contains_key(&connection_id);
        assert!(is_registered, "{command:?} for unknown connection {connection_id}");
        self.hub.command(connection_id, command);
    }

    fn send_final_answer(&self, connection_id: SessionId, line: &str) {
        self.command(connection_id, Command::FinalAnswer(line.as_bytes().to_vec()));
    }

    /// Commands a dial that must start within a time in microseconds.
    fn dial(&self, connection_id: SessionId, dial: u32, backend: &TcpListener, start_within: Micros) {
        let addr = backend.local_addr().expect("read the local address");
        let start_by = self.hub.clock.now() + start_within;
        let conditions = DialConditions { server: Some(SERVER), start_by };
        self.command(connection_id, Command::Dial { dial, addr, timeout: 1_500_000, conditions });
    }

    /// Starts a session whose first line has arrived at the backend; returns its id, its client and the
    /// backend's end of the dial.
    async fn dialed_session(&mut self) -> (SessionId, Peer, Peer) {
        let (backend, client) = (bind_local().await, self.client_with(LINE).await);
        let connection_id = self.next_session().await;
        self.dial(connection_id, 0, &backend, LONG_START_LIMIT);
        let mut server = accept_dial(&backend).await;
        let line = server.read_line().await;
        assert!(line.starts_with("OPEN "), "{line:?}, expected OPEN");
        (connection_id, client, server)
    }
}

/// Accepts the next connection to a backend.
async fn accept_dial(listener: &TcpListener) -> Peer {
    Peer::new(await_soon("dial", listener.accept()).await.expect("accept a dial").0, None)
}

/// Asserts that the program has sent no bytes on any connection to a backend.
async fn assert_nothing_sent(listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(50), listener.accept()).await {
        let mut bytes = [0; 64];
        let read = timeout(Duration::from_millis(50), async {
            stream.readable().await.expect("wait until the connection is readable");
            stream.try_read(&mut bytes)
        });
        assert!(
            !matches!(read.await, Ok(Ok(1..))),
            "bytes sent to the backend: {}",
            String::from_utf8_lossy(&bytes)
        );
    }
}
