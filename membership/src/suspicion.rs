//! Suspected members and their timeouts to refute (SWIM section 4.2, Lifeguard's LHA-Suspicion).
use crate::events::Effect;
use crate::update::{MemberState, Update};
use crate::{Membership, Micros, MILLISECOND};
use std::collections::BTreeSet;
use std::rc::Rc;

/// Shortest suspicion timeout in a small fleet.
pub(crate) const MIN_SUSPICION_TIMEOUT: Micros = 800 * MILLISECOND;
/// Shortest suspicion timeout per decimal logarithm of the number of members. A refutation needs several
/// rounds of gossip in each direction.
const MIN_SUSPICION_TIMEOUT_PER_LOG: Micros = 400 * MILLISECOND;
/// Lifeguard's beta: ratio of the longest suspicion timeout to the shortest.
const MAX_SUSPICION_MULTIPLIER: Micros = 6;
/// Lifeguard's K: number of independent confirmations that reduce the timeout to the shortest.
const MAX_CONFIRMATIONS: usize = 3;
/// Number of pings to a suspect after its timeout, before this relay declares it dead. If this relay missed
/// the refutation, the answer to a ping contains it.
const FINAL_PINGS: u32 = 2;
/// Interval of the final pings.
const FINAL_PING_INTERVAL: Micros = 100 * MILLISECOND;
/// Expected number of members that probe a newly suspected member immediately, to confirm or refute the
/// suspicion sooner.
const SUSPECT_PROBERS: usize = 6;

/// A suspected member.
pub(crate) struct Suspicion {
    /// Members that suspect it, each because of its own failed probe.
    reporters: BTreeSet<Rc<str>>,
    started_at: Micros,
    /// Time of the next final ping, or of declaring the member dead.
    deadline: Micros,
    /// Number of final pings sent so far.
    final_pings: u32,
}

impl Suspicion {
    pub(crate) fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Extends the suspicion by the duration of a stall of this process, and at least until
    /// [`MIN_SUSPICION_TIMEOUT`] from now.
    pub(crate) fn extend(&mut self, stalled_for: Micros, now: Micros) {
        let deadline = self.deadline.saturating_add(stalled_for);
        self.deadline = deadline.max(now + MIN_SUSPICION_TIMEOUT);
    }
}

impl Membership {
    /// Members that suspect the named member, as far as this relay knows.
    pub fn reporters(&self, name: &str) -> impl Iterator<Item = &Rc<str>> {
        self.suspicions.get(name).into_iter().flat_map(|suspicion| &suspicion.reporters)
    }

    /// Starts the suspicion of a member.
    pub(crate) fn start_suspicion(&mut self, update: Update, out: &mut Vec<Effect>) {
        let name = update.name;
        let reporter = update.reporter.unwrap_or_else(|| self.local.name.clone());
        let is_from_other = reporter != self.local.name;
        let suspicion = Suspicion {
            reporters: BTreeSet::from([reporter]),
            started_at: self.now,
            deadline: 0,
            final_pings: 0,
        };
        self.suspicions.insert(name.clone(), suspicion);
        self.restart_suspicion_timeout(&name);
        if is_from_other && self.random_below(self.members.live().len()) < SUSPECT_PROBERS {
            self.start_probe(name, out);
        }
    }

    /// Records that another member suspects a member that is already suspect.
    pub(crate) fn confirm_suspicion(&mut self, update: &Update) {
        let Some(reporter) = &update.reporter else { return };
        let Some(suspicion) = self.suspicions.get_mut(&update.name) else { return };
        // Only confirmations that shorten the timeout are disseminated.
        if suspicion.reporters.len() > MAX_CONFIRMATIONS || !suspicion.reporters.insert(reporter.clone()) {
            return;
        }
        self.restart_suspicion_timeout(&update.name);
        self.disseminate(update);
    }

    /// Sets a suspect's deadline from the start of the suspicion and the number of its reporters.
    pub(crate) fn restart_suspicion_timeout(&mut self, name: &str) {
        let Some(suspicion) = self.suspicions.get(name) else { return };
        let timeout = suspicion_timeout(suspicion.reporters.len(), self.members.live().len() + 1);
        if let Some(suspicion) = self.suspicions.get_mut(name) {
            suspicion.deadline = suspicion.started_at + timeout;
        }
    }

    /// Pings the suspects whose timeout expired, and declares them dead after the last final ping.
    pub(crate) fn expire_suspicions(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let expired = self.suspicions.iter().filter(|(_, suspicion)| suspicion.deadline <= now);
        let expired: Vec<Rc<str>> = expired.map(|(name, _)| name.clone()).collect();
        for name in expired {
            let Some(suspicion) = self.suspicions.get_mut(&name) else { continue };
            if suspicion.final_pings < FINAL_PINGS {
                suspicion.final_pings += 1;
                suspicion.deadline = now + FINAL_PING_INTERVAL;
                let sequence = self.detector.next_sequence();
                self.send_ping(sequence, &name, out);
            } else {
                self.declare_dead(&name, out);
            }
        }
    }

    fn declare_dead(&mut self, name: &str, out: &mut Vec<Effect>) {
        let Some(member) = self.members.get(name) else { return };
        let reporter = Some(self.local.name.clone());
        let update = Update { state: MemberState::Dead, reporter, ..member.update.clone() };
        self.counters.declared_dead += 1;
        self.apply_update(update, None, out);
    }
}

/// Lifeguard's suspicion timeout. It is longest with one reporter, decreases with the logarithm of the number
/// of confirmations, and is shortest with all confirmations. `member_count` includes this relay.
fn suspicion_timeout(reporter_count: usize, member_count: usize) -> Micros {
    let log_members = (member_count as f64).log10().max(1.0);
    let by_log = (MIN_SUSPICION_TIMEOUT_PER_LOG as f64 * log_members) as Micros;
    let shortest = MIN_SUSPICION_TIMEOUT.max(by_log);
    let longest = shortest * MAX_SUSPICION_MULTIPLIER;
    // All members but the suspect and its first reporter can confirm.
    let possible = MAX_CONFIRMATIONS.min(member_count.saturating_sub(2));
    if possible == 0 {
        return longest;
    }
    let confirmations = reporter_count.saturating_sub(1).min(possible);
    let fraction = ((confirmations + 1) as f64).ln() / ((possible + 1) as f64).ln();
    longest - ((longest - shortest) as f64 * fraction) as Micros
}
