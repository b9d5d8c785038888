//! The state of one relay's membership and its step function: events and expired timers in, effects out.
use crate::events::{Counters, Effect, Event, LocalMember};
use crate::gossip::BroadcastQueue;
use crate::join::JoinSchedule;
use crate::members::{Member, MemberTable};
use crate::message::{self, MessageBody, MAX_FRAME_BYTES};
use crate::name_conflict::NameConflict;
use crate::probe::{FailureDetector, PROBE_PERIOD};
use crate::push_pull::PushPullSchedule;
use crate::suspicion::Suspicion;
use crate::update::{Incarnation, MemberMetadata, MemberState, Update};
use crate::{Micros, MILLISECOND};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// A timer that fires later than its deadline by more than this shows that the process stalled.
const STALL_THRESHOLD: Micros = 200 * MILLISECOND;
/// Stalls of at least this length are logged.
const LOGGED_STALL: Micros = 5 * PROBE_PERIOD;
/// Time after which a dead member, or one that left, is removed from the table.
const MEMBER_RETENTION: Micros = 3_600_000 * MILLISECOND;
/// Interval at which the table is searched for members to remove.
const EXPIRY_INTERVAL: Micros = MEMBER_RETENTION / 60;
/// Shortest time for which a member counts as reachable after something was received from it.
const MIN_REACHABLE_WINDOW: Micros = 10 * PROBE_PERIOD;

/// One relay's view of its fleet.
pub struct Membership {
    pub(crate) local: LocalMember,
    pub(crate) incarnation: Incarnation,
    /// Whether this process represents the relay; before and after a hot restart another process does.
    active: bool,
    pub(crate) left: bool,
    pub(crate) now: Micros,
    pub(crate) members: MemberTable,
    /// Invariant: contains an entry for each member that is suspect and for no other.
    pub(crate) suspicions: BTreeMap<Rc<str>, Suspicion>,
    pub(crate) detector: FailureDetector,
    pub(crate) broadcasts: BroadcastQueue,
    pub(crate) join: JoinSchedule,
    pub(crate) push_pull: PushPullSchedule,
    next_expiry: Micros,
    /// Expiry of the timer that was set last.
    timer_at: Option<Micros>,
    pub(crate) conflict: Option<NameConflict>,
    random: oorandom::Rand64,
    /// Counters since the start of the process.
    pub counters: Counters,
}

impl Membership {
    /// Creates the state of a relay that knows no other member. It is not active yet.
    pub fn new(local: LocalMember) -> Membership {
        let random = oorandom::Rand64::new(u128::from(local.random_seed) << 1 | 1);
        Membership {
            incarnation: Incarnation { start: local.start, counter: 0 },
            local,
            active: false,
            left: false,
            now: 0,
            members: MemberTable::default(),
            suspicions: BTreeMap::new(),
            detector: FailureDetector::new(),
            broadcasts: BroadcastQueue::new(),
            join: JoinSchedule::new(),
            push_pull: PushPullSchedule::new(),
            next_expiry: Micros::MAX,
            timer_at: None,
            conflict: None,
            random,
            counters: Counters::default(),
        }
    }

    /// The local relay with its current configuration.
    pub fn local(&self) -> &LocalMember {
        &self.local
    }

    /// Incarnation of the local relay.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Lifeguard's local health score, from 0 (healthy) to 8.
    pub fn local_health(&self) -> u32 {
        self.detector.local_health.score()
    }

    /// Whether this process represents the relay.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// All other members in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Another member by its name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        self.members.get(name)
    }

    /// Number of relays from which this one received something recently, including itself.
    pub fn reachable_count(&self) -> usize {
        let window = self.reachable_window();
        let is_reachable = |member: &&Member| {
            let is_recent = |at| self.now.saturating_sub(at) < window;
            member.state().is_live() && member.last_received.is_some_and(is_recent)
        };
        1 + self.members.iter().filter(is_reachable).count()
    }

    /// Time for which a member counts as reachable after something was received from it: two rounds of
    /// probes. A round takes one probe period per member. In a round this relay receives two datagrams from
    /// each member: the answer to its own probe, and the member's probe.
    fn reachable_window(&self) -> Micros {
        MIN_REACHABLE_WINDOW.max(2 * PROBE_PERIOD * self.members.live().len() as Micros)
    }

    /// Whether this relay reaches less than half of the configured relays, or of the known relays if there
    /// are more of them. The result is only reported; no decision depends on it.
    pub fn is_partitioned(&self) -> bool {
        let has_not_left = |member: &&Member| member.state() != MemberState::Left;
        let known = 1 + self.members.iter().filter(has_not_left).count();
        self.reachable_count() * 2 < self.local.configured_relays.max(known)
    }

    /// Handles an event and then all expired deadlines. Appends the effects to `out` in order.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match event {
            Event::Activate => self.activate(out),
            Event::Deactivate => self.deactivate(out),
            Event::PacketsDropped { reason, count } => self.counters.count_dropped(reason, count),
            Event::MetadataChanged { metadata } => self.set_metadata(metadata),
            Event::PeersChanged { peers } => self.set_peers(peers),
            _ if !self.active => {
                if let Event::StreamRequest { stream, .. } = event {
                    out.push(Effect::ReplyOnStream { stream, bytes: None });
                }
            }
            Event::DatagramReceived { from, packet } => self.receive_datagram(from, *packet, out),
            Event::StreamRequest { stream, from, packet } => {
                self.receive_request(stream, from, *packet, out);
            }
            Event::StreamResponse { packet } => self.receive_response(*packet, out),
            Event::PollEndpointList => self.poll_endpoint_list(out),
            Event::EndpointListReply { stream, bytes } => self.reply_endpoint_list(stream, bytes, out),
            Event::SendUserMessage { to, bytes } => self.send_user_message(to, &bytes, out),
            Event::Leave => self.leave(out),
            Event::TimerExpired => {}
        }
        if self.active {
            self.run_due(out);
        }
    }

    /// Continues as the previous process at the same address, from its [`Membership::snapshot`]. A snapshot
    /// that cannot be decoded or belongs to another relay is ignored.
    pub fn restore(&mut self, now: Micros, snapshot: &[u8]) {
        self.now = self.now.max(now);
        let Ok(packet) = message::decode(&self.local.fleet, snapshot, MAX_FRAME_BYTES) else { return };
        if packet.sender.name != self.local.name {
            return;
        }
        // For other members this process is the same member as the previous one. The start of the first
        // process therefore stays, and the raised counter makes the updates of this process newer.
        self.incarnation = packet.sender.incarnation;
        self.incarnation.counter += 1;
        for update in packet.updates {
            self.apply_update(update, None, &mut Vec::new());
        }
    }

    /// The encoded member table, for the next process at the same address.
    pub fn snapshot(&self) -> Vec<u8> {
        self.encode_table(MessageBody::PushPullResponse)
    }

    /// This relay's statement about itself.
    pub(crate) fn own_update(&self) -> Update {
        Update {
            name: self.local.name.clone(),
            addr: self.local.addr,
            incarnation: self.incarnation,
            state: if self.left { MemberState::Left } else { MemberState::Alive },
            reporter: None,
            metadata: self.local.metadata.clone(),
        }
    }

    pub(crate) fn disseminate_own_update(&mut self) {
        let update = self.own_update();
        self.disseminate(&update);
    }

    fn activate(&mut self, out: &mut Vec<Effect>) {
        if self.active {
            return;
        }
        self.active = true;
        self.left = false;
        out.push(Effect::SetListening { enabled: true });
        let next_probe = self.now + self.random_time(PROBE_PERIOD);
        self.detector.reset(next_probe);
        self.start_joining();
        self.start_push_pulls();
        self.next_expiry = self.now + EXPIRY_INTERVAL;
        self.broadcasts.gossip_at(self.now);
        // A suspicion that was restored gets its full timeout again.
        let suspects: Vec<Rc<str>> = self.suspicions.keys().cloned().collect();
        for name in suspects {
            self.restart_suspicion_timeout(&name);
        }
        self.timer_at = None;
        self.disseminate_own_update();
    }

    fn deactivate(&mut self, out: &mut Vec<Effect>) {
        self.active = false;
        out.push(Effect::SetListening { enabled: false });
    }

    fn set_metadata(&mut self, metadata: MemberMetadata) {
        let is_disseminated = !self.local.metadata.differs_only_in_counts(&metadata);
        self.local.metadata = metadata;
        if is_disseminated && self.active {
            self.incarnation.counter += 1;
            self.disseminate_own_update();
        }
    }

    /// Announces that this relay leaves, and stops sending.
    fn leave(&mut self, out: &mut Vec<Effect>) {
        self.left = true;
        self.incarnation.counter += 1;
        self.disseminate_own_update();
        self.run_last_gossip(out);
        self.deactivate(out);
    }

    fn next_deadline(&self) -> Micros {
        let suspicions = self.suspicions.values().map(Suspicion::deadline);
        let schedules = [
            self.detector.next_deadline(),
            self.broadcasts.next_deadline(),
            self.join.next_deadline(),
            self.push_pull.next_deadline(),
            self.next_expiry,
        ];
        schedules.into_iter().chain(suspicions).fold(Micros::MAX, Micros::min)
    }

    /// Handles all expired deadlines and sets the timer for the next one.
    fn run_due(&mut self, out: &mut Vec<Effect>) {
        let delay = self.now.saturating_sub(self.next_deadline());
        if delay > STALL_THRESHOLD {
            self.recover_from_stall(delay, out);
        }
        self.run_probes(out);
        self.run_forwarded_pings(out);
        self.expire_suspicions(out);
        self.run_joins(out);
        if self.push_pull.next_deadline() <= self.now {
            self.run_push_pull(out);
        }
        if self.next_expiry <= self.now {
            self.next_expiry = self.now + EXPIRY_INTERVAL;
            self.members.remove_expired(self.now, MEMBER_RETENTION);
        }
        if self.broadcasts.next_deadline() <= self.now {
            self.run_gossip(out);
        }
        self.set_timer(out);
    }

    fn set_timer(&mut self, out: &mut Vec<Effect>) {
        let deadline = self.next_deadline();
        if self.timer_at.is_none_or(|at| at <= self.now || deadline < at) {
            self.timer_at = Some(deadline);
            out.push(Effect::SetTimer { after: deadline.saturating_sub(self.now) });
        }
    }

    /// Handles a stall of this process. A stalled process receives no answers, so missing answers are no
    /// evidence against other members. It cancels its probes without a result, extends the suspicions by the
    /// length of the stall, and raises its own local health score (Lifeguard).
    fn recover_from_stall(&mut self, delay: Micros, out: &mut Vec<Effect>) {
        self.counters.stalls += 1;
        let missed_periods = (delay / PROBE_PERIOD).max(1);
        self.detector.local_health.degrade(u32::try_from(missed_periods).unwrap_or(u32::MAX));
        let now = self.now;
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend(delay, now);
        }
        let next_probe = self.now + self.random_time(PROBE_PERIOD);
        self.detector.reset(next_probe);
        if delay >= LOGGED_STALL {
            let message = format!("this process stalled for {} ms", delay / MILLISECOND);
            out.push(Effect::Log { message });
        }
    }

    /// A random time from 0 up to, but not including, `span`.
    pub(crate) fn random_time(&mut self, span: Micros) -> Micros {
        self.random.rand_range(0..span.max(1))
    }

    /// A random number from 0 up to, but not including, `end`.
    pub(crate) fn random_below(&mut self, end: usize) -> usize {
        self.random.rand_range(0..end.max(1) as u64) as usize
    }

    /// Different random live members other than `except`: `count` of them, or all if there are fewer.
    pub(crate) fn random_live_members(&mut self, count: usize, except: Option<&Rc<str>>) -> Vec<Rc<str>> {
        let live_count = self.members.live().len();
        let excepted = except.is_some_and(|name| self.members.live().contains(name));
        let eligible = live_count - usize::from(excepted);
        let mut chosen: Vec<Rc<str>> = Vec::with_capacity(count);
        while chosen.len() < count.min(eligible) {
            let index = self.random_below(live_count);
            let name = &self.members.live()[index];
            if Some(name) != except && !chosen.contains(name) {
                chosen.push(name.clone());
            }
        }
        chosen
    }

    /// Address of a random live member.
    pub(crate) fn random_live_addr(&mut self) -> Option<SocketAddr> {
        let name = self.random_live_members(1, None).pop()?;
        self.members.addr_of(&name)
    }
}
