//! The tasks that carry out the reducer's effects. They own the sockets and make no decisions.
//!
//! A connection passes through `accept`, `first_line`, `await_answer` with `dial`, `proxy` and `close`. The
//! other tasks are `health_check`, `discovery`, `operator`, `membership`, `hot_restart` and `signals`.
//! `serve` runs the reducer.
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
        /// Timeout of the complete dial, in microseconds.
        timeout: Micros,
        conditions: dial_permit::DialConditions,
    },
    /// Proxies lines both ways from now on.
    StartProxying,
    /// Sends this final answer and closes the connection.
    FinalAnswer(Vec<u8>),
    /// Sends `MOVE` to the client and ends the session.
    Migrate,
    /// Hands the session over to another process.
    HandOver(ProcessId, Box<SessionState>),
    /// Closes the connection without an answer.
    Close,
    /// Sets whether the backend fails its health checks. While it does, an unanswered message counts as lost
    /// sooner.
    SetSuspect(bool),
    /// Closes the connection, unless it has become a session.
    Shed,
}

/// The settings that tasks read from the current configuration.
struct Tuning {
    limits: Rc<Limits>,
    /// Order of the fields in load reports.
    report_order: ReportOrder,
}

/// What all tasks share: channels to and from the reducer, limits, the clock and the log. It holds no session
/// state.
#[derive(Clone)]
struct Hub {
    events: mpsc::Sender<Event>,
    connections: Rc<RefCell<BTreeMap<SessionId, mpsc::Sender<Command>>>>,
    /// Scratch space for bytes that are read and discarded.
    discarded: Rc<RefCell<Vec<u8>>>,
    last_connection_id: Rc<Cell<SessionId>>,
    /// Servers to which no new dials may be sent.
    draining: Rc<RefCell<BTreeSet<ServerId>>>,
    denials: Rc<dial_permit::DenialCounter>,
    /// When the last connection to any server was established.
    last_connected_at: Rc<Cell<Micros>>,
    /// Channels to other processes of this relay.
    processes: Rc<RefCell<BTreeMap<ProcessId, mpsc::Sender<processes::ProcessCommand>>>>,
    tuning: Rc<RefCell<Tuning>>,
    clock: Clock,
    log: slog::Logger,
}

impl Hub {
    /// Creates a hub, and the channel on which events from tasks arrive.
    fn new(limits: Limits, order: ReportOrder, log: slog::Logger) -> (Hub, mpsc::Receiver<Event>) {
        let (events, arriving) = mpsc::channel(limits.max_queued_events);
        let hub = Hub {
            events,
            connections: Rc::new(RefCell::new(BTreeMap::new())),
            // Large enough for what a peer sends at full speed between two reads.
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
        // The channel closes only when the process ends.
        _ = self.events.send(event).await;
    }

    /// Registers a new connection and assigns the next id. Ids that are still in use are skipped, because the
    /// counter may have wrapped around.
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

    /// Connects to a server by a deadline. If there is no route to this server, but another connection was
    /// established since the call, the failure counts against the server and not against this machine.
    async fn connect(&self, addr: SocketAddr, deadline: Instant) -> Result<TcpStream, ConnectError> {
        let started_at = self.clock.now();
        let others_connect = || self.last_connected_at.get() >= started_at;
        let is_remote = |e: &std::io::Error| socket::may_affect_only_one_route(e) && others_connect();
        let stream = socket::connect(addr, deadline, is_remote).await?;
        self.last_connected_at.set(self.clock.now());
        Ok(stream)
    }

    fn command(&self, connection_id: SessionId, command: Command) {
        if let Some(to) = self.connections.borrow().get(&connection_id) {
            if to.try_send(command).is_err() {
                slog::debug!(
                    self.log, "command dropped: the task has ended or its queue is full";
                    "connection" => connection_id
                );
            }
        }
    }
}
