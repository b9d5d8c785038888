//! Heartbeats between all pairs of relays: the baseline with which `hallrelay-lab members` compares
//! membership. No relay uses it.
use crate::Micros;

/// Interval between two heartbeats, the same as membership's probe period.
pub const HEARTBEAT_INTERVAL: Micros = 400_000;
/// Silence after which a peer counts as dead, the same as membership's longest suspicion timeout in a small
/// fleet.
pub const HEARTBEAT_TIMEOUT: Micros = 2_400_000;

/// One relay's view of its peers based on heartbeats only. Relays are numbered from 0.
pub struct PeerHeartbeats {
    last_received: Vec<Micros>,
    is_dead: Vec<bool>,
    local: usize,
}

impl PeerHeartbeats {
    /// Creates the view of relay `local` of `count` relays, all of which count as alive.
    pub fn new(local: usize, count: usize, now: Micros) -> PeerHeartbeats {
        PeerHeartbeats { last_received: vec![now; count], is_dead: vec![false; count], local }
    }

    /// The other relays. Each receives a heartbeat in each interval.
    pub fn peers(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.last_received.len()).filter(|peer| *peer != self.local)
    }

    /// Records a received heartbeat. Returns whether the sender counted as dead until now.
    pub fn receive(&mut self, from: usize, now: Micros) -> bool {
        self.last_received[from] = now;
        std::mem::replace(&mut self.is_dead[from], false)
    }

    /// The peers that died since the last call.
    pub fn newly_dead(&mut self, now: Micros) -> Vec<usize> {
        let is_silent = |peer: &usize| now.saturating_sub(self.last_received[*peer]) > HEARTBEAT_TIMEOUT;
        let found: Vec<usize> = self.peers().filter(|peer| is_silent(peer) && !self.is_dead[*peer]).collect();
        for peer in &found {
            self.is_dead[*peer] = true;
        }
        found
    }
}
