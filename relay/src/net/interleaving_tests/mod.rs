//! The tasks alone, on real connections. A test plays the reducer, the client, the backends and discovery,
//! and so forces each order of two events: what a task is told comes when the test says so, and bytes, ends
//! and resets are waited for in the system's own queues, while no task runs, before it is let go on.
mod lists;
mod passing;
mod probes;
mod waiting;

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

/// How long is waited for what must come.
const SOON: Duration = Duration::from_secs(10);
/// A connect's time, where that does not matter.
const LONG: Micros = 10_000_000;
/// The server that dials here go to.
const SERVER: ServerId = 7;
const LINE: &str = "OPEN 0000000000000001 0000000000000002 c=nomination,d=2000\r\n";

/// The reducer's end of the tasks.
struct Play {
    hub: Hub,
    events: mpsc::Receiver<Event>,
}

/// Plays a test on a thread of its own, as the program has one.
fn play<F: Future<Output = ()>>(test: impl FnOnce(Play) -> F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (hub, events) = hub(|_| {});
        test(Play { hub, events }).await;
    });
}

fn hub(tune: impl FnOnce(&mut Limits)) -> (Hub, mpsc::Receiver<Event>) {
    let text = include_bytes!("../../../../deploy/example/relay.json");
    let node = node::parse(text, &Overrides::default()).expect("the example is sound");
    let mut limits = node.limits;
    tune(&mut limits);
    Hub::new(limits, node.site.report, slog::Logger::root(slog::Discard, slog::o!()))
}

async fn bound() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a port")
}

async fn soon<T>(what: &str, it: impl Future<Output = T>) -> T {
    timeout(SOON, it).await.unwrap_or_else(|_| panic!("waited in vain: {what}"))
}

/// One end of a connection that the test holds.
struct Peer {
    stream: BufReader<TcpStream>,
    /// The program's end of it, to see what lies there.
    eye: Option<Socket>,
}

impl Peer {
    fn new(stream: TcpStream, eye: Option<Socket>) -> Peer {
        stream.set_nodelay(true).expect("an option");
        Peer { stream: BufReader::new(stream), eye }
    }

    async fn says(&mut self, text: &str) {
        self.stream.get_mut().write_all(text.as_bytes()).await.expect("it goes");
    }

    /// The next line with its end; an empty one is the end of the connection.
    async fn hears(&mut self) -> String {
        let mut line = String::new();
        match soon("a line", self.stream.read_line(&mut line)).await {
            Err(e) if e.kind() == ErrorKind::ConnectionReset => "reset".to_string(),
            heard => {
                heard.expect("a line or an end");
                line
            }
        }
    }

    fn shuts(&self) {
        SockRef::from(self.stream.get_ref()).shutdown(Shutdown::Write).expect("it shuts");
    }

    fn resets(self) {
        SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO)).expect("an option");
    }

    /// Waits till what was done to this end lies at the program's; nothing of the program runs meanwhile.
    fn lies(&self, what: Lies) {
        let eye = self.eye.as_ref().expect("the program's end is known");
        let started = Instant::now();
        loop {
            let mut byte = [std::mem::MaybeUninit::uninit()];
            let there = match eye.peek(&mut byte) {
                Ok(0) => Some(Lies::End),
                Ok(_) => Some(Lies::Bytes),
                Err(e) if e.kind() == ErrorKind::WouldBlock => None,
                Err(_) => Some(Lies::Reset),
            };
            if there == Some(what) {
                return;
            }
            assert!(started.elapsed() < SOON, "waited in vain: {what:?} lies there");
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Lies {
    Bytes,
    End,
    Reset,
}

impl Play {
    /// A client whose connection is taken, as `accept` does; its task runs as the test waits for something.
    async fn client(&self) -> Peer {
        self.client_with("").await
    }

    /// The same, with bytes that lie there as it is taken.
    async fn client_with(&self, text: &str) -> Peer {
        let mut peer = self.queued(text).await;
        self.taken(&mut peer);
        peer.1
    }

    async fn queued(&self, text: &str) -> (Option<TcpStream>, Peer) {
        let listener = bound().await;
        let stream =
            TcpStream::connect(listener.local_addr().expect("its address")).await.expect("it listens");
        let (taken, _) = listener.accept().await.expect("it came");
        let eye = SockRef::from(&taken).try_clone().expect("a handle");
        let mut peer = Peer::new(stream, Some(eye));
        if !text.is_empty() {
            peer.says(text).await;
            peer.lies(Lies::Bytes);
        }
        (Some(taken), peer)
    }

    fn taken(&self, queued: &mut (Option<TcpStream>, Peer)) {
        let (stream, hub) = (queued.0.take().expect("it was not taken"), self.hub.clone());
        tokio::task::spawn_local(async move {
            let (connection_id, commands) = hub.register();
            first_line::run(connection_id, stream, commands, &hub).await;
            hub.connections.borrow_mut().remove(&connection_id);
            hub.notify(Event::ClientDisconnected { session_id: connection_id }).await;
        });
    }

    /// The next event that matters here.
    async fn event(&mut self) -> Event {
        loop {
            let event = soon("an event", self.events.recv()).await.expect("tasks can tell");
            if !matches!(
                event,
                Event::ClientConnected { .. } | Event::FirstLineStarted { .. } | Event::FirstLineForwarded
            ) {
                return event;
            }
        }
    }

    /// A session's line is told: its connection's number.
    async fn opened(&mut self) -> SessionId {
        match self.event().await {
            Event::SessionRequested { session_id, .. } => session_id,
            other => panic!("{other:?} in place of a session"),
        }
    }

    /// No event that matters, though all tasks had their turns.
    async fn quiet(&mut self) {
        self.turns().await;
        while let Ok(event) = self.events.try_recv() {
            let odd = !matches!(
                event,
                Event::ClientConnected { .. } | Event::FirstLineStarted { .. } | Event::FirstLineForwarded
            );
            assert!(!odd, "{event:?}");
        }
    }

    /// Lets every task go on as far as it can.
    async fn turns(&self) {
        // The runtime looks at its sockets between turns of its tasks.
        for _ in 0..200 {
            tokio::task::yield_now().await;
        }
    }

    fn says(&self, connection_id: SessionId, command: Command) {
        assert!(self.hub.connections.borrow().contains_key(&connection_id), "{command:?} goes to nobody");
        self.hub.command(connection_id, command);
    }

    fn answers(&self, connection_id: SessionId, line: &str) {
        self.says(connection_id, Command::FinalAnswer(line.as_bytes().to_vec()));
    }

    fn dials(&self, connection_id: SessionId, dial: u32, at: &TcpListener, within: Micros) {
        let addr = at.local_addr().expect("its address");
        let terms = DialConditions { server: Some(SERVER), start_by: self.hub.clock.now() + within };
        self.says(connection_id, Command::Dial { dial, addr, timeout: 1_500_000, conditions: terms });
    }
}

impl Play {
    /// A session whose first dial's line has come: its number, its client and its backend.
    async fn dialled(&mut self) -> (SessionId, Peer, Peer) {
        let (backend, client) = (bound().await, self.client_with(LINE).await);
        let connection_id = self.opened().await;
        self.dials(connection_id, 0, &backend, LONG);
        let mut server = taken(&backend).await;
        assert!(server.hears().await.starts_with("OPEN "));
        (connection_id, client, server)
    }
}

/// A backend that takes the next connection.
async fn taken(listener: &TcpListener) -> Peer {
    Peer::new(soon("a dial", listener.accept()).await.expect("it came").0, None)
}

/// Nobody has come by now, nor said anything who came.
async fn untouched(listener: &TcpListener) {
    while let Ok(Ok((stream, _))) = timeout(Duration::from_millis(50), listener.accept()).await {
        let mut heard = [0; 64];
        let got = timeout(Duration::from_millis(50), async {
            stream.readable().await.expect("a state");
            stream.try_read(&mut heard)
        });
        assert!(!matches!(got.await, Ok(Ok(1..))), "sent on: {}", String::from_utf8_lossy(&heard));
    }
}
