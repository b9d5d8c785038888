//! Simulates one day of membership or heartbeats from a seed, with deaths, stalls, datagrams and streams in
//! virtual time.
use super::Plan;
use hallrelay_balancer::types::Micros;
use hallrelay_emulator::clients::mix;
use hallrelay_emulator::event_queue::EventQueue;
use hallrelay_emulator::links::{Arrival, LinkFault, LinkSet, Links};
use hallrelay_emulator::random::Random;
use hallrelay_membership::message::{decode, MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES};
use hallrelay_membership::peer_heartbeats::{PeerHeartbeats, HEARTBEAT_INTERVAL};
use hallrelay_membership::{
    Effect, Event as MembershipEvent, LocalMember, MemberMetadata, MemberState, Membership,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// One-way latency between relays in the same network.
const LATENCY: Micros = 500;
const FLEET: &str = "members";
/// Time at the beginning of the day in which relays find each other and nothing is counted.
pub(super) const WARM_UP: Micros = 20_000_000;
/// Unix time at which a day begins.
const BEGIN: Micros = 1_800_000_000_000_000;
/// Time at the beginning of the day within which all relays start.
const START_WITHIN: Micros = 100_000;
/// Time from the end of the warm-up to the first stall.
const FIRST_STALL: Micros = 1_000_000;
/// Time after a restart or a stall in which a declaration of death is not counted as false.
const GRACE_PERIOD: Micros = 10_000_000;
/// Number of peer addresses in a relay's configuration, which may include its own.
const PEERS: usize = 3;
/// Size of a heartbeat with a name, a start time and a lifecycle state.
const HEARTBEAT_BYTES: usize = 40;
/// Stream number of the random generator.
const RANDOM_STREAM: u64 = 7;

/// Sums over one or several days.
#[derive(Default)]
pub(super) struct Counts {
    pub(super) detection_times: Vec<Micros>,
    pub(super) detection_times_by_all: Vec<Micros>,
    pub(super) undetected: usize,
    pub(super) falsely_dead: u64,
    pub(super) suspicions: u64,
    pub(super) datagrams: u64,
    pub(super) bytes: u64,
    pub(super) cpu_s: f64,
}

impl Counts {
    pub(super) fn add(&mut self, other: Counts) {
        self.detection_times.extend(other.detection_times);
        self.detection_times_by_all.extend(other.detection_times_by_all);
        self.undetected += other.undetected;
        self.falsely_dead += other.falsely_dead;
        self.suspicions += other.suspicions;
        self.datagrams += other.datagrams;
        self.bytes += other.bytes;
        self.cpu_s += other.cpu_s;
    }
}

fn addr_of(relay: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (relay >> 8) as u8, relay as u8], 7946))
}

fn relay_at(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(addr) => {
            let [_, _, high, low] = addr.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => 0,
    }
}

enum Protocol {
    Membership(Box<Membership>),
    Heartbeats(PeerHeartbeats),
}

enum Event {
    /// A timer of the process with this number expires.
    Timer {
        relay: usize,
        process: u32,
    },
    Datagram(Arrival),
    StreamRequest {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    StreamResponse {
        to: usize,
        bytes: Vec<u8>,
    },
    /// A random relay dies.
    Death,
    Start {
        relay: usize,
    },
    /// A random relay stalls.
    Stall,
    Resume {
        relay: usize,
    },
}

impl Event {
    /// The relay whose process handles the event; `None` for events that act on processes.
    fn receiver(&self) -> Option<usize> {
        match self {
            Event::Timer { relay, .. } => Some(*relay),
            Event::Datagram(arrival) => Some(arrival.to),
            Event::StreamRequest { to, .. } | Event::StreamResponse { to, .. } => Some(*to),
            Event::Death | Event::Start { .. } | Event::Stall | Event::Resume { .. } => None,
        }
    }
}

#[derive(Default)]
struct SimulatedMember {
    /// `None` while the relay is down.
    protocol: Option<Protocol>,
    /// Number of the current process, incremented at each start and death.
    process: u32,
    /// While the relay is stalled: the events that have arrived for it.
    stalled: Option<Vec<Event>>,
    /// Time of the last death, start or end of a stall.
    disturbed_at: Micros,
}

/// The last death, and the relays that have not detected it yet.
struct Death {
    at: Micros,
    relay: usize,
    is_waiting: Vec<bool>,
    waiting_count: usize,
}

impl Death {
    fn stop_waiting_for(&mut self, observer: usize) {
        if std::mem::replace(&mut self.is_waiting[observer], false) {
            self.waiting_count -= 1;
        }
    }
}

pub(super) struct Simulation<'a> {
    plan: &'a Plan,
    seed: u64,
    now: Micros,
    queue: EventQueue<Event>,
    links: Links,
    random: Random,
    relays: Vec<SimulatedMember>,
    names: Vec<Rc<str>>,
    death: Option<Death>,
    counts: Counts,
}

impl Simulation<'_> {
    pub(super) fn new(plan: &Plan, count: usize, loss: f64, seed: u64) -> Simulation<'_> {
        let mut links = Links::new(LATENCY, seed);
        if loss > 0.0 {
            let all = LinkSet::between(count, &[], &[], false);
            links.start_fault(0, Rc::new(all), LinkFault::Loss(loss));
        }
        Simulation {
            plan,
            seed,
            now: BEGIN,
            queue: EventQueue::default(),
            links,
            random: Random::new(seed, RANDOM_STREAM),
            relays: (0..count).map(|_| SimulatedMember::default()).collect(),
            names: (0..count).map(|relay| format!("relay-{relay}").into()).collect(),
            death: None,
            counts: Counts::default(),
        }
    }

    pub(super) fn run(mut self) -> Counts {
        let end = BEGIN + self.plan.seconds * 1_000_000;
        self.schedule_first_events();
        let mut started = Instant::now();
        let mut is_warm = false;
        while let Some(at) = self.queue.next_at().filter(|at| *at <= end) {
            self.now = at;
            if !is_warm && at >= BEGIN + WARM_UP {
                is_warm = true;
                started = Instant::now();
            }
            while let Some((_, event)) = self.queue.pop_due(at) {
                self.handle(event);
            }
        }
        // An upper bound for the relays' CPU time, because it includes the time of the event queue.
        self.counts.cpu_s = started.elapsed().as_secs_f64();
        self.counts
    }

    fn schedule_first_events(&mut self) {
        for relay in 0..self.relays.len() {
            let at = BEGIN + self.random.between([0, START_WITHIN]);
            self.queue.schedule(at, Event::Start { relay });
        }
        if self.plan.deaths > 0 {
            self.queue.schedule(BEGIN + WARM_UP, Event::Death);
        }
        if self.plan.stalls > 0 {
            self.queue.schedule(BEGIN + WARM_UP + FIRST_STALL, Event::Stall);
        }
    }

    fn handle(&mut self, event: Event) {
        let receiver = event.receiver();
        if let Some(waiting) = receiver.and_then(|relay| self.relays[relay].stalled.as_mut()) {
            return waiting.push(event);
        }
        match event {
            Event::Timer { relay, process } => {
                if self.relays[relay].process == process {
                    self.timer_expired(relay);
                }
            }
            Event::Datagram(Arrival { from, to, bytes, .. }) => self.receive_datagram(from, to, &bytes),
            Event::StreamRequest { from, to, bytes } => {
                let Ok(packet) = decode(FLEET, &bytes, MAX_FRAME_BYTES) else { return };
                let packet = Box::new(packet);
                let stream = from as u64;
                let from = addr_of(from);
                self.step(to, MembershipEvent::StreamRequest { stream, from, packet });
            }
            Event::StreamResponse { to, bytes } => {
                let Ok(packet) = decode(FLEET, &bytes, MAX_FRAME_BYTES) else { return };
                self.step(to, MembershipEvent::StreamResponse { packet: Box::new(packet) });
            }
            Event::Death => self.kill_random_relay(),
            Event::Start { relay } => self.start(relay),
            Event::Stall => self.stall_random_relay(),
            Event::Resume { relay } => self.resume(relay),
        }
    }

    /// Relays that are running and not stalled.
    fn running(&self) -> Vec<usize> {
        let is_running =
            |relay: &usize| self.relays[*relay].protocol.is_some() && self.relays[*relay].stalled.is_none();
        (0..self.relays.len()).filter(is_running).collect()
    }

    /// Stops waiting for detections of the last death.
    fn close_death(&mut self) {
        if self.death.take().is_some_and(|death| death.waiting_count > 0) {
            self.counts.undetected += 1;
        }
    }

    fn kill_random_relay(&mut self) {
        let interval = self.plan.deaths * 1_000_000;
        // The random offset makes deaths fall on different phases of the relays' periods.
        let next = self.now + interval + self.random.between([0, HEARTBEAT_INTERVAL]);
        self.queue.schedule(next, Event::Death);
        let running = self.running();
        if running.len() < 2 {
            return;
        }
        let index = running[self.random.below(running.len())];
        self.close_death();
        let relay = &mut self.relays[index];
        relay.protocol = None;
        relay.process += 1;
        relay.disturbed_at = self.now;
        let mut is_waiting = vec![false; self.relays.len()];
        for &observer in running.iter().filter(|other| **other != index) {
            is_waiting[observer] = true;
        }
        let waiting_count = running.len() - 1;
        self.death = Some(Death { at: self.now, relay: index, is_waiting, waiting_count });
        self.queue.schedule(self.now + interval / 2, Event::Start { relay: index });
    }

    fn stall_random_relay(&mut self) {
        let interval = self.plan.stalls * 1_000_000;
        self.queue.schedule(self.now + interval, Event::Stall);
        let running = self.running();
        let relay = running[self.random.below(running.len())];
        self.relays[relay].stalled = Some(Vec::new());
        if let Some(death) = &mut self.death {
            death.stop_waiting_for(relay);
        }
        self.queue.schedule(self.now + interval / 3, Event::Resume { relay });
    }

    fn resume(&mut self, relay: usize) {
        self.relays[relay].disturbed_at = self.now;
        for event in self.relays[relay].stalled.take().into_iter().flatten() {
            self.queue.schedule(self.now, event);
        }
    }

    fn start(&mut self, index: usize) {
        if self.death.as_ref().is_some_and(|death| death.relay == index) {
            self.close_death();
        }
        let relay = &mut self.relays[index];
        relay.process += 1;
        relay.disturbed_at = self.now;
        let process = relay.process;
        if self.plan.heartbeats {
            let heartbeats = PeerHeartbeats::new(index, self.relays.len(), self.now);
            self.relays[index].protocol = Some(Protocol::Heartbeats(heartbeats));
            let after = self.random.between([0, HEARTBEAT_INTERVAL]);
            return self.queue.schedule(self.now + after, Event::Timer { relay: index, process });
        }
        let membership = Membership::new(self.local_member(index, process));
        self.relays[index].protocol = Some(Protocol::Membership(Box::new(membership)));
        self.step(index, MembershipEvent::Activate);
    }

    fn local_member(&self, index: usize, process: u32) -> LocalMember {
        let count = self.relays.len();
        LocalMember {
            fleet: FLEET.into(),
            name: self.names[index].clone(),
            addr: addr_of(index),
            start: self.now,
            metadata: MemberMetadata {
                version: "0".into(),
                listener_sessions: vec![0, 0],
                ..MemberMetadata::default()
            },
            peers: (0..count.min(PEERS)).map(addr_of).collect(),
            configured_relays: count,
            random_seed: mix(self.seed ^ (index as u64) << 32 ^ u64::from(process) << 50),
        }
    }

    fn timer_expired(&mut self, index: usize) {
        if !self.plan.heartbeats {
            return self.step(index, MembershipEvent::TimerExpired);
        }
        let process = self.relays[index].process;
        let Some(Protocol::Heartbeats(heartbeats)) = &mut self.relays[index].protocol else { return };
        let peers: Vec<usize> = heartbeats.peers().collect();
        let dead = heartbeats.newly_dead(self.now);
        self.queue.schedule(self.now + HEARTBEAT_INTERVAL, Event::Timer { relay: index, process });
        for peer in dead {
            self.declared_dead(index, peer);
        }
        for peer in peers {
            self.send_datagram(index, peer, vec![0; HEARTBEAT_BYTES]);
        }
    }

    fn send_datagram(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        if self.now >= BEGIN + WARM_UP {
            self.counts.datagrams += 1;
        }
        self.count_bytes(bytes.len());
        let mut arrivals = Vec::with_capacity(1);
        self.links.send(self.now, from, to, bytes, &mut arrivals);
        for arrival in arrivals {
            self.queue.schedule(arrival.at, Event::Datagram(arrival));
        }
    }

    fn count_bytes(&mut self, bytes: usize) {
        if self.now >= BEGIN + WARM_UP {
            self.counts.bytes += bytes as u64;
        }
    }

    fn receive_datagram(&mut self, from: usize, to: usize, bytes: &[u8]) {
        match &mut self.relays[to].protocol {
            Some(Protocol::Heartbeats(heartbeats)) => _ = heartbeats.receive(from, self.now),
            Some(Protocol::Membership(_)) => {
                if let Ok(packet) = decode(FLEET, bytes, MAX_DATAGRAM_BYTES) {
                    let from = addr_of(from);
                    let packet = Box::new(packet);
                    self.step(to, MembershipEvent::DatagramReceived { from, packet });
                }
            }
            None => {}
        }
    }

    fn step(&mut self, relay: usize, event: MembershipEvent) {
        let Some(Protocol::Membership(membership)) = &mut self.relays[relay].protocol else { return };
        let mut effects = Vec::new();
        let suspicions_before = membership.counters.suspicions;
        membership.step(self.now, event, &mut effects);
        self.counts.suspicions += membership.counters.suspicions - suspicions_before;
        for effect in effects {
            self.carry_out(relay, effect);
        }
    }

    fn carry_out(&mut self, relay: usize, effect: Effect) {
        match effect {
            Effect::SendDatagram { to, bytes } => self.send_datagram(relay, relay_at(to), bytes),
            Effect::SetTimer { after } => {
                let process = self.relays[relay].process;
                self.queue.schedule(self.now + after, Event::Timer { relay, process });
            }
            Effect::OpenStream { to, bytes } => {
                self.count_bytes(bytes.len());
                // A round trip to connect, and one way for the frame.
                let at = self.now + 3 * LATENCY;
                self.queue.schedule(at, Event::StreamRequest { from: relay, to: relay_at(to), bytes });
            }
            Effect::ReplyOnStream { stream, bytes: Some(bytes) } => {
                self.count_bytes(bytes.len());
                let to = stream as usize;
                self.queue.schedule(self.now + LATENCY, Event::StreamResponse { to, bytes });
            }
            Effect::MemberChanged { name, state: MemberState::Dead, .. } => {
                if let Some(subject) = name.strip_prefix("relay-").and_then(|n| n.parse().ok()) {
                    self.declared_dead(relay, subject);
                }
            }
            Effect::MemberChanged { .. }
            | Effect::ReplyOnStream { bytes: None, .. }
            | Effect::SetListening { .. }
            | Effect::Log { .. } => {}
            // There is no user of membership in this simulation.
            Effect::EndpointListRequested { .. }
            | Effect::EndpointListReceived { .. }
            | Effect::UserMessageReceived { .. } => {}
        }
    }

    /// A relay declared another one dead.
    fn declared_dead(&mut self, observer: usize, subject: usize) {
        let relay = &self.relays[subject];
        let is_running = relay.protocol.is_some() && relay.stalled.is_none();
        if is_running && self.now > relay.disturbed_at + GRACE_PERIOD {
            self.counts.falsely_dead += 1;
        }
        let death = self.death.as_mut();
        let Some(death) = death.filter(|death| death.relay == subject && death.is_waiting[observer]) else {
            return;
        };
        death.stop_waiting_for(observer);
        self.counts.detection_times.push(self.now - death.at);
        if death.waiting_count == 0 {
            self.counts.detection_times_by_all.push(self.now - death.at);
        }
    }
}
