//! One voter. `step` takes an event and appends effects, which the host carries out in their order.
use crate::log::{Entry, Log, Snapshot, What};
use crate::{Id, Index, Post, Say, Term, Voter, COMMAND, VOTERS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use Act::{Ask, Follow, Greet, Lead, Stand};
use Role::{Asking, Blank, Following, Leading, Standing};
use Sign::{Alone, Founded, Heard, Impatient, Later, Won};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Role {
    /// It has no log yet.
    #[default]
    Blank,
    Following,
    /// It asks whether it would be voted for.
    Asking,
    Standing,
    Leading,
}

impl Role {
    pub fn word(self) -> &'static str {
        match self {
            Blank => "blank",
            Following => "following",
            Asking => "asking",
            Standing => "standing",
            Leading => "leading",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sign {
    /// Nothing was heard of a leader for a whole patience.
    Impatient,
    /// Most voters said yes.
    Won,
    /// A later term is there.
    Later,
    /// The leader of this term speaks.
    Heard,
    /// A leader that most voters did not answer for a whole patience.
    Alone,
    /// There is a log from now on.
    Founded,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Act {
    Greet,
    Ask,
    Stand,
    Lead,
    Follow,
}

/// State, input, next state, effect. What is not listed changes nothing.
const TABLE: &[(Role, Sign, Role, Act)] = &[
    (Blank, Impatient, Blank, Greet),
    (Blank, Founded, Following, Follow),
    (Following, Impatient, Asking, Ask),
    (Following, Heard, Following, Follow),
    (Following, Later, Following, Follow),
    (Asking, Impatient, Asking, Ask),
    (Asking, Won, Standing, Stand),
    (Asking, Heard, Following, Follow),
    (Asking, Later, Following, Follow),
    (Standing, Impatient, Asking, Ask),
    (Standing, Won, Leading, Lead),
    (Standing, Heard, Following, Follow),
    (Standing, Later, Following, Follow),
    (Leading, Alone, Following, Follow),
    (Leading, Later, Following, Follow),
];

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Alarm {
    /// Of a leader's silence: by chance one to two times the least, drawn by the host.
    Patience,
    /// A leader's next word, several of which fit into the least patience.
    Beat,
}

/// What is to be written, in order; a later one of a kind does away with what it covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Write {
    Vote {
        term: Term,
        vote: Option<Voter>,
    },
    /// From an entry on the log is this.
    Log {
        from: Index,
        entries: Vec<Entry>,
    },
    /// What came of all up to an entry; what stood before it may go. After it, the entries are those told.
    Snapshot {
        snapshot: Snapshot,
        entries: Vec<Entry>,
    },
}

/// What a disk gave back.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Stored {
    pub term: Term,
    pub vote: Option<Voter>,
    pub snapshot: Snapshot,
    pub entries: Vec<Entry>,
}

impl Stored {
    /// As it is after a write.
    pub fn take(&mut self, write: Write) {
        match write {
            Write::Vote { term, vote } => (self.term, self.vote) = (term, vote),
            Write::Log { from, entries } => {
                self.entries.retain(|entry| entry.index < from);
                self.entries.extend(entries);
            }
            Write::Snapshot { snapshot, entries } => (self.snapshot, self.entries) = (snapshot, entries),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Event {
    Heard(Post),
    Alarm(Alarm),
    /// All writes up to this number are on the disk.
    Written(u64),
    /// A command for the log; a ticket comes back with what became of it.
    Propose {
        ticket: u64,
        command: Vec<u8>,
    },
    /// What came of all up to an entry that was applied.
    Compact {
        index: Index,
        state: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Effect {
    Send(Post),
    Write {
        number: u64,
        write: Write,
    },
    /// One more of a kind does away with the one before.
    Alarm(Alarm),
    /// Agreed: to be applied in the order of indices. The ticket is that of a command proposed here.
    Apply {
        index: Index,
        command: Vec<u8>,
        ticket: Option<u64>,
    },
    /// All that was applied is to be forgotten for this.
    Restore {
        snapshot: Snapshot,
    },
    /// A command was not taken here; who leads, where that is known.
    Refused {
        ticket: u64,
        leader: Option<Id>,
    },
    /// It may come to be agreed or not: the leader that took it is none any more.
    Unknown {
        ticket: u64,
    },
    /// Whether this one leads, and in which term.
    Turned {
        leads: bool,
        term: Term,
    },
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Peer {
    next: Index,
    matched: Index,
    /// Since the last patience.
    heard: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node {
    own: Voter,
    configured: Vec<Id>,
    role: Role,
    term: Term,
    vote: Option<Voter>,
    log: Log,
    commit: Index,
    applied: Index,
    leader: Option<Id>,
    /// A patience has run out since a leader was heard.
    quiet: bool,
    yes: BTreeSet<Voter>,
    peers: BTreeMap<Voter, Peer>,
    /// Who said of himself that he is no voter, and whether he is blank.
    here: BTreeMap<Id, (u64, bool)>,
    /// Writes that were asked for; those on the disk; what waits for one, and the log's end with each.
    asked: u64,
    written: u64,
    waiting: VecDeque<(u64, Post)>,
    ends: VecDeque<(u64, Index)>,
    /// The log's end on the disk.
    durable: Index,
    tickets: BTreeMap<Index, u64>,
}

impl Node {
    /// `configured`: the names of all that are to be voters, this one among them.
    pub fn new(own: Voter, mut configured: Vec<Id>, stored: Stored, out: &mut Vec<Effect>) -> Node {
        configured.sort_unstable();
        configured.dedup();
        configured.truncate(VOTERS);
        let log = Log::new(stored.snapshot, stored.entries);
        let node = Node {
            own,
            configured,
            role: if log.is_blank() { Blank } else { Following },
            term: stored.term,
            vote: stored.vote,
            commit: log.snapshot.index,
            applied: log.snapshot.index,
            durable: log.last(),
            log,
            // What was promised before is not known: as if a leader had just spoken.
            ..Node::default()
        };
        if node.applied > 0 {
            out.push(Effect::Restore { snapshot: node.log.snapshot.clone() });
        }
        out.push(Effect::Alarm(Alarm::Patience));
        node
    }

    pub fn step(&mut self, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Heard(post) => self.heard(post, out),
            Event::Alarm(Alarm::Patience) => self.impatient(out),
            Event::Alarm(Alarm::Beat) if self.role == Leading => {
                out.push(Effect::Alarm(Alarm::Beat));
                self.append_all(out);
            }
            Event::Alarm(Alarm::Beat) => {}
            Event::Written(number) => self.written(number, out),
            Event::Propose { ticket, command } => self.propose(ticket, command, out),
            Event::Compact { index, state } => {
                if index <= self.applied && self.log.compact(index, state) {
                    self.write_snapshot(out);
                }
            }
        }
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> Term {
        self.term
    }

    pub fn leader(&self) -> Option<Id> {
        self.leader
    }

    pub fn commit(&self) -> Index {
        self.commit
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    pub fn voters(&self) -> &[Voter] {
        self.log.voters().1
    }

    pub fn votes(&self) -> bool {
        self.voters().contains(&self.own)
    }

    /// Whether `rebased` would change nothing.
    pub fn is_rebased(&self) -> bool {
        self.written == 0
    }

    /// The same voter with its writes counted from the last that is on the disk: for who compares states.
    pub fn rebased(&mut self) {
        let base = std::mem::take(&mut self.written);
        self.asked -= base;
        self.waiting.iter_mut().for_each(|wait| wait.0 -= base);
        self.ends.iter_mut().for_each(|end| end.0 -= base);
    }

    /// The loop that reads the table.
    fn play(&mut self, sign: Sign, out: &mut Vec<Effect>) {
        let row = TABLE.iter().find(|row| (row.0, row.1) == (self.role, sign));
        let Some(&(from, _, to, act)) = row else { return };
        self.role = to;
        if from == Leading && to != Leading {
            self.peers.clear();
            std::mem::take(&mut self.tickets)
                .into_values()
                .for_each(|ticket| out.push(Effect::Unknown { ticket }));
            out.push(Effect::Turned { leads: false, term: self.term });
        }
        match act {
            Greet => self.greet(out),
            Ask => self.ask(out),
            Stand => self.stand(out),
            Lead => self.lead(out),
            Follow => out.push(Effect::Alarm(Alarm::Patience)),
        }
    }

    fn most(&self, of: impl Fn(&Voter) -> bool) -> bool {
        let voters = self.voters();
        voters.iter().filter(|voter| of(voter)).count() * 2 > voters.len()
    }

    fn others(&self) -> Vec<Voter> {
        self.voters().iter().copied().filter(|voter| *voter != self.own).collect()
    }

    fn post(&self, to: Voter, term: Term, say: Say) -> Post {
        Post { from: self.own, to, term, say }
    }

    fn send(&self, to: Voter, say: Say, out: &mut Vec<Effect>) {
        out.push(Effect::Send(self.post(to, self.term, say)));
    }

    /// Goes out once all that was asked to be written is on the disk: a promise.
    fn promise(&mut self, to: Voter, say: Say, out: &mut Vec<Effect>) {
        let post = self.post(to, self.term, say);
        if self.written == self.asked {
            return out.push(Effect::Send(post));
        }
        self.waiting.push_back((self.asked, post));
    }

    fn write(&mut self, write: Write, out: &mut Vec<Effect>) {
        self.asked += 1;
        self.ends.push_back((self.asked, self.log.last()));
        out.push(Effect::Write { number: self.asked, write });
    }

    fn write_vote(&mut self, out: &mut Vec<Effect>) {
        self.write(Write::Vote { term: self.term, vote: self.vote }, out);
    }

    fn write_snapshot(&mut self, out: &mut Vec<Effect>) {
        let (snapshot, entries) = (self.log.snapshot.clone(), self.log.entries().to_vec());
        self.write(Write::Snapshot { snapshot, entries }, out);
    }

    fn written(&mut self, number: u64, out: &mut Vec<Effect>) {
        self.written = self.written.max(number);
        while let Some((_, end)) = self.ends.pop_front_if(|end| end.0 <= self.written) {
            self.durable = end;
        }
        while let Some((_, post)) = self.waiting.pop_front_if(|wait| wait.0 <= self.written) {
            // Of an earlier term nobody wants it any more.
            if post.term == self.term {
                out.push(Effect::Send(post));
            }
        }
        self.count(out);
        if self.role == Leading {
            self.agree(out);
        }
    }

    fn impatient(&mut self, out: &mut Vec<Effect>) {
        self.quiet = true;
        out.push(Effect::Alarm(Alarm::Patience));
        if self.role == Leading {
            let heard = |voter: &Voter| *voter == self.own || self.peers.get(voter).is_some_and(|p| p.heard);
            let alone = !self.most(heard);
            self.peers.values_mut().for_each(|peer| peer.heard = false);
            if alone {
                self.leader = None;
                self.play(Alone, out);
            }
            return;
        }
        self.leader = None;
        if self.role != Blank && !self.votes() {
            // Left out, or not yet let in: it says that it is here.
            return self.greet(out);
        }
        self.play(Impatient, out);
    }

    fn greet(&mut self, out: &mut Vec<Effect>) {
        let blank = self.role == Blank;
        for id in self.configured.clone() {
            if id != self.own.id {
                let birth = self.here.get(&id).map_or(0, |here| here.0);
                self.send(Voter { id, birth }, Say::Here { blank }, out);
            }
        }
        if self.configured == [self.own.id] {
            self.found(out);
        }
    }

    /// Somebody is no voter as far as he knows.
    fn is_here(&mut self, post: &Post, blank: bool, out: &mut Vec<Effect>) {
        if !self.configured.contains(&post.from.id) {
            return;
        }
        let before = self.here.insert(post.from.id, (post.from.birth, blank));
        if self.role == Blank {
            // The founder counts only what was said to this birth of its.
            if post.to == self.own {
                self.found(out);
            } else if before.is_none_or(|before| before.0 != post.from.birth) {
                self.send(post.from, Say::Here { blank: true }, out);
            }
            return;
        }
        // He may be one of the first voters, and the founder's word was lost.
        let founding = self.log.get(1).filter(|_| self.log.last() == 1).map(|entry| entry.what.clone());
        match founding {
            Some(What::Voters(voters)) if blank && voters.contains(&post.from) => {
                self.promise(post.from, Say::Found { voters }, out);
            }
            _ => self.mend(out),
        }
    }

    /// The least name of all that are configured founds the log, once all the others said to this birth of
    /// its that they are blank: where one has a log already, there is a fleet that lets this one in.
    fn found(&mut self, out: &mut Vec<Effect>) {
        let others = self.configured.iter().filter(|id| **id != self.own.id);
        let blank =
            |id: &Id| self.here.get(id).filter(|here| here.1).map(|here| Voter { id: *id, birth: here.0 });
        let Some(mut voters) = others.map(blank).collect::<Option<Vec<_>>>() else { return };
        if self.configured.first() != Some(&self.own.id) {
            return;
        }
        voters.push(self.own);
        voters.sort_unstable();
        self.founded(voters.clone(), out);
        for other in self.others() {
            self.promise(other, Say::Found { voters: voters.clone() }, out);
        }
    }

    fn founded(&mut self, voters: Vec<Voter>, out: &mut Vec<Effect>) {
        let first = Entry { index: 1, term: 0, what: What::Voters(voters) };
        self.log.push(first.clone());
        self.write(Write::Log { from: 1, entries: vec![first] }, out);
        self.play(Founded, out);
    }

    fn ask(&mut self, out: &mut Vec<Effect>) {
        self.yes = BTreeSet::from([self.own]);
        let say = Say::PreVote { index: self.log.last(), term: self.log.last_term() };
        for other in self.others() {
            out.push(Effect::Send(self.post(other, self.term + 1, say.clone())));
        }
        if self.most(|voter| *voter == self.own) {
            self.play(Won, out);
        }
    }

    fn stand(&mut self, out: &mut Vec<Effect>) {
        (self.term, self.vote, self.leader) = (self.term + 1, Some(self.own), None);
        // Its own vote counts once it is written, like any other's.
        self.yes = BTreeSet::new();
        self.write_vote(out);
        let say = Say::Vote { index: self.log.last(), term: self.log.last_term() };
        for other in self.others() {
            self.promise(other, say.clone(), out);
        }
        out.push(Effect::Alarm(Alarm::Patience));
    }

    /// Its own vote, and whether all of them are enough.
    fn count(&mut self, out: &mut Vec<Effect>) {
        if self.role == Standing && self.written == self.asked {
            self.yes.insert(self.own);
            if self.most(|voter| self.yes.contains(voter)) {
                self.play(Won, out);
            }
        }
    }

    fn lead(&mut self, out: &mut Vec<Effect>) {
        self.leader = Some(self.own.id);
        out.push(Effect::Turned { leads: true, term: self.term });
        out.push(Effect::Alarm(Alarm::Beat));
        self.add(What::Nothing, out);
    }

    /// One more entry, sent at once.
    fn add(&mut self, what: What, out: &mut Vec<Effect>) -> Index {
        let entry = Entry { index: self.log.last() + 1, term: self.term, what };
        let index = entry.index;
        self.log.push(entry.clone());
        self.write(Write::Log { from: index, entries: vec![entry] }, out);
        self.append_all(out);
        index
    }

    fn propose(&mut self, ticket: u64, command: Vec<u8>, out: &mut Vec<Effect>) {
        if self.role != Leading || command.len() > COMMAND {
            return out.push(Effect::Refused { ticket, leader: self.leader });
        }
        let index = self.add(What::Command(command), out);
        self.tickets.insert(index, ticket);
    }

    fn append_all(&mut self, out: &mut Vec<Effect>) {
        let next = self.log.last();
        for other in self.others() {
            // A new leader begins with its own first entry.
            self.peers.entry(other).or_insert(Peer { next, ..Peer::default() });
            self.append(other, out);
        }
    }

    fn append(&mut self, to: Voter, out: &mut Vec<Effect>) {
        let Some(next) = self.peers.get(&to).map(|peer| peer.next.max(1)) else { return };
        let say = match self.log.term(next - 1) {
            Some(term) => {
                let (index, entries) = (next - 1, self.log.batch(next));
                Say::Append { index, term, entries, commit: self.commit }
            }
            None => Say::Snapshot { snapshot: self.log.snapshot.clone() },
        };
        self.send(to, say, out);
    }

    /// Agreed is what most voters have on their disks, from the first entry of this term on.
    fn agree(&mut self, out: &mut Vec<Effect>) {
        let (own, durable) = (self.own, self.durable);
        let has = |voter: &Voter, index| match *voter == own {
            true => durable >= index,
            false => self.peers.get(voter).is_some_and(|peer| peer.matched >= index),
        };
        let mut commit = self.log.last();
        while commit > self.commit && !self.most(|voter| has(voter, commit)) {
            commit -= 1;
        }
        if commit > self.commit && self.log.term(commit) == Some(self.term) {
            self.commit = commit;
            self.apply(out);
            self.append_all(out);
            if !self.votes() {
                // The voters that it agreed on leave it out: they choose another.
                self.leader = None;
                return self.play(Alone, out);
            }
            self.mend(out);
        }
    }

    fn apply(&mut self, out: &mut Vec<Effect>) {
        while self.applied < self.commit {
            self.applied += 1;
            let (index, ticket) = (self.applied, self.tickets.remove(&self.applied));
            if let Some(What::Command(command)) = self.log.get(index).map(|entry| entry.what.clone()) {
                out.push(Effect::Apply { index, command, ticket });
            }
        }
    }

    /// A leader brings the voters to those that are configured, one at a time, each agreed before the next:
    /// first a name's lost disk goes, then whoever is here comes in.
    fn mend(&mut self, out: &mut Vec<Effect>) {
        let (at, voters) = self.log.voters();
        let own_term = self.log.term(self.commit) == Some(self.term);
        if self.role != Leading || at > self.commit || !own_term {
            return;
        }
        let lost = |voter: &&Voter| {
            let other = self.here.get(&voter.id).is_some_and(|here| here.0 != voter.birth);
            **voter != self.own && (other || !self.configured.contains(&voter.id))
        };
        let mut next = voters.to_vec();
        if let Some(lost) = voters.iter().find(lost) {
            next.retain(|voter| voter != lost);
        } else {
            let named = |id: &&Id| voters.iter().any(|voter| voter.id == **id);
            let missing = self.configured.iter().filter(|id| !named(id));
            let come = missing
                .filter_map(|id| self.here.get(id).map(|here| Voter { id: *id, birth: here.0 }))
                .next();
            let Some(come) = come else { return };
            next.push(come);
            next.sort_unstable();
        }
        self.add(What::Voters(next), out);
    }

    fn heard(&mut self, post: Post, out: &mut Vec<Effect>) {
        let Post { from, to, term, ref say } = post;
        if to.id != self.own.id || (to.birth != 0 && to.birth != self.own.birth) || from.id == self.own.id {
            return;
        }
        // What is asked or answered about a term that nobody stands in yet changes none.
        let before = matches!(say, Say::PreVote { .. } | Say::PreVoted { yes: true } | Say::Here { .. });
        // Guards a leader against one that was let go, or cut off, and comes with a later term: while a
        // leader speaks, nobody else is voted for.
        let disturbs = matches!(say, Say::Vote { .. }) && !self.quiet && self.leader.is_some();
        if disturbs {
            return;
        }
        if term > self.term && !before {
            (self.term, self.vote, self.leader) = (term, None, None);
            self.write_vote(out);
            self.play(Later, out);
        }
        match post.say {
            Say::Here { blank } => self.is_here(&post, blank, out),
            Say::Found { voters } if self.role == Blank && voters.contains(&self.own) => {
                let known = self.here.get(&from.id).is_none_or(|here| here.0 == from.birth);
                if known && voters.contains(&from) {
                    self.founded(voters, out);
                }
            }
            Say::Found { .. } => {}
            Say::PreVote { index, term: last } => {
                // While a leader speaks nobody wants another.
                let yes = term > self.term && self.quiet && self.role != Leading;
                let yes = yes && self.log.covered_by(index, last);
                // A no tells the term that stands in the way.
                let term = if yes { term } else { self.term };
                out.push(Effect::Send(self.post(from, term, Say::PreVoted { yes })));
            }
            Say::PreVoted { yes } => {
                if self.role == Asking && term == self.term + 1 && yes {
                    self.yes.insert(from);
                    if self.most(|voter| self.yes.contains(voter)) {
                        self.play(Won, out);
                    }
                }
            }
            Say::Vote { index, term: last } => {
                let free = self.vote.is_none_or(|vote| vote == from);
                let yes = term == self.term && free && self.log.covered_by(index, last);
                if yes && self.vote.is_none() {
                    self.vote = Some(from);
                    self.write_vote(out);
                }
                self.promise(from, Say::Voted { yes }, out);
            }
            Say::Voted { yes } => {
                if self.role == Standing && term == self.term && yes {
                    self.yes.insert(from);
                    self.count(out);
                }
            }
            Say::Append { index, term: last, entries, commit } => {
                if term < self.term {
                    return self.send(from, Say::Appended { ok: false, index: 0 }, out);
                }
                self.follow(from, out);
                self.take(from, index, last, entries, commit, out);
            }
            Say::Snapshot { snapshot } => {
                if term < self.term {
                    return self.send(from, Say::Appended { ok: false, index: 0 }, out);
                }
                self.follow(from, out);
                if snapshot.index > self.commit {
                    (self.commit, self.applied) = (snapshot.index, snapshot.index);
                    self.log.restore(snapshot.clone());
                    self.write_snapshot(out);
                    out.push(Effect::Restore { snapshot });
                    self.play(Founded, out);
                }
                let index = self.commit;
                self.promise(from, Say::Appended { ok: true, index }, out);
            }
            Say::Appended { ok, index } => self.appended(from, term, ok, index, out),
        }
    }

    fn follow(&mut self, from: Voter, out: &mut Vec<Effect>) {
        (self.leader, self.quiet) = (Some(from.id), false);
        self.play(Heard, out);
    }

    fn take(
        &mut self,
        from: Voter,
        index: Index,
        term: Term,
        entries: Vec<Entry>,
        commit: Index,
        out: &mut Vec<Effect>,
    ) {
        // What is agreed can't differ, and what came before the snapshot is agreed.
        let same = index <= self.log.snapshot.index || self.log.term(index) == Some(term);
        if !same {
            let index = self.log.last().min(index.saturating_sub(1)).max(self.commit);
            return self.promise(from, Say::Appended { ok: false, index }, out);
        }
        let mut upto = index;
        let mut new = Vec::new();
        for entry in entries {
            // What does not follow on the one before it is no leader's word.
            if entry.index != upto + 1 {
                break;
            }
            upto = entry.index;
            let held = self.log.term(entry.index);
            if entry.index <= self.log.snapshot.index || held == Some(entry.term) {
                continue;
            }
            if held.is_some() {
                self.cut(entry.index);
            }
            if entry.index == self.log.last() + 1 {
                self.log.push(entry.clone());
                new.push(entry);
            }
        }
        if let Some(first) = new.first() {
            self.write(Write::Log { from: first.index, entries: new }, out);
            self.play(Founded, out);
        }
        if commit.min(upto) > self.commit {
            self.commit = commit.min(upto);
            self.apply(out);
        }
        self.promise(from, Say::Appended { ok: true, index: upto }, out);
    }

    /// Drops an entry and all after it: what is on the disk of them counts no more.
    fn cut(&mut self, from: Index) {
        self.log.cut(from);
        self.durable = self.durable.min(from - 1);
        self.ends.iter_mut().for_each(|end| end.1 = end.1.min(from - 1));
    }

    fn appended(&mut self, from: Voter, term: Term, ok: bool, index: Index, out: &mut Vec<Effect>) {
        if self.role != Leading || term != self.term {
            return;
        }
        let last = self.log.last();
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = true;
        if ok {
            peer.matched = peer.matched.max(index.min(last));
            let behind = peer.next <= last && peer.matched + 1 > peer.next;
            peer.next = peer.matched + 1;
            let more = behind && peer.next <= last;
            self.agree(out);
            if more && self.role == Leading {
                self.append(from, out);
            }
        } else {
            let next = (index + 1).min(peer.next.saturating_sub(1)).max(peer.matched + 1);
            if next != peer.next {
                peer.next = next;
                self.append(from, out);
            }
        }
    }
}
