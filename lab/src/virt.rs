//! A day in virtual time: the relays' reducers with their modules, driven against the models without a
//! socket. One queue of events, one seed; the same seed gives the same day to the byte.
use hallrelay::types::{DialEnd, Micros, Phase, ServerId, SessId};
use hallrelay_config::limits::Limits;
use hallrelay_config::list::{Instance, List};
use hallrelay_config::node::{self as config, Node, Told as Given};
use hallrelay_config::scenario::{Fault, Scenario};
use hallrelay_emulator::audit::{Answer, DialOver};
use hallrelay_emulator::clients::{mix, Ask, Does, Heard};
use hallrelay_emulator::day::{Day, Todo};
use hallrelay_emulator::fleet::{ConnNo, Dialled, Reach, Told, Word};
use hallrelay_emulator::node::{self, Place};
use hallrelay_emulator::script::Deed;
use hallrelay_emulator::service::{Outcome, RelayFigures};
use hallrelay_emulator::tools::Queue;
use hallrelay_relay::lines::Open;
use hallrelay_relay::reducer::{Alarm, Effect, Event, Reducer};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// A relay's state machine: the reducer, or a test's faulty one.
pub trait Mind {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>);
    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>);
}

impl Mind for Reducer {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        Reducer::start(self, now, out);
    }
    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        Reducer::step(self, now, event, out);
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
        alarm: Alarm,
    },
    /// A client's first line comes to a relay, or its end does.
    Line(Box<Ask>),
    Gone {
        relay: usize,
        life: u32,
        sess: SessId,
    },
    Client {
        mark: u64,
        heard: Heard,
        receipt: u64,
    },
    /// A dial's line comes to its server.
    Dialled {
        conn: ConnNo,
    },
    TimesOut {
        relay: usize,
        life: u32,
        sess: SessId,
        dial: u32,
    },
    Closed {
        conn: ConnNo,
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
    /// A message that nobody answered.
    Silent {
        relay: usize,
        life: u32,
        sess: SessId,
        conn: ConnNo,
    },
}

/// A session as a relay's sockets have it.
struct Line {
    mark: u64,
    dials: u32,
    conn: Option<ConnNo>,
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
    ask: Dialled,
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
}

pub struct Virtual<'a> {
    day: Day,
    queue: Queue<Ev>,
    relays: Vec<Relay>,
    /// Looked up and never walked, as is what is asked.
    dials: HashMap<ConnNo, Dial>,
    asks: HashMap<u64, Ask>,
    next_conn: ConnNo,
    now: Micros,
    list_down: bool,
    maker: Maker<'a>,
    events: u64,
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
        queue: Queue::default(),
        relays: Vec::new(),
        dials: HashMap::new(),
        asks: HashMap::new(),
        next_conn: 0,
        now: BEGIN,
        list_down: false,
        maker,
        events: 0,
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
        });
    }
    for relay in 0..s.relays.count {
        v.starts(relay)?;
    }
    v.play(progress)
}

impl Virtual<'_> {
    fn node(&self, relay: usize, life: u32) -> Result<Node, String> {
        let place = Place {
            relay,
            listen: SocketAddr::from(([127, 0, 0, 1], 1)),
            discovery: SocketAddr::from(([127, 0, 0, 1], 2)),
            seed: mix(self.day.seed ^ (relay as u64) << 32 ^ u64::from(life) << 48),
        };
        let text = node::text(&self.day.s, &place, &self.day.fleet.book, |i| addr(i).to_string());
        config::parse(text.to_string().as_bytes(), &Given::default())
    }

    fn play(mut self, progress: &mut dyn FnMut(f64) -> bool) -> Result<Outcome, String> {
        let mut todo = Todo::default();
        let servers = self.day.fleet.len();
        self.day.clients.standing(self.now, servers, &mut todo.does);
        self.carry_out(&mut todo)?;
        let mut partial = None;
        // Often enough to look alive, seldom enough to cost nothing.
        const LOOK: Micros = 250_000;
        let mut look = self.now;
        loop {
            let next = self.queue.next().map_or(Micros::MAX, |at| at).min(self.day.next());
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
            if self.day.next() <= self.now {
                self.day.step(self.now, &mut todo);
                self.carry_out(&mut todo)?;
            }
            while let Some((_, event)) = self.queue.due(self.now) {
                self.events += 1;
                self.event(event, &mut todo)?;
                self.carry_out(&mut todo)?;
            }
        }
        self.now = self.now.max(self.day.end.min(self.now + 1));
        let relays = self.relays.iter().map(|r| RelayFigures { starts: r.starts, ..RelayFigures::default() });
        let mut outcome = self.day.outcome();
        (outcome.relays, outcome.partial, outcome.way) = (relays.collect(), partial, "virtual".to_string());
        Ok(outcome)
    }

    /// One way, in microseconds.
    fn way(&self) -> Micros {
        self.day.s.net.server_ms.us()
    }

    fn client_way(&self) -> Micros {
        self.day.s.net.client_ms.us()
    }

    fn later(&mut self, after: Micros, ev: Ev) {
        self.queue.at(self.now + after, ev);
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
        mind.start(self.now, &mut out);
        let known = self.day.fleet.book.whole();
        let r = &mut self.relays[relay];
        (r.mind, r.life, r.starts) = (Some(mind), life, r.starts + 1);
        (r.lines, r.marks) = (BTreeMap::new(), BTreeMap::new());
        r.watches.clear();
        r.known = known;
        self.day.audit.relay_starts(self.now, relay);
        self.day.clients.relay_is(self.now, relay, true);
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
        r.watches.clear();
        r.marks.clear();
        r.past.clear();
        let lines = std::mem::take(&mut r.lines);
        self.day.audit.relay_ends(relay);
        self.day.fleet.forgets(relay);
        self.day.clients.relay_is(self.now, relay, false);
        let (way, client_way) = (self.way(), self.client_way());
        for line in lines.into_values() {
            if let Some(conn) = line.conn {
                self.later(way, Ev::Closed { conn });
            }
            if !line.over {
                let heard = Heard::Closed;
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
                self.day.audit.cut_off(self.now, mark);
            } else {
                self.day.audit.answered(self.now, mark, &Answer::Closed);
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

    fn event(&mut self, event: Ev, todo: &mut Todo) -> Result<(), String> {
        let alive = |v: &Self, relay: usize, life: u32| v.relays[relay].life == life;
        match event {
            Ev::Relay { relay, life, event } if alive(self, relay, life) => {
                // An open session that its relay has seen the end of has no connection any more.
                if let Event::Ended { sess, .. } = &*event {
                    if let Some(line) = self.relays[relay].lines.get_mut(sess) {
                        (line.open, line.conn) = (false, None);
                    }
                }
                self.step(relay, *event);
            }
            Ev::Alarm { relay, life, alarm } if alive(self, relay, life) => {
                self.step(relay, Event::Alarm(alarm));
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
                    self.step(relay, Event::DialEnded { sess, dial, end, report: None });
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
            // Of a relay that has ended meanwhile.
            _ => {}
        }
        Ok(())
    }

    /// What the models want done.
    fn carry_out(&mut self, todo: &mut Todo) -> Result<(), String> {
        // Each call may bring news, so until there is none.
        while !todo.is_empty() {
            self.day.sort(self.now, todo);
            let (told, does) = (std::mem::take(&mut todo.told), std::mem::take(&mut todo.does));
            let deeds = std::mem::take(&mut todo.deeds);
            let (news, down) = (std::mem::take(&mut todo.list_news), todo.list_down.take());
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
            for (relay, deed) in deeds {
                match deed {
                    Deed::Kill => self.ends(relay),
                    Deed::Stop => {
                        self.day.clients.relay_is(self.now, relay, false);
                        self.step(relay, Event::Stop);
                    }
                    Deed::Start => {
                        self.ends(relay);
                        self.starts(relay)?;
                    }
                    Deed::Reload => {
                        let mut node = self.node(relay, 0)?;
                        node.discovery.set_port(3);
                        self.step(relay, Event::Reload(Box::new(node)));
                    }
                }
            }
        }
        Ok(())
    }

    fn does(&mut self, does: Does) {
        let way = self.client_way();
        match does {
            Does::Opens(ask) => {
                self.asks.insert(ask.mark, ask.clone());
                self.later(way, Ev::Line(Box::new(ask)));
            }
            Does::Leaves { mark } => {
                self.day.audit.left(self.now, mark);
                let Some(ask) = self.asks.remove(&mark) else { return };
                let r = &self.relays[ask.relay];
                if let Some(&sess) = r.marks.get(&mark) {
                    let (relay, life) = (ask.relay, r.life);
                    self.later(way, Ev::Gone { relay, life, sess });
                }
            }
        }
    }

    /// A client's line comes to its relay.
    fn line(&mut self, ask: Ask) {
        let relay = ask.relay;
        if !self.asks.contains_key(&ask.mark) {
            return; // left on the way
        }
        if self.relays[relay].mind.is_none() {
            return self.client(ask.mark, Heard::Unreached, 0);
        }
        let sent = self.now - self.client_way();
        self.day.audit.asked(sent, ask.mark, relay, ask.listener, ask.wait, ask.at.is_some());
        let r = &mut self.relays[relay];
        r.last = r.last.wrapping_add(1);
        let sess = r.last;
        let mark = ask.mark;
        r.marks.insert(mark, sess);
        let line = Line { mark, dials: 0, conn: None, open: false, doubted: false, over: false };
        r.lines.insert(sess, line);
        let margin = r.limits.answer_margin;
        let open = Open {
            id: mark,
            listener: self.day.s.listeners[ask.listener].name.clone(),
            key: ask.key,
            group: ask.group,
            returned: ask.again,
            wait_ms: ask.wait / 1000,
            at: ask.at.map(|server| self.day.fleet.book.plates[server].id.clone()),
            ..Open::default()
        };
        let left = ask.wait.saturating_sub(margin + self.client_way());
        self.step(relay, Event::Came { conn: sess });
        self.step(relay, Event::Opened { sess, open, left });
    }

    /// A client hears its last word, or `UP`.
    fn client(&mut self, mark: u64, heard: Heard, receipt: u64) {
        let answer = match heard {
            Heard::Up => Some(Answer::Up(receipt)),
            Heard::Busy(_) => Some(Answer::Busy),
            Heard::Failed => Some(Answer::Failed),
            Heard::Closed => Some(Answer::Closed),
            Heard::Moved | Heard::Bye | Heard::Unreached => None,
        };
        let open = heard != Heard::Up && self.is_open(mark);
        if let Some(answer) = answer.filter(|_| !open) {
            self.day.audit.answered(self.now, mark, &answer);
        }
        if !self.day.clients.is_there(mark) {
            return;
        }
        self.day.clients.heard(self.now, mark, heard);
        if heard != Heard::Up {
            self.day.audit.left(self.now, mark);
            if let Some(ask) = self.asks.remove(&mark) {
                let r = &self.relays[ask.relay];
                if let Some(&sess) = r.marks.get(&mark) {
                    let (relay, life) = (ask.relay, r.life);
                    let way = self.client_way();
                    self.later(way, Ev::Gone { relay, life, sess });
                }
            }
        }
    }

    /// Whether a client has had its `UP`.
    fn is_open(&self, mark: u64) -> bool {
        self.day.audit.is_up(mark)
    }

    /// A client's connection is over at its relay.
    fn gone(&mut self, relay: usize, sess: SessId) {
        let way = self.way();
        let Some(line) = self.relays[relay].lines.remove(&sess) else { return };
        self.relays[relay].marks.remove(&line.mark);
        self.relays[relay].past.insert(sess, line.mark);
        if let Some(conn) = line.conn {
            self.later(way, Ev::Closed { conn });
        }
        self.step(relay, Event::Gone { sess });
    }

    fn close_now(&mut self, conn: ConnNo, todo: &mut Todo) {
        let Some(dial) = self.dials.remove(&conn) else { return };
        if dial.there {
            self.day.fleet.closed(self.now, conn, &mut todo.told);
            self.day.audit.dial_over(self.now, dial.mark, dial.server, DialOver::Ran);
        }
    }

    /// What a relay's reducer asks for, as its tasks would carry it out.
    fn effects(&mut self, relay: usize, effects: Vec<Effect>) {
        let (way, client_way) = (self.way(), self.client_way());
        let life = self.relays[relay].life;
        for effect in effects {
            match effect {
                Effect::Alarm { after, alarm } => self.later(after, Ev::Alarm { relay, life, alarm }),
                Effect::Dial { sess, dial, addr, wait } => self.dial(relay, sess, dial, addr, wait),
                Effect::Pass { sess } => {
                    let Some(line) = self.relays[relay].lines.get_mut(&sess) else { continue };
                    line.open = true;
                    let (mark, receipt) = (line.mark, line.conn.unwrap_or(0));
                    if let Some(conn) = line.conn {
                        self.dials.entry(conn).and_modify(|d| d.up = true);
                    }
                    self.later(client_way, Ev::Client { mark, heard: Heard::Up, receipt });
                    self.may_be_silent(relay, sess);
                }
                Effect::Refuse { sess, retry_after } => self.last(relay, sess, Heard::Busy(retry_after)),
                Effect::TearDown { sess } | Effect::Spurn { conn: sess } => {
                    self.last(relay, sess, Heard::Failed);
                }
                Effect::Shed { conn } => self.last(relay, conn, Heard::Busy(0)),
                Effect::Close { sess } => self.last(relay, sess, Heard::Closed),
                Effect::Move { sess } => {
                    let Some(line) = self.relays[relay].lines.get_mut(&sess) else { continue };
                    (line.open, line.over) = (false, true);
                    let (mark, conn) = (line.mark, line.conn.take());
                    if let Some(conn) = conn {
                        self.later(way, Ev::Closed { conn });
                    }
                    let end = DialEnd::Recalled;
                    self.tell(relay, 0, Event::Ended { sess, end, report: None });
                    self.later(client_way, Ev::Client { mark, heard: Heard::Moved, receipt: 0 });
                }
                Effect::Doubt { sess, doubted } => {
                    if let Some(line) = self.relays[relay].lines.get_mut(&sess) {
                        line.doubted = doubted;
                    }
                    self.may_be_silent(relay, sess);
                }
                Effect::Probe { server, addr } => {
                    let (at, sent) = (server_at(addr), self.now);
                    self.later(way, Ev::Probe { relay, life, server, at, sent });
                }
                Effect::Watch { watch, since, .. } => {
                    if self.list_down {
                        self.day.audit.call_failed(relay);
                        self.tell(relay, 2 * way, Event::ListBroken { watch });
                    } else {
                        let w = Watch { id: watch, since, speaks: false };
                        self.relays[relay].watches.push(w);
                        self.later(2 * way, Ev::Tells { relay, life, watch });
                    }
                }
                Effect::Unwatch { watch } => self.relays[relay].watches.retain(|w| w.id != watch),
                Effect::Exit => self.exits(relay),
                Effect::Pong { .. } | Effect::Deny { .. } | Effect::Reply { .. } => {}
                Effect::Fleet(_) | Effect::Forget { .. } | Effect::Kept { .. } | Effect::Tuned { .. } => {}
                // A virtual relay is one process all its life, and nobody waits at its socket.
                Effect::Accept { .. } | Effect::Door { .. } | Effect::Note { .. } => {}
                Effect::Tell { .. } | Effect::Part { .. } | Effect::PassOn { .. } | Effect::GiveUp { .. } => {
                }
            }
        }
    }

    /// A session's last word from its relay; a dial that is out for it is given up.
    fn last(&mut self, relay: usize, sess: SessId, heard: Heard) {
        let (way, client_way) = (self.way(), self.client_way());
        let Some(line) = self.relays[relay].lines.get_mut(&sess) else { return };
        line.over = true;
        let (mark, conn) = (line.mark, line.conn.take());
        if let Some(conn) = conn {
            self.later(way, Ev::Closed { conn });
        }
        self.later(client_way, Ev::Client { mark, heard, receipt: 0 });
    }

    fn dial(&mut self, relay: usize, sess: SessId, dial: u32, addr: SocketAddr, wait: Micros) {
        let way = self.way();
        let (life, server) = (self.relays[relay].life, server_at(addr));
        let (connect, reach) = (self.relays[relay].limits.connect, self.day.fleet.reach(server, relay));
        let fault = if reach == Reach::Open { self.day.fleet.fault(server) } else { None };
        let r = &mut self.relays[relay];
        let mark = r.lines.get(&sess).map(|l| l.mark).or(r.past.get(&sess).copied());
        let Some(mark) = mark else { return };
        let never = Event::DialEnded { sess, dial, end: DialEnd::Unconnected, report: None };
        if let Some(line) = r.lines.get_mut(&sess) {
            line.dials = dial + 1;
        }
        match (reach, fault) {
            (Reach::Refused, _) | (_, Some(Fault::Refused)) => return self.tell(relay, 2 * way, never),
            (Reach::NeverUp, _) | (_, Some(Fault::NeverUp)) => {
                return self.tell(relay, wait.min(connect), never);
            }
            (Reach::Open, _) => {}
        }
        self.next_conn += 1;
        let conn = self.next_conn;
        if let Some(line) = self.relays[relay].lines.get_mut(&sess) {
            line.conn = Some(conn);
        }
        let mut asked = Dialled { server, relay, ..Dialled::default() };
        if let Some(ask) = self.asks.get(&mark) {
            (asked.listener, asked.key, asked.group) = (ask.listener, ask.key, ask.group);
            (asked.standing, asked.life) = (ask.at.is_some(), ask.bye);
        }
        let d = Dial { relay, life, sess, dial, mark, server, ask: asked, there: false, up: false, fault };
        self.dials.insert(conn, d);
        // There and back to connect, and there with the line.
        self.later(3 * way, Ev::Dialled { conn });
        self.later(wait, Ev::TimesOut { relay, life, sess, dial });
    }

    fn dialled(&mut self, conn: ConnNo, todo: &mut Todo) {
        let way = self.way();
        let Some(d) = self.dials.get_mut(&conn) else { return };
        let (relay, server, mark) = (d.relay, d.server, d.mark);
        let open = self.day.fleet.reach(server, relay) == Reach::Open;
        if !open || matches!(d.fault, Some(Fault::ResetBefore | Fault::ResetAfter)) {
            if open && d.fault == Some(Fault::ResetAfter) {
                self.day.audit.dialled(self.now, self.now, mark, server, relay);
                self.day.audit.dial_over(self.now, mark, server, DialOver::Ran);
            }
            return self.dial_ends(conn, way, DialEnd::Reset);
        }
        d.there = true;
        let (ask, fault) = (d.ask.clone(), d.fault);
        self.day.audit.dialled(self.now, self.now, mark, server, relay);
        if !matches!(fault, Some(Fault::Silence | Fault::HalfLine)) {
            self.day.fleet.dialled(self.now, conn, &ask, &mut todo.told);
        }
    }

    /// A dial ends before it is up.
    fn dial_ends(&mut self, conn: ConnNo, after: Micros, end: DialEnd) {
        let Some(d) = self.dials.remove(&conn) else { return };
        let r = &mut self.relays[d.relay];
        let Some(line) = r.lines.get_mut(&d.sess) else { return };
        if r.life == d.life && line.conn == Some(conn) {
            line.conn = None;
            let (sess, dial) = (d.sess, d.dial);
            self.tell(d.relay, after, Event::DialEnded { sess, dial, end, report: None });
        }
    }

    fn told(&mut self, told: Told, todo: &mut Todo) {
        let way = self.way();
        match told {
            Told::Word { conn, word } => self.word(conn, word),
            Told::Reset { conn } => {
                let Some(d) = self.dials.get(&conn) else { return };
                let (mark, server, up) = (d.mark, d.server, d.up);
                self.day.audit.dial_over(self.now, mark, server, DialOver::Ran);
                if up {
                    self.open_ends(conn, way, DialEnd::Reset);
                } else {
                    self.dial_ends(conn, way, DialEnd::Reset);
                }
            }
            Told::Reach { server } => {
                for relay in 0..self.relays.len() {
                    if self.day.fleet.reach(server, relay) != Reach::NeverUp {
                        continue;
                    }
                    let there = |conn: Option<ConnNo>| {
                        conn.and_then(|c| self.dials.get(&c)).is_some_and(|d| d.server == server)
                    };
                    let lines = self.relays[relay].lines.iter();
                    let open: Vec<SessId> =
                        lines.filter(|(_, l)| l.open && there(l.conn)).map(|(s, _)| *s).collect();
                    open.into_iter().for_each(|sess| self.may_be_silent(relay, sess));
                }
            }
            other => todo.told.push(other),
        }
    }

    /// A server's word comes to the relay.
    fn word(&mut self, conn: ConnNo, word: Word) {
        let way = self.way();
        let Some(d) = self.dials.get(&conn) else { return };
        let (relay, life, sess, dial, mark, server, up) =
            (d.relay, d.life, d.sess, d.dial, d.mark, d.server, d.up);
        let heard = self.day.fleet.speaks(server, relay);
        let alive = self.relays[relay].life == life;
        let mine = alive && self.relays[relay].lines.get(&sess).is_some_and(|l| l.conn == Some(conn));
        let over = match word {
            Word::Busy => Some(DialOver::Never),
            Word::Err | Word::Bye | Word::Move => Some(DialOver::Ran),
            Word::Up | Word::Load(_) => None,
        };
        if let Some(over) = over {
            self.day.audit.dial_over(self.now, mark, server, over);
        }
        if word == Word::Up {
            self.day.audit.up_said(self.now, mark, server, conn);
        }
        if !mine || !heard {
            return;
        }
        match word {
            Word::Up => self.tell(relay, way, Event::Up { sess, dial }),
            // Nine of ten lines: told at once, as a way of their own would change nothing but the time it takes.
            Word::Load(load) if up => self.step(relay, Event::Load { sess, load }),
            Word::Load(load) => self.tell(relay, way, Event::Load { sess, load }),
            Word::Busy => self.dial_ends(conn, way, DialEnd::Full),
            Word::Err => self.dial_ends(conn, way, DialEnd::Error),
            Word::Bye if up => self.open_ends(conn, way, DialEnd::Ok),
            Word::Move if up => self.open_ends(conn, way, DialEnd::Recalled),
            Word::Move => self.dial_ends(conn, way, DialEnd::Recalled),
            Word::Bye => {
                self.dial_ends(conn, way, DialEnd::Ok);
                let client_way = self.client_way();
                self.later(way + client_way, Ev::Client { mark, heard: Heard::Bye, receipt: 0 });
            }
        }
    }

    /// An open session ends at its server's side; its client hears why.
    fn open_ends(&mut self, conn: ConnNo, after: Micros, end: DialEnd) {
        let Some(d) = self.dials.remove(&conn) else { return };
        let client_way = self.client_way();
        let r = &mut self.relays[d.relay];
        let Some(line) = r.lines.get_mut(&d.sess) else { return };
        if r.life != d.life || line.conn != Some(conn) {
            return;
        }
        line.over = true;
        self.tell(d.relay, after, Event::Ended { sess: d.sess, end, report: None });
        let heard = if end == DialEnd::Ok { Heard::Bye } else { Heard::Moved };
        self.later(after + client_way, Ev::Client { mark: d.mark, heard, receipt: 0 });
    }

    fn probe(&mut self, relay: usize, server: ServerId, at: usize, sent: Micros, todo: &mut Todo) {
        let (way, limit) = (self.way(), self.relays[relay].limits.probe);
        let (after, end, report) = match self.day.fleet.reach(at, relay) {
            Reach::Refused => (way, DialEnd::Unconnected, None),
            Reach::NeverUp => ((sent + limit).saturating_sub(self.now), DialEnd::Timeout, None),
            Reach::Open => {
                let (done, figures) = self.day.fleet.probed(self.now, at, relay, &mut todo.told);
                if done + way > sent + limit {
                    ((sent + limit).saturating_sub(self.now), DialEnd::Timeout, None)
                } else {
                    (done + way - self.now, DialEnd::Ok, Some(figures.report()))
                }
            }
        };
        self.tell(relay, after, Event::Probed { server, end, report });
    }

    fn tells(&mut self, relay: usize, watch: u32, todo: &mut Todo) {
        let way = self.way();
        let book = &self.day.fleet.book;
        let Some(w) = self.relays[relay].watches.iter_mut().find(|w| w.id == watch) else { return };
        let servers = w.since.map_or_else(|| book.whole(), |since| book.since(since));
        let whole = w.since.is_none();
        (w.since, w.speaks) = (Some(book.generation), true);
        let instance = |&i: &usize| Instance {
            id: book.plates[i].id.clone(),
            addr: addr(i),
            zone: book.plates[i].zone.clone(),
            cell: book.plates[i].cell,
            phase: book.entry(i).phase,
            came_up: book.entry(i).came_up,
        };
        let instances = servers.iter().map(instance).collect();
        let list = List { generation: book.generation, whole, instances };
        if whole {
            // What a whole list leaves out is gone.
            let gone: Vec<usize> = (0..self.day.fleet.len())
                .filter(|&i| self.day.fleet.book.entry(i).phase == Phase::Gone)
                .collect();
            self.day.list_told(self.now, relay, &gone, &mut todo.told);
        }
        self.day.list_told(self.now, relay, &servers, &mut todo.told);
        self.tell(relay, way, Event::List { watch, list });
    }

    fn list_news(&mut self) {
        for relay in 0..self.relays.len() {
            let life = self.relays[relay].life;
            let speaking = self.relays[relay].watches.iter().filter(|w| w.speaks);
            let ids: Vec<u32> = speaking.map(|w| w.id).collect();
            ids.into_iter().for_each(|watch| self.later(0, Ev::Tells { relay, life, watch }));
        }
    }

    fn break_watches(&mut self) {
        let way = self.way();
        for relay in 0..self.relays.len() {
            for watch in std::mem::take(&mut self.relays[relay].watches) {
                self.day.audit.call_failed(relay);
                self.tell(relay, way, Event::ListBroken { watch: watch.id });
            }
        }
    }

    /// When an open session on a silent server will find out: a message of its own waits too long.
    fn may_be_silent(&mut self, relay: usize, sess: SessId) {
        let Some(line) = self.relays[relay].lines.get(&sess).filter(|l| l.open) else { return };
        let Some(conn) = line.conn else { return };
        let Some(d) = self.dials.get(&conn) else { return };
        if self.day.fleet.speaks(d.server, relay) {
            return;
        }
        let limits = &self.relays[relay].limits;
        let patience = if line.doubted { limits.probe } else { limits.silence };
        let period = self.day.s.clients.message_s.us();
        // Clients speak each period, at a moment of their own.
        let phase = mix(line.mark) % period;
        let next = self.now + (phase + period - self.now % period) % period;
        let life = self.relays[relay].life;
        // One that is doubted may have a message that waits already.
        let waits = if line.doubted { next.saturating_sub(period).max(self.now) } else { next };
        self.queue.at(waits + patience, Ev::Silent { relay, life, sess, conn });
    }

    fn silent(&mut self, relay: usize, sess: SessId, conn: ConnNo) {
        let Some(line) = self.relays[relay].lines.get(&sess) else { return };
        let Some(server) = self.dials.get(&conn).map(|d| d.server) else { return };
        if !line.open || line.conn != Some(conn) || self.day.fleet.speaks(server, relay) {
            return;
        }
        let (way, client_way, mark) = (self.way(), self.client_way(), line.mark);
        self.later(way, Ev::Closed { conn });
        if let Some(line) = self.relays[relay].lines.get_mut(&sess) {
            (line.open, line.over, line.conn) = (false, true, None);
        }
        self.step(relay, Event::Ended { sess, end: DialEnd::Reset, report: None });
        self.later(client_way, Ev::Client { mark, heard: Heard::Moved, receipt: 0 });
    }
}
