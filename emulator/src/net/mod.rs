//! The models on sockets of 127.0.0.0/8: servers, list service, clients and front, in one process and one
//! thread. The models decide; tasks here carry bytes and tell the models when.
pub mod client;
pub mod lines;
pub mod links;
pub mod list;
pub mod malformed;
pub mod server;

use crate::audit::DialOutcome;
use crate::clients::{mix, ClientAction, ClientRequest};
use crate::day::{Day, DriverActions};
use crate::links::Arrival;
use crate::membership_audit::ProcessState;
use crate::script::RelayAction;
use crate::servers::{ConnectionId, ServerEvent, ServerLine};
use crate::service::BadFigures;
use hallrelay_balancer::types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// Unix time in whole microseconds that only advances.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    pub fn at(&self, then: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(then.saturating_sub(self.unix))).into()
    }
}

/// What a server's connection is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ToConn {
    ServerLine(ServerLine),
    Reset,
}

/// What a client's connection is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ToClient {
    Leave,
}

struct Conn {
    to: mpsc::Sender<ToConn>,
    mark: u64,
    server: usize,
    fd: RawFd,
}

/// All that the tasks share.
pub struct Host {
    pub day: RefCell<Day>,
    pub clock: Clock,
    conns: RefCell<BTreeMap<ConnectionId, Conn>>,
    /// The same by mark.
    by_mark: RefCell<std::collections::BTreeSet<(u64, ConnectionId)>>,
    clients: RefCell<BTreeMap<u64, mpsc::Sender<ToClient>>>,
    /// The asks whose clients are there, for servers to compare lines with.
    asks: RefCell<BTreeMap<u64, ClientRequest>>,
    next_conn: Cell<ConnectionId>,
    /// Where servers listen, by relay and server.
    pub servers: Vec<Vec<SocketAddr>>,
    /// Where relays listen.
    pub relays: RefCell<Vec<SocketAddr>>,
    /// Counted up as what connecting meets may have changed, and as the list has news.
    reach: watch::Sender<u64>,
    news: watch::Sender<u64>,
    pub list_down: Cell<bool>,
    /// By relay: counted up as its list service moves.
    pub list_moves: RefCell<Vec<watch::Sender<u64>>>,
    pub list_addresses: RefCell<Vec<SocketAddr>>,
    /// Datagrams that were held between relays, and go on.
    arrivals: RefCell<Vec<Arrival>>,
    let_go: tokio::sync::Notify,
    deeds: RefCell<Vec<(usize, RelayAction)>>,
    deed_due: tokio::sync::Notify,
    stepped: tokio::sync::Notify,
    /// How late the models were stepped at most.
    pub max_delay: Cell<Micros>,
    pub malformed_clients: RefCell<BadFigures>,
    /// Whether lines of clients that are not ours are taken as well; the auditor does not see them.
    pub accepts_foreign_clients: Cell<bool>,
    /// Where bytes go that nobody reads.
    waste: RefCell<Vec<u8>>,
}

pub type Shared = Rc<Host>;

impl Host {
    pub fn new(day: Day, clock: Clock, servers: Vec<Vec<SocketAddr>>, relays: Vec<SocketAddr>) -> Shared {
        let count = relays.len();
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Rc::new(Host {
            day: RefCell::new(day),
            clock,
            conns: RefCell::default(),
            by_mark: RefCell::default(),
            clients: RefCell::default(),
            asks: RefCell::default(),
            next_conn: Cell::new(0),
            servers,
            relays: RefCell::new(relays),
            reach: watch::channel(0).0,
            news: watch::channel(0).0,
            list_down: Cell::new(false),
            list_moves: RefCell::new((0..count).map(|_| watch::channel(0).0).collect()),
            list_addresses: RefCell::new(vec![nowhere; count]),
            arrivals: RefCell::default(),
            let_go: tokio::sync::Notify::new(),
            deeds: RefCell::default(),
            deed_due: tokio::sync::Notify::new(),
            stepped: tokio::sync::Notify::new(),
            max_delay: Cell::new(0),
            malformed_clients: RefCell::default(),
            accepts_foreign_clients: Cell::new(false),
            waste: RefCell::new(vec![0; 1 << 16]),
        })
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Calls the models, and carries out what they want by it.
    pub fn with<T>(self: &Rc<Host>, call: impl FnOnce(&mut Day, Micros, &mut DriverActions) -> T) -> T {
        let mut todo = DriverActions::default();
        let now = self.now();
        let result = call(&mut self.day.borrow_mut(), now, &mut todo);
        self.carry_out(&mut todo);
        self.stepped.notify_one();
        result
    }

    fn carry_out(self: &Rc<Host>, todo: &mut DriverActions) {
        let now = self.now();
        while !todo.is_empty() {
            self.day.borrow_mut().take_internal_events(now, todo);
            let (told, does) =
                (std::mem::take(&mut todo.server_events), std::mem::take(&mut todo.client_actions));
            let (news, down) = (std::mem::take(&mut todo.list_changed), todo.discovery_down.take());
            let deeds = std::mem::take(&mut todo.relay_actions);
            told.into_iter().for_each(|one| self.told(now, one));
            does.into_iter().for_each(|one| self.does(one));
            if let Some(down) = down {
                self.list_down.set(down);
                self.news.send_modify(|n| *n += 1);
            }
            if news {
                self.news.send_modify(|n| *n += 1);
            }
            if !todo.arrivals.is_empty() {
                self.arrivals.borrow_mut().append(&mut todo.arrivals);
                self.let_go.notify_one();
            }
            if !deeds.is_empty() {
                self.deeds.borrow_mut().extend(deeds);
                self.deed_due.notify_one();
            }
        }
    }

    fn told(self: &Rc<Host>, now: Micros, told: ServerEvent) {
        match told {
            ServerEvent::Line { connection: conn, line: word } => {
                let over = match word {
                    ServerLine::Up | ServerLine::Load(_) => None,
                    ServerLine::Busy => Some(DialOutcome::NeverRan),
                    ServerLine::Err | ServerLine::Bye | ServerLine::Move => Some(DialOutcome::MayHaveRan),
                };
                let conns = self.conns.borrow();
                let Some(c) = conns.get(&conn) else { return };
                let audit = &mut self.day.borrow_mut().audit;
                if word == ServerLine::Up {
                    audit.session_established(now, c.mark, c.server, conn);
                }
                if let Some(over) = over {
                    audit.dial_ended(now, c.mark, c.server, over);
                }
                // Places are kept for words that must not be lost.
                if !matches!(word, ServerLine::Load(_)) || c.to.capacity() > 4 {
                    _ = c.to.try_send(ToConn::ServerLine(word));
                }
            }
            ServerEvent::Reset { connection: conn } => {
                if let Some(c) = self.forget(conn) {
                    self.day.borrow_mut().audit.dial_ended(now, c.mark, c.server, DialOutcome::MayHaveRan);
                    _ = c.to.try_send(ToConn::Reset);
                }
            }
            ServerEvent::ReachabilityChanged { .. } => self.reach.send_modify(|n| *n += 1),
            _ => {}
        }
    }

    fn does(self: &Rc<Host>, does: ClientAction) {
        match does {
            ClientAction::Open(ask) => {
                let (to, commands) = mpsc::channel(2);
                self.clients.borrow_mut().insert(ask.mark, to);
                self.asks.borrow_mut().insert(ask.mark, ask.clone());
                tokio::task::spawn_local(client::run(ask, commands, self.clone()));
            }
            ClientAction::Leave { mark } => {
                if let Some(to) = self.clients.borrow().get(&mark) {
                    _ = to.try_send(ToClient::Leave);
                }
            }
        }
    }

    /// Steps the models as they want it, until the day is over.
    pub async fn run(self: Rc<Host>) {
        loop {
            let (next, end) = {
                let day = self.day.borrow();
                (day.next_at(), day.end)
            };
            if next > end {
                tokio::time::sleep_until(self.clock.at(end)).await;
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.clock.at(next)) => {
                    let now = self.now();
                    self.max_delay.set(self.max_delay.get().max(now.saturating_sub(next)));
                    self.with(|day, now, todo| day.step(now, todo));
                }
                // What was called meanwhile may be due sooner.
                () = self.stepped.notified() => {}
            }
        }
    }

    /// The next things to be done to relays.
    pub async fn next_relay_actions(&self) -> Vec<(usize, RelayAction)> {
        loop {
            let due = std::mem::take(&mut *self.deeds.borrow_mut());
            if !due.is_empty() {
                return due;
            }
            self.deed_due.notified().await;
        }
    }

    /// Guards the auditor from the order in which tasks run: a dial whose relay has closed it by now is over,
    /// though its task has not read that yet.
    fn settle(self: &Rc<Host>, mark: u64) {
        let ended: Vec<ConnectionId> =
            self.of(mark).into_iter().filter(|(_, _, fd)| lines::has_ended(*fd)).map(|c| c.0).collect();
        ended.into_iter().for_each(|conn| self.closed(conn));
    }

    fn remember(&self, no: ConnectionId, conn: Conn) {
        self.by_mark.borrow_mut().insert((conn.mark, no));
        self.conns.borrow_mut().insert(no, conn);
    }

    fn forget(&self, no: ConnectionId) -> Option<Conn> {
        let conn = self.conns.borrow_mut().remove(&no)?;
        self.by_mark.borrow_mut().remove(&(conn.mark, no));
        Some(conn)
    }

    /// The servers' connections of a mark: number, server, descriptor.
    fn of(&self, mark: u64) -> Vec<(ConnectionId, usize, RawFd)> {
        let (by_mark, conns) = (self.by_mark.borrow(), self.conns.borrow());
        let numbers = by_mark.range((mark, 0)..=(mark, ConnectionId::MAX)).map(|(_, no)| *no);
        numbers.filter_map(|no| conns.get(&no).map(|c| (no, c.server, c.fd))).collect()
    }

    /// A relay's connection to a server is over by the relay's doing.
    fn closed(self: &Rc<Host>, conn: ConnectionId) {
        let Some(c) = self.forget(conn) else { return };
        self.with(|day, now, todo| {
            day.audit.dial_ended(now, c.mark, c.server, DialOutcome::MayHaveRan);
            day.servers.connection_closed(now, conn, &mut todo.server_events);
        });
    }

    /// An open connection ended without a word: wrong where its server still has it and speaks.
    fn cut_off(self: &Rc<Host>, mark: u64) {
        let Some(&(conn, server, _)) = self.of(mark).first() else { return };
        self.with(|day, now, _| {
            if day.servers.has_connection(conn) && day.servers.is_up(server) {
                day.audit.connection_cut(now, mark);
            }
        });
    }

    /// A relay's process has ended: the front will notice.
    pub fn relay_ended(self: &Rc<Host>, relay: usize) {
        self.with(|day, now, _| {
            day.audit.relay_ended(now, relay);
            day.membership_audit.process_changed(now, relay, ProcessState::Down);
            day.servers.relay_restarted(relay);
            day.clients.set_relay_serving(now, relay, false);
        });
    }

    /// It takes no new ones, though it still answers those that it has.
    pub fn relay_stopping(self: &Rc<Host>, relay: usize) {
        self.with(|day, now, _| {
            day.clients.set_relay_serving(now, relay, false);
            day.membership_audit.process_changed(now, relay, ProcessState::Stopping);
        });
    }

    /// A relay's process stands still from now on, or goes on.
    pub fn set_relay_stalled(self: &Rc<Host>, relay: usize, stalls: bool) {
        self.with(|day, now, _| {
            let process = if stalls { ProcessState::Stalled } else { ProcessState::Up };
            day.membership_audit.process_changed(now, relay, process);
            if stalls {
                day.audit.relay_stalled(relay);
            } else {
                day.audit.relay_woke(now, relay);
            }
        });
    }

    /// A relay's process has started; true as it answers `PING`.
    pub async fn relay_started(self: &Rc<Host>, relay: usize, within: Duration) -> bool {
        self.with(|day, now, _| {
            day.audit.relay_started(now, relay);
            day.membership_audit.process_changed(now, relay, ProcessState::Up);
        });
        let addr = self.relays.borrow()[relay];
        let pinged = async {
            while !client::ping(addr).await {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let up = tokio::time::timeout(within, pinged).await.is_ok();
        if up {
            self.with(|day, now, _| day.clients.set_relay_serving(now, relay, true));
        }
        up
    }
}

/// A port that is free on an address, of those that the system gives to nobody by itself: one of its own
/// choice could be taken by any client's connection while its server is down.
pub fn free_port(ip: Ipv4Addr) -> Result<SocketAddr, String> {
    const FIRST: u64 = 10_000;
    const COUNT: u64 = 20_000;
    // Programs that run beside each other begin at other places.
    let start = mix(u64::from(std::process::id()) << 32 | u64::from(u32::from(ip)));
    let mut why = String::new();
    for i in 0..COUNT {
        let addr = SocketAddr::from((ip, (FIRST + start.wrapping_add(i) % COUNT) as u16));
        match std::net::TcpListener::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => why = e.to_string(),
            Err(e) => return Err(format!("{addr} cannot be listened on: {e}")),
        }
    }
    Err(format!("no port of {ip} is free: {why}"))
}

/// Where servers listen, an address for each relay and server so that either side tells who it is. All are
/// bound once, to see that they are free.
pub fn endpoint_addresses(relays: usize, servers: usize) -> Result<Vec<Vec<SocketAddr>>, String> {
    // 127.16 to 127.79 are the relays' sides, away from 127.0.0.1 where others listen.
    let place = |relay: usize, server: usize| {
        free_port(Ipv4Addr::new(127, 16 + relay as u8, (server / 250) as u8, (server % 250 + 1) as u8))
    };
    (0..relays).map(|relay| (0..servers).map(|server| place(relay, server)).collect()).collect()
}
