//! One relay's view of the others: who is probed, doubted, buried or welcomed, and what is told on.
mod hear;
mod probe;
mod spread;

use crate::member::{About, Claim, Rank, State};
use crate::message::{self, Body, Fault, Packet, FRAME};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

const MS: Micros = 1_000;

/// One member is probed in each, and each member by one. Four in ten of a second find a dead one within 0.8
/// s, and cost two datagrams each way.
pub const PERIOD: Micros = 400 * MS;
/// A ping that brings nothing by then goes out once more. A hundred times a closed network's way; what a busy
/// core takes beyond that is met by the health.
const AGAIN: Micros = 100 * MS;
/// Others are asked by then, and say by `NACK` after that that they had no answer either. All of it is over
/// within the period.
const OTHERS: Micros = 200 * MS;
const NACK: Micros = 100 * MS;
/// How many others: with 5% of datagrams lost in each way all three miss a live member once in 160 times.
const ASKED: usize = 3;
/// Probes out at once, and of others' asking: a bound, not a rate.
const PROBES: usize = 16;
const ASKS: usize = 64;
/// News goes out this often, to so many, while there is any.
const SPREAD: Micros = 100 * MS;
const FANOUT: usize = 3;
/// Each tells an item so many times the (decimal, rounded up) logarithm of the members: memberlist's 4 leaves
/// less than one in ten thousand untold, and the exchange tells those.
const TOLD: u32 = 4;
/// Few as they are: what a bridge between two halves tells goes the wrong way half the time, and four
/// tellings all did so once in 16 refutals, which buried members on the other side.
const TOLD_LEAST: u32 = 12;
/// The least time in which a suspect may refute, and by the logarithm of the members, as its refutal takes
/// some rounds of `SPREAD` there and back. Lifeguard's most is six times that, less with each confirmation.
const REFUTE: Micros = 800 * MS;
const REFUTE_BY_LOG: Micros = 400 * MS;
const REFUTE_MOST: u64 = 6;
/// Then each who would bury it pings it itself, so often, so far apart: who missed the refutal hears it now.
/// Of 2,252 accusations in ten hours of 300 relays five were answered where somebody did not hear it.
const CALLS: u32 = 2;
const CALL: Micros = 100 * MS;
const CONFIRMED: usize = 3;
/// Of those who hear of a suspect, so many probe it at once: what makes it certain soon, either way.
const CHECKS: usize = 6;
/// Lifeguard's bound on how much a relay doubts itself: all its times are up to nine times as long.
const HEALTH: u32 = 8;
/// An alarm that comes so much late was not the network's doing: this process stood still.
const LATE: Micros = 200 * MS;
/// One of those gone, or of the configured addresses that nobody is heard at, is tried this often: half of a
/// healed split meets the other within seconds.
const KNOCK: Micros = 2_000 * MS;
/// A relay that knows nobody asks the configured addresses for the table this often.
const JOIN: Micros = 1_000 * MS;
/// From meeting the first others till it probes: news of it is with all of 300 by then, twice over.
const MET: Micros = 2_000 * MS;
/// So many of them at a time.
const JOINED: usize = 2;
/// The whole table is exchanged with one other so often for each member: what it costs in bytes each second
/// does not grow with the fleet.
const EXCHANGE: Micros = 1_000 * MS;
const EXCHANGE_LEAST: Micros = 10_000 * MS;
/// A member gone or left is forgotten after this.
const FORGET: Micros = 3_600_000 * MS;
/// Members at most; further ones are dropped and counted.
pub const MOST: usize = 1_024;
/// Heard later than so many periods ago, none of them all: a relay that hears so few is cut off.
const HEARD: Micros = 10 * PERIOD;
/// Somebody else of this relay's name is remembered so long after it was heard of.
const TWIN: Micros = 30_000 * MS;

/// What this relay is and is told.
#[derive(Clone, Debug, PartialEq)]
pub struct Own {
    pub fleet: Rc<str>,
    pub name: Rc<str>,
    /// Where others reach it.
    pub addr: SocketAddr,
    pub start: u64,
    pub about: About,
    /// Where others may be found; its own address among them does no harm.
    pub peers: Vec<SocketAddr>,
    /// Relays as configured, this one among them: what is heard never changes it.
    pub configured: usize,
    pub seed: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// This process speaks for the relay from now on.
    Begin,
    /// It speaks no more; another process of the same relay does.
    Yield,
    /// A sound datagram.
    Heard {
        from: SocketAddr,
        packet: Box<Packet>,
    },
    /// A sound frame on a stream that another opened; it wants an answer.
    Visited {
        stream: u64,
        from: SocketAddr,
        packet: Box<Packet>,
    },
    /// The answer on a stream that this relay opened.
    Returned {
        packet: Box<Packet>,
    },
    /// One member is to be asked what it holds of the list.
    Recall,
    /// What this relay holds of it, for the one who asked; none where that is nothing.
    Told {
        stream: u64,
        bytes: Option<Vec<u8>>,
    },
    /// The users' own bytes for a member, or for all that are there.
    Say {
        name: Option<Rc<str>>,
        bytes: Vec<u8>,
    },
    /// What was dropped before it came here, since it was told last.
    Dropped {
        what: Fault,
        count: u64,
    },
    /// What this relay says of itself.
    Turned {
        about: About,
    },
    Peers {
        peers: Vec<SocketAddr>,
    },
    /// Some deadline may have come.
    Alarm,
    /// The relay ends, on purpose.
    Leave,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The socket is wanted, or is left to another process.
    Open {
        on: bool,
    },
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Asks for the table by a stream; nothing comes back where nobody answers.
    Visit {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// Ends a stream that another opened, with the answer where there is one.
    Answer {
        stream: u64,
        bytes: Option<Vec<u8>>,
    },
    Alarm {
        after: Micros,
    },
    /// A member is there, gone or left from now on; `again` where its process has started anew.
    Found {
        name: Rc<str>,
        state: State,
        by: Option<Rc<str>>,
        again: bool,
    },
    /// A member asks what this relay holds of the list: `Told` answers it.
    Asked {
        stream: u64,
    },
    /// What a member holds of it.
    Recalled {
        name: Rc<str>,
        told: Vec<u8>,
    },
    /// A member's word for this relay's users.
    Said {
        name: Rc<str>,
        bytes: Vec<u8>,
    },
    /// Something for the log, out of the ordinary.
    Note {
        what: String,
    },
}

#[derive(Clone, Debug)]
pub struct Member {
    pub claim: Claim,
    /// Of its present state.
    pub since: Micros,
    /// When it last said something itself, in this relay's hearing.
    pub heard: Option<Micros>,
    /// Who told of it last, where that was not itself.
    pub told_by: Option<Rc<str>>,
    /// By whose ping it was heard last, where its own answer did not come.
    pub heard_by: Option<Rc<str>>,
}

struct Suspicion {
    by: BTreeSet<Rc<str>>,
    since: Micros,
    until: Micros,
    /// Pings that went out as its time was over.
    calls: u32,
}

struct Probe {
    name: Rc<str>,
    again: Micros,
    others: Micros,
    over: Micros,
    /// Asked, and answered with a nack.
    asked: u32,
    nacks: u32,
}

/// Another's ping, done on its behalf.
struct Errand {
    asker: SocketAddr,
    seq: u32,
    nack: Micros,
    over: Micros,
}

struct News {
    bytes: Vec<u8>,
    told: u32,
    /// In the order of coming.
    item: u64,
}

/// Counted since the process began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub heard: u64,
    pub probes: u64,
    /// Members that this relay itself accused, and found gone.
    pub accused: u64,
    pub buried: u64,
    /// Accusations of this relay that it refuted.
    pub refuted: u64,
    /// Times at which this process had stood still.
    pub late: u64,
    pub dropped: BTreeMap<Fault, u64>,
}

pub struct Membership {
    own: Own,
    rank: Rank,
    speaks: bool,
    left: bool,
    now: Micros,
    members: BTreeMap<Rc<str>, Member>,
    /// Whose datagrams are read, beside those of the configured addresses.
    by_addr: BTreeMap<SocketAddr, Rc<str>>,
    suspicions: BTreeMap<Rc<str>, Suspicion>,
    /// Those who are there, in the order of their names.
    there: Vec<Rc<str>>,
    probes: BTreeMap<u32, Probe>,
    errands: BTreeMap<u32, Errand>,
    news: BTreeMap<Rc<str>, News>,
    items: u64,
    /// 0 where this relay has no reason to doubt itself.
    health: u32,
    seq: u32,
    chance: oorandom::Rand64,
    next_probe: Micros,
    next_spread: Micros,
    last_spread: Micros,
    next_knock: Micros,
    next_join: Micros,
    /// Configured addresses that were asked, from one by chance on.
    joined: usize,
    next_exchange: Micros,
    next_forget: Micros,
    /// The alarm that is out.
    woken: Option<Micros>,
    /// Whom a healed way was used with last, so that it is not used for each that returns.
    healed: Option<Micros>,
    /// When a member was asked last who strangers are.
    asked_about: Option<Micros>,
    twin: Option<(SocketAddr, u64, Micros)>,
    pub counts: Counts,
}

impl Membership {
    pub fn new(own: Own) -> Membership {
        let chance = oorandom::Rand64::new(u128::from(own.seed) << 1 | 1);
        Membership {
            rank: Rank { start: own.start, incarnation: 0 },
            own,
            speaks: false,
            left: false,
            now: 0,
            members: BTreeMap::new(),
            by_addr: BTreeMap::new(),
            suspicions: BTreeMap::new(),
            there: Vec::new(),
            probes: BTreeMap::new(),
            errands: BTreeMap::new(),
            news: BTreeMap::new(),
            items: 0,
            health: 0,
            seq: 0,
            chance,
            next_probe: Micros::MAX,
            next_spread: Micros::MAX,
            last_spread: 0,
            next_knock: Micros::MAX,
            next_join: Micros::MAX,
            joined: 0,
            next_exchange: Micros::MAX,
            next_forget: Micros::MAX,
            woken: None,
            healed: None,
            asked_about: None,
            twin: None,
            counts: Counts::default(),
        }
    }

    pub fn own(&self) -> &Own {
        &self.own
    }
    pub fn rank(&self) -> Rank {
        self.rank
    }
    pub fn health(&self) -> u32 {
        self.health
    }
    pub fn speaks(&self) -> bool {
        self.speaks
    }
    /// All others that were heard of.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }
    /// Who accuses a member, as far as was heard.
    pub fn accusers(&self, name: &str) -> impl Iterator<Item = &Rc<str>> {
        self.suspicions.get(name).into_iter().flat_map(|s| &s.by)
    }
    /// Another process of this relay's name at another address, and its start number.
    pub fn twin(&self) -> Option<(SocketAddr, u64)> {
        self.twin.filter(|t| self.now < t.2 + TWIN).map(|t| (t.0, t.1))
    }

    /// Those that this relay heard itself of late, itself among them.
    pub fn hears(&self) -> usize {
        let late = |m: &&Member| m.heard.is_some_and(|at| self.now.saturating_sub(at) < self.fresh());
        1 + self.members.values().filter(|m| m.claim.state.is_there()).filter(late).count()
    }

    /// In a round of probes each member is heard twice; a round is a period for each.
    fn fresh(&self) -> Micros {
        HEARD.max(2 * PERIOD * self.there.len() as Micros)
    }

    /// Whether this relay hears less than half of the configured ones, or of those that it knows where these
    /// are more. Nothing but words follows from it.
    pub fn cut_off(&self) -> bool {
        let known = 1 + self.members.values().filter(|m| m.claim.state != State::Left).count();
        self.hears() * 2 < self.own.configured.max(known)
    }

    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Begin => self.begin(out),
            Event::Yield => {
                self.speaks = false;
                out.push(Effect::Open { on: false });
            }
            Event::Dropped { what, count } => *self.counts.dropped.entry(what).or_default() += count,
            Event::Turned { about } => self.turned(about),
            Event::Peers { peers } => {
                self.own.peers = peers;
                self.next_knock = self.next_knock.min(self.now);
            }
            _ if !self.speaks => {
                if let Event::Visited { stream, .. } = event {
                    out.push(Effect::Answer { stream, bytes: None });
                }
            }
            Event::Heard { from, packet } => self.heard(from, *packet, out),
            Event::Visited { stream, from, packet } => self.visited(stream, from, *packet, out),
            Event::Returned { packet } => self.returned(*packet, out),
            Event::Recall => self.ask_one(out),
            Event::Told { stream, bytes } => self.tell_one(stream, bytes, out),
            Event::Say { name, bytes } => self.say_word(name, &bytes, out),
            Event::Leave => self.leave(out),
            Event::Alarm => {}
        }
        if self.speaks {
            self.tick(out);
        }
    }

    /// Goes by what the process before this one knew, as `estate` wrote it; what can't be read is nothing.
    pub fn inherit(&mut self, now: Micros, bytes: &[u8]) {
        self.now = self.now.max(now);
        let Ok(packet) = message::decode(&self.own.fleet, bytes, FRAME) else { return };
        if packet.own.name != self.own.name {
            return;
        }
        // The same member goes on: its start is that of the first process, and what it says now is newer.
        let Rank { start, incarnation } = packet.own.rank;
        self.rank = Rank { start, incarnation: incarnation + 1 };
        for claim in packet.news {
            self.judge(claim, None, &mut Vec::new());
        }
    }

    /// All that this relay holds, for the next process at its address.
    pub fn estate(&self) -> Vec<u8> {
        self.table(Body::Exchanged)
    }

    pub(crate) fn own_claim(&self) -> Claim {
        let Own { name, addr, about, .. } = &self.own;
        let state = if self.left { State::Left } else { State::Alive };
        Claim { name: name.clone(), addr: *addr, rank: self.rank, state, by: None, about: about.clone() }
    }

    /// A time up to a span.
    fn up_to(&mut self, span: Micros) -> Micros {
        self.chance.rand_range(0..span.max(1))
    }

    fn below(&mut self, end: usize) -> usize {
        self.chance.rand_range(0..end.max(1) as u64) as usize
    }

    fn begin(&mut self, out: &mut Vec<Effect>) {
        if self.speaks {
            return;
        }
        (self.speaks, self.left) = (true, false);
        out.push(Effect::Open { on: true });
        // Nothing heard before this counts as heard by this process.
        self.next_probe = self.now + self.up_to(PERIOD);
        self.next_join = self.now + self.up_to(AGAIN);
        self.joined = self.below(MOST);
        self.next_knock = self.now + self.up_to(KNOCK);
        self.next_exchange = self.now + EXCHANGE_LEAST / 2 + self.up_to(EXCHANGE_LEAST);
        self.next_forget = self.now + FORGET / 60;
        self.next_spread = self.now;
        self.probes.clear();
        self.errands.clear();
        let suspects: Vec<Rc<str>> = self.suspicions.keys().cloned().collect();
        suspects.into_iter().for_each(|name| self.give_time(&name));
        self.woken = None;
        self.tell_of_own();
    }

    /// Its own word, newer than all that was said before.
    fn tell_of_own(&mut self) {
        let claim = self.own_claim();
        self.news(&claim);
    }

    fn turned(&mut self, about: About) {
        let same = self.own.about.same_but_figures(&about);
        self.own.about = about;
        if !same && self.speaks {
            self.rank.incarnation += 1;
            self.tell_of_own();
        }
    }

    /// Says that it leaves to more than would lose it, and no more after that.
    fn leave(&mut self, out: &mut Vec<Effect>) {
        self.left = true;
        self.rank.incarnation += 1;
        self.tell_of_own();
        self.tell_some(2 * FANOUT, out);
        self.speaks = false;
        out.push(Effect::Open { on: false });
    }

    fn next_due(&self) -> Micros {
        let timers = [
            self.next_probe,
            self.next_spread,
            self.next_knock,
            self.next_join,
            self.next_exchange,
            self.next_forget,
        ];
        let probes = self.probes.values().map(|p| p.again.min(p.others).min(p.over));
        let errands = self.errands.values().map(|e| e.nack.min(e.over));
        let suspicions = self.suspicions.values().map(|s| s.until);
        timers.into_iter().chain(probes).chain(errands).chain(suspicions).min().unwrap_or(Micros::MAX)
    }

    /// All that is due by now.
    fn tick(&mut self, out: &mut Vec<Effect>) {
        let late = self.now.saturating_sub(self.next_due());
        if late > LATE {
            self.was_late(late, out);
        }
        self.probing(out);
        self.errands(out);
        self.suspecting(out);
        if self.next_join <= self.now {
            self.join(out);
        }
        if self.next_knock <= self.now {
            self.knock(out);
        }
        if self.next_exchange <= self.now {
            self.exchange(out);
        }
        if self.next_forget <= self.now {
            self.forget();
        }
        if self.next_spread <= self.now {
            self.spread(out);
        }
        let due = self.next_due();
        if self.woken.is_none_or(|at| at <= self.now || due < at) {
            self.woken = Some(due);
            out.push(Effect::Alarm { after: due.saturating_sub(self.now) });
        }
    }

    /// This process stood still: what it did not hear meanwhile says nothing of others. It drops what it was
    /// about to conclude, gives those that it suspects the time that it missed, and doubts itself.
    fn was_late(&mut self, late: Micros, out: &mut Vec<Effect>) {
        self.counts.late += 1;
        self.health = (self.health + (late / PERIOD).max(1).min(HEALTH.into()) as u32).min(HEALTH);
        self.probes.clear();
        self.errands.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.until = suspicion.until.saturating_add(late).max(self.now + REFUTE);
        }
        self.next_probe = self.now + self.up_to(PERIOD);
        // Long enough that an operator would want to know.
        if late >= 5 * PERIOD {
            out.push(Effect::Note { what: format!("this process stood still for {} ms", late / MS) });
        }
    }

    fn forget(&mut self) {
        self.next_forget = self.now + FORGET / 60;
        let over = |m: &Member| !m.claim.state.is_there() && self.now >= m.since + FORGET;
        let names: Vec<Rc<str>> =
            self.members.iter().filter(|(_, m)| over(m)).map(|(name, _)| name.clone()).collect();
        for name in names {
            self.members.remove(&name);
            self.by_addr.retain(|_, of| *of != name);
        }
    }
}
