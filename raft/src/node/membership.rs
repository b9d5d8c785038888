//! Cluster membership: the bootstrap of a new cluster, and single-server membership changes.
//!
//! Invariant (thesis, section 4.1): a configuration differs from the previous one by one voter, so any quorum
//! of one overlaps any quorum of the other.
//!
//! A voter is a server with a particular disk. The incarnation identifies the disk: a server that lost its
//! disk starts with another incarnation and announces it. To the cluster it is then a new voter, which
//! replaces the previous one.
use super::role::Trigger;
use super::{Effect, Node, Role};
use crate::{Entry, Id, MessageBody, Payload, Voter, Write, ANY_DISK};

/// The last announcement of a server that is not a voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Announcement {
    /// The incarnation of the disk that the server has now.
    incarnation: u64,
    /// The server has neither log nor snapshot.
    uninitialized: bool,
}

impl Node {
    /// Announces to all other configured servers that this one is running and is not a voter. The message is
    /// addressed to the disk that the recipient last announced, or to any disk if it never did.
    pub(super) fn announce(&mut self, effects: &mut Vec<Effect>) {
        let uninitialized = self.role == Role::Uninitialized;
        for id in self.configured.clone() {
            if id == self.own.id {
                continue;
            }
            let incarnation = self.announced.get(&id).map_or(ANY_DISK, |announced| announced.incarnation);
            self.send(Voter { id, incarnation }, MessageBody::Announce { uninitialized }, effects);
        }
        if self.configured == [self.own.id] {
            self.bootstrap_if_ready(effects);
        }
    }

    pub(super) fn handle_announce(
        &mut self,
        from: Voter,
        to: Voter,
        uninitialized: bool,
        effects: &mut Vec<Effect>,
    ) {
        if !self.configured.contains(&from.id) {
            return;
        }
        let announcement = Announcement { incarnation: from.incarnation, uninitialized };
        let previous = self.announced.insert(from.id, announcement);
        if self.role == Role::Uninitialized {
            // The bootstrap starts on an announcement that is addressed to this server's disk. Its sender has
            // received an announcement of this disk. Any other new sender receives one here.
            if to == self.own {
                self.bootstrap_if_ready(effects);
            } else if previous.is_none_or(|previous| previous.incarnation != from.incarnation) {
                self.send(from, MessageBody::Announce { uninitialized: true }, effects);
            }
            return;
        }
        match self.bootstrap_voters() {
            // The sender is one of the initial voters and did not receive the bootstrap message.
            Some(voters) if uninitialized && voters.contains(&from) => {
                self.send_when_durable(from, MessageBody::Bootstrap { voters }, effects);
            }
            _ => self.reconcile_configuration(effects),
        }
    }

    /// The initial voters, while the log holds only the bootstrap entry.
    fn bootstrap_voters(&self) -> Option<Vec<Voter>> {
        if self.log.last_index() != 1 {
            return None;
        }
        match &self.log.entry(1)?.payload {
            Payload::Configuration(voters) => Some(voters.clone()),
            Payload::Noop | Payload::Command(_) => None,
        }
    }

    /// Creates the cluster if this server has the smallest id of all configured servers and each other server
    /// has announced that it is uninitialized. A server with a log does not announce that. It belongs to an
    /// existing cluster, whose leader adds this server in `reconcile_configuration`.
    fn bootstrap_if_ready(&mut self, effects: &mut Vec<Effect>) {
        // The configured ids are sorted.
        if self.configured.first() != Some(&self.own.id) {
            return;
        }
        let Some(mut voters) = self.uninitialized_peers() else { return };
        voters.push(self.own);
        voters.sort_unstable();
        self.append_bootstrap_entry(voters.clone(), effects);
        for voter in self.other_voters() {
            self.send_when_durable(voter, MessageBody::Bootstrap { voters: voters.clone() }, effects);
        }
    }

    /// All other configured servers; `None` unless each of them has announced that it is uninitialized.
    fn uninitialized_peers(&self) -> Option<Vec<Voter>> {
        let peers = self.configured.iter().copied().filter(|id| *id != self.own.id);
        let uninitialized_voter = |id: Id| {
            let announced = self.announced.get(&id).filter(|announced| announced.uninitialized)?;
            Some(Voter { id, incarnation: announced.incarnation })
        };
        peers.map(uninitialized_voter).collect()
    }

    pub(super) fn handle_bootstrap(&mut self, from: Voter, voters: Vec<Voter>, effects: &mut Vec<Effect>) {
        if self.role != Role::Uninitialized || !voters.contains(&self.own) || !voters.contains(&from) {
            return;
        }
        let announced = self.announced.get(&from.id);
        if announced.is_none_or(|announced| announced.incarnation == from.incarnation) {
            self.append_bootstrap_entry(voters, effects);
        }
    }

    /// Appends the first entry of a cluster, its voters. The entry has term 0 because no leader created it.
    fn append_bootstrap_entry(&mut self, voters: Vec<Voter>, effects: &mut Vec<Effect>) {
        let entry = Entry { index: 1, term: 0, payload: Payload::Configuration(voters) };
        self.log.append(entry.clone());
        self.persist(Write::Log { from: 1, entries: vec![entry] }, effects);
        self.transition(Trigger::Bootstrapped, effects);
    }

    /// A leader changes the voters, one at a time, until they match the configured servers. It makes the next
    /// change only after the previous change is committed, and only after an entry of the leader's own term
    /// is committed (thesis, section 4.1).
    pub(super) fn reconcile_configuration(&mut self, effects: &mut Vec<Effect>) {
        let configuration_is_committed = self.log.configuration().index <= self.commit_index;
        let own_term_is_committed = self.log.term(self.commit_index) == Some(self.term);
        if self.role != Role::Leader || !configuration_is_committed || !own_term_is_committed {
            return;
        }
        let mut voters = self.voters().to_vec();
        if let Some(removed) = self.voter_to_remove() {
            voters.retain(|voter| *voter != removed);
        } else if let Some(added) = self.voter_to_add() {
            voters.push(added);
            voters.sort_unstable();
        } else {
            return;
        }
        self.append_entry(Payload::Configuration(voters), effects);
    }

    /// A voter that is no longer configured, or whose server announced another disk, so that the voter's disk
    /// is lost. A leader does not remove itself.
    fn voter_to_remove(&self) -> Option<Voter> {
        let announced_other_disk = |voter: &Voter| {
            let announced = self.announced.get(&voter.id);
            announced.is_some_and(|announced| announced.incarnation != voter.incarnation)
        };
        let is_obsolete = |voter: &&Voter| {
            **voter != self.own && (announced_other_disk(voter) || !self.configured.contains(&voter.id))
        };
        self.voters().iter().find(is_obsolete).copied()
    }

    /// A configured server that is not a voter and has announced itself.
    fn voter_to_add(&self) -> Option<Voter> {
        let is_voter = |id: Id| self.voters().iter().any(|voter| voter.id == id);
        let missing = self.configured.iter().copied().filter(|id| !is_voter(*id));
        let mut announced = missing.filter_map(|id| {
            let incarnation = self.announced.get(&id)?.incarnation;
            Some(Voter { id, incarnation })
        });
        announced.next()
    }
}
