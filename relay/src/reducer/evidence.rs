//! What a server's own answers tell of its starts while discovery says nothing: one that took no connection
//! and then answers has most likely started in between, and is cold. Guards rule 4 after a power loss, when
//! nobody tells of starts and a list that is old calls all servers warm; it guards a crash during an outage
//! of the list service too. It hurts where a network was cut for a while: those servers are spared for one
//! warm-up, till discovery speaks.
use super::Reducer;
use hallrelay_balancer::types::{DialEnd, Input, ListUpdate, ServerId};

/// Connections in a row that were not made: one may be a lost packet.
const MISSED: u32 = 2;
/// As many without any answer, at so many servers, and the whole fleet counts as dark. Guards cold servers
/// against relays of few sessions, which meet each server too seldom: of 300 relays that came back all sent
/// their clients to the one that had answered first, and it fell over on each of four days.
const SPELL: u32 = 6;
const SPELL_SERVERS: usize = 3;

/// Connections that were not made since any server answered, and at which servers.
#[derive(Default)]
pub(super) struct Spell {
    misses: u32,
    servers: [Option<ServerId>; SPELL_SERVERS],
}

impl Spell {
    /// True once, when it has lasted long enough.
    fn missed(&mut self, server: ServerId) -> bool {
        let free = self.servers.iter().position(|one| one.is_none_or(|one| one == server));
        if let Some(at) = free {
            self.servers[at] = Some(server);
        }
        let was = self.is();
        self.misses = self.misses.saturating_add(1);
        self.is() && !was
    }

    fn is(&self) -> bool {
        self.misses >= SPELL && self.servers.iter().all(Option::is_some)
    }
}

impl Reducer {
    /// A dial or a probe came to an end at a server.
    pub(super) fn meets(&mut self, server: Option<ServerId>, end: DialEnd, out: &mut Vec<super::Effect>) {
        if self.node.state.is_none() && self.node.fleet.is_none() {
            return;
        }
        // A watch that speaks tells of starts itself.
        let dark = self.watch.before.is_none();
        let Some((id, v)) = server.and_then(|id| Some((id, self.servers.get_mut(&id)?))) else { return };
        if end == DialEnd::Unconnected {
            v.refused += 1;
            if self.spell.missed(id) {
                self.servers.values_mut().for_each(|v| v.refused = v.refused.max(MISSED));
            }
            return;
        }
        // Silence tells neither way: whoever waits was connected.
        let answers = matches!(end, DialEnd::Ok | DialEnd::Full | DialEnd::Error | DialEnd::Recalled);
        if answers {
            self.spell = Spell::default();
        }
        if !answers || std::mem::take(&mut v.refused) < MISSED || !dark {
            return;
        }
        let mut one = v.told.clone();
        one.came_up = self.now;
        let endpoint = self.endpoint(one, ListUpdate::Delta);
        self.tell(Input::EndpointList { update: ListUpdate::Delta, endpoints: vec![endpoint] }, out);
    }
}
