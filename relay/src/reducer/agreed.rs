//! What is agreed across the fleet: the voter that this relay may be, its disk, and who leads. What a wish
//! comes to is in `wish.rs`, what a leader looks after in `look.rs`, what is shut in `shut.rs`.
use super::look::Said;
use super::release::Evidence;
use super::servers::server_id;
use super::wish::Wish;
use super::{note, Effect, Reducer, Timer};
use crate::talk::{Talk, Told};
use hallrelay_balancer::types::Micros;
use hallrelay_config::fleet::Voters;
use hallrelay_disruption::judge::Tally;
use hallrelay_disruption::{Command, Outcome, State, Thing};
use hallrelay_membership::membership::Event as Fleet;
use hallrelay_raft::{self as raft, Event, Id, Index, Node, Role, Voter, Write};
use hallrelay_recovery::{Kept, Stored};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A leader that is silent for so long, by chance up to twice that, is one no more. Four beats, and longer
/// than a process stands still on a busy machine.
const PATIENCE: Micros = 1_000_000;
const BEAT: Micros = 250_000;
/// Entries after which what came of them takes their place.
const ENTRIES: usize = 256;
/// Commands that wait to be agreed on.
const TICKETS: usize = 256;

pub(super) struct Agreed {
    pub own: Rc<str>,
    /// As configured.
    pub told: Voters,
    pub names: BTreeMap<Id, Rc<str>>,
    /// Where this relay is a voter that knows what it promised.
    pub node: Option<Node>,
    /// Of which life of the voter: what is written for an earlier one counts for nothing.
    life: u32,
    birth: u64,
    /// Entries on the disk, first and last.
    kept: (Index, Index),
    pub state: State,
    pub applied: Index,
    rounds: [u32; 2],
    chance: oorandom::Rand64,
    tickets: BTreeMap<u64, (Rc<str>, u64)>,
    last_ticket: u64,
    pub leader: Option<Rc<str>>,
    /// Which voter is asked next where none is known to lead.
    turn: usize,
    /// Of operators, by their calls.
    pub wishes: BTreeMap<u32, Wish>,
    pub last_call: u64,
    pub shut: (Index, BTreeSet<String>),
    pub moves: u32,
    /// Thousandths of a session that are to be moved off shut servers still.
    pub owed: u64,
    pub said: BTreeMap<Rc<str>, Said>,
    pub evidence: Evidence,
    /// Since when each has its grant, by this process's eyes.
    pub since: BTreeMap<Thing, (u64, Micros)>,
}

impl Agreed {
    pub(super) fn new(own: &str, told: &Voters, seed: u64, now: Micros) -> Agreed {
        let names = told.names.iter().map(|name| (server_id(name), Rc::from(name.as_str()))).collect();
        let chance = oorandom::Rand64::new(u128::from(seed) << 64 | u128::from(now) << 1 | 1);
        Agreed {
            own: own.into(),
            told: told.clone(),
            names,
            node: None,
            life: 0,
            birth: 0,
            kept: (1, 0),
            state: State::default(),
            applied: 0,
            rounds: [0; 2],
            chance,
            tickets: BTreeMap::new(),
            last_ticket: 0,
            leader: None,
            turn: 0,
            wishes: BTreeMap::new(),
            // No earlier life of this relay has said one as late.
            last_call: now,
            shut: Default::default(),
            moves: told.moves,
            owed: 0,
            said: BTreeMap::new(),
            evidence: Evidence::default(),
            since: BTreeMap::new(),
        }
    }

    pub(super) fn votes(&self) -> bool {
        self.names.values().any(|name| *name == self.own)
    }

    pub(super) fn leads(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.role() == Role::Leader)
    }

    /// Where a command goes: to the leader, or to one voter after another till one tells who that is.
    pub(super) fn asked(&mut self) -> Option<Rc<str>> {
        if self.leads() {
            return Some(self.own.clone());
        }
        if let Some(leader) = self.leader.clone().filter(|leader| *leader != self.own) {
            return Some(leader);
        }
        self.turn += 1;
        let others: Vec<&Rc<str>> = self.names.values().filter(|name| **name != self.own).collect();
        others.get(self.turn % others.len().max(1)).map(|name| Rc::clone(name))
    }
}

impl Reducer {
    /// What the store held of it, told before the start or as the store is this process's.
    pub(super) fn begin_to_agree(&mut self, stored: Option<&Stored>, out: &mut Vec<Effect>) {
        let (now, seed) = (self.now, self.node.seed);
        let Some(a) = &mut self.agreed else { return };
        let own = stored.filter(|stored| stored.name.as_deref().is_none_or(|name| *name == *a.own));
        if let Some(stored) = own.filter(|stored| stored.shut.0 >= a.shut.0) {
            a.shut.clone_from(&stored.shut);
        }
        // A voter whose disk is not read does not know what it promised.
        if stored.is_none() || !a.votes() || a.node.is_some() {
            return;
        }
        let (birth, agreed) = match own.and_then(|own| Some((own.birth?, own.agreed.clone()))) {
            Some(known) => known,
            None => {
                note("this relay's disk holds no promise: it votes as a new voter, once it is let in", out);
                (seed ^ now.rotate_left(20) | 1, raft::PersistentState::default())
            }
        };
        // A birth that is not on the disk is none after the next start.
        out.push(Effect::Persist { kept: Kept::vote(birth, agreed.term, agreed.voted_for), before: None });
        // Guards a process that has its place back: the log is applied from its beginning once more.
        (a.state, a.applied) = Default::default();
        let mut told = Vec::new();
        a.birth = birth;
        a.life += 1;
        let first = agreed.snapshot.index + 1;
        a.kept = (first, first + agreed.entries.len() as Index - 1);
        let id = server_id(&a.own);
        let ids = a.names.keys().copied().collect();
        a.node = Some(Node::new(Voter { id, incarnation: birth }, ids, agreed, &mut told));
        self.carry_agreed(told, out);
    }

    /// Another process has the place, and the disk.
    pub(super) fn cease_to_agree(&mut self) {
        if let Some(a) = &mut self.agreed {
            a.node = None;
            a.tickets.clear();
        }
    }

    pub(super) fn agree(&mut self, event: Event, out: &mut Vec<Effect>) {
        let Some(node) = self.agreed.as_mut().and_then(|a| a.node.as_mut()) else { return };
        let mut told = Vec::new();
        node.step(event, &mut told);
        self.carry_agreed(told, out);
    }

    /// What was to be written for a life of the voter is on the disk.
    pub(super) fn vowed(&mut self, life: u32, number: u64, out: &mut Vec<Effect>) {
        if self.agreed.as_ref().is_some_and(|a| a.life == life) {
            self.agree(Event::WritesDurable(number), out);
        }
    }

    pub(super) fn agreed_alarm(&mut self, alarm: raft::Timer, round: u32, out: &mut Vec<Effect>) {
        if self.agreed.as_ref().is_some_and(|a| a.rounds[alarm as usize] == round) {
            self.agree(Event::TimerExpired(alarm), out);
        }
    }

    fn carry_agreed(&mut self, told: Vec<raft::Effect>, out: &mut Vec<Effect>) {
        for effect in told {
            let Some(a) = &mut self.agreed else { return };
            match effect {
                raft::Effect::Send(post) => {
                    let Some(name) = a.names.get(&post.to.id).cloned() else { continue };
                    self.talk(&name, &Talk::Post(post), out);
                }
                raft::Effect::Write { number, write } => {
                    let (life, kept) = (a.life, a.written(write));
                    out.push(Effect::PersistVoterWrites { life, number, kept });
                }
                raft::Effect::SetTimer(alarm) => {
                    let after = match alarm {
                        raft::Timer::ElectionTimeout => PATIENCE + a.chance.rand_range(0..PATIENCE),
                        raft::Timer::HeartbeatTimeout => BEAT,
                    };
                    a.rounds[alarm as usize] += 1;
                    let alarm = Timer::Voter(alarm, a.rounds[alarm as usize]);
                    out.push(Effect::StartTimer { after, alarm });
                }
                raft::Effect::Apply { index, command, proposal_id } => {
                    self.apply(index, &command, proposal_id, out);
                }
                raft::Effect::RestoreSnapshot { snapshot } => match State::decode(&snapshot.state) {
                    Ok(state) => (a.state, a.applied) = (state, snapshot.index),
                    Err(_) => self.too_old("a snapshot", out),
                },
                raft::Effect::ProposalRejected { proposal_id, leader } => {
                    let leader = leader.and_then(|id| a.names.get(&id)).map(ToString::to_string);
                    self.answer_ticket(Some(proposal_id), Told::Elsewhere(leader), out);
                }
                raft::Effect::ProposalOutcomeUnknown { proposal_id } => {
                    self.answer_ticket(Some(proposal_id), Told::Unknown, out);
                }
                raft::Effect::LeadershipChanged { is_leader, term } => {
                    a.since.clear();
                    if is_leader {
                        a.leader = Some(a.own.clone());
                    }
                    let word = if is_leader { "leads" } else { "leads no more" };
                    note(format!("this relay {word} what is agreed, term {term}"), out);
                }
            }
        }
    }

    /// Guards a voter of an older build: it would apply otherwise than the others, so it votes no more.
    fn too_old(&mut self, what: &str, out: &mut Vec<Effect>) {
        note(format!("{what} of the agreed log is of a later version: this relay is no voter any more"), out);
        self.cease_to_agree();
    }

    fn apply(&mut self, index: Index, command: &[u8], ticket: Option<u64>, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(a) = &mut self.agreed else { return };
        a.applied = index;
        let outcome = match Command::decode(command) {
            Ok(command) => {
                let outcome = a.state.apply(&command);
                if let Command::Ask { force: true, thing, by, why, .. } = &command {
                    note(format!("{thing} is let out past the budgets by {by}: {why}"), out);
                }
                outcome
            }
            Err(hallrelay_disruption::Fault::Version) => return self.too_old("a command", out),
            Err(fault) => Outcome::Not(fault),
        };
        let held = a.state.things().filter(|(_, r)| r.grant != 0);
        let held: BTreeMap<Thing, u64> = held.map(|(thing, r)| (thing.clone(), r.grant)).collect();
        a.since.retain(|thing, since| held.get(thing) == Some(&since.0));
        for (thing, grant) in held {
            a.since.entry(thing).or_insert((grant, now));
        }
        let long = a.node.as_ref().is_some_and(|node| node.log().entries().len() > ENTRIES);
        self.answer_ticket(ticket, Told::Outcome(outcome), out);
        self.shut_by_log(out);
        if long {
            let Some(state) = self.agreed.as_ref().map(|a| a.state.encode()) else { return };
            self.agree(Event::Compact { index, state }, out);
        }
    }

    /// A command of this relay or another goes into the log, where this one leads.
    pub(super) fn propose(&mut self, who: &Rc<str>, call: u64, command: Vec<u8>, out: &mut Vec<Effect>) {
        let Some(a) = &mut self.agreed else { return };
        if a.node.is_none() || a.tickets.len() >= TICKETS {
            let leader = a.leader.as_ref().filter(|leader| **leader != a.own).map(ToString::to_string);
            return self.answer_call(&who.clone(), call, Told::Elsewhere(leader), out);
        }
        a.last_ticket += 1;
        let ticket = a.last_ticket;
        a.tickets.insert(ticket, (who.clone(), call));
        self.agree(Event::Propose { proposal_id: ticket, command }, out);
    }

    fn answer_ticket(&mut self, ticket: Option<u64>, told: Told, out: &mut Vec<Effect>) {
        let asked = ticket.and_then(|ticket| self.agreed.as_mut()?.tickets.remove(&ticket));
        if let Some((who, call)) = asked {
            self.answer_call(&who, call, told, out);
        }
    }

    fn answer_call(&mut self, who: &Rc<str>, call: u64, told: Told, out: &mut Vec<Effect>) {
        let own = self.agreed.as_ref().is_some_and(|a| a.own == *who);
        match own {
            true => self.wish_told(call, told, out),
            false => self.talk(who, &Talk::Answer { call, told }, out),
        }
    }

    pub(super) fn talk(&mut self, to: &Rc<str>, talk: &Talk, out: &mut Vec<Effect>) {
        self.fleet(Fleet::Say { name: Some(to.clone()), bytes: talk.encode() }, out);
    }

    /// A member's word. Only voters' words on what is agreed count.
    pub(super) fn said(&mut self, name: &Rc<str>, bytes: &[u8], out: &mut Vec<Effect>) {
        let Some(a) = &mut self.agreed else { return };
        let Some(talk) = Talk::decode(bytes) else { return };
        let voter = a.names.values().any(|voter| voter == name);
        match talk {
            Talk::Post(post) if a.names.get(&post.from.id) == Some(name) => {
                self.agree(Event::MessageReceived(post), out);
            }
            Talk::Ask { call, command } => self.propose(name, call, command, out),
            Talk::Answer { call, told } if voter => {
                match &told {
                    Told::Elsewhere(leader) => a.leader = leader.as_deref().map(Rc::from),
                    _ => a.leader = Some(name.clone()),
                }
                self.wish_told(call, told, out);
            }
            Talk::Serving { zone, kind, group, serving, left, tallies } => {
                for (thing, sessions, bad) in tallies {
                    a.evidence.hear(thing, Tally { sessions, bad });
                }
                let said = Said { at: self.now, zone, kind, group, serving, left };
                a.said.insert(name.clone(), said);
            }
            Talk::Shut { index, servers, moves } if voter => {
                a.leader = Some(name.clone());
                a.moves = moves;
                self.shut(index, servers.into_iter().collect(), out);
            }
            Talk::Post(_) | Talk::Answer { .. } | Talk::Shut { .. } => {}
        }
    }
}

impl Agreed {
    /// A write as facts for the store.
    fn written(&mut self, write: Write) -> Vec<Kept> {
        let (first, last) = self.kept;
        match write {
            Write::Vote { term, voted_for } => vec![Kept::vote(self.birth, term, voted_for)],
            Write::Log { from, entries } => {
                let end = from + entries.len() as Index - 1;
                self.kept = (first.min(from), end);
                let gone = (end + 1..=last).map(Kept::no_entry);
                entries.iter().map(Kept::entry).chain(gone).collect()
            }
            Write::Snapshot { snapshot, entries } => {
                let stays = |index: &Index| entries.iter().any(|entry| entry.index == *index);
                let gone = (first..=last).filter(|index| !stays(index)).map(Kept::no_entry);
                let kept = std::iter::once(Kept::snapshot(&snapshot)).chain(gone).collect();
                self.kept = (snapshot.index + 1, snapshot.index + entries.len() as Index);
                kept
            }
        }
    }
}
