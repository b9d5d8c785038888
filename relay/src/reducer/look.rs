//! What each relay says of itself, and what a leader looks after: how all do, who serves again, grants that
//! nobody began, and that all hear what is shut.
use super::{Effect, Reducer, Timer};
use crate::talk::Talk;
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_disruption::judge::Tally;
use hallrelay_disruption::{Command, Condition, Place, Stage, Step, Thing};
use hallrelay_membership::membership::Event as Fleet;
use hallrelay_membership::{Duty, State as Member};
use serde::Serialize;

/// How often; a drain that is agreed is heard by all within it, and a failure takes room as soon.
const LOOK: Micros = 1_000_000;
/// Commands of one look: after a split of a thousand all are told within some seconds.
const MOST: usize = 64;
/// A relay's word is heard by now that it drains, if it does.
const BEGINS: Micros = 3 * LOOK;
/// A relay's word of what is left was said after it heard what is out.
pub(super) const HEARD: Micros = 3 * LOOK;
/// Probes in a row without an answer.
const MISSES: u32 = 2;

/// What a relay said of itself last.
pub(super) struct Said {
    pub at: Micros,
    pub zone: String,
    pub kind: String,
    pub group: String,
    pub serving: bool,
    pub left: Vec<(String, u32)>,
}

/// What staff are told of what is agreed.
#[derive(Serialize)]
struct Told<'a> {
    leader: Option<&'a str>,
    leads: bool,
    role: &'a str,
    term: u64,
    index: u64,
    voters: usize,
    budgets: Vec<String>,
    things: Vec<Row>,
    known: usize,
}

#[derive(Serialize)]
struct Row {
    what: String,
    stage: &'static str,
    condition: &'static str,
    grant: u64,
    by: String,
    why: String,
    forced: bool,
    /// Sessions that relays told of there; for servers that are out.
    left: Option<u32>,
    held_by: Option<String>,
}

impl Reducer {
    pub(super) fn begin_to_look(&mut self, out: &mut Vec<Effect>) {
        if self.agreed.is_some() {
            out.push(Effect::StartTimer { after: LOOK, alarm: Timer::LeaderReview });
        }
    }

    pub(super) fn look(&mut self, out: &mut Vec<Effect>) {
        out.push(Effect::StartTimer { after: LOOK, alarm: Timer::LeaderReview });
        if !self.place.has() {
            return;
        }
        self.move_off(out);
        self.say_serving(out);
        let Some(a) = self.agreed.as_ref().filter(|a| a.leads()) else { return };
        let shut = Talk::Shut {
            index: a.applied,
            servers: a.shut_servers().into_iter().collect(),
            moves: a.told.moves,
        };
        let own = a.own.clone();
        self.fleet(Fleet::Say { name: None, bytes: shut.encode() }, out);
        let judged = self.judged();
        for command in self.due_commands().into_iter().chain(judged) {
            let call = 0; // nobody waits for its answer
            self.propose(&own, call, command.encode(), out);
        }
    }

    fn say_serving(&mut self, out: &mut Vec<Effect>) {
        let serving = self.serves();
        let left = self.left_on_shut();
        let zone = self.own_zone();
        let tallies = self.tallies();
        let now = self.now;
        let Some(a) = &mut self.agreed else { return };
        for (thing, sessions, bad) in tallies.clone() {
            a.evidence.hear(thing, Tally { sessions, bad });
        }
        let (kind, group) = (a.told.kind.clone(), a.told.group.clone());
        let said = Talk::Serving {
            zone: zone.clone(),
            kind: kind.clone(),
            group: group.clone(),
            serving,
            left: left.clone(),
            tallies,
        };
        let said = said.encode();
        a.said.insert(a.own.clone(), Said { at: now, zone, kind, group, serving, left });
        let others: Vec<_> = a.names.values().filter(|name| **name != a.own).cloned().collect();
        for name in others {
            self.fleet(Fleet::Say { name: Some(name), bytes: said.clone() }, out);
        }
    }

    fn own_zone(&self) -> String {
        let site = &self.node.site;
        site.zones.get(usize::from(site.facts.zone)).cloned().unwrap_or_default()
    }

    /// What the log does not say yet of what this leader sees.
    fn due_commands(&self) -> Vec<Command> {
        let Some(a) = &self.agreed else { return Vec::new() };
        let mut due = Vec::new();
        if a.state.budgets() != a.told.budgets {
            due.push(Command::Budgets(a.told.budgets.clone()));
        }
        let mut seen = self.relays_seen();
        seen.extend(self.servers_seen());
        for (thing, place, condition) in seen {
            let held = a.state.get(&thing);
            let same = held.is_some_and(|r| r.condition == condition && r.place == place);
            if !same && (held.is_some() || condition != Condition::Gone) {
                due.push(Command::Seen { thing, place, condition });
            }
        }
        for (thing, r) in a.state.things() {
            let since = a.since.get(thing).map_or(self.now, |since| since.1);
            if r.stage == Stage::Granted && self.now >= since + a.told.begin_within {
                due.push(Command::Lapse { thing: thing.clone(), grant: r.grant });
            }
            // Who was let out and says by now that it serves is back, or never began.
            let Thing::Relay(name) = thing else { continue };
            let serves =
                a.said.get(name.as_str()).is_some_and(|said| said.serving && said.at > since + BEGINS);
            // Out for a release it serves on: whoever deploys says when it is changed.
            let released = a.state.release().is_some_and(|release| {
                let open = |step| matches!(step, Step::Going | Step::Undoing);
                release.items.iter().any(|item| item.thing == *thing && open(item.step))
            });
            if r.stage == Stage::Out && serves && !released {
                due.push(Command::Back { thing: thing.clone() });
            }
        }
        due.truncate(MOST);
        due
    }

    /// The other relays as membership has them, and this one.
    fn relays_seen(&self) -> Vec<(Thing, Place, Condition)> {
        let (Some(a), Some(fleet)) = (&self.agreed, &self.fleet) else { return Vec::new() };
        let place = |name: &str| {
            let said = a.said.get(name);
            let of = |get: fn(&Said) -> &String| said.map(get).cloned().unwrap_or_default();
            Place { zone: of(|s| &s.zone), kind: of(|s| &s.kind), group: of(|s| &s.group) }
        };
        let condition = |state: Member, duty: Duty| match (state, duty) {
            (Member::Alive | Member::Suspect, Duty::Serving) => Condition::Up,
            (Member::Alive | Member::Suspect, Duty::Starting) => Condition::Cold,
            _ => Condition::Down,
        };
        let others = fleet.members().filter(|m| a.said.contains_key(&m.claim.name));
        let mut seen: Vec<_> = others
            .map(|m| {
                let name = &m.claim.name;
                (Thing::Relay(name.to_string()), place(name), condition(m.claim.state, m.claim.about.duty))
            })
            .collect();
        let own = if self.serves() { Condition::Up } else { Condition::Down };
        seen.push((Thing::Relay(a.own.to_string()), place(&a.own), own));
        seen
    }

    /// Servers as the list and this relay's own probes have them; one that left the list is forgotten.
    fn servers_seen(&self) -> Vec<(Thing, Place, Condition)> {
        let Some(a) = &self.agreed else { return Vec::new() };
        let warm_up = self.node.site.facts.warm_up;
        let seen = self.servers.values().filter(|v| v.told.phase != Phase::Gone).map(|v| {
            let told = &v.told;
            let cold = v.is_cold(self.now, warm_up);
            let silent = v.misses >= MISSES || v.refused >= MISSES;
            let condition = match told.phase {
                Phase::Ready if silent => Condition::Down,
                Phase::Ready if cold => Condition::Cold,
                Phase::Ready => Condition::Up,
                Phase::Draining | Phase::Gone => Condition::Down,
            };
            let place = Place { zone: told.zone.clone(), group: told.cell.to_string(), ..Place::default() };
            (Thing::Server(told.id.clone()), place, condition)
        });
        let mut seen: Vec<_> = seen.collect();
        for (thing, r) in a.state.things() {
            let Thing::Server(name) = thing else { continue };
            let listed = self.ids.get(name).and_then(|id| self.servers.get(id));
            // Guards a leader whose list is dark since its start: it forgets nobody.
            let known = self.spoken.is_some();
            if known && listed.is_none_or(|v| v.told.phase == Phase::Gone) {
                seen.push((thing.clone(), r.place.clone(), Condition::Gone));
            }
        }
        seen
    }

    /// What is agreed, as JSON; none where nothing is.
    pub(super) fn grants_status(&self) -> Option<String> {
        let a = self.agreed.as_ref()?;
        let role = a.node.as_ref().map_or("no voter", |node| node.role().as_str());
        let budget = |b: &hallrelay_disruption::Budget| {
            let count = b.count.map(|n| format!(" {n}")).unwrap_or_default();
            let part = b.part.map(|p| format!(" {} in 100", f64::from(p) / 1e4)).unwrap_or_default();
            format!("{} {:?}:{count}{part}", b.of.word(), b.scope).to_lowercase()
        };
        let row = |(thing, r): (&Thing, &hallrelay_disruption::Record)| Row {
            what: thing.to_string(),
            stage: r.stage.word(),
            condition: match r.condition {
                Condition::Up => "up",
                Condition::Cold => "cold",
                Condition::Down => "down",
                Condition::Gone => "gone",
            },
            grant: r.grant,
            by: r.by.clone(),
            why: r.why.clone(),
            forced: r.forced,
            left: matches!((thing, r.stage), (Thing::Server(_), Stage::Out)).then(|| a.left(thing.name())),
            held_by: (r.stage == Stage::Waiting).then(|| a.state.held(thing, r)).flatten().map(|held| held.0),
        };
        let out = a.state.things().filter(|(_, r)| r.stage != Stage::In || r.condition != Condition::Up);
        let told = Told {
            leader: a.leader.as_deref(),
            leads: a.leads(),
            role,
            term: a.node.as_ref().map_or(0, hallrelay_raft::Node::term),
            index: a.applied,
            voters: a.node.as_ref().map_or(0, |node| node.voters().len()),
            budgets: a.state.budgets().iter().map(budget).collect(),
            things: out.map(row).collect(),
            known: a.state.things().count(),
        };
        serde_json::to_string(&told).ok()
    }
}

impl super::agreed::Agreed {
    /// Sessions left at a server, by what relays said last.
    pub(super) fn left(&self, server: &str) -> u32 {
        let all = self.said.values().flat_map(|said| &said.left);
        all.filter(|(name, _)| name == server).map(|(_, n)| n).sum()
    }
}
