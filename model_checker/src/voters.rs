//! Three voters with their disks, the messages between them, and holders who want to be out.
use crate::search::Model;
use hallrelay_disruption::{
    Budget, Command, Condition, Kind, Outcome, Place, Scope, Stage, State as Agreed, Thing,
};
use hallrelay_raft::{Alarm, Effect, Entry, Event, Node, Post, Role, Say, Stored, Term, Voter, What, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::{Display, Formatter};
use std::sync::Arc;

/// What is done wrong on purpose round the real parts, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planted {
    Nothing,
    /// A vote is called written and is not.
    VoteNotSynced,
    /// Entries are called written and are not.
    LogNotSynced,
    /// A disk is lost and the voter keeps its birth.
    DiskLostUnsaid,
    /// A vote is given whatever the one who stands has in its log.
    LogNotCompared,
    /// A voter answers for an entry more than it has.
    AnswersAhead,
    /// A voter that starts anew applies on what it had applied before.
    AppliedTwice,
    /// The last grant's number is not in a snapshot.
    NumbersForgotten,
    /// Nor are the budgets.
    BudgetsForgotten,
    /// A holder begins as it is granted.
    BeginsUnagreed,
    /// A grant that is out lapses.
    LapsesWhileOut,
    /// Who is cold counts as in.
    ColdCountsIn,
    /// A leader grants by the state that it has, without the log.
    LeaderRemembers,
}

impl Planted {
    pub const ALL: [Planted; 12] = [
        Planted::VoteNotSynced,
        Planted::LogNotSynced,
        Planted::DiskLostUnsaid,
        Planted::LogNotCompared,
        Planted::AnswersAhead,
        Planted::AppliedTwice,
        Planted::NumbersForgotten,
        Planted::BudgetsForgotten,
        Planted::BeginsUnagreed,
        Planted::LapsesWhileOut,
        Planted::ColdCountsIn,
        Planted::LeaderRemembers,
    ];

    pub fn word(self) -> String {
        let mut word = String::new();
        for c in format!("{self:?}").chars() {
            if c.is_uppercase() && !word.is_empty() {
                word.push('-');
            }
            word.extend(c.to_lowercase());
        }
        word
    }
}

/// How often each may happen on one way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Few {
    /// Patience that runs out.
    pub impatient: u8,
    /// A process that dies and starts with what is on its disk.
    pub crashes: u8,
    /// One that starts without a disk.
    pub disks: u8,
    /// A message that comes and comes again at some later time, and one that comes late, when newer ones of
    /// its kind have gone the same way.
    pub doubled: u8,
    pub late: u8,
    /// Beats of a leader.
    pub beats: u8,
    /// Wishes of holders, and what a leader proposes of itself.
    pub asks: u8,
    pub lapses: u8,
    /// The first holder dies, and is back cold.
    pub deaths: u8,
    pub compacts: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Seat {
    node: Option<Node>,
    disk: Stored,
    birth: u64,
    /// Asked for and not on the disk.
    unwritten: VecDeque<(u64, Write)>,
    agreed: Agreed,
}

/// One who wants to be out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Holder {
    /// Of its present wish; 0 where there is none.
    call: u64,
    grant: u64,
    out: bool,
    /// 0 up, 1 dead, 2 cold: as it is, whatever anybody believes.
    health: u8,
    told: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// Shared with the states before and after it, as most steps touch one or two.
    seats: Vec<Arc<Seat>>,
    /// One of a kind on each way: a newer one takes the place of one that was not delivered, which is lost.
    /// In no other order.
    net: BTreeMap<(u32, u32, u8), Post>,
    /// Held up, to come at any time.
    old: BTreeSet<Post>,
    holders: Vec<Holder>,
    few: Few,
    /// Who led in each term, and whose each grant was.
    led: BTreeMap<Term, u32>,
    granted: BTreeMap<u64, (usize, u64)>,
    /// Who was agreed to be down or cold last.
    less: BTreeSet<usize>,
    /// Whose patience ran out, by bits.
    impatient: u8,
    calls: u64,
    /// Nothing is lost any more.
    healed: bool,
    wrong: Option<&'static str>,
}

impl World {
    fn seat(&mut self, seat: usize) -> &mut Seat {
        Arc::make_mut(&mut self.seats[seat])
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    Impatient(usize),
    Beat(usize),
    Written(usize),
    Crash(usize),
    DiskLost(usize),
    /// It comes, and the answer to it comes back.
    Deliver(Post),
    Doubled(Post),
    HeldUp(Post),
    Late(Post),
    Ask(usize, usize),
    Begin(usize, usize),
    Back(usize, usize),
    Lapse(usize, usize),
    Dies(usize),
    Starts(usize),
    Warms(usize),
    Sees(usize, usize),
    Compact(usize),
}

impl Display for Step {
    fn fmt(&self, f: &mut Formatter) -> std::fmt::Result {
        match self {
            Step::Impatient(seat) => write!(f, "impatient {seat}"),
            Step::Beat(seat) => write!(f, "beat {seat}"),
            Step::Written(seat) => write!(f, "written {seat}"),
            Step::Crash(seat) => write!(f, "crash {seat}"),
            Step::DiskLost(seat) => write!(f, "disk-lost {seat}"),
            Step::Deliver(post) => tell(f, "deliver", post),
            Step::Doubled(post) => tell(f, "deliver, and once more later,", post),
            Step::HeldUp(post) => tell(f, "hold up", post),
            Step::Late(post) => tell(f, "deliver late", post),
            Step::Ask(holder, seat) => write!(f, "ask {holder} at {seat}"),
            Step::Begin(holder, seat) => write!(f, "begin {holder} at {seat}"),
            Step::Back(holder, seat) => write!(f, "back {holder} at {seat}"),
            Step::Lapse(holder, seat) => write!(f, "lapse {holder} at {seat}"),
            Step::Dies(holder) => write!(f, "dies {holder}"),
            Step::Starts(holder) => write!(f, "starts {holder}"),
            Step::Warms(holder) => write!(f, "warms {holder}"),
            Step::Sees(holder, seat) => write!(f, "sees {holder} at {seat}"),
            Step::Compact(seat) => write!(f, "compact {seat}"),
        }
    }
}

fn tell(f: &mut Formatter, how: &str, post: &Post) -> std::fmt::Result {
    write!(f, "{how} {} to {}, term {}: ", post.from.id, post.to.id, post.term)?;
    match &post.say {
        Say::Append { index, term, entries, commit } => {
            let told: Vec<String> = entries.iter().map(|one| told(&one.what)).collect();
            write!(f, "append after {index} of {term}: [{}], agreed {commit}", told.join(", "))
        }
        other => write!(f, "{other:?}"),
    }
}

/// Of what kind a message is: a newer one does away with what an older one of its kind was for.
fn kind(say: &Say) -> u8 {
    match say {
        Say::Here { .. } | Say::Found { .. } => 0,
        Say::PreVote { .. } | Say::Vote { .. } => 1,
        Say::PreVoted { .. } | Say::Voted { .. } => 2,
        Say::Append { .. } | Say::Snapshot { .. } => 3,
        Say::Appended { .. } => 4,
    }
}

pub struct Voters {
    pub voters: usize,
    pub holders: usize,
    pub few: Few,
    pub planted: Planted,
    /// The first voter leads at the beginning, and all is quiet.
    pub led: bool,
    /// The first holder is out, by a grant that is in all snapshots.
    pub out: bool,
    /// What is written is on the disk some time later, and may be lost till then; else at once.
    pub slow_disks: bool,
}

/// How many holders may be out.
const BUDGET: u32 = 1;

fn holder(i: usize) -> Thing {
    Thing::Relay(format!("h{i}"))
}

impl Voters {
    fn name(seat: usize) -> u32 {
        seat as u32 + 1
    }

    fn ids(&self) -> Vec<u32> {
        (0..self.voters).map(Voters::name).collect()
    }

    /// Founded, with the budget and all holders agreed on, and the first voter leading.
    fn begin(&self) -> World {
        let voters: Vec<Voter> = self.ids().into_iter().map(|id| Voter { id, birth: 1 }).collect();
        let budget = Budget { of: Kind::Relay, scope: Scope::Fleet, count: Some(BUDGET), part: None };
        let mut agreed = Agreed::default();
        agreed.apply(&Command::Budgets(vec![budget]));
        for i in 0..self.holders {
            let (place, condition) = (Place::default(), Condition::Up);
            agreed.apply(&Command::Seen { thing: holder(i), place, condition });
        }
        let mut holders = vec![Holder::default(); self.holders];
        let mut granted = BTreeMap::new();
        if self.out {
            let (by, why) = (String::new(), String::new());
            agreed.apply(&Command::Ask { thing: holder(0), call: 1, by, why, force: false });
            agreed.apply(&Command::Begin { thing: holder(0), grant: 1 });
            (holders[0].call, holders[0].grant, holders[0].out) = (1, 1, true);
            granted.insert(1, (0, 1));
        }
        agreed = match self.planted {
            Planted::NumbersForgotten => forgetful(&agreed, true),
            Planted::BudgetsForgotten => forgetful(&agreed, false),
            _ => agreed,
        };
        let snapshot =
            hallrelay_raft::Snapshot { index: 1, term: 1, voters: voters.clone(), state: agreed.encode() };
        let disk = Stored { term: 1, vote: None, snapshot, entries: Vec::new() };
        let first = Seat { disk, birth: 1, ..Seat::default() };
        let mut world = World {
            seats: (0..self.voters).map(|_| Arc::new(first.clone())).collect(),
            net: BTreeMap::new(),
            old: BTreeSet::new(),
            holders,
            few: self.few,
            led: BTreeMap::new(),
            granted,
            less: BTreeSet::new(),
            impatient: 0,
            calls: 1,
            healed: false,
            wrong: None,
        };
        (0..self.voters).for_each(|seat| self.start(&mut world, seat));
        if self.led {
            // Twice: asked of late they would not vote yet.
            for seat in (0..self.voters).rev() {
                self.event(&mut world, seat, Event::Alarm(Alarm::Patience));
                world.net.clear();
            }
            self.event(&mut world, 0, Event::Alarm(Alarm::Patience));
            self.settle(&mut world);
        }
        if !self.led {
            // Nobody has heard a leader for a while.
            (0..self.voters).for_each(|seat| self.event(&mut world, seat, Event::Alarm(Alarm::Patience)));
            world.net.clear();
        }
        self.plain(&mut world);
        world
    }

    fn start(&self, w: &mut World, seat: usize) {
        let s = w.seat(seat);
        let mut out = Vec::new();
        let own = Voter { id: Voters::name(seat), birth: s.birth };
        let (again, kept) = (s.node.is_some(), std::mem::take(&mut s.agreed));
        s.unwritten.clear();
        s.node = Some(Node::new(own, self.ids(), s.disk.clone(), &mut out));
        self.carry(w, seat, out);
        if again && self.planted == Planted::AppliedTwice {
            w.seat(seat).agreed = kept;
        }
    }

    fn event(&self, w: &mut World, seat: usize, event: Event) {
        let mut out = Vec::new();
        let Some(node) = &mut w.seat(seat).node else { return };
        node.step(event, &mut out);
        self.carry(w, seat, out);
    }

    fn carry(&self, w: &mut World, seat: usize, out: Vec<Effect>) {
        let mut fresh = false;
        for effect in out {
            match effect {
                Effect::Send(post) => {
                    w.net.insert((post.from.id, post.to.id, kind(&post.say)), post);
                }
                Effect::Write { number, write } => {
                    w.seat(seat).unwritten.push_back((number, write));
                    fresh = true;
                }
                Effect::Apply { command, ticket, .. } => self.apply(w, seat, &command, ticket),
                Effect::Restore { snapshot } => {
                    if let Ok(agreed) = Agreed::decode(&snapshot.state) {
                        w.seat(seat).agreed = agreed;
                    }
                }
                Effect::Turned { leads: true, term } => {
                    let id = Voters::name(seat);
                    if w.led.insert(term, id).is_some_and(|before| before != id) {
                        w.wrong = w.wrong.or(Some("one leader a term"));
                    }
                }
                // Times are the search's; an answer that is lost is one that was not taken.
                Effect::Turned { .. }
                | Effect::Alarm(_)
                | Effect::Refused { .. }
                | Effect::Unknown { .. } => {}
            }
        }
        while fresh && !self.slow_disks && !w.seats[seat].unwritten.is_empty() {
            self.sync(w, seat);
        }
    }

    /// The oldest write comes to the disk.
    fn sync(&self, w: &mut World, seat: usize) {
        let s = w.seat(seat);
        let Some((number, write)) = s.unwritten.pop_front() else { return };
        let lost = match write {
            Write::Vote { .. } => self.planted == Planted::VoteNotSynced,
            Write::Log { .. } => self.planted == Planted::LogNotSynced,
            Write::Snapshot { .. } => false,
        };
        if !lost {
            s.disk.take(write);
        }
        self.event(w, seat, Event::Written(number));
    }

    /// The form that states share which can't come to differ: writes counted from the last on the disk, and
    /// no message that would change nothing but bring an answer that nobody heeds.
    fn plain(&self, w: &mut World) {
        for seat in 0..w.seats.len() {
            if w.seats[seat].node.as_ref().is_none_or(Node::is_rebased) {
                continue;
            }
            let seat = w.seat(seat);
            if let Some(node) = &mut seat.node {
                let base = seat.unwritten.front().map_or(0, |one| one.0 - 1);
                node.rebased();
                seat.unwritten.iter_mut().for_each(|one| one.0 -= base);
            }
        }
        let terms: Vec<Term> = w.seats.iter().map(|s| s.node.as_ref().map_or(0, Node::term)).collect();
        let news = |post: &Post| {
            let term = terms[post.to.id as usize - 1];
            matches!(post.say, Say::Here { .. } | Say::Found { .. }) || post.term >= term
        };
        w.net.retain(|_, post| news(post));
        w.old.retain(news);
    }

    fn apply(&self, w: &mut World, seat: usize, command: &[u8], ticket: Option<u64>) {
        let Ok(mut command) = Command::decode(command) else { return };
        let mut honest = None;
        if let (Planted::LapsesWhileOut, Command::Lapse { thing, .. }) = (self.planted, &command) {
            command = Command::Free { thing: thing.clone(), by: "time".to_string() };
        }
        if let (Planted::ColdCountsIn, Command::Seen { condition, .. }) = (self.planted, &mut command) {
            if *condition == Condition::Cold {
                (honest, *condition) = (Some(Condition::Cold), Condition::Up);
            }
        }
        let seen = match &command {
            Command::Seen { condition, .. } => Some(*condition),
            _ => None,
        };
        let (seen, outcome) = (honest.or(seen), w.seat(seat).agreed.apply(&command));
        let Some(i) = ticket.map(|ticket| (ticket % 8) as usize).filter(|i| *i < w.holders.len()) else {
            return;
        };
        match seen {
            Some(Condition::Up) => _ = w.less.remove(&i),
            Some(_) => _ = w.less.insert(i),
            None => {}
        }
        match (command, outcome) {
            (Command::Ask { call, .. }, Outcome::Granted { grant }) => {
                // Told once more it is no new grant.
                if !w.granted.contains_key(&grant) && w.less.iter().any(|other| *other != i) {
                    w.wrong = w.wrong.or(Some("who is down or cold counts as out"));
                }
                w.holders[i].grant = grant;
                if self.planted == Planted::BeginsUnagreed {
                    w.holders[i].out = true;
                }
                if w.granted.insert(grant, (i, call)).is_some_and(|before| before != (i, call)) {
                    w.wrong = w.wrong.or(Some("a grant number used once"));
                }
            }
            (Command::Begin { grant, .. }, Outcome::Done) => {
                w.holders[i].out |= w.holders[i].grant == grant;
            }
            _ => {}
        }
    }

    fn propose(&self, w: &mut World, seat: usize, i: usize, command: &Command) {
        w.calls += 1;
        let ticket = w.calls * 8 + i as u64;
        self.event(w, seat, Event::Propose { ticket, command: command.encode() });
    }

    /// What the planted fault makes of a message.
    fn bent(&self, post: &Post) -> Post {
        let mut post = post.clone();
        match (self.planted, &mut post.say) {
            (Planted::LogNotCompared, Say::Vote { index, .. } | Say::PreVote { index, .. }) => *index += 9,
            (Planted::AnswersAhead, Say::Appended { ok: true, index }) => *index += 1,
            _ => {}
        }
        post
    }

    fn leads(node: &Node) -> bool {
        node.role() == Role::Leading
    }
}

fn entries(node: &Node) -> &[Entry] {
    node.log().entries()
}

impl Model for Voters {
    type State = World;
    type Step = Step;

    fn first(&self) -> World {
        self.begin()
    }

    fn steps(&self, w: &World) -> Vec<Step> {
        let mut steps = Vec::new();
        for (i, seat) in w.seats.iter().enumerate() {
            let Some(node) = &seat.node else { continue };
            let leads = Voters::leads(node);
            // With slow disks each once: the states that this leaves out are four times as many.
            let again = self.slow_disks && w.impatient & 1 << i != 0;
            if w.few.impatient > 0 && !again {
                steps.push(Step::Impatient(i));
            }
            if leads && w.few.beats > 0 {
                steps.push(Step::Beat(i));
            }
            if !seat.unwritten.is_empty() {
                steps.push(Step::Written(i));
            }
            // Where nobody leads at the beginning all are alike: one of them stands for all.
            if w.few.crashes > 0 && (self.led || i + 1 == self.voters) {
                steps.push(Step::Crash(i));
            }
            if w.few.disks > 0 {
                steps.push(Step::DiskLost(i));
            }
            if w.few.compacts > 0 && node.commit() > node.log().snapshot.index {
                steps.push(Step::Compact(i));
            }
            if !leads {
                continue;
            }
            for (h, holder) in w.holders.iter().enumerate() {
                if w.few.asks > 0 && holder.grant == 0 && holder.health == 0 {
                    steps.push(Step::Ask(h, i));
                }
                if w.few.asks > 0 && holder.grant > 0 && !holder.out && holder.health == 0 {
                    steps.push(Step::Begin(h, i));
                }
                if holder.out && holder.health == 0 {
                    steps.push(Step::Back(h, i));
                }
                if w.few.lapses > 0 {
                    steps.push(Step::Lapse(h, i));
                }
                if holder.health != holder.told {
                    steps.push(Step::Sees(h, i));
                }
            }
        }
        for (h, holder) in w.holders.iter().enumerate().take(1) {
            match holder.health {
                0 if w.few.deaths > 0 && !holder.out && holder.grant == 0 => steps.push(Step::Dies(h)),
                1 => steps.push(Step::Starts(h)),
                2 => steps.push(Step::Warms(h)),
                _ => {}
            }
        }
        for post in w.net.values() {
            steps.push(Step::Deliver(post.clone()));
            if w.few.doubled > 0 {
                steps.push(Step::Doubled(post.clone()));
            }
            if w.few.late > 0 {
                steps.push(Step::HeldUp(post.clone()));
            }
        }
        steps.extend(w.old.iter().cloned().map(Step::Late));
        steps
    }

    fn take(&self, w: &World, step: &Step) -> World {
        let mut w = w.clone();
        match step {
            Step::Impatient(seat) => {
                w.few.impatient -= 1;
                w.impatient |= 1 << *seat;
                self.event(&mut w, *seat, Event::Alarm(Alarm::Patience));
            }
            Step::Beat(seat) => {
                w.few.beats -= 1;
                self.event(&mut w, *seat, Event::Alarm(Alarm::Beat));
            }
            Step::Written(seat) => self.sync(&mut w, *seat),
            Step::Crash(seat) => {
                w.few.crashes -= 1;
                self.start(&mut w, *seat);
            }
            Step::DiskLost(seat) => {
                w.few.disks -= 1;
                let s = w.seat(*seat);
                (s.disk, s.agreed) = Default::default();
                s.birth += u64::from(self.planted != Planted::DiskLostUnsaid);
                self.start(&mut w, *seat);
            }
            Step::Deliver(post) => {
                w.net.remove(&(post.from.id, post.to.id, kind(&post.say)));
                self.comes(&mut w, post);
            }
            Step::Doubled(post) => {
                w.few.doubled -= 1;
                w.net.remove(&(post.from.id, post.to.id, kind(&post.say)));
                w.old.insert(post.clone());
                self.comes(&mut w, post);
            }
            Step::HeldUp(post) => {
                w.few.late -= 1;
                w.net.remove(&(post.from.id, post.to.id, kind(&post.say)));
                w.old.insert(post.clone());
            }
            Step::Late(post) => {
                w.old.remove(post);
                self.comes(&mut w, post);
            }
            Step::Ask(h, seat) => {
                w.few.asks -= 1;
                let (thing, by, why) = (holder(*h), String::new(), String::new());
                if w.holders[*h].call == 0 {
                    w.calls += 1;
                    w.holders[*h].call = w.calls;
                }
                let call = w.holders[*h].call;
                let command = Command::Ask { thing, call, by, why, force: false };
                if self.planted == Planted::LeaderRemembers {
                    // It answers by its own state, and tells the others of it later.
                    let outcome = w.seats[*seat].agreed.clone().apply(&command);
                    if let Outcome::Granted { grant } = outcome {
                        (w.holders[*h].grant, w.holders[*h].out) = (grant, true);
                    }
                }
                self.propose(&mut w, *seat, *h, &command);
            }
            Step::Begin(h, seat) => {
                w.few.asks -= 1;
                let command = Command::Begin { thing: holder(*h), grant: w.holders[*h].grant };
                self.propose(&mut w, *seat, *h, &command);
            }
            Step::Back(h, seat) => {
                let health = w.holders[*h].health;
                w.holders[*h] = Holder { health, told: w.holders[*h].told, ..Holder::default() };
                self.propose(&mut w, *seat, *h, &Command::Back { thing: holder(*h) });
            }
            Step::Lapse(h, seat) => {
                w.few.lapses -= 1;
                let grant = w.seats[*seat].agreed.get(&holder(*h)).map_or(0, |r| r.grant);
                self.propose(&mut w, *seat, *h, &Command::Lapse { thing: holder(*h), grant });
            }
            Step::Dies(h) => {
                w.few.deaths -= 1;
                w.holders[*h].health = 1;
            }
            Step::Starts(h) => w.holders[*h].health = 2,
            Step::Warms(h) => w.holders[*h].health = 0,
            Step::Sees(h, seat) => {
                let health = w.holders[*h].health;
                w.holders[*h].told = health;
                let condition = [Condition::Up, Condition::Down, Condition::Cold][usize::from(health)];
                let command = Command::Seen { thing: holder(*h), place: Place::default(), condition };
                self.propose(&mut w, *seat, *h, &command);
            }
            Step::Compact(seat) => {
                w.few.compacts -= 1;
                let s = &w.seats[*seat];
                let Some(index) = s.node.as_ref().map(Node::commit) else { return w };
                let state = s.agreed.encode();
                self.event(&mut w, *seat, Event::Compact { index, state });
            }
        }
        self.plain(&mut w);
        w
    }

    fn broken(&self, w: &World) -> Option<&'static str> {
        if w.wrong.is_some() {
            return w.wrong;
        }
        if w.holders.iter().filter(|holder| holder.out).count() > BUDGET as usize {
            return Some("never more out than the budget");
        }
        // By a voter's own state; one that died after it was granted is no fault of the grants'.
        let both = |seat: &Arc<Seat>| {
            let counts = |r: &&hallrelay_disruption::Record| matches!(r.stage, Stage::Granted | Stage::Out);
            let things = || seat.agreed.things().map(|(_, r)| r);
            things().filter(counts).count() > BUDGET as usize
        };
        if w.seats.iter().any(both) {
            return Some("never more granted than the budget");
        }
        let nodes: Vec<&Node> = w.seats.iter().filter_map(|seat| seat.node.as_ref()).collect();
        for (i, a) in nodes.iter().enumerate() {
            for (j, b) in nodes.iter().enumerate().skip(i + 1) {
                if a.commit() == b.commit() && w.seats[i].agreed != w.seats[j].agreed {
                    return Some("same log, same state");
                }
                for one in entries(a) {
                    let Some(other) = b.log().get(one.index) else { continue };
                    if one.term == other.term && one.what != other.what {
                        return Some("log matching");
                    }
                    if one.index <= a.commit().min(b.commit()) && one != other {
                        return Some("agreed is agreed");
                    }
                }
            }
        }
        None
    }

    /// Nothing fails any more: one voter after another grows impatient, all messages come, all is written.
    /// A leader is there then, what is out comes back, and who asks is granted.
    fn goes_on(&self, w: &World) -> bool {
        let mut w = w.clone();
        w.net.clear();
        w.old.clear();
        w.healed = true;
        for round in 0..24 {
            if let Some(seat) = w.seats.iter().position(|s| s.node.as_ref().is_some_and(Voters::leads)) {
                self.event(&mut w, seat, Event::Alarm(Alarm::Beat));
                self.settle(&mut w);
                let still = w.seats[seat].node.as_ref().is_some_and(Voters::leads);
                if still && self.granted_anew(&mut w, seat) {
                    return true;
                }
            }
            self.event(&mut w, round % self.voters, Event::Alarm(Alarm::Patience));
            self.settle(&mut w);
        }
        false
    }
}

impl Voters {
    /// A message comes, and what is answered to it at once comes back.
    fn comes(&self, w: &mut World, post: &Post) {
        let post = self.bent(post);
        let (from, to) = (post.from.id, post.to.id);
        let answer = kind(&post.say) + 1;
        let before = w.net.remove(&(to, from, answer));
        self.event(w, to as usize - 1, Event::Heard(post));
        match w.net.remove(&(to, from, answer)) {
            Some(answer) => {
                let answer = self.bent(&answer);
                self.event(w, from as usize - 1, Event::Heard(answer));
            }
            None => _ = before.map(|post| w.net.insert((to, from, answer), post)),
        }
    }

    /// All messages and writes, in turn, till there are none.
    fn settle(&self, w: &mut World) {
        for _ in 0..400 {
            let unwritten = (0..self.voters).find(|seat| !w.seats[*seat].unwritten.is_empty());
            if let Some(seat) = unwritten {
                self.sync(w, seat);
                continue;
            }
            let Some((_, post)) = w.net.pop_first() else { return };
            self.event(w, post.to.id as usize - 1, Event::Heard(post));
        }
    }

    fn granted_anew(&self, w: &mut World, seat: usize) -> bool {
        for h in 0..self.holders {
            w.holders[h] = Holder::default();
            let (place, condition) = (Place::default(), Condition::Up);
            self.propose(w, seat, h, &Command::Seen { thing: holder(h), place, condition });
            self.settle(w);
            self.propose(w, seat, h, &Command::Free { thing: holder(h), by: "a person".to_string() });
            self.settle(w);
        }
        let (by, why) = (String::new(), String::new());
        self.propose(w, seat, 0, &Command::Ask { thing: holder(0), call: 1 << 40, by, why, force: false });
        self.settle(w);
        w.holders[0].grant > 0
    }
}

/// The state with the count of grants begun anew, and all in; with its budgets or without.
fn forgetful(state: &Agreed, budgets: bool) -> Agreed {
    let mut fresh = Agreed::default();
    let kept = if budgets { state.budgets().to_vec() } else { Vec::new() };
    fresh.apply(&Command::Budgets(kept));
    for (thing, r) in state.things() {
        let (thing, place) = (thing.clone(), r.place.clone());
        fresh.apply(&Command::Seen { thing, place, condition: r.condition });
    }
    fresh
}

/// A voters' entry in words, for who prints a way.
pub fn told(what: &What) -> String {
    match what {
        What::Nothing => "nothing".to_string(),
        What::Command(command) => format!("{:?}", Command::decode(command)),
        What::Voters(voters) => format!("voters {:?}", voters.iter().map(|v| v.id).collect::<Vec<_>>()),
    }
}
