//! A day in virtual time: the relays' reducers with their modules, driven against the models without a
//! socket. One queue of events, one seed; the same seed gives the same day to the byte.
mod list;
mod membership;
mod outs;
mod sessions;

use hallrelay_balancer::types::{DialEnd, Micros, Phase, ServerId, SessId};
use hallrelay_config::limits::Limits;
use hallrelay_config::list::{Instance, List};
use hallrelay_config::node::{self as config, Node, Overrides as Given};
use hallrelay_config::scenario::{Fault, Scenario};
use hallrelay_emulator::audit::{Answer, DialOutcome, DialReceived, RequestSent};
use hallrelay_emulator::clients::{mix, ClientAction, ClientEvent, ClientRequest};
use hallrelay_emulator::day::{Day, DriverActions};
use hallrelay_emulator::event_queue::EventQueue;
use hallrelay_emulator::membership_audit::ProcessState;
use hallrelay_emulator::node::{self, RelayPlacement};
use hallrelay_emulator::script::{RelayAction, RelayCommand};
use hallrelay_emulator::servers::{ConnectionId, DialRequest, Reachability, ServerEvent, ServerLine};
use hallrelay_emulator::service::{Outcome, RelayFigures};
use hallrelay_recovery::record::VERSION;
use hallrelay_recovery::{Record, StoredState};
use hallrelay_relay::lines::SessionRequest;
use hallrelay_relay::reducer::{Effect, Event, Reducer, Timer};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A relay's state machine: the reducer, or a test's faulty one.
pub trait Mind {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>);
    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>);
    /// What its store held, before the start.
    fn load_state(&mut self, _stored: StoredState) {}
}

impl Mind for Reducer {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        Reducer::start(self, now, out);
    }
    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        Reducer::step(self, now, event, out);
    }
    fn load_state(&mut self, stored: StoredState) {
        Reducer::load_state(self, stored);
    }
}

/// Makes a relay's mind as it starts.
pub type Maker<'a> = Box<dyn Fn(Node) -> Box<dyn Mind> + 'a>;

pub fn reducers() -> Maker<'static> {
    Box::new(|node| Box::new(Reducer::new(node, None)))
}

/// A day begins at this Unix time; any will do that is no 0.
const BEGIN: Micros = 1_800_000_000_000_000;

enum Ev {
    /// Boxed, since all that waits is as large as the largest of it.
    Relay {
        relay: usize,
        life: u32,
        event: Box<Event>,
    },
    Alarm {
        relay: usize,
        life: u32,
        alarm: Timer,
    },
    /// A client's first line comes to a relay, or its end does.
    Line(Box<ClientRequest>),
    Gone {
        relay: usize,
        life: u32,
        sess: SessId,
    },
    Client {
        mark: u64,
        heard: ClientEvent,
        receipt: u64,
    },
    /// A dial's line comes to its server.
    Dialled {
        conn: ConnectionId,
    },
    TimesOut {
        relay: usize,
        life: u32,
        sess: SessId,
        dial: u32,
    },
    Closed {
        conn: ConnectionId,
    },
    Probe {
        relay: usize,
        life: u32,
        server: ServerId,
        at: usize,
        sent: Micros,
    },
    /// The list service writes to a watch.
    Tells {
        relay: usize,
        life: u32,
        watch: u32,
    },
    /// Something comes from another relay.
    Transmission {
        from: usize,
        to: usize,
        transmission: membership::Transmission,
    },
    /// All relays are polled for their views of each other.
    PollViews,
    /// An operator asks for a relay to be let out once more, or brings it back.
    WantsOut {
        relay: usize,
        stay: Micros,
    },
    BringsBack {
        relay: usize,
    },
    /// A message that nobody answered.
    Silent {
        relay: usize,
        life: u32,
        sess: SessId,
        conn: ConnectionId,
    },
}

impl Ev {
    /// The relay whose process takes it.
    fn comes_to(&self) -> Option<usize> {
        match self {
            Ev::Relay { relay, .. }
            | Ev::Alarm { relay, .. }
            | Ev::Gone { relay, .. }
            | Ev::TimesOut { relay, .. }
            | Ev::Silent { relay, .. } => Some(*relay),
            Ev::Line(ask) => Some(ask.relay),
            Ev::Transmission { to, .. } => Some(*to),
            Ev::Client { .. } | Ev::Dialled { .. } | Ev::Closed { .. } | Ev::PollViews => None,
            // An operator's matter, who waits as long.
            Ev::WantsOut { .. } | Ev::BringsBack { .. } => None,
            // The server and the list service do their part; what they say waits.
            Ev::Probe { .. } | Ev::Tells { .. } => None,
        }
    }
}

/// A session as a relay's sockets have it.
struct Line {
    mark: u64,
    dials: u32,
    conn: Option<ConnectionId>,
    open: bool,
    doubted: bool,
    /// Its client has left, or has had its last line.
    over: bool,
}

struct Dial {
    relay: usize,
    life: u32,
    sess: SessId,
    dial: u32,
    mark: u64,
    server: usize,
    ask: DialRequest,
    /// The server has it.
    there: bool,
    up: bool,
    fault: Option<Fault>,
}

#[derive(Default)]
struct Watch {
    id: u32,
    since: Option<u64>,
    /// Whether it has spoken, and so gets what changes.
    speaks: bool,
}

struct Relay {
    mind: Option<Box<dyn Mind>>,
    life: u32,
    lines: BTreeMap<SessId, Line>,
    marks: BTreeMap<u64, SessId>,
    /// Marks of sessions whose client's end it has seen: a faulty relay may dial for them still.
    past: BTreeMap<SessId, u64>,
    watches: Vec<Watch>,
    last: SessId,
    starts: u32,
    limits: Limits,
    /// The list as it had it last.
    known: Vec<usize>,
    /// What its store holds, by kind and name; it outlives the process.
    stored_records: BTreeMap<(u8, String), Vec<u8>>,
    /// What came while it stands still.
    stalled: Option<Vec<Ev>>,
}

pub struct Virtual<'a> {
    day: Day,
    queue: EventQueue<Ev>,
    relays: Vec<Relay>,
    /// Looked up and never walked, as is what is asked.
    dials: HashMap<ConnectionId, Dial>,
    asks: HashMap<u64, ClientRequest>,
    next_conn: ConnectionId,
    now: Micros,
    list_down: bool,
    maker: Maker<'a>,
    events: u64,
    outs: outs::Seen,
}

fn addr(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (server >> 8) as u8, server as u8], 1))
}

fn server_at(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(a) => usize::from(a.ip().octets()[2]) << 8 | usize::from(a.ip().octets()[3]),
        SocketAddr::V6(_) => 0,
    }
}

/// Plays a scenario; `progress` is told the part that is done, and stops the day where it says false.
pub fn run(
    s: &Scenario,
    seed: u64,
    maker: Maker,
    progress: &mut dyn FnMut(f64) -> bool,
) -> Result<Outcome, String> {
    let day = Day::new(s, seed, BEGIN);
    let mut v = Virtual {
        day,
        queue: EventQueue::default(),
        relays: Vec::new(),
        dials: HashMap::new(),
        asks: HashMap::new(),
        next_conn: 0,
        now: BEGIN,
        list_down: false,
        maker,
        events: 0,
        outs: outs::Seen::default(),
    };
    for relay in 0..s.relays.count {
        let node = v.node(relay, 0)?;
        v.relays.push(Relay {
            mind: None,
            life: 0,
            lines: BTreeMap::new(),
            marks: BTreeMap::new(),
            past: BTreeMap::new(),
            watches: Vec::new(),
            last: 0,
            starts: 0,
            limits: node.limits,
            known: Vec::new(),
            stored_records: BTreeMap::new(),
            stalled: None,
        });
    }
    for relay in 0..s.relays.count {
        v.starts(relay)?;
    }
    v.play(progress)
}

impl Virtual<'_> {
    fn node(&self, relay: usize, life: u32) -> Result<Node, String> {
        let place = RelayPlacement {
            relay,
            listen: SocketAddr::from(([127, 0, 0, 1], 1)),
            discovery: SocketAddr::from(([127, 0, 0, 1], 2)),
            seed: mix(self.day.seed ^ (relay as u64) << 32 ^ u64::from(life) << 48),
            operator: None,
            state: self.day.scenario.relays.state.then(|| "virtual".to_string()),
            membership: self
                .day
                .scenario
                .relays
                .fleet
                .then(|| membership::addresses(relay, self.day.scenario.relays.count)),
        };
        let text =
            node::text(&self.day.scenario, &place, &self.day.servers.endpoints, |i| addr(i).to_string());
        config::parse(text.to_string().as_bytes(), &Given::default()).map_err(|e| e.to_string())
    }

    fn play(mut self, progress: &mut dyn FnMut(f64) -> bool) -> Result<Outcome, String> {
        let mut todo = DriverActions::default();
        let servers = self.day.servers.len();
        self.day.clients.open_pre_existing(self.now, servers, &mut todo.client_actions);
        self.carry_out(&mut todo)?;
        if self.day.scenario.relays.fleet {
            self.poll_views();
        }
        let mut partial = None;
        // Often enough to look alive, seldom enough to cost nothing.
        const LOOK: Micros = 250_000;
        let mut look = self.now;
        loop {
            let next = self.queue.next_at().map_or(Micros::MAX, |at| at).min(self.day.next_at());
            if next > self.day.end {
                break;
            }
            self.now = self.now.max(next);
            if self.now >= look {
                look = self.now + LOOK;
                let done = (self.now - self.day.begin) as f64 / (self.day.end - self.day.begin) as f64;
                if !progress(done) {
                    partial = Some("interrupted".to_string());
                    break;
                }
            }
            if self.day.next_at() <= self.now {
                self.day.step(self.now, &mut todo);
                self.carry_out(&mut todo)?;
            }
            while let Some((_, event)) = self.queue.pop_due(self.now) {
                self.events += 1;
                self.event(event, &mut todo)?;
                self.carry_out(&mut todo)?;
            }
        }
        self.now = self.now.max(self.day.end.min(self.now + 1));
        let relays = self.relays.iter().map(|r| RelayFigures { starts: r.starts, ..RelayFigures::default() });
        let mut outcome = self.day.outcome();
        outcome.outs = self.outs.outcome();
        (outcome.relays, outcome.partial, outcome.mode) = (relays.collect(), partial, "virtual".to_string());
        Ok(outcome)
    }

    /// One way, in microseconds.
    fn way(&self) -> Micros {
        self.day.scenario.net.server_ms.us()
    }

    fn client_way(&self) -> Micros {
        self.day.scenario.net.client_ms.us()
    }

    fn later(&mut self, after: Micros, ev: Ev) {
        self.queue.schedule(self.now + after, ev);
    }

    fn tell(&mut self, relay: usize, after: Micros, event: Event) {
        let life = self.relays[relay].life;
        self.later(after, Ev::Relay { relay, life, event: Box::new(event) });
    }

    fn starts(&mut self, relay: usize) -> Result<(), String> {
        let life = self.relays[relay].life + 1;
        let node = self.node(relay, life)?;
        let mut mind = (self.maker)(node);
        let mut out = Vec::new();
        if self.day.scenario.relays.state {
            let mut stored = StoredState::default();
            for ((kind, name), bytes) in &self.relays[relay].stored_records {
                stored.add(*kind, VERSION, name.as_bytes(), bytes);
            }
            mind.load_state(stored);
        }
        mind.start(self.now, &mut out);
        let known = self.day.servers.endpoints.present();
        let r = &mut self.relays[relay];
        (r.mind, r.life, r.starts) = (Some(mind), life, r.starts + 1);
        (r.lines, r.marks) = (BTreeMap::new(), BTreeMap::new());
        r.watches.clear();
        r.known = known;
        self.day.audit.relay_started(self.now, relay);
        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Up);
        self.day.clients.set_relay_serving(self.now, relay, true);
        self.effects(relay, out);
        Ok(())
    }

    /// A relay's process ends: its connections are reset on both sides.
    fn ends(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        if r.mind.take().is_none() {
            return;
        }
        r.life += 1;
        r.stalled = None;
        r.watches.clear();
        r.marks.clear();
        r.past.clear();
        let lines = std::mem::take(&mut r.lines);
        self.day.audit.relay_ended(self.now, relay);
        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Down);
        self.day.servers.relay_restarted(relay);
        self.day.clients.set_relay_serving(self.now, relay, false);
        let (way, client_way) = (self.way(), self.client_way());
        for line in lines.into_values() {
            if let Some(conn) = line.conn {
                self.later(way, Ev::Closed { conn });
            }
            if !line.over {
                let heard = ClientEvent::Closed;
                self.later(client_way, Ev::Client { mark: line.mark, heard, receipt: 0 });
            }
        }
    }

    /// A relay leaves by itself: what it still holds it should have answered or moved.
    fn exits(&mut self, relay: usize) {
        let held: Vec<(u64, bool)> =
            self.relays[relay].lines.values().filter(|l| !l.over).map(|l| (l.mark, l.open)).collect();
        for (mark, open) in held {
            if open {
                self.day.audit.connection_cut(self.now, mark);
            } else {
                self.day.audit.client_answered(self.now, mark, &Answer::Closed);
            }
        }
        self.ends(relay);
    }

    fn step(&mut self, relay: usize, event: Event) {
        let Some(mind) = self.relays[relay].mind.as_mut() else { return };
        let mut out = Vec::new();
        mind.step(self.now, event, &mut out);
        self.effects(relay, out);
    }

    fn event(&mut self, event: Ev, todo: &mut DriverActions) -> Result<(), String> {
        let alive = |v: &Self, relay: usize, life: u32| v.relays[relay].life == life;
        // What comes to a process that stands still waits for it.
        if let Some(waiting) = event.comes_to().and_then(|relay| self.relays[relay].stalled.as_mut()) {
            waiting.push(event);
            return Ok(());
        }
        match event {
            Ev::Relay { relay, life, event } if alive(self, relay, life) => {
                // An open session that its relay has seen the end of has no connection any more.
                if let Event::SessionEnded { session_id: sess, .. } = &*event {
                    if let Some(line) = self.relays[relay].lines.get_mut(sess) {
                        (line.open, line.conn) = (false, None);
                    }
                }
                self.step(relay, *event);
            }
            Ev::Alarm { relay, life, alarm } if alive(self, relay, life) => {
                self.step(relay, Event::Timer(alarm));
            }
            Ev::Line(ask) => self.line(*ask),
            Ev::Gone { relay, life, sess } if alive(self, relay, life) => self.gone(relay, sess),
            Ev::Client { mark, heard, receipt } => self.client(mark, heard, receipt),
            Ev::Dialled { conn } => self.dialled(conn, todo),
            Ev::TimesOut { relay, life, sess, dial } if alive(self, relay, life) => {
                let Some(line) = self.relays[relay].lines.get_mut(&sess) else { return Ok(()) };
                if line.dials != dial + 1 || line.open {
                    return Ok(());
                }
                if let Some(conn) = line.conn.take() {
                    // The relay closes it before it does anything else.
                    self.close_now(conn, todo);
                    let end = DialEnd::Timeout;
                    self.step(relay, Event::DialEnded { session_id: sess, dial, end, report: None });
                }
            }
            Ev::Closed { conn } => self.close_now(conn, todo),
            Ev::Probe { relay, life, server, at, sent } if alive(self, relay, life) => {
                self.probe(relay, server, at, sent, todo);
            }
            Ev::Tells { relay, life, watch } if alive(self, relay, life) => self.tells(relay, watch, todo),
            Ev::Silent { relay, life, sess, conn } if alive(self, relay, life) => {
                self.silent(relay, sess, conn);
            }
            Ev::Transmission { from, to, transmission } => self.receive_transmission(from, to, transmission),
            Ev::PollViews => self.poll_views(),
            Ev::WantsOut { relay, stay } => self.wants_out(relay, stay),
            Ev::BringsBack { relay } => self.brings_back(relay),
            // Of a relay that has ended meanwhile.
            _ => {}
        }
        Ok(())
    }

    /// What the models want done.
    fn carry_out(&mut self, todo: &mut DriverActions) -> Result<(), String> {
        // Each call may bring news, so until there is none.
        while !todo.is_empty() {
            self.day.take_internal_events(self.now, todo);
            let (told, does) =
                (std::mem::take(&mut todo.server_events), std::mem::take(&mut todo.client_actions));
            let commands = std::mem::take(&mut todo.relay_commands);
            self.schedule_arrivals(std::mem::take(&mut todo.arrivals));
            let (news, down) = (std::mem::take(&mut todo.list_changed), todo.discovery_down.take());
            told.into_iter().for_each(|one| self.told(one, todo));
            does.into_iter().for_each(|one| self.does(one));
            if let Some(down) = down {
                self.list_down = down;
                if down {
                    self.break_watches();
                }
            }
            if news {
                self.list_news();
            }
            for RelayCommand { relay, action: deed } in commands {
                match deed {
                    RelayAction::Kill => self.ends(relay),
                    RelayAction::Stop => {
                        self.day.membership_audit.process_changed(self.now, relay, ProcessState::Stopping);
                        self.day.clients.set_relay_serving(self.now, relay, false);
                        self.step(relay, Event::StopRequested);
                    }
                    RelayAction::Start => {
                        self.ends(relay);
                        self.starts(relay)?;
                    }
                    RelayAction::RequestLease(stay) => self.wants_out(relay, stay),
                    RelayAction::Stall => self.stall(relay),
                    RelayAction::Resume => self.wake(relay),
                    // A virtual relay is one process all its life: sessions and member go on as they are.
                    RelayAction::Replace => {}
                    RelayAction::Reload => {
                        let mut node = self.node(relay, 0)?;
                        node.discovery.set_port(3);
                        self.step(relay, Event::ConfigurationReloaded(Box::new(node)));
                    }
                }
            }
        }
        Ok(())
    }

    /// What a relay's reducer asks for, as its tasks would carry it out.
    fn effects(&mut self, relay: usize, effects: Vec<Effect>) {
        let (way, client_way) = (self.way(), self.client_way());
        let life = self.relays[relay].life;
        for effect in effects {
            match effect {
                Effect::StartTimer { after, timer: alarm } => {
                    self.later(after, Ev::Alarm { relay, life, alarm })
                }
                Effect::Dial { session_id: sess, dial, addr, timeout: wait, .. } => {
                    self.dial(relay, sess, dial, addr, wait)
                }
                Effect::StartProxying { session_id: sess } => {
                    let Some(line) = self.relays[relay].lines.get_mut(&sess) else { continue };
                    line.open = true;
                    let (mark, receipt) = (line.mark, line.conn.unwrap_or(0));
                    if let Some(conn) = line.conn {
                        self.dials.entry(conn).and_modify(|d| d.up = true);
                    }
                    self.later(client_way, Ev::Client { mark, heard: ClientEvent::Established, receipt });
                    self.may_be_silent(relay, sess);
                }
                Effect::Reject { session_id: sess, retry_after } => {
                    self.last(relay, sess, ClientEvent::Rejected(retry_after))
                }
                Effect::TearDown { session_id: sess }
                | Effect::ReportProtocolError { connection_id: sess } => {
                    self.last(relay, sess, ClientEvent::Failed);
                }
                Effect::ShedConnection { connection_id: conn } => {
                    self.last(relay, conn, ClientEvent::Rejected(0))
                }
                Effect::CloseClient { session_id: sess } => self.last(relay, sess, ClientEvent::Closed),
                Effect::Migrate { session_id: sess } => {
                    let Some(line) = self.relays[relay].lines.get_mut(&sess) else { continue };
                    (line.open, line.over) = (false, true);
                    let (mark, conn) = (line.mark, line.conn.take());
                    if let Some(conn) = conn {
                        self.later(way, Ev::Closed { conn });
                    }
                    let end = DialEnd::Recalled;
                    self.tell(relay, 0, Event::SessionEnded { session_id: sess, end, report: None });
                    self.later(client_way, Ev::Client { mark, heard: ClientEvent::Migrated, receipt: 0 });
                }
                Effect::SetSuspect { session_id: sess, suspect: doubted } => {
                    if let Some(line) = self.relays[relay].lines.get_mut(&sess) {
                        line.doubted = doubted;
                    }
                    self.may_be_silent(relay, sess);
                }
                Effect::HealthCheck { server, addr } => {
                    let (at, sent) = (server_at(addr), self.now);
                    self.later(way, Ev::Probe { relay, life, server, at, sent });
                }
                Effect::WatchEndpoints { watch, since, .. } => {
                    if self.day.list_cut[relay] {
                        let silent = self.relays[relay].limits.discovery_first;
                        self.day.audit.list_call_failed(relay);
                        self.tell(relay, silent, Event::EndpointWatchFailed { watch });
                    } else if self.list_down {
                        self.day.audit.list_call_failed(relay);
                        self.tell(relay, 2 * way, Event::EndpointWatchFailed { watch });
                    } else {
                        let w = Watch { id: watch, since, speaks: false };
                        self.relays[relay].watches.push(w);
                        self.later(2 * way, Ev::Tells { relay, life, watch });
                    }
                }
                Effect::StopWatch { watch } => self.relays[relay].watches.retain(|w| w.id != watch),
                Effect::Exit => self.exits(relay),
                Effect::Reply { call, reply } => self.replied(relay, call, &reply),
                Effect::Pong { .. } | Effect::RejectPing { .. } => {}
                Effect::Membership(effect) => self.carry_out_membership(relay, effect),
                Effect::Persist { record, .. } => self.persist(relay, record),
                Effect::PersistVoterWrites { voter_start: life, number, records } => {
                    records.into_iter().for_each(|one| self.persist(relay, one));
                    // A sync of a disk takes some milliseconds.
                    const SYNC: Micros = 2_000;
                    self.tell(relay, SYNC, Event::VoterWritesDurable { voter_start: life, number });
                }
                // A virtual relay is one process all its life, and its store is its own.
                Effect::SetStoreOwnership { .. } => {}
                Effect::ForgetServer { .. } | Effect::KeyUnchanged { .. } | Effect::ApplyTuning { .. } => {}
                // A virtual relay is one process all its life, and nobody waits at its socket.
                Effect::SetAccepting { .. }
                | Effect::SetTakeoverListener { .. }
                | Effect::Log { .. }
                | Effect::SetDraining { .. } => {}
                Effect::SendToProcess { .. }
                | Effect::DisconnectProcess { .. }
                | Effect::HandOverSession { .. }
                | Effect::Abort { .. } => {}
            }
        }
    }

    fn persist(&mut self, relay: usize, record: Record) {
        let key = (record.kind.number(), record.name);
        let all = &mut self.relays[relay].stored_records;
        match record.bytes {
            Some(bytes) => _ = all.insert(key, bytes),
            None => _ = all.remove(&key),
        }
    }

    fn probe(&mut self, relay: usize, server: ServerId, at: usize, sent: Micros, todo: &mut DriverActions) {
        let (way, limit) = (self.way(), self.relays[relay].limits.probe);
        let (after, end, report) = match self.day.servers.reachability(at, relay) {
            Reachability::Refused => (way, DialEnd::Unconnected, None),
            Reachability::Unresponsive => ((sent + limit).saturating_sub(self.now), DialEnd::Timeout, None),
            Reachability::Open => {
                let (done, figures) =
                    self.day.servers.answer_probe(self.now, at, relay, &mut todo.server_events);
                if done + way > sent + limit {
                    ((sent + limit).saturating_sub(self.now), DialEnd::Timeout, None)
                } else {
                    (done + way - self.now, DialEnd::Ok, Some(figures.report()))
                }
            }
        };
        self.tell(relay, after, Event::HealthCheckEnded { server, end, report });
    }
}
