//! The tasks, by stage: accept, first line, admit, dial, pass, end; beside them probe, discovery and stop.
//! `serve` runs them round the reducer.
mod accept;
mod await_answer;
mod close;
mod dial;
pub mod dial_permit;
mod discovery;
mod first_line;
mod health_check;
mod hot_restart;
#[cfg(test)]
mod interleaving_tests;
mod listener;
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
use hallrelay_balancer::types::{Micros, ServerId, SessId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_hot_restart::{PeerId, SessionState};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// What the reducer asks of one connection's task.
#[derive(Debug)]
enum Command {
    /// What a `PING` is answered with.
    Pong(&'static [u8]),
    Dial {
        dial: u32,
        addr: SocketAddr,
        wait: Micros,
        /// It was decided by what held then.
        terms: dial_permit::DialConditions,
    },
    Pass,
    Answer(Vec<u8>),
    Move,
    /// Another process goes on with its session.
    PassOn(PeerId, Box<SessionState>),
    Close,
    /// Whether its backend's silence is to tell sooner.
    Doubt(bool),
    /// Its place is wanted, and it has none as long as it is no session.
    Shed,
}

/// What all tasks share: ways to the reducer and back, limits, time and the log. No state of sessions.
#[derive(Clone)]
struct Hub {
    events: mpsc::Sender<Event>,
    conns: Rc<RefCell<BTreeMap<SessId, mpsc::Sender<Command>>>>,
    /// Where bytes go that nobody reads any more.
    discarded: Rc<RefCell<Vec<u8>>>,
    last_id: Rc<Cell<SessId>>,
    /// Servers to which nothing new may be sent, as the reducer knows them.
    leaving: Rc<RefCell<BTreeSet<ServerId>>>,
    denials: Rc<dial_permit::DenialCounter>,
    /// When a connection to any server came up last.
    connected_at: Rc<Cell<Micros>>,
    /// Channels to other processes of this relay.
    processes: Rc<RefCell<BTreeMap<PeerId, mpsc::Sender<processes::ProcessCommand>>>>,
    /// As the configuration in force has them.
    tuned: Rc<RefCell<(Rc<Limits>, ReportOrder)>>,
    clock: Clock,
    log: slog::Logger,
}

impl Hub {
    /// One, and where what its tasks tell comes.
    fn new(limits: Limits, order: ReportOrder, log: slog::Logger) -> (Hub, mpsc::Receiver<Event>) {
        let (events, told) = mpsc::channel(limits.events);
        let hub = Hub {
            events,
            conns: Rc::new(RefCell::new(BTreeMap::new())),
            // Enough for what a peer sends at full speed between two reads.
            discarded: Rc::new(RefCell::new(vec![0; 1 << 16])),
            last_id: Rc::new(Cell::new(0)),
            leaving: Rc::default(),
            denials: Rc::default(),
            connected_at: Rc::default(),
            processes: Rc::new(RefCell::new(BTreeMap::new())),
            tuned: Rc::new(RefCell::new((Rc::new(limits), order))),
            clock: Clock::anchored(),
            log,
        };
        (hub, told)
    }

    fn limits(&self) -> Rc<Limits> {
        self.tuned.borrow().0.clone()
    }

    fn order(&self) -> ReportOrder {
        self.tuned.borrow().1
    }

    async fn tell(&self, event: Event) {
        // The reducer's end closes only with the program.
        _ = self.events.send(event).await;
    }

    /// A new connection's id: counted up, and not one that is in use after the count went round.
    fn register(&self) -> (SessId, mpsc::Receiver<Command>) {
        let mut conns = self.conns.borrow_mut();
        let mut id = self.last_id.get().wrapping_add(1);
        while conns.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        self.last_id.set(id);
        let (to, commands) = mpsc::channel(self.limits().commands);
        conns.insert(id, to);
        (id, commands)
    }

    /// Connects to a server. A way that is missing to this one alone, as others come up meanwhile, is the
    /// server's trouble and not this machine's.
    async fn connect(&self, addr: SocketAddr, by: Instant) -> Result<TcpStream, ConnectError> {
        let began = self.clock.now();
        let others_come_up = || self.connected_at.get() >= began;
        let is_remote = |e: &std::io::Error| socket::may_concern_one_route(e) && others_come_up();
        let stream = socket::connect(addr, by, is_remote).await?;
        self.connected_at.set(self.clock.now());
        Ok(stream)
    }

    fn command(&self, connection_id: SessId, command: Command) {
        if let Some(to) = self.conns.borrow().get(&connection_id) {
            if to.try_send(command).is_err() {
                slog::debug!(self.log, "a command came too late"; "connection" => connection_id);
            }
        }
    }
}
