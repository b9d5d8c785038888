//! The one place where the relay's state changes: `step` takes an event and appends effects. It hands the
//! decision module its inputs and turns its effects into reading, writing, dialling and timers, which tasks
//! carry out. It reads no clock and no socket, and decides nothing that the module decides.
mod agreed;
mod duty;
mod evidence;
mod figures;
mod fleet;
mod hearsay;
mod keep;
mod look;
mod place;
mod release;
mod servers;
mod sessions;
mod shut;
mod watch;
mod wish;

pub use duty::Word;
pub use figures::{Figures, Outcomes};
pub use fleet::FleetFigures;
pub use wish::Want;

use crate::lines::Open;
use duty::{Duty, Sign};
use hallrelay::logic::Relay;
use hallrelay::types::{self as module, Asked, DialEnd, Input, Micros, Report, ServerId, SessId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_config::list::{Instance, List};
use hallrelay_config::node::Node;
use hallrelay_fleet::status::Status;
use hallrelay_fleet::Membership;
use hallrelay_grants::judge::Tally;
use hallrelay_grants::Command;
use hallrelay_handover::place::{self as handover, Peer, Place};
use hallrelay_handover::{Message, Session};
use hallrelay_recovery::{Kept, Stored};
use hallrelay_store::writer::Health;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

/// What an operator may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    Ready,
    Figures,
    Fleet,
    /// What is agreed across the fleet.
    Grants,
    /// This relay, or a server for the whole fleet.
    Drain(Box<Want>),
    Activate,
    /// A command that is to be agreed as it stands: back, freed, of a release; and in words.
    Agree {
        command: Box<Command>,
        words: String,
    },
    /// How the release stands.
    Release,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Yes(Word),
    /// No, not now, with a word why.
    No(Word),
    /// What was asked for can't be, as things stand.
    Conflict(Word),
    /// Not by what is agreed across the fleet; why.
    Held(String),
    /// Agreed; what.
    Said(String),
    /// What is agreed, as JSON; none where nothing is.
    Grants(Option<String>),
    Figures(Box<Figures>),
    /// What this relay believes of its fleet; none where it is told of none.
    Fleet(Option<Box<Status>>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has connected.
    Came {
        conn: SessId,
    },
    /// A part of a first line has come.
    Stirred {
        conn: SessId,
    },
    /// A connection asks whether this relay is able to serve.
    Ping {
        conn: SessId,
    },
    /// A client's first line, and what is left of its dial timeout.
    Opened {
        sess: SessId,
        open: Open,
        left: Micros,
    },
    /// What a connection sends is not of the protocol, or it sends nothing.
    Odd {
        conn: SessId,
    },
    /// The client's connection is over.
    Gone {
        sess: SessId,
    },
    /// A dial's line is written whole.
    Written,
    Up {
        sess: SessId,
        dial: u32,
    },
    DialEnded {
        sess: SessId,
        dial: u32,
        end: DialEnd,
        report: Option<Report>,
    },
    /// An open session ended at its backend's side.
    Ended {
        sess: SessId,
        end: DialEnd,
        report: Option<Report>,
    },
    Load {
        sess: SessId,
        load: f64,
    },
    /// A message of an open session took this long.
    Took {
        sess: SessId,
        time: Micros,
    },
    Probed {
        server: ServerId,
        end: DialEnd,
        report: Option<Report>,
    },
    List {
        watch: u32,
        list: List,
    },
    ListBroken {
        watch: u32,
    },
    /// The configuration as it stands now, whole and checked.
    Reload(Box<Node>),
    /// A configuration that is not used, since something in it is wrong.
    Unfit,
    /// An operator's call.
    Called {
        call: u32,
        what: Call,
    },
    /// Another process has this one's session, or could not take it.
    Passed {
        sess: SessId,
    },
    Stays {
        sess: SessId,
    },
    /// This one has a session of the process before it.
    Inherited {
        sess: SessId,
        session: Box<Session>,
    },
    /// Something came from the process before or after this one.
    Place(handover::Event),
    /// Something came from another relay.
    Fleet(hallrelay_fleet::Event),
    /// What was to be written for a life of the voter is on the disk, up to a number.
    Vowed {
        life: u32,
        number: u64,
    },
    /// The store is this process's by now: what it held.
    Reopened(Box<Stored>),
    /// How the store does, as it changes.
    Store(Box<Health>),
    Alarm(Alarm),
    Stop,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Alarm {
    Module(u32),
    /// The answer is due.
    Due(SessId),
    /// A standing connection is dialled again.
    Again(SessId),
    /// Sessions are moved while the relay stops or drains; of the how-manieth time that it does so.
    Emptying(u32),
    /// An offered place was not taken.
    Offered(Peer),
    /// The process that took this one's place is told what is held here still.
    Holding,
    /// Something of membership is due.
    Fleet,
    /// Of the voter, and of which round.
    Agreed(hallrelay_agreement::Alarm, u32),
    /// What is seen of the fleet goes to the leader, or into the log.
    Look,
    /// A wish of an operator's call.
    Wish(u32),
    /// Others are asked for the list, if discovery has not spoken by now.
    Recall,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Pong {
        conn: SessId,
    },
    /// A `PING` is told no.
    Deny {
        conn: SessId,
    },
    Reply {
        call: u32,
        reply: Reply,
    },
    Dial {
        sess: SessId,
        dial: u32,
        addr: SocketAddr,
        wait: Micros,
    },
    /// From here on lines pass both ways.
    Pass {
        sess: SessId,
    },
    /// The final answers that no backend gave.
    Refuse {
        sess: SessId,
        retry_after: Micros,
    },
    TearDown {
        sess: SessId,
    },
    Move {
        sess: SessId,
    },
    /// Another process goes on with it.
    PassOn {
        sess: SessId,
        peer: Peer,
        session: Box<Session>,
    },
    /// An error for what is not of the protocol.
    Spurn {
        conn: SessId,
    },
    /// Ends a connection that is no session, for the place that it takes.
    Shed {
        conn: SessId,
    },
    /// The session's backend answers no probes: its silence tells sooner, till it answers again.
    Doubt {
        sess: SessId,
        doubted: bool,
    },
    /// Ends the connection without a word.
    Close {
        sess: SessId,
    },
    Probe {
        server: ServerId,
        addr: SocketAddr,
    },
    Forget {
        server: ServerId,
    },
    /// Watches the list from a version on, or asks for the whole of it first.
    Watch {
        watch: u32,
        addr: SocketAddr,
        since: Option<u64>,
    },
    Unwatch {
        watch: u32,
    },
    /// Connections are taken, or are left to another process.
    Accept {
        on: bool,
    },
    /// What is said to another process, and the end of it.
    Tell {
        peer: Peer,
        message: Message,
    },
    Part {
        peer: Peer,
    },
    /// Other processes may come to take this one's place, or no more.
    Door {
        open: bool,
    },
    /// A fact goes to the store; the dial of a session may go once it is written, or that takes too long.
    Keep {
        kept: Kept,
        before: Option<SessId>,
    },
    /// What a voter promises: it is told as all of it is on the disk.
    Vow {
        life: u32,
        number: u64,
        kept: Vec<Kept>,
    },
    /// The store is this process's, or another's.
    Keeping {
        on: bool,
    },
    /// What goes to other relays.
    Fleet(hallrelay_fleet::Effect),
    Note {
        what: String,
    },
    /// The process ends with a complaint.
    GiveUp {
        why: String,
    },
    /// What tasks go by from now on.
    Tuned {
        limits: Box<Limits>,
        order: ReportOrder,
    },
    /// A key of a new configuration that can't change while the program runs.
    Kept {
        key: &'static str,
    },
    Alarm {
        after: Micros,
        alarm: Alarm,
    },
    Exit,
}

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
    out.push(Effect::Note { what: what.into() });
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
    probing: bool,
    /// Probes in a row without any answer.
    misses: u32,
    /// Connections in a row that were not made.
    refused: u32,
    delay: Delay,
    /// Sessions that came to an answer there since that was told.
    tally: Tally,
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
    fleet: Option<Membership>,
    /// What the store held, till the start has gone by it; how the store does.
    stored: Option<Box<Stored>>,
    store: Option<Box<Health>>,
    /// What is agreed across the fleet; none where nothing is.
    agreed: Option<Box<agreed::Agreed>>,
    /// What was told of this relay's own sessions.
    tallied: Tally,
    /// When discovery spoke last in this life, and how often others told of the list before it did.
    spoken: Option<Micros>,
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
            fleet: None,
            stored: None,
            store: None,
            agreed: None,
            tallied: Tally::default(),
            spoken: None,
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
        let voters = self.node.fleet.as_ref().and_then(|fleet| fleet.voters.as_ref());
        let agreed = voters.map(|told| agreed::Agreed::new(&self.node.name, told, self.node.seed, now));
        self.agreed = agreed.map(Box::new);
        let stored = self.stored.take();
        self.begin_to_agree(stored.as_deref(), out);
        self.begin_to_look(out);
        let recovered = stored.map(|stored| self.recovered(now, &stored, out)).unwrap_or_default();
        let stored = (!recovered.list.instances.is_empty()).then(|| recovered.list.clone());
        let known = stored.unwrap_or(List { whole: true, ..self.node.known.clone() });
        self.generation = Some(known.generation);
        let start = now.max(recovered.start);
        self.fleet = fleet::membership(&self.node, start);
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
            Event::Came { conn } => self.came(conn, out),
            Event::Stirred { conn } => self.stirred(conn),
            Event::Odd { conn } => self.odd(conn, out),
            Event::Ping { conn } => {
                self.pings.push(conn);
                self.pong(out);
            }
            Event::Opened { sess, open, left } => self.opened(sess, open, left, out),
            Event::Gone { sess } => {
                self.left(sess, out);
                self.aside.retain(|one| one.0 != sess);
                self.pings.retain(|conn| *conn != sess);
            }
            Event::Written => self.figures.tries += 1,
            Event::Up { sess, dial } if self.current(sess, dial) => self.up(sess, dial, out),
            Event::DialEnded { sess, dial, end, report } if self.current(sess, dial) => {
                self.dial_ended(sess, dial, end, report, out);
            }
            Event::Ended { sess, end, report } => {
                let Some(s) = self.over(sess) else { return };
                let dial = s.dials.saturating_sub(1);
                if end == DialEnd::Reset {
                    self.counts(s.server, end);
                }
                self.tell(Input::DialEnded { sess, dial, end, settled: true, report }, out);
            }
            Event::Load { sess, load } if self.passing(sess) => self.load(sess, load, out),
            Event::Took { sess, time } if self.passing(sess) => self.took(sess, time, out),
            Event::Probed { server, end, report } => {
                self.probed(server, end, out);
                self.tell(Input::Probed { server, end, report }, out);
            }
            Event::List { watch, list } => self.heard(watch, list, out),
            Event::ListBroken { watch } => self.list_broken(watch, out),
            Event::Reload(node) => {
                self.figures.loads += 1;
                self.reload(*node, out);
            }
            Event::Unfit => self.figures.load_errors += 1,
            Event::Called { call, what } => self.called(call, what, out),
            Event::Vowed { life, number } => self.vowed(life, number, out),
            Event::Reopened(stored) => self.begin_to_agree(Some(&stored), out),
            Event::Passed { sess } => self.left(sess, out),
            Event::Stays { sess } => self.stays(sess),
            Event::Inherited { sess, session } => self.inherited(sess, *session, out),
            Event::Place(event) => self.placed(event, out),
            Event::Fleet(event) => self.fleet(event, out),
            Event::Store(health) => self.store = Some(health),
            Event::Alarm(alarm) => self.alarm(alarm, out),
            Event::Stop => _ = self.turn(Sign::Stop, out),
            // Of a dial or a session that is over.
            Event::Up { .. } | Event::DialEnded { .. } | Event::Load { .. } | Event::Took { .. } => {}
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
            module::Effect::Dial { sess, server, wait } => {
                let Some(s) = self.sessions.get_mut(&sess) else { return };
                (s.stage, s.server, s.dials) = (Stage::Dial, Some(server), s.dials + 1);
                let dial = s.dials - 1;
                if let Some(addr) = self.servers.get(&server).map(|v| v.told.addr) {
                    self.keep_turn(server, sess, out);
                    return out.push(Effect::Dial { sess, dial, addr, wait });
                }
                let end = DialEnd::Unconnected;
                self.tell(Input::DialEnded { sess, dial, end, settled: false, report: None }, out);
            }
            module::Effect::Refuse { sess, retry_after } => {
                self.answer(sess, Effect::Refuse { sess, retry_after }, out);
            }
            module::Effect::TearDown { sess } => self.answer(sess, Effect::TearDown { sess }, out),
            module::Effect::Move { sess } => self.move_on(sess, out),
            module::Effect::Probe { server } => {
                let Some(v) = self.servers.get_mut(&server) else { return };
                v.probing = true;
                out.push(Effect::Probe { server, addr: v.told.addr });
            }
            module::Effect::Alarm { after, label } => {
                out.push(Effect::Alarm { after, alarm: Alarm::Module(label) });
            }
            module::Effect::Watch => self.ask_list(out),
        }
    }

    fn alarm(&mut self, alarm: Alarm, out: &mut Vec<Effect>) {
        match alarm {
            Alarm::Module(label) => self.tell(Input::Alarm { label }, out),
            Alarm::Again(sess) => self.again(sess, out),
            Alarm::Due(sess) => {
                // Dials end and the module answers before this; it guards against a task that does neither.
                if self.sessions.get(&sess).is_some_and(|s| s.stage.waits()) {
                    self.lapse(sess, out);
                }
            }
            Alarm::Emptying(round) if round == self.round => self.empty(out),
            Alarm::Emptying(_) => {}
            Alarm::Offered(peer) => self.placed(handover::Event::Due { peer }, out),
            Alarm::Holding => self.holding(out),
            Alarm::Fleet => self.fleet_alarm(out),
            Alarm::Recall => self.recall(out),
            Alarm::Agreed(alarm, round) => self.agreed_alarm(alarm, round, out),
            Alarm::Look => self.look(out),
            Alarm::Wish(ops) => self.wish_again(ops, out),
        }
    }
}
