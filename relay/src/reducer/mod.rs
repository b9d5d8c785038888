//! The one place where the relay's state changes: `step` takes an event and appends effects. It hands the
//! decision module its inputs and turns its effects into reading, writing, dialling and timers, which tasks
//! carry out. It reads no clock and no socket, and decides nothing that the module decides.
mod control;
mod coordination;
mod disruption_status;
mod drain_requests;
mod duty;
mod events;
mod evidence;
mod excluded_backends;
mod figures;
mod hearsay;
mod keep;
mod leader_review;
mod membership;
mod outcome_counts;
mod place;
mod rollout;
mod servers;
mod sessions;
mod voter;
mod voter_host;
mod watch;

pub use drain_requests::DrainRequest;
pub use duty::Word;
pub use events::{Effect, Event, OperatorReply, OperatorRequest, Timer};
pub use figures::{Figures, Outcomes};
pub use membership::MembershipMetrics;

use duty::{Duty, Sign};
use hallrelay_balancer::types::{self as module, Asked, DialEnd, Input, Micros, ServerId, SessId};
use hallrelay_balancer::Relay;
use hallrelay_config::list::{Instance, List};
use hallrelay_config::node::Node;
use hallrelay_disruption::SessionCounts;
use hallrelay_hot_restart::place::{self as handover, Peer, Place};
use hallrelay_membership::Membership;
use hallrelay_recovery::Stored;
use hallrelay_store::writer::Health;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Admit,
    Dial,
    Pass,
    /// Told to move; ends with its backend's connection.
    Moving,
    /// On its way to another process.
    Passing,
}

/// A line for the log.
fn note(what: impl Into<String>, out: &mut Vec<Effect>) {
    out.push(Effect::Log { what: what.into() });
}

impl Stage {
    /// For its answer.
    fn waits(self) -> bool {
        matches!(self, Stage::Admit | Stage::Dial)
    }
}

struct Sess {
    id: u64,
    /// The name of its listener, as it was when it came.
    listener: Rc<str>,
    asked: Asked,
    stage: Stage,
    server: Option<ServerId>,
    dials: u32,
    due: Micros,
    /// When its backend told a figure last.
    told: Option<Micros>,
    /// A connection that stood before this relay started: not the module's until it is up.
    standing: bool,
}

struct Server {
    /// As the list told it last.
    told: Instance,
    /// When it started, by this process' clock; 0 is long ago.
    started: Micros,
    probing: bool,
    /// Probes in a row without any answer.
    misses: u32,
    /// Connections in a row that were not made.
    refused: u32,
    delay: Delay,
    /// Of sessions that came to an answer there since the last report.
    session_counts: SessionCounts,
}

impl Server {
    /// Whether it has started so short a time ago that it warms up still.
    fn is_cold(&self, now: Micros, warm_up: Micros) -> bool {
        self.started > 0 && now < self.started.saturating_add(warm_up)
    }
}

/// What the module was told of a server's message delays.
#[derive(Default)]
struct Delay {
    told: Option<Micros>,
    over: bool,
}

/// The watch on the list that was asked for last, and those before it that may still tell something.
#[derive(Default)]
struct Watch {
    last: u32,
    out: bool,
    /// The one that spoke last, or was out before a new one was asked for: kept until the new one speaks.
    before: Option<u32>,
}

pub struct Reducer {
    node: Node,
    module: Relay,
    now: Micros,
    sessions: BTreeMap<SessId, Sess>,
    /// The marks of all sessions: searched through the sessions, they took half of a large relay's time.
    marks: HashSet<u64>,
    servers: BTreeMap<ServerId, Server>,
    ids: BTreeMap<String, ServerId>,
    /// Servers that nothing new may be sent to, as the tasks were told.
    leaving: BTreeSet<ServerId>,
    /// The version that was heard last; none from a discovery that has not told one yet.
    generation: Option<u64>,
    watch: Watch,
    /// Clients' connections that are no session: their first line is awaited, or their last one is out. The
    /// one that did something last first, and whether a part of a line is there. Sessions and these are all
    /// connections that have a place.
    aside: VecDeque<(SessId, bool)>,
    /// Connections that wait for a `PONG`.
    pings: Vec<SessId>,
    duty: Duty,
    /// Since when, and the how-manieth it is.
    since: Micros,
    round: u32,
    /// Thousandths of a session that are to be moved still.
    owed: usize,
    figures: Figures,
    place: Place,
    membership: Option<Membership>,
    /// What the store held, till the start has gone by it; how the store does.
    stored: Option<Box<Stored>>,
    store: Option<Box<Health>>,
    /// Disruptions coordinated across the fleet; none where no voters are configured.
    coordination: Option<Box<coordination::Coordination>>,
    /// This relay's own sessions as of its last report.
    reported_counts: SessionCounts,
    /// When discovery spoke last in this life, and before that; how often others told of the list before it
    /// did.
    spoken: Option<Micros>,
    spoken_before: Option<Micros>,
    hearsay: u32,
    /// One of those had heard it of discovery itself.
    informed: bool,
    /// Servers that discovery called gone, and which life of theirs.
    gone: BTreeMap<String, Micros>,
    spell: evidence::Spell,
    /// What the process before this one holds still: connections, and sessions among them.
    shared: (usize, u32),
    /// Marks of sessions there.
    their_marks: HashSet<u64>,
    /// What the process after this one was told that is held here, in the same terms.
    held: (u32, u32),
    asks: Vec<module::Effect>,
}

impl Reducer {
    /// `before`: the process whose place this one is to take, where there is one.
    pub fn new(node: Node, before: Option<Peer>) -> Reducer {
        Reducer {
            place: Place::new(&node.name, &node.listen.to_string(), before),
            shared: (0, 0),
            their_marks: HashSet::new(),
            held: (0, 0),
            module: Relay::new(node.site.facts.clone(), node.seed),
            figures: Figures::of(&node.site.listeners),
            membership: None,
            stored: None,
            store: None,
            coordination: None,
            reported_counts: SessionCounts::default(),
            spoken: None,
            spoken_before: None,
            hearsay: 0,
            informed: false,
            gone: BTreeMap::new(),
            spell: Default::default(),
            node,
            now: 0,
            sessions: BTreeMap::new(),
            marks: HashSet::new(),
            servers: BTreeMap::new(),
            ids: BTreeMap::new(),
            leaving: BTreeSet::new(),
            generation: None,
            watch: Watch::default(),
            aside: VecDeque::new(),
            pings: Vec::new(),
            duty: if before.is_some() { Duty::Waiting } else { Duty::default() },
            since: 0,
            round: 0,
            owed: 0,
            asks: Vec::new(),
        }
    }

    /// Begins with the list as this relay last had it.
    pub fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.now = now;
        self.coordination = self.configured_coordination();
        let stored = self.stored.take();
        self.start_voter(stored.as_deref(), out);
        self.start_review(out);
        let recovered = stored.map(|stored| self.recovered(now, &stored, out)).unwrap_or_default();
        let stored = (!recovered.list.instances.is_empty()).then(|| recovered.list.clone());
        let known = stored.unwrap_or(List { whole: true, ..self.node.known.clone() });
        self.generation = Some(known.generation);
        let start = now.max(recovered.start);
        self.membership = membership::new_membership(&self.node, start);
        self.list(known, out);
        self.remember_turns(&recovered, out);
        if self.place.before().is_none() {
            self.keep_own(start, out);
            self.begin_to_ask(out);
        }
        // Where the module counts on being told unasked, the watch that tells it is the program's own.
        if !self.node.site.facts.must_watch {
            self.ask_list(out);
        }
        self.begin(out);
    }

    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = now;
        match event {
            Event::ClientConnected { conn } => self.came(conn, out),
            Event::FirstLineStarted { conn } => self.stirred(conn),
            Event::ProtocolViolation { conn } => self.odd(conn, out),
            Event::Ping { conn } => {
                self.pings.push(conn);
                self.pong(out);
            }
            Event::SessionRequested { sess, open, left } => self.opened(sess, open, left, out),
            Event::ClientDisconnected { sess } => {
                self.left(sess, out);
                self.aside.retain(|one| one.0 != sess);
                self.pings.retain(|conn| *conn != sess);
            }
            Event::ClientHalfClosed { sess } => self.departed(sess, out),
            Event::FirstLineForwarded => self.figures.tries += 1,
            Event::SessionEstablished { sess, dial } if self.current(sess, dial) => self.up(sess, dial, out),
            Event::DialEnded { sess, dial, end, report } if self.current(sess, dial) => {
                self.dial_ended(sess, dial, end, report, out);
            }
            Event::DialNotStarted { sess, dial } if self.current(sess, dial) => {
                self.not_begun(sess, dial, out)
            }
            Event::SessionEnded { sess, end, report } => {
                let Some(s) = self.over(sess) else { return };
                let dial = s.dials.saturating_sub(1);
                if end == DialEnd::Reset {
                    self.count_outcome(s.server, end);
                }
                self.tell(Input::DialEnded { sess, dial, end, settled: true, report }, out);
            }
            Event::LoadReported { sess, load } if self.passing(sess) => self.load(sess, load, out),
            Event::MessageLatency { sess, time } if self.passing(sess) => self.took(sess, time, out),
            Event::HealthCheckEnded { server, end, report } => {
                self.probed(server, end, out);
                self.tell(Input::Probed { server, end, report }, out);
            }
            Event::EndpointListReceived { watch, list } => self.heard(watch, list, out),
            Event::EndpointWatchFailed { watch } => self.list_broken(watch, out),
            Event::ConfigurationReloaded(node) => {
                self.figures.loads += 1;
                self.reload(*node, out);
            }
            Event::ConfigurationRejected => self.figures.load_errors += 1,
            Event::OperatorCall { call, what } => self.called(call, what, out),
            Event::VoterWritesDurable { life, number } => self.raft_written(life, number, out),
            Event::StoreReopened(stored) => self.start_voter(Some(&stored), out),
            Event::SessionHandedOver { sess } => self.left(sess, out),
            Event::SessionHandoverFailed { sess } => self.stays(sess),
            Event::SessionAdopted { sess, session } => self.inherited(sess, *session, out),
            Event::HotRestart(event) => self.placed(event, out),
            Event::Membership(event) => self.step_membership(event, out),
            Event::StoreHealth(health) => self.store = Some(health),
            Event::Timer(alarm) => self.alarm(alarm, out),
            Event::StopRequested => _ = self.turn(Sign::Stop, out),
            // Of a dial or a session that is over.
            Event::SessionEstablished { .. }
            | Event::DialEnded { .. }
            | Event::DialNotStarted { .. }
            | Event::LoadReported { .. }
            | Event::MessageLatency { .. } => {}
        }
    }

    fn tell(&mut self, input: Input, out: &mut Vec<Effect>) {
        let mut asks = std::mem::take(&mut self.asks);
        self.module.step(self.now, input, &mut asks);
        asks.drain(..).for_each(|ask| self.carry(ask, out));
        self.asks = asks;
    }

    /// What the module asks for, in the program's own effects.
    fn carry(&mut self, ask: module::Effect, out: &mut Vec<Effect>) {
        match ask {
            module::Effect::Dial { sess, server, wait, window } => {
                let Some(s) = self.sessions.get_mut(&sess) else { return };
                (s.stage, s.server, s.dials) = (Stage::Dial, Some(server), s.dials + 1);
                let dial = s.dials - 1;
                if let Some(addr) = self.servers.get(&server).map(|v| v.told.addr) {
                    self.keep_turn(server, sess, out);
                    let begin = self.node.limits.connect.min(window.unwrap_or(Micros::MAX));
                    return out.push(Effect::Dial { sess, dial, server: Some(server), addr, wait, begin });
                }
                let end = DialEnd::Unconnected;
                self.tell(Input::DialEnded { sess, dial, end, settled: false, report: None }, out);
            }
            module::Effect::Refuse { sess, retry_after } => {
                self.answer(sess, Effect::Reject { sess, retry_after }, out);
            }
            module::Effect::TearDown { sess } => self.answer(sess, Effect::TearDown { sess }, out),
            module::Effect::Move { sess } => self.move_on(sess, out),
            module::Effect::Probe { server } => {
                let Some(v) = self.servers.get_mut(&server) else { return };
                v.probing = true;
                out.push(Effect::HealthCheck { server, addr: v.told.addr });
            }
            module::Effect::Alarm { after, label } => {
                out.push(Effect::StartTimer { after, alarm: Timer::Balancer(label) });
            }
            module::Effect::Watch => self.ask_list(out),
        }
    }

    fn alarm(&mut self, alarm: Timer, out: &mut Vec<Effect>) {
        match alarm {
            Timer::Balancer(label) => self.tell(Input::Alarm { label }, out),
            Timer::RedialPreExisting(sess) => self.again(sess, out),
            Timer::AnswerDeadline(sess) => {
                // Dials end and the module answers before this; it guards against a task that does neither.
                if self.sessions.get(&sess).is_some_and(|s| s.stage.waits()) {
                    self.lapse(sess, out);
                }
            }
            Timer::MigrateBatch(round) if round == self.round => self.empty(out),
            Timer::MigrateBatch(_) => {}
            Timer::HandoverOffer(peer) => self.placed(handover::Event::Due { peer }, out),
            Timer::HandoverProgress => self.holding(out),
            Timer::Membership => self.membership_timer_expired(out),
            Timer::RequestEndpointList => self.ask_list(out),
            Timer::PollPeers => self.recall(out),
            Timer::Voter(alarm, round) => self.raft_timer(alarm, round, out),
            Timer::LeaderReview => self.review(out),
            Timer::PendingRequest(ops) => self.retry_request(ops, out),
        }
    }
}
