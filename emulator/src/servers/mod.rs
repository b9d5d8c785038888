//! The servers: their sessions, the shared store, reports, troubles, and what the list service knows of
//! it. No I/O: what reaches a server is a call with its time, what servers say is appended.
mod sessions;
mod troubles;

use crate::event_queue::EventQueue;
use crate::list::{BackendIdentity, EndpointList, Entry};
use crate::random::Random;
use crate::script::{self, Act};
use crate::server::{Cores, Life, Machine, Server, Work, CORE};
use hallrelay_balancer::types::{LoadReport, Micros, Phase};
use hallrelay_config::scenario::{Drains, Fault, Scenario, Warms};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// Sessions may be set up this long before a day begins.
pub const PREPARED: Micros = 60_000_000;

/// A relay's connection to a server, numbered by who drives them.
pub type ConnectionId = u64;

/// A first line, as it comes to a server.
#[derive(Clone, Debug, Default)]
pub struct DialRequest {
    pub server: usize,
    pub relay: usize,
    pub listener: usize,
    pub key: u64,
    pub group: u64,
    /// Stood here before the relay started.
    pub is_pre_existing: bool,
    /// When the server is to end it with `BYE`; none where the client will leave.
    pub lifetime: Option<Micros>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerLine {
    Up,
    Busy,
    Err,
    Bye,
    Move,
    Load(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum ServerEvent {
    /// A line on a connection; all but `UP` and `LOAD` end it.
    Line {
        connection: ConnectionId,
        line: ServerLine,
    },
    /// A connection is reset.
    Reset {
        connection: ConnectionId,
    },
    /// Whether connecting to a server works has changed.
    ReachabilityChanged {
        server: usize,
    },
    /// The list service has news, or is down or back.
    EndpointListChanged,
    DiscoveryDown {
        down: bool,
    },
    /// A cold server fell over; whether those who knew of its start are to blame.
    Overloaded {
        server: usize,
        blamed: bool,
    },
    /// What the script asks of others: arrivals, clients, relays.
    Action(Act),
    /// For those who watch.
    Log(String),
}

/// What connecting meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    Open,
    Refused,
    Unresponsive,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    /// The set-up of a session is done.
    Ready(ConnectionId),
    /// Its load changes, or its life is over.
    Changes(ConnectionId),
    Ends(ConnectionId),
    /// A drain sends it away.
    SentAway(ConnectionId),
    /// A server's report is taken.
    Report(usize),
    /// Once a second: delays are told; and each bucket while it is cold.
    Beat(usize),
    Cold(usize),
    /// The list service takes notice of a server.
    Notice(usize),
}

#[derive(Clone, Debug)]
struct Conn {
    server: usize,
    relay: usize,
    listener: usize,
    group: u64,
    open: bool,
    load: Cores,
    usual: f64,
    setup: Work,
}

struct Node {
    server: Server,
    zone: usize,
    conns: BTreeSet<ConnectionId>,
    groups: BTreeMap<u64, u32>,
    /// Open sessions by listener.
    open: Vec<u32>,
    /// By relay: what is asked through it, and whether it knows of the last start.
    asks: Vec<Cores>,
    knows: Vec<bool>,
    reports: VecDeque<(Micros, Figures)>,
    every: Micros,
    slows: BTreeMap<usize, f64>,
    fails: f64,
    late: Micros,
    lies: f64,
    wire: Option<(Fault, f64)>,
    down_until: Micros,
    overrun: Cores,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    pub inflight: u32,
    pub load: f64,
    pub piled: f64,
}

impl Figures {
    pub fn report(self) -> LoadReport {
        let sessions = Some(f64::from(self.inflight));
        LoadReport { load: Some(self.load), queue_delay: Some(self.piled), sessions }
    }
}

/// Counts over the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub dials: u64,
    pub probes: u64,
    pub setup: Work,
    pub wasted: Work,
    pub fell: u32,
}

pub struct Servers {
    s: Scenario,
    nodes: Vec<Node>,
    /// Looked up and never walked.
    conns: HashMap<ConnectionId, Conn>,
    due: EventQueue<Due>,
    acts: EventQueue<Act>,
    pub endpoints: EndpointList,
    list_late: Micros,
    cut: Vec<bool>,
    /// Servers and relays that don't hear each other.
    cut_pairs: BTreeSet<(usize, usize)>,
    store_at: Micros,
    store_times: f64,
    rng: Random,
    pub counts: Counts,
    now: Micros,
}

impl Servers {
    pub fn new(s: &Scenario, seed: u64, begin: Micros) -> Servers {
        let mut rng = Random::new(seed, 1);
        let (mut nodes, mut identities, mut due) = (Vec::new(), Vec::new(), EventQueue::default());
        for kind in &s.servers.kinds {
            for _ in 0..kind.count {
                let i = nodes.len();
                let off = 1.0 + kind.speed_off.0 * (2.0 * rng.fraction() - 1.0);
                let machine = Machine {
                    cores: kind.cores,
                    speed: (kind.speed.0 * off * CORE as f64) as Cores,
                    cold_from: s.servers.cold_from.0,
                    cold: s.servers.cold_s.us(),
                    at_the_end: s.servers.warms == Warms::AtTheEnd,
                    fall_multiple: s.rules.fall_multiple.0,
                    fall: s.rules.fall_s.us(),
                };
                let zone = i % s.servers.zones.len();
                identities.push(BackendIdentity {
                    id: format!("s-{i:03}"),
                    zone: s.servers.zones[zone].clone(),
                    kind: kind.name.clone(),
                    cell: (i / 4) as u16,
                });
                let every = rng.between(s.servers.report_every_ms.map(|t| t.us()));
                due.schedule(begin + rng.between([0, every]), Due::Report(i));
                due.schedule(begin + rng.between([0, 1_000_000]), Due::Beat(i));
                let server = Server::new(machine, begin - PREPARED);
                nodes.push(Node {
                    server,
                    zone,
                    conns: BTreeSet::new(),
                    groups: BTreeMap::new(),
                    open: vec![0; s.listeners.len()],
                    asks: vec![0; s.relays.count],
                    knows: vec![false; s.relays.count],
                    reports: VecDeque::from([(begin, Figures::default())]),
                    every,
                    slows: BTreeMap::new(),
                    fails: 0.0,
                    late: 0,
                    lies: 1.0,
                    wire: None,
                    down_until: 0,
                    overrun: 0,
                });
            }
        }
        let acts = script::acts(s, begin, &mut Random::new(seed, 2));
        Servers {
            cut: vec![false; s.servers.zones.len()],
            cut_pairs: BTreeSet::new(),
            s: s.clone(),
            nodes,
            conns: HashMap::new(),
            due,
            acts,
            endpoints: EndpointList::new(identities),
            list_late: 0,
            store_at: 0,
            store_times: 1.0,
            rng,
            counts: Counts::default(),
            now: begin - PREPARED,
        }
    }

    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// When it wants to be stepped next.
    pub fn next(&self) -> Option<Micros> {
        [self.due.next_at(), self.acts.next_at()].into_iter().flatten().min()
    }

    /// All that is due by now, in order.
    pub fn step(&mut self, now: Micros, out: &mut Vec<ServerEvent>) {
        loop {
            let (due, acts) = (self.due.next_at(), self.acts.next_at());
            let acts_first = acts.is_some_and(|at| due.is_none_or(|d| at <= d));
            if acts_first {
                let Some((at, act)) = self.acts.pop_due(now) else { break };
                self.now = self.now.max(at);
                self.act(act, out);
            } else {
                let Some((at, due)) = self.due.pop_due(now) else { break };
                self.now = self.now.max(at);
                self.fall_due(due, out);
            }
        }
        self.now = self.now.max(now);
    }

    fn fall_due(&mut self, due: Due, out: &mut Vec<ServerEvent>) {
        let now = self.now;
        match due {
            Due::Ready(conn) => self.ready(conn, out),
            Due::Changes(conn) => self.changes(conn, out),
            Due::Ends(conn) => self.says_last(conn, ServerLine::Bye, out),
            Due::SentAway(conn) => {
                if self.conns.get(&conn).is_some_and(|c| self.nodes[c.server].server.draining) {
                    self.says_last(conn, ServerLine::Move, out);
                }
            }
            Due::Report(server) => {
                self.advance(server, out);
                let off = |rng: &mut Random, part: f64| (1.0 + part * rng.normal()).max(0.0);
                let (noise, late) = (self.s.servers.report_noise.0, self.s.servers.report_late_ms);
                let n = &mut self.nodes[server];
                let figures = Figures {
                    inflight: n.conns.len() as u32,
                    load: n.server.load(now) * n.lies * off(&mut self.rng, noise),
                    piled: n.server.piled(now) * n.lies.min(1.0) * off(&mut self.rng, noise),
                };
                let seen = now + self.rng.between(late.map(|t| t.us())) + n.late;
                if n.server.life == Life::Up {
                    n.reports.push_back((seen, figures));
                }
                self.due.schedule(now + n.every, Due::Report(server));
            }
            Due::Beat(server) => {
                self.advance(server, out);
                self.tell_delay(server, out);
                self.due.schedule(now + 1_000_000, Due::Beat(server));
            }
            Due::Cold(server) => {
                self.advance(server, out);
                let n = &self.nodes[server].server;
                if n.cold(now) && n.life == Life::Up {
                    // A hundredth of the window, in which the server itself looks.
                    self.due.schedule(now + (self.s.rules.fall_s.us() / 100).max(1_000), Due::Cold(server));
                }
            }
            Due::Notice(server) => self.notice(server, out),
        }
    }

    fn advance(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        if self.nodes[server].server.advance(self.now) {
            self.fell(server, out);
        }
    }

    fn fell(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        self.counts.fell += 1;
        let blamed = self.nodes[server].server.blames_the_told();
        out.push(ServerEvent::Log(format!(
            "{} falls over while it is cold",
            self.endpoints.identities[server].id
        )));
        out.push(ServerEvent::Overloaded { server, blamed });
        self.lose(server, out);
        out.push(ServerEvent::ReachabilityChanged { server });
        self.notice_later(server, self.s.list.notice_s.map(|t| t.us()));
    }

    /// Resets all connections of a server.
    fn lose(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        for conn in std::mem::take(&mut self.nodes[server].conns) {
            self.drop_conn(conn);
            out.push(ServerEvent::Reset { connection: conn });
        }
    }

    /// Takes a connection out of all sums.
    fn drop_conn(&mut self, conn: ConnectionId) -> Option<Conn> {
        let c = self.conns.remove(&conn)?;
        let n = &mut self.nodes[c.server];
        n.conns.remove(&conn);
        if c.open {
            let group_ends = c.group != 0 && {
                let members = n.groups.entry(c.group).or_insert(1);
                *members -= 1;
                *members == 0
            };
            let mut less = c.load;
            if group_ends {
                n.groups.remove(&c.group);
                less += group_cost(&self.s);
            }
            n.open[c.listener] -= 1;
            n.asks[c.relay] = n.asks[c.relay].saturating_sub(less);
            let told = n.knows[c.relay];
            n.server.ask(0, less, told);
        } else {
            self.counts.wasted += c.setup;
        }
        Some(c)
    }

    fn says_last(&mut self, conn: ConnectionId, word: ServerLine, out: &mut Vec<ServerEvent>) {
        let Some(server) = self.conns.get(&conn).map(|c| c.server) else { return };
        if self.nodes[server].server.life != Life::Up {
            return;
        }
        self.advance(server, out);
        if self.drop_conn(conn).is_some() {
            out.push(ServerEvent::Line { connection: conn, line: word });
        }
    }

    pub fn zone_of_relay(&self, relay: usize) -> usize {
        relay % self.s.servers.zones.len()
    }

    /// Whether the way between a relay and a server is cut.
    fn is_cut(&self, server: usize, relay: usize) -> bool {
        let (a, b) = (self.nodes[server].zone, self.zone_of_relay(relay));
        (a != b && (self.cut[a] || self.cut[b])) || self.cut_pairs.contains(&(server, relay))
    }

    /// Whether a server says anything to a relay now.
    pub fn can_send(&self, server: usize, relay: usize) -> bool {
        self.nodes[server].server.life != Life::Silent && !self.is_cut(server, relay)
    }

    /// What a relay meets that connects now.
    pub fn reachability(&self, server: usize, relay: usize) -> Reachability {
        match self.nodes[server].server.life {
            Life::Silent => Reachability::Unresponsive,
            _ if self.is_cut(server, relay) => Reachability::Unresponsive,
            Life::Down | Life::Fallen => Reachability::Refused,
            Life::Up => match self.nodes[server].wire {
                Some((Fault::Refused, part)) if part >= 1.0 => Reachability::Refused,
                Some((Fault::NeverUp, part)) if part >= 1.0 => Reachability::Unresponsive,
                _ => Reachability::Open,
            },
        }
    }

    /// The fault that a new connection meets on the way, if any.
    pub fn draw_wire_fault(&mut self, server: usize) -> Option<Fault> {
        let (fault, part) = self.nodes[server].wire?;
        (self.rng.fraction() < part).then_some(fault)
    }

    /// A relay has been told of servers by the list: what it sends to a cold one counts as known from now on.
    pub fn told(&mut self, now: Micros, relay: usize, servers: &[usize], out: &mut Vec<ServerEvent>) {
        self.now = self.now.max(now);
        for &server in servers {
            self.advance(server, out);
            let entry = self.endpoints.entry(server);
            let n = &mut self.nodes[server];
            let news = entry.started_at == n.server.came_up && entry.phase == Phase::Ready;
            if news && !std::mem::replace(&mut n.knows[relay], true) {
                n.server.told(n.asks[relay]);
            }
        }
    }

    /// A relay that has started anew knows nothing.
    pub fn relay_restarted(&mut self, relay: usize) {
        self.nodes.iter_mut().for_each(|n| n.knows[relay] = false);
    }

    fn notice_later(&mut self, server: usize, within: [Micros; 2]) {
        let at = self.now + self.rng.between(within) + self.list_late;
        self.due.schedule(at, Due::Notice(server));
    }

    fn notice(&mut self, server: usize, out: &mut Vec<ServerEvent>) {
        let s = &self.nodes[server].server;
        let phase = match s.life {
            Life::Up if s.draining => Phase::Draining,
            Life::Up => Phase::Ready,
            _ => Phase::Gone,
        };
        // Milliseconds are all that a list tells.
        let came_up = s.came_up;
        if self.endpoints.update(server, Entry { phase, started_at: came_up }) {
            let id = &self.endpoints.identities[server].id;
            out.push(ServerEvent::Log(format!("the list tells that {id} is {phase:?}").to_lowercase()));
            out.push(ServerEvent::EndpointListChanged);
        }
    }

    /// For the service figure: open sessions by listener, and how long a message takes; none where nobody is
    /// heard.
    pub fn serves(
        &mut self,
        now: Micros,
        server: usize,
        out: &mut Vec<ServerEvent>,
    ) -> (Option<Micros>, &[u32]) {
        self.now = self.now.max(now);
        self.advance(server, out);
        let n = &self.nodes[server];
        let delay = (n.server.life == Life::Up).then(|| n.server.delay(self.now));
        (delay, &n.open)
    }

    /// All work that was asked of the servers so far, set-ups and sessions.
    pub fn worked(&self) -> Work {
        self.nodes.iter().map(|n| n.server.came).sum()
    }

    pub fn load(&self, server: usize) -> f64 {
        match self.nodes[server].server.life {
            Life::Up => self.nodes[server].server.load(self.now),
            _ => 0.0,
        }
    }

    /// Whether a connection is known there.
    pub fn has_connection(&self, conn: ConnectionId) -> bool {
        self.conns.contains_key(&conn)
    }

    pub fn is_up(&self, server: usize) -> bool {
        self.nodes[server].server.life == Life::Up
    }

    pub fn zone(&self, server: usize) -> usize {
        self.nodes[server].zone
    }
}

fn unit(s: &Scenario) -> Cores {
    (CORE as f64 / s.servers.per_core.0) as Cores
}

fn group_cost(s: &Scenario) -> Cores {
    (unit(s) as f64 * s.servers.group_cost.0) as Cores
}
