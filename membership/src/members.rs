//! The table of all other members and the index of the live ones.
use crate::update::{MemberState, Update};
use crate::Micros;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// Largest number of other members. Updates about further members are dropped and counted.
pub const MAX_MEMBERS: usize = 1_024;

/// Another member as this relay knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// The update with the highest precedence among those received about the member.
    pub update: Update,
    /// Time at which the member entered its current state.
    pub since: Micros,
    /// Time at which this relay last received something from the member itself.
    pub last_received: Option<Micros>,
    /// The other member that sent the last update about this member; `None` if this member sent it itself.
    pub source: Option<Rc<str>>,
    /// The member that forwarded the answer to the last answered probe of this member; `None` if this member
    /// answered directly.
    pub reached_through: Option<Rc<str>>,
}

impl Member {
    /// Name of the member.
    pub fn name(&self) -> &Rc<str> {
        &self.update.name
    }

    /// State of the member.
    pub fn state(&self) -> MemberState {
        self.update.state
    }
}

/// Invariant: `live` contains the names of exactly the alive and suspect members, sorted.
#[derive(Default)]
pub(crate) struct MemberTable {
    members: BTreeMap<Rc<str>, Member>,
    /// Addresses of members. Only datagrams from these and from the configured addresses are processed.
    names_by_addr: BTreeMap<SocketAddr, Rc<str>>,
    live: Vec<Rc<str>>,
}

impl MemberTable {
    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut Member> {
        self.members.get_mut(name)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    pub(crate) fn contains(&self, name: &str) -> bool {
        self.members.contains_key(name)
    }

    /// Names of the alive and suspect members, sorted.
    pub(crate) fn live(&self) -> &[Rc<str>] {
        &self.live
    }

    pub(crate) fn is_live(&self, name: &str) -> bool {
        self.get(name).is_some_and(|member| member.state().is_live())
    }

    pub(crate) fn addr_of(&self, name: &str) -> Option<SocketAddr> {
        self.get(name).map(|member| member.update.addr)
    }

    pub(crate) fn is_member_addr(&self, addr: SocketAddr) -> bool {
        self.names_by_addr.contains_key(&addr)
    }

    /// Whether `addr` is the current address of a member.
    pub(crate) fn has_member_at(&self, addr: SocketAddr) -> bool {
        let name = self.names_by_addr.get(&addr);
        name.is_some_and(|name| self.addr_of(name) == Some(addr))
    }

    /// Adds a live member. The caller must add it to `live` with [`MemberTable::add_live`].
    pub(crate) fn insert(&mut self, member: Member) {
        let name = member.name().clone();
        self.names_by_addr.insert(member.update.addr, name.clone());
        self.members.insert(name, member);
    }

    /// Replaces the stored update of a member and returns the previous one.
    pub(crate) fn replace(&mut self, update: &Update, now: Micros) -> Option<Update> {
        let member = self.members.get_mut(&update.name)?;
        let previous = std::mem::replace(&mut member.update, update.clone());
        let same_start = previous.incarnation.start == update.incarnation.start;
        if previous.state != update.state || !same_start {
            member.since = now;
        }
        if previous.addr != update.addr {
            // Datagrams of the previous process of this name are still accepted, so that it learns of the new
            // one.
            self.names_by_addr.retain(|addr, name| *name != update.name || *addr == previous.addr);
            self.names_by_addr.insert(update.addr, update.name.clone());
        }
        Some(previous)
    }

    pub(crate) fn add_live(&mut self, name: &Rc<str>) {
        let index = self.live.partition_point(|other| other < name);
        self.live.insert(index, name.clone());
    }

    pub(crate) fn remove_live(&mut self, name: &str) {
        self.live.retain(|other| **other != *name);
    }

    /// Removes the members that have been dead or have left for the time `retention`.
    pub(crate) fn remove_expired(&mut self, now: Micros, retention: Micros) {
        let is_expired = |member: &Member| !member.state().is_live() && now >= member.since + retention;
        self.members.retain(|_, member| !is_expired(member));
        let members = &self.members;
        self.names_by_addr.retain(|_, name| members.contains_key(name));
    }
}
