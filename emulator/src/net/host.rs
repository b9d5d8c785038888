//! State shared by all tasks: the models, the open connections, and the channels between tasks.
use super::{client, lines, Clock};
use crate::audit::DialOutcome;
use crate::clients::{ClientAction, ClientRequest};
use crate::day::{Day, DriverActions};
use crate::links::Arrival;
use crate::membership_audit::ProcessState;
use crate::script::RelayCommand;
use crate::servers::{ConnectionId, ServerEvent, ServerLine};
use crate::service::MalformedClientFigures;
use hallrelay_balancer::types::Micros;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch, Notify};

/// Maximum number of commands queued for a client's task.
const CLIENT_COMMAND_CAPACITY: usize = 2;
/// Capacity of a connection's command queue that is reserved for lines that must not be lost. A `LOAD` line
/// is dropped if no more than this capacity is left.
const RESERVED_COMMAND_CAPACITY: usize = 4;
/// Interval between `PING` requests to a relay that starts.
const PING_INTERVAL: Duration = Duration::from_millis(20);
/// Size of the buffer for input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 1 << 16;

/// Command for the task of a server's connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectionCommand {
    /// Send a line.
    Send(ServerLine),
    /// End the connection by a reset.
    Reset,
}

/// Command for a client's task to close its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaveCommand;

/// A session's connection at a server.
pub(super) struct ServerConnection {
    pub commands: mpsc::Sender<ConnectionCommand>,
    pub mark: u64,
    pub server: usize,
    pub descriptor: RawFd,
}

/// State shared by all tasks.
pub struct Host {
    /// The models.
    pub day: RefCell<Day>,
    /// Clock of the models.
    pub clock: Clock,
    connections: RefCell<BTreeMap<ConnectionId, ServerConnection>>,
    /// Connections by the marks of their sessions.
    by_mark: RefCell<BTreeMap<u64, BTreeSet<ConnectionId>>>,
    /// Channels to the tasks of the present clients, by mark.
    pub(super) clients: RefCell<BTreeMap<u64, mpsc::Sender<LeaveCommand>>>,
    /// Requests of the present clients, by mark. Servers compare first lines with them, since a relay must
    /// not change these lines.
    pub(super) requests: RefCell<BTreeMap<u64, ClientRequest>>,
    last_connection: Cell<ConnectionId>,
    /// Addresses of the servers, by relay and server.
    pub servers: Vec<Vec<SocketAddr>>,
    /// Addresses of the relays.
    pub relays: RefCell<Vec<SocketAddr>>,
    /// Notifies tasks when the reachability of a server may have changed. The value is a count without
    /// meaning.
    pub(super) reachability: watch::Sender<u64>,
    /// As `reachability`, for changes of the endpoint list, and for discovery becoming unavailable or
    /// available.
    pub(super) list_changes: watch::Sender<u64>,
    /// Whether discovery is unavailable.
    pub list_down: Cell<bool>,
    /// As `reachability`, by relay, for moves of its discovery to another address.
    pub list_moves: RefCell<Vec<watch::Sender<u64>>>,
    /// By relay: address of its discovery.
    pub list_addresses: RefCell<Vec<SocketAddr>>,
    /// Datagrams between relays that were held and have been released.
    pub(super) arrivals: RefCell<Vec<Arrival>>,
    pub(super) arrivals_released: Notify,
    relay_commands: RefCell<Vec<RelayCommand>>,
    relay_command_due: Notify,
    models_called: Notify,
    /// Maximum delay of a step of the models after its due time, in microseconds.
    pub max_delay: Cell<Micros>,
    /// Counts of clients that send malformed input.
    pub malformed_clients: RefCell<MalformedClientFigures>,
    /// Whether first lines of clients outside the models are accepted as well. The auditor does not see them.
    pub accepts_foreign_clients: Cell<bool>,
    /// Buffer for input that is discarded.
    pub(super) discarded: RefCell<Vec<u8>>,
}

/// The host as shared by tasks.
pub type Shared = Rc<Host>;

impl Host {
    /// Creates a host for a day; `servers` and `relays` are their addresses.
    pub fn new(day: Day, clock: Clock, servers: Vec<Vec<SocketAddr>>, relays: Vec<SocketAddr>) -> Shared {
        let relay_count = relays.len();
        let no_address = SocketAddr::from(([127, 0, 0, 1], 0));
        Rc::new(Host {
            day: RefCell::new(day),
            clock,
            connections: RefCell::default(),
            by_mark: RefCell::default(),
            clients: RefCell::default(),
            requests: RefCell::default(),
            last_connection: Cell::new(0),
            servers,
            relays: RefCell::new(relays),
            reachability: watch::channel(0).0,
            list_changes: watch::channel(0).0,
            list_down: Cell::new(false),
            list_moves: RefCell::new((0..relay_count).map(|_| watch::channel(0).0).collect()),
            list_addresses: RefCell::new(vec![no_address; relay_count]),
            arrivals: RefCell::default(),
            arrivals_released: Notify::new(),
            relay_commands: RefCell::default(),
            relay_command_due: Notify::new(),
            models_called: Notify::new(),
            max_delay: Cell::new(0),
            malformed_clients: RefCell::default(),
            accepts_foreign_clients: Cell::new(false),
            discarded: RefCell::new(vec![0; DISCARD_BUFFER_BYTES]),
        })
    }

    /// The current time, in microseconds.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Calls the models with the current time, and carries out the actions that result from the call.
    pub fn with<T>(self: &Rc<Host>, call: impl FnOnce(&mut Day, Micros, &mut DriverActions) -> T) -> T {
        let mut todo = DriverActions::default();
        let now = self.now();
        let result = call(&mut self.day.borrow_mut(), now, &mut todo);
        self.carry_out(&mut todo);
        self.models_called.notify_one();
        result
    }

    fn carry_out(self: &Rc<Host>, todo: &mut DriverActions) {
        let now = self.now();
        while !todo.is_empty() {
            self.day.borrow_mut().take_internal_events(now, todo);
            let server_events = std::mem::take(&mut todo.server_events);
            let client_actions = std::mem::take(&mut todo.client_actions);
            let relay_commands = std::mem::take(&mut todo.relay_commands);
            let list_changed = std::mem::take(&mut todo.list_changed);
            let discovery_down = todo.discovery_down.take();
            server_events.into_iter().for_each(|event| self.handle_server_event(now, event));
            client_actions.into_iter().for_each(|action| self.perform_client_action(action));
            if let Some(is_down) = discovery_down {
                self.list_down.set(is_down);
                self.list_changes.send_modify(|count| *count += 1);
            }
            if list_changed {
                self.list_changes.send_modify(|count| *count += 1);
            }
            if !todo.arrivals.is_empty() {
                self.arrivals.borrow_mut().append(&mut todo.arrivals);
                self.arrivals_released.notify_one();
            }
            if !relay_commands.is_empty() {
                self.relay_commands.borrow_mut().extend(relay_commands);
                self.relay_command_due.notify_one();
            }
        }
    }

    fn handle_server_event(self: &Rc<Host>, now: Micros, event: ServerEvent) {
        match event {
            ServerEvent::Line { connection, line } => self.send_line(now, connection, line),
            ServerEvent::Reset { connection } => {
                if let Some(found) = self.remove_connection(connection) {
                    let outcome = DialOutcome::MayHaveRun;
                    self.day.borrow_mut().audit.dial_ended(now, found.mark, found.server, outcome);
                    _ = found.commands.try_send(ConnectionCommand::Reset);
                }
            }
            ServerEvent::ReachabilityChanged { .. } => self.reachability.send_modify(|count| *count += 1),
            _ => {}
        }
    }

    fn send_line(&self, now: Micros, connection: ConnectionId, line: ServerLine) {
        let outcome = match line {
            ServerLine::Up | ServerLine::Load(_) => None,
            ServerLine::Busy => Some(DialOutcome::NeverRan),
            ServerLine::Err | ServerLine::Bye | ServerLine::Move => Some(DialOutcome::MayHaveRun),
        };
        let connections = self.connections.borrow();
        let Some(found) = connections.get(&connection) else { return };
        let audit = &mut self.day.borrow_mut().audit;
        if line == ServerLine::Up {
            audit.session_established(now, found.mark, found.server, connection);
        }
        if let Some(outcome) = outcome {
            audit.dial_ended(now, found.mark, found.server, outcome);
        }
        let may_be_lost = matches!(line, ServerLine::Load(_));
        if !may_be_lost || found.commands.capacity() > RESERVED_COMMAND_CAPACITY {
            _ = found.commands.try_send(ConnectionCommand::Send(line));
        }
    }

    fn perform_client_action(self: &Rc<Host>, action: ClientAction) {
        match action {
            ClientAction::Open(request) => {
                let (sender, commands) = mpsc::channel(CLIENT_COMMAND_CAPACITY);
                self.clients.borrow_mut().insert(request.mark, sender);
                self.requests.borrow_mut().insert(request.mark, request.clone());
                tokio::task::spawn_local(client::run(request, commands, self.clone()));
            }
            ClientAction::Leave { mark } => {
                if let Some(sender) = self.clients.borrow().get(&mark) {
                    _ = sender.try_send(LeaveCommand);
                }
            }
        }
    }

    /// Steps the models when they are due, until the end of the day.
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
                // A call may have scheduled something that is due sooner.
                () = self.models_called.notified() => {}
            }
        }
    }

    /// Waits for the next actions on relays.
    pub async fn next_relay_commands(&self) -> Vec<RelayCommand> {
        loop {
            let due = std::mem::take(&mut *self.relay_commands.borrow_mut());
            if !due.is_empty() {
                return due;
            }
            self.relay_command_due.notified().await;
        }
    }

    /// Adds a session's connection and returns its id.
    pub(super) fn add_connection(&self, connection: ServerConnection) -> ConnectionId {
        let id = self.last_connection.get() + 1;
        self.last_connection.set(id);
        self.by_mark.borrow_mut().entry(connection.mark).or_default().insert(id);
        self.connections.borrow_mut().insert(id, connection);
        id
    }

    pub(super) fn remove_connection(&self, id: ConnectionId) -> Option<ServerConnection> {
        let connection = self.connections.borrow_mut().remove(&id)?;
        let mut by_mark = self.by_mark.borrow_mut();
        if let Some(ids) = by_mark.get_mut(&connection.mark) {
            ids.remove(&id);
            if ids.is_empty() {
                by_mark.remove(&connection.mark);
            }
        }
        Some(connection)
    }

    /// Connections of a session in the order in which they were accepted.
    fn connections_of(&self, mark: u64) -> Vec<ConnectionId> {
        self.by_mark.borrow().get(&mark).map(|ids| ids.iter().copied().collect()).unwrap_or_default()
    }

    /// Ends those connections of a session that the relay has closed, even if their tasks have not read the
    /// end yet. Otherwise the auditor would, depending on the order in which tasks run, see an earlier dial
    /// as still in flight when the next one begins.
    pub(super) fn close_ended_connections(self: &Rc<Host>, mark: u64) {
        let has_ended = |id: &ConnectionId| {
            let connections = self.connections.borrow();
            connections.get(id).is_some_and(|found| lines::has_ended(found.descriptor))
        };
        let ended: Vec<ConnectionId> = self.connections_of(mark).into_iter().filter(has_ended).collect();
        ended.into_iter().for_each(|id| self.connection_closed(id));
    }

    /// A relay has closed its connection to a server.
    pub(super) fn connection_closed(self: &Rc<Host>, id: ConnectionId) {
        let Some(connection) = self.remove_connection(id) else { return };
        self.with(|day, now, todo| {
            let outcome = DialOutcome::MayHaveRun;
            day.audit.dial_ended(now, connection.mark, connection.server, outcome);
            day.servers.connection_closed(now, id, &mut todo.server_events);
        });
    }

    /// The connection of a client with an open session ended without a final line. This is a breach if the
    /// session's server still has its own connection of the session and is up.
    pub(super) fn client_cut_off(self: &Rc<Host>, mark: u64) {
        let Some(&id) = self.connections_of(mark).first() else { return };
        let Some(server) = self.connections.borrow().get(&id).map(|found| found.server) else { return };
        self.with(|day, now, _| {
            if day.servers.has_connection(id) && day.servers.is_up(server) {
                day.audit.connection_cut(now, mark);
            }
        });
    }

    /// A relay's process has ended.
    pub fn relay_ended(self: &Rc<Host>, relay: usize) {
        self.with(|day, now, _| {
            day.audit.relay_ended(now, relay);
            day.membership_audit.process_changed(now, relay, ProcessState::Down);
            day.servers.relay_restarted(relay);
            day.clients.set_relay_serving(now, relay, false);
        });
    }

    /// A relay drains: it admits no new sessions and continues to serve its open ones.
    pub fn relay_stopping(self: &Rc<Host>, relay: usize) {
        self.with(|day, now, _| {
            day.clients.set_relay_serving(now, relay, false);
            day.membership_audit.process_changed(now, relay, ProcessState::Stopping);
        });
    }

    /// A relay's process stalls or resumes.
    pub fn set_relay_stalled(self: &Rc<Host>, relay: usize, is_stalled: bool) {
        self.with(|day, now, _| {
            let process = if is_stalled { ProcessState::Stalled } else { ProcessState::Up };
            day.membership_audit.process_changed(now, relay, process);
            if is_stalled {
                day.audit.relay_stalled(relay);
            } else {
                day.audit.relay_woke(now, relay);
            }
        });
    }

    /// A relay's process has started. Returns whether it answers `PING` within a time limit.
    pub async fn relay_started(self: &Rc<Host>, relay: usize, within: Duration) -> bool {
        self.with(|day, now, _| {
            day.audit.relay_started(now, relay);
            day.membership_audit.process_changed(now, relay, ProcessState::Up);
        });
        let addr = self.relays.borrow()[relay];
        let answers = async {
            while !client::ping(addr).await {
                tokio::time::sleep(PING_INTERVAL).await;
            }
        };
        let is_serving = tokio::time::timeout(within, answers).await.is_ok();
        if is_serving {
            self.with(|day, now, _| day.clients.set_relay_serving(now, relay, true));
        }
        is_serving
    }
}
