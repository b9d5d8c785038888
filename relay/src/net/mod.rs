//! The tasks that carry out the reducer's effects; they own sockets and decide nothing.
//!
//! A connection goes through `accept`, `first_line`, `await_answer` with `dial`, `proxy` and `close`. Beside
//! it run `health_check`, `discovery`, `operator`, `membership`, `hot_restart` and `signals`. `serve` runs
//! the reducer.
mod accept;
mod await_answer;
mod close;
mod dial;
pub mod dial_permit;
mod discovery;
mod effect_runner;
mod first_line;
mod health_check;
mod hot_restart;
#[cfg(test)]
mod interleaving_tests;
mod listening_socket;
mod membership;
mod operator;
mod processes;
mod proxy;
mod read;
pub mod serve;
pub mod signals;
mod state_store;

use crate::clock::Clock;
use crate::reducer::Event;
use crate::socket::{self, ConnectError};
use hallrelay_balancer::types::{Micros, ServerId, SessionId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_hot_restart::{ProcessId, SessionState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A command of the reducer for the task of one connection.
#[derive(Debug)]
enum Command {
    /// Answers a ping with this line.
    Pong(&'static [u8]),
    /// Dials a backend.
    Dial {
        /// The dial's number within the session.
        dial: u32,
        addr: SocketAddr,
        /// How long the whole dial may take, in microseconds.
        timeout: Micros,
        conditions: dial_permit::DialConditions,
    },
    /// Proxies lines both ways from now on.
    StartProxying,
    /// Sends this final answer and closes.
    FinalAnswer(Vec<u8>),
    /// Sends `MOVE` to the client and ends the session.
    Migrate,
    /// Hands the session over to another process.
    HandOver(ProcessId, Box<SessionState>),
    /// Closes without an answer.
    Close,
    /// Whether the backend fails its health checks, so that an unanswered message counts as lost sooner.
    SetSuspect(bool),
    /// Closes, unless the connection is a session by now.
    Shed,
}

/// What tasks take from the configuration in force.
struct Tuning {
    limits: Rc<Limits>,
    /// How the fields of load reports are read.
    report_order: ReportOrder,
}

/// What all tasks share: channels to the reducer and from it, limits, time and the log. It holds no state of
/// sessions.
#[derive(Clone)]
struct Hub {
    events: mpsc::Sender<Event>,
    connections: Rc<RefCell<BTreeMap<SessionId, mpsc::Sender<Command>>>>,
    /// Scratch space for bytes that are read and dropped.
    discarded: Rc<RefCell<Vec<u8>>>,
    last_connection_id: Rc<Cell<SessionId>>,
    /// Servers to which nothing new may be sent.
    draining: Rc<RefCell<BTreeSet<ServerId>>>,
    denials: Rc<dial_permit::DenialCounter>,
    /// When a connection to any server was established last.
    last_connected_at: Rc<Cell<Micros>>,
    /// Channels to other processes of this relay.
    processes: Rc<RefCell<BTreeMap<ProcessId, mpsc::Sender<processes::ProcessCommand>>>>,
    tuning: Rc<RefCell<Tuning>>,
    clock: Clock,
    log: slog::Logger,
}

impl Hub {
    /// A hub, and the channel on which its tasks' events arrive.
    fn new(limits: Limits, order: ReportOrder, log: slog::Logger) -> (Hub, mpsc::Receiver<Event>) {
        let (events, arriving) = mpsc::channel(limits.max_queued_events);
        let hub = Hub {
            events,
            connections: Rc::new(RefCell::new(BTreeMap::new())),
            // Enough for what a peer sends at full speed between two reads.
            discarded: Rc::new(RefCell::new(vec![0; 1 << 16])),
            last_connection_id: Rc::new(Cell::new(0)),
            draining: Rc::default(),
            denials: Rc::default(),
            last_connected_at: Rc::default(),
            processes: Rc::new(RefCell::new(BTreeMap::new())),
            tuning: Rc::new(RefCell::new(Tuning { limits: Rc::new(limits), report_order: order })),
            clock: Clock::anchored(),
            log,
        };
        (hub, arriving)
    }

    fn limits(&self) -> Rc<Limits> {
        self.tuning.borrow().limits.clone()
    }

    fn report_order(&self) -> ReportOrder {
        self.tuning.borrow().report_order
    }

    async fn notify(&self, event: Event) {
        // The channel closes only with the process.
        _ = self.events.send(event).await;
    }

    /// A new connection's id: counted up, and not one that is in use after the count went round.
    fn register(&self) -> (SessionId, mpsc::Receiver<Command>) {
        let mut connections = self.connections.borrow_mut();
        let mut id = self.last_connection_id.get().wrapping_add(1);
        while connections.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.last_connection_id.set(id);
        let (to, commands) = mpsc::channel(self.limits().max_queued_commands);
        connections.insert(id, to);
        (id, commands)
    }

    /// Connects to a server. Where a route is missing to this one alone, as connections to others are
    /// established meanwhile, the fault is the server's and not this machine's.
    async fn connect(&self, addr: SocketAddr, by: Instant) -> Result<TcpStream, ConnectError> {
        let started_at = self.clock.now();
        let others_connect = || self.last_connected_at.get() >= started_at;
        let is_remote = |e: &std::io::Error| socket::may_concern_one_route(e) && others_connect();
        let stream = socket::connect(addr, by, is_remote).await?;
        self.last_connected_at.set(self.clock.now());
        Ok(stream)
    }

    fn command(&self, connection_id: SessionId, command: Command) {
        if let Some(to) = self.connections.borrow().get(&connection_id) {
            if to.try_send(command).is_err() {
                slog::debug!(self.log, "a command came too late"; "connection" => connection_id);
            }
        }
    }
}
