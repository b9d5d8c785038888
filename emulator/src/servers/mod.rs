//! All servers: their sessions, load reports and faults, the store that all of them share, and the state of
//! the servers that discovery (the list service) has learnt. No I/O: each input is a method call with its
//! time, and each output is appended to a list of events, which the driver carries out.
//!
//! A server that starts warms up (is cold): its capacity is reduced for a time, and too much load overloads
//! it. Load counts as notified if it comes through relays that discovery has notified of the start. If
//! notified load overloads the server, the relays are blamed.
mod connections;
mod discovery;
mod faults;
mod reports;
mod sessions;

use crate::event_queue::EventQueue;
use crate::list::{BackendIdentity, EndpointList};
use crate::random::Random;
use crate::script::{self, Action, WireFault};
use crate::server::{Cores, Machine, Server, ServerState, Work, CORE};
use connections::Connection;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{ConnectionFault, Kind, Scenario, WarmUpCurve};
pub use reports::LoadFigures;
use reports::PublishedReport;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Time before the start of a day from which sessions may be set up, in microseconds.
pub const SETUP_BEFORE_DAY: Micros = 60_000_000;
/// Interval at which a server sends its message delay, if the scenario has servers send it.
const DELAY_INTERVAL: Micros = 1_000_000;
/// Minimum interval at which a server that is warming up is advanced.
const MIN_WARM_UP_INTERVAL: Micros = 1_000;
/// Random stream of the servers.
const RANDOM_STREAM: u64 = 1;
/// Random stream for drawing which servers and relays faults affect.
const SCRIPT_RANDOM_STREAM: u64 = 2;

/// Identifies a relay's connection to a server. Assigned by the driver and never reused.
pub type ConnectionId = u64;

/// A session's first line as received by a server.
#[derive(Clone, Debug, Default)]
pub struct DialRequest {
    /// Server that is dialled.
    pub server: usize,
    /// Relay that dials.
    pub relay: usize,
    /// Listener that the session is for.
    pub listener: usize,
    /// Key of the session's client.
    pub key: u64,
    /// Group of the session; 0 is none.
    pub group: u64,
    /// The session was open at this server before the relay started.
    pub is_pre_existing: bool,
    /// Time in microseconds until the server ends the session with `BYE`; none if the client ends it.
    pub lifetime: Option<Micros>,
}

/// A line that a server sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine {
    /// The session is established.
    Up,
    /// The session is rejected and has not run.
    Busy,
    /// The session failed and may have run.
    Err,
    /// The session has ended.
    Bye,
    /// The session has to migrate.
    Move,
    /// `LOAD` with the load of the session or with the message delay of the server. A scenario can enable
    /// both.
    Load(f64),
}

/// Output of the servers and of the day's script, for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// A line on a connection; all lines but `UP` and `LOAD` end it.
    Line {
        /// The connection.
        connection: ConnectionId,
        /// The line.
        line: ServerLine,
    },
    /// A connection is reset.
    Reset {
        /// The connection.
        connection: ConnectionId,
    },
    /// The reachability of a server has changed.
    ReachabilityChanged {
        /// The server.
        server: usize,
    },
    /// The endpoint list has changed.
    EndpointListChanged,
    /// Discovery becomes unavailable or available again.
    DiscoveryDown {
        /// Whether it is unavailable.
        down: bool,
    },
    /// A server was overloaded while it warmed up.
    Overloaded {
        /// The server.
        server: usize,
        /// Whether relays that were notified of its start caused the overload.
        blamed: bool,
    },
    /// An action of the script that does not concern servers, but arrivals, clients, relays or links.
    Action(Action),
    /// A line of the day's log.
    Log(String),
}

/// Response of a server to a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// The connection is accepted.
    Open,
    /// The connection is refused.
    Refused,
    /// There is no response.
    Unresponsive,
}

/// A scheduled event of a server or a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// The set-up of a session is complete.
    SessionReady(ConnectionId),
    /// The load of a session changes.
    LoadChange(ConnectionId),
    /// The server ends a session.
    SessionEnd(ConnectionId),
    /// A session ends because its server drains.
    DrainSession(ConnectionId),
    /// A server takes its load report.
    Report(usize),
    /// A server sends its message delay.
    DelayReport(usize),
    /// The state of a server that is warming up is advanced to the current time.
    WarmUpStep(usize),
    /// Discovery learns of a server's state.
    DiscoveryUpdate(usize),
}

/// A server with its connections and active faults.
struct Node {
    server: Server,
    zone: usize,
    connections: BTreeSet<ConnectionId>,
    /// Open sessions by group.
    groups: BTreeMap<u64, u32>,
    /// Open sessions by listener.
    open_by_listener: Vec<u32>,
    demand_by_relay: Vec<Cores>,
    /// By relay: whether it was notified of the server's last start.
    notified_of_start: Vec<bool>,
    /// Load reports, oldest first. A report becomes visible to probes with a delay; the last visible one
    /// stays until the next one becomes visible.
    reports: VecDeque<PublishedReport>,
    report_interval: Micros,
    /// Slowdown factors by the number of the fault that causes them.
    slowdowns: BTreeMap<usize, f64>,
    /// Fraction of the dials that get an error.
    failure_fraction: f64,
    /// Delay of load reports in addition to the usual one.
    report_delay: Micros,
    /// Multiple of the actual load that the server reports.
    report_factor: f64,
    wire_fault: Option<WireFault>,
    /// Time at which the last of the faults that keep the server down ends.
    down_until: Micros,
    /// Demand that bypasses relays.
    bypass_load: Cores,
}

impl Node {
    fn new(server: Server, zone: usize, scenario: &Scenario, begin: Micros, report_interval: Micros) -> Node {
        let first_report = PublishedReport { visible_at: begin, figures: LoadFigures::default() };
        Node {
            server,
            zone,
            connections: BTreeSet::new(),
            groups: BTreeMap::new(),
            open_by_listener: vec![0; scenario.listeners.len()],
            demand_by_relay: vec![0; scenario.relays.count],
            notified_of_start: vec![false; scenario.relays.count],
            reports: VecDeque::from([first_report]),
            report_interval,
            slowdowns: BTreeMap::new(),
            failure_fraction: 0.0,
            report_delay: 0,
            report_factor: 1.0,
            wire_fault: None,
            down_until: 0,
            bypass_load: 0,
        }
    }
}

/// Totals over the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// First lines received.
    pub dials: u64,
    /// Probes answered.
    pub probes: u64,
    /// Work of session set-ups.
    pub setup: Work,
    /// Work of set-ups whose sessions never opened.
    pub wasted: Work,
    /// Servers overloaded while they warmed up.
    pub overloads: u32,
}

/// A relay and a server that are cut off from each other.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CutPath {
    server: usize,
    relay: usize,
}

/// All servers of a day.
pub struct Servers {
    scenario: Scenario,
    nodes: Vec<Node>,
    /// Never iterated: a hash map has no stable order, and a day must give the same result for the same seed.
    connections: HashMap<ConnectionId, Connection>,
    events: EventQueue<Event>,
    actions: EventQueue<Action>,
    /// The endpoint list as discovery has it.
    pub endpoints: EndpointList,
    discovery_delay: Micros,
    /// By zone: whether it is cut off.
    cut_zones: Vec<bool>,
    cut_paths: BTreeSet<CutPath>,
    /// Time at which the shared store will have processed all queued set-ups.
    store_free_at: Micros,
    /// Factor by which the shared store is slower than usual.
    store_slowdown: f64,
    random: Random,
    /// Counts since the start of the day.
    pub counts: Counts,
    now: Micros,
}

/// Draws a machine of a kind. Its speed deviates randomly from the kind's speed.
fn draw_machine(kind: &Kind, scenario: &Scenario, random: &mut Random) -> Machine {
    let speed_deviation = 1.0 + kind.speed_off.0 * (2.0 * random.fraction() - 1.0);
    Machine {
        cores: kind.cores,
        speed: (kind.speed.0 * speed_deviation * CORE as f64) as Cores,
        initial_capacity: scenario.servers.cold_from.0,
        warm_up: scenario.servers.cold_s.us(),
        warms_at_end: scenario.servers.warms == WarmUpCurve::AtTheEnd,
        overload_multiple: scenario.rules.fall_multiple.0,
        overload_window: scenario.rules.fall_s.us(),
    }
}

impl Servers {
    /// The servers of a scenario for a day that begins at `begin`. All have been up for a long time.
    pub fn new(scenario: &Scenario, seed: u64, begin: Micros) -> Servers {
        let mut servers = Servers {
            cut_zones: vec![false; scenario.servers.zones.len()],
            cut_paths: BTreeSet::new(),
            scenario: scenario.clone(),
            nodes: Vec::new(),
            connections: HashMap::new(),
            events: EventQueue::default(),
            actions: script::actions(scenario, begin, &mut Random::new(seed, SCRIPT_RANDOM_STREAM)),
            endpoints: EndpointList::new(Vec::new()),
            discovery_delay: 0,
            store_free_at: 0,
            store_slowdown: 1.0,
            random: Random::new(seed, RANDOM_STREAM),
            counts: Counts::default(),
            now: begin - SETUP_BEFORE_DAY,
        };
        let mut identities = Vec::new();
        for kind in &scenario.servers.kinds {
            for _ in 0..kind.count {
                identities.push(servers.add_node(kind, begin));
            }
        }
        servers.endpoints = EndpointList::new(identities);
        servers
    }

    fn add_node(&mut self, kind: &Kind, begin: Micros) -> BackendIdentity {
        let index = self.nodes.len();
        let settings = &self.scenario.servers;
        let machine = draw_machine(kind, &self.scenario, &mut self.random);
        let zone = index % settings.zones.len();
        let identity = BackendIdentity {
            id: format!("s-{index:03}"),
            zone: settings.zones[zone].clone(),
            kind: kind.name.clone(),
            cell: (index / 4) as u16,
        };
        let report_interval = self.random.between(settings.report_every_ms.map(|ms| ms.us()));
        let first_report = begin + self.random.between([0, report_interval]);
        self.events.schedule(first_report, Event::Report(index));
        let first_delay_report = begin + self.random.between([0, DELAY_INTERVAL]);
        self.events.schedule(first_delay_report, Event::DelayReport(index));
        let server = Server::new(machine, begin - SETUP_BEFORE_DAY);
        self.nodes.push(Node::new(server, zone, &self.scenario, begin, report_interval));
        identity
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// Time of the next event or action; none if nothing is scheduled.
    pub fn next_at(&self) -> Option<Micros> {
        [self.events.next_at(), self.actions.next_at()].into_iter().flatten().min()
    }

    /// Processes everything that is due by now in chronological order. At equal times, actions of the script
    /// come first.
    pub fn step(&mut self, now: Micros, out: &mut Vec<ServerEvent>) {
        loop {
            let event_at = self.events.next_at();
            let is_action_next =
                self.actions.next_at().is_some_and(|action_at| event_at.is_none_or(|at| action_at <= at));
            if is_action_next {
                let Some((at, action)) = self.actions.pop_due(now) else { break };
                self.now = self.now.max(at);
                self.perform(action, out);
            } else {
                let Some((at, event)) = self.events.pop_due(now) else { break };
                self.now = self.now.max(at);
                self.handle(event, out);
            }
        }
        self.now = self.now.max(now);
    }

    fn handle(&mut self, event: Event, out: &mut Vec<ServerEvent>) {
        match event {
            Event::SessionReady(connection) => self.session_ready(connection, out),
            Event::LoadChange(connection) => self.change_load(connection, out),
            Event::SessionEnd(connection) => self.end_session(connection, ServerLine::Bye, out),
            Event::DrainSession(connection) => {
                let found = self.connections.get(&connection);
                if found.is_some_and(|found| self.nodes[found.server].server.is_draining) {
                    self.end_session(connection, ServerLine::Move, out);
                }
            }
            Event::Report(server) => self.take_report(server, out),
            Event::DelayReport(server) => {
                self.advance(server, out);
                self.send_delay(server, out);
                self.events.schedule(self.now + DELAY_INTERVAL, Event::DelayReport(server));
            }
            Event::WarmUpStep(server) => self.warm_up_step(server, out),
            Event::DiscoveryUpdate(server) => self.update_discovery(server, out),
        }
    }

    /// Advances a server that is warming up once per bucket of its work window, 100 times per window.
    fn warm_up_step(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        self.advance(server, out);
        let advanced = &self.nodes[server].server;
        if advanced.is_warming_up(self.now) && advanced.state == ServerState::Up {
            let interval = (self.scenario.rules.fall_s.us() / 100).max(MIN_WARM_UP_INTERVAL);
            self.events.schedule(self.now + interval, Event::WarmUpStep(server));
        }
    }

    fn advance(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        if self.nodes[server].server.advance(self.now) {
            self.overloaded(server, out);
        }
    }

    fn overloaded(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        self.counts.overloads += 1;
        let blamed = self.nodes[server].server.is_overload_by_notified();
        let id = &self.endpoints.identities[server].id;
        out.push(ServerEvent::Log(format!("{id} is overloaded while warming up")));
        out.push(ServerEvent::Overloaded { server, blamed });
        self.reset_connections(server, out);
        out.push(ServerEvent::ReachabilityChanged { server });
        self.schedule_discovery_update(server, self.scenario.list.notice_s.map(|s| s.us()));
    }

    /// Returns the current message delay in microseconds (none if the server is down), and the number of open
    /// sessions by listener. The service figure is calculated from them.
    pub fn open_sessions(
        &mut self,
        now: Micros,
        server: usize,
        out: &mut Vec<ServerEvent>,
    ) -> (Option<Micros>, &[u32]) {
        self.now = self.now.max(now);
        self.advance(server, out);
        let node = &self.nodes[server];
        let is_up = node.server.state == ServerState::Up;
        let delay = is_up.then(|| node.server.message_delay(self.now));
        (delay, &node.open_by_listener)
    }

    /// Total work that the servers have received for set-ups, probes and sessions.
    pub fn total_work(&self) -> Work {
        self.nodes.iter().map(|node| node.server.total_work).sum()
    }

    /// Demand over capacity of a server; 0 if it is down.
    pub fn load(&self, server: usize) -> f64 {
        match self.nodes[server].server.state {
            ServerState::Up => self.nodes[server].server.load(self.now),
            _ => 0.0,
        }
    }

    /// Whether a server is up.
    pub fn is_up(&self, server: usize) -> bool {
        self.nodes[server].server.state == ServerState::Up
    }

    /// Zone of a server.
    pub fn zone(&self, server: usize) -> usize {
        self.nodes[server].zone
    }

    /// Zone of a relay.
    pub fn zone_of_relay(&self, relay: usize) -> usize {
        relay % self.scenario.servers.zones.len()
    }
}

/// Demand of a session with average load.
fn session_cores(scenario: &Scenario) -> Cores {
    (CORE as f64 / scenario.servers.per_core.0) as Cores
}

/// Additional demand of a group at each server that has at least one of its sessions.
fn group_cores(scenario: &Scenario) -> Cores {
    (session_cores(scenario) as f64 * scenario.servers.group_cost.0) as Cores
}
