//! Detection of another process that uses this relay's name at a different address.
use crate::events::Effect;
use crate::message::MessageBody;
use crate::update::Update;
use crate::{Membership, Micros, MILLISECOND};
use std::net::SocketAddr;

/// Time for which a conflict is reported after the other process was last seen.
const CONFLICT_RETENTION: Micros = 30_000 * MILLISECOND;

/// Another process that uses this relay's name. Both processes keep running. Other members attribute the name
/// to the process that started later, and with equal starts to the one with the higher address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// Address of the other process.
    pub addr: SocketAddr,
    /// Start of the other process, in microseconds of Unix time.
    pub start: u64,
    /// Time at which the other process was last seen.
    pub seen_at: Micros,
}

impl Membership {
    /// The other process that uses this relay's name, if it was seen recently.
    pub fn name_conflict(&self) -> Option<NameConflict> {
        self.conflict.filter(|conflict| self.now < conflict.seen_at + CONFLICT_RETENTION)
    }

    /// Whether the other process keeps the name, by the rule of [`NameConflict`].
    pub(crate) fn is_overridden_by(&self, conflict: &NameConflict) -> bool {
        (conflict.start, conflict.addr) > (self.incarnation.start, self.local.addr)
    }

    pub(crate) fn record_name_conflict(&mut self, update: &Update, out: &mut Vec<Effect>) {
        let conflict = NameConflict { addr: update.addr, start: update.incarnation.start, seen_at: self.now };
        let is_known =
            self.conflict.is_some_and(|known| known.addr == conflict.addr && known.start == conflict.start);
        if !is_known {
            let holder = if self.is_overridden_by(&conflict) { "that process" } else { "this process" };
            let addr = conflict.addr;
            let message = format!(
                "another process at {addr} uses this relay's name; {holder} keeps it because it started later"
            );
            out.push(Effect::Log { message });
            // The other process may not have noticed the conflict yet.
            let name = self.local.name.clone();
            self.send_message(addr, Some(&name), MessageBody::Gossip, out);
        }
        self.conflict = Some(conflict);
    }
}
