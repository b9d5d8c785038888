//! What other relays tell of the list while its service is dark. Their word may name a backend to try and
//! shut one; it can't open one that this relay was told to leave, and can't call one gone.
use super::{note, Effect, Reducer, Timer};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{self, Instance, List};
use hallrelay_membership::Event as MembershipEvent;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A start waits so long for discovery before it asks others: it answers within some ms where it is there.
const FIRST: Micros = 500_000;
/// One member is asked each half second till one told to whom discovery had spoken, then each ten seconds.
/// Who started as lately knows no more than its own configuration: with a stop at the first answer half of
/// the dials to servers that drained went on. 300 relays that wait ask each other twice a second in the mean.
const AGAIN: Micros = 500_000;
const LATER: Micros = 10_000_000;
/// Servers told to be gone that are remembered as such; the first by name are forgotten where there are more.
const GONE: usize = 4_096;

/// What one relay tells another.
#[derive(Serialize, Deserialize)]
struct Told {
    /// Where its list came from; versions of another source mean nothing.
    source: String,
    /// How long ago discovery spoke to it, in milliseconds; none where it never did in this life.
    age_ms: Option<u64>,
    list: Value,
}

impl Reducer {
    /// Asks others where discovery says nothing: this relay has its place, and its start is over.
    pub(super) fn begin_to_ask(&mut self, out: &mut Vec<Effect>) {
        if self.membership.is_some() {
            out.push(Effect::StartTimer { after: FIRST, alarm: Timer::PollPeers });
        }
    }

    pub(super) fn recall(&mut self, out: &mut Vec<Effect>) {
        if self.spoken.is_some() || !self.place.has() {
            return;
        }
        let again = if self.informed { LATER } else { AGAIN };
        out.push(Effect::StartTimer { after: again, alarm: Timer::PollPeers });
        self.step_membership(MembershipEvent::PollEndpointList, out);
    }

    /// Another relay asks for the list as it stands here.
    pub(super) fn tell_list(&mut self, stream: u64, out: &mut Vec<Effect>) {
        let told = self.generation.map(|generation| {
            let listed = self.servers.values().map(|v| &v.told).filter(|told| told.phase != Phase::Gone);
            Told {
                source: self.node.discovery.to_string(),
                age_ms: self.spoken.map(|at| self.now.saturating_sub(at) / 1000),
                list: list::encode(generation, true, listed),
            }
        });
        let bytes = told.and_then(|told| serde_json::to_vec(&told).ok());
        self.step_membership(MembershipEvent::EndpointListReply { stream, bytes }, out);
    }

    /// What another relay says of the list. Discovery's own word, where it came meanwhile, outranks it.
    pub(super) fn heard_say(&mut self, name: &str, bytes: &[u8], out: &mut Vec<Effect>) {
        if self.spoken.is_some() {
            return;
        }
        let Ok(told) = serde_json::from_slice::<Told>(bytes) else { return };
        let Ok(list) = list::parse(told.list.to_string().as_bytes()) else { return };
        let changed: Vec<Instance> = list.instances.into_iter().filter_map(|one| self.weigh(one)).collect();
        self.hearsay += 1;
        self.informed |= told.age_ms.is_some() && told.source == self.node.discovery.to_string();
        if changed.is_empty() {
            return;
        }
        note(
            format!("{} servers by the word of relay {name}, as discovery says nothing", changed.len()),
            out,
        );
        // This relay's own version stays: discovery is to tell all that came after it.
        let generation = self.generation.unwrap_or(0);
        self.list(List { generation, instances: changed, ..List::default() }, out);
    }

    /// What of one server is taken on another's word; none where it changes nothing.
    fn weigh(&self, one: Instance) -> Option<Instance> {
        let held = self.ids.get(&one.id).and_then(|id| self.servers.get(id)).map(|v| &v.told);
        let gone = self.gone.get(&one.id).copied();
        let gone = gone.or(held.filter(|h| h.phase == Phase::Gone).map(|h| h.came_up));
        match (held, gone) {
            // Told to be gone: it is another life of it, or nothing.
            (_, Some(then)) => (one.came_up > then).then_some(one),
            (None, None) => Some(one),
            (Some(held), None) => {
                let anew = one.came_up > held.came_up;
                let shuts = held.phase == Phase::Ready && one.phase == Phase::Draining;
                // A later start makes it cold, a drain shuts it: both are the cautious side.
                let phase = if held.phase == Phase::Draining && !anew { Phase::Draining } else { one.phase };
                (anew || shuts).then_some(Instance { phase, ..one })
            }
        }
    }

    /// Discovery tells that servers are gone: no other's word brings them back.
    pub(super) fn remember_gone(&mut self, list: &List) {
        if self.membership.is_none() {
            return;
        }
        if list.whole {
            let named = |id: &str| list.instances.iter().any(|one| one.id == id);
            let left_out = self.servers.values().map(|v| &v.told).filter(|told| !named(&told.id));
            self.gone.extend(left_out.map(|told| (told.id.clone(), told.came_up)));
        }
        for one in &list.instances {
            match one.phase {
                Phase::Gone => _ = self.gone.insert(one.id.clone(), one.came_up),
                Phase::Ready | Phase::Draining => _ = self.gone.remove(&one.id),
            }
        }
        while self.gone.len() > GONE {
            self.gone.pop_first();
        }
    }
}
