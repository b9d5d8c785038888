//! Another process that uses this relay's name at another address.
use crate::events::Effect;
use crate::message::MessageBody;
use crate::update::Update;
use crate::{Membership, Micros, MILLISECOND};
use std::net::SocketAddr;

/// A conflict is reported for so long after the other process was last seen.
const CONFLICT_RETENTION: Micros = 30_000 * MILLISECOND;

/// Another process of this relay's name. Both go on; in the others' tables the later start holds the name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NameConflict {
    /// Address of the other process.
    pub addr: SocketAddr,
    /// Start of the other process.
    pub start: u64,
    /// When it was last seen.
    pub seen_at: Micros,
}

impl Membership {
    /// Another process of this relay's name that was seen lately.
    pub fn name_conflict(&self) -> Option<NameConflict> {
        self.conflict.filter(|conflict| self.now < conflict.seen_at + CONFLICT_RETENTION)
    }

    /// Whether the other process holds the name: the later start does, the higher address between equals.
    pub(crate) fn is_overridden_by(&self, conflict: &NameConflict) -> bool {
        (conflict.start, conflict.addr) > (self.incarnation.start, self.local.addr)
    }

    pub(crate) fn record_name_conflict(&mut self, update: &Update, out: &mut Vec<Effect>) {
        let conflict = NameConflict { addr: update.addr, start: update.incarnation.start, seen_at: self.now };
        let is_known =
            self.conflict.is_some_and(|known| known.addr == conflict.addr && known.start == conflict.start);
        if !is_known {
            let holder = if self.is_overridden_by(&conflict) { "it holds" } else { "this one holds" };
            let addr = conflict.addr;
            let message =
                format!("another relay has this one's name, at {addr}: {holder}, as the later start");
            out.push(Effect::Log { message });
            // The other may not know yet.
            let name = self.local.name.clone();
            self.send_message(addr, Some(&name), MessageBody::Gossip, out);
        }
        self.conflict = Some(conflict);
    }
}
