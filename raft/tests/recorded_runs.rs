//! Compares pseudorandom runs of small clusters with recorded runs. A trace lists each event, its effects and
//! the state after it. One run is recorded in full, the others as a hash of their trace.
use hallrelay_raft::{Effect, Event, Message, Node, PersistentState, Timer, Voter, Write, MAX_COMMAND_BYTES};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Linear congruential generator with Knuth's MMIX constants. Results use the upper 31 bits of the state.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % limit
    }
}

struct Server {
    node: Node,
    disk: PersistentState,
    incarnation: u64,
    /// Requested writes that are not durable yet, by their numbers.
    pending: VecDeque<(u64, Write)>,
}

struct Cluster {
    random: Random,
    servers: Vec<Server>,
    network: Vec<Message>,
    proposals: u64,
    trace: String,
    /// Number of lines of each kind in the trace.
    counts: BTreeMap<String, usize>,
}

fn hex(bytes: &[u8]) -> String {
    match bytes.is_empty() {
        true => "-".to_string(),
        false => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
    }
}

fn encoded(value: &impl serde::Serialize) -> String {
    hex(&postcard::to_stdvec(value).expect("encode the value with postcard"))
}

fn timer_name(timer: Timer) -> &'static str {
    match timer {
        Timer::ElectionTimeout => "election",
        Timer::HeartbeatTimeout => "heartbeat",
    }
}

fn format_event(event: &Event) -> String {
    match event {
        Event::MessageReceived(message) => format!("receive {}", encoded(message)),
        Event::TimerExpired(timer) => format!("timer {}", timer_name(*timer)),
        Event::WritesDurable(number) => format!("durable {number}"),
        Event::Propose { proposal_id, command } if command.len() > MAX_COMMAND_BYTES => {
            format!("propose {proposal_id} {} bytes", command.len())
        }
        Event::Propose { proposal_id, command } => format!("propose {proposal_id} {}", hex(command)),
        Event::Compact { index, state } => format!("compact {index} {}", hex(state)),
    }
}

fn format_write(write: &Write) -> String {
    match write {
        Write::Vote { term, voted_for } => format!("vote {term} {}", encoded(voted_for)),
        Write::Log { from, entries } => format!("log {from} {}", encoded(entries)),
        Write::Snapshot { snapshot, entries } => {
            format!("snapshot {} then {}", encoded(snapshot), encoded(entries))
        }
    }
}

fn optional(number: Option<u64>) -> String {
    number.map_or("-".to_string(), |number| number.to_string())
}

fn format_effect(effect: &Effect) -> String {
    match effect {
        Effect::Send(message) => format!("send {}", encoded(message)),
        Effect::Write { number, write } => format!("write {number} {}", format_write(write)),
        Effect::SetTimer(timer) => format!("set {}", timer_name(*timer)),
        Effect::Apply { index, command, proposal_id } => {
            format!("apply {index} {} {}", hex(command), optional(*proposal_id))
        }
        Effect::RestoreSnapshot { snapshot } => format!("restore {}", encoded(snapshot)),
        Effect::ProposalRejected { proposal_id, leader } => {
            format!("refused {proposal_id} {}", optional(leader.map(u64::from)))
        }
        Effect::ProposalOutcomeUnknown { proposal_id } => format!("unknown {proposal_id}"),
        Effect::LeadershipChanged { is_leader, term } => format!("leads {is_leader} {term}"),
    }
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let size = [3, 3, 5, 3, 1, 3, 3, 7][seed as usize % 8];
        let mut cluster = Cluster {
            random,
            servers: Vec::new(),
            network: Vec::new(),
            proposals: 0,
            trace: String::new(),
            counts: BTreeMap::new(),
        };
        for id in 1..=size {
            let mut effects = Vec::new();
            let own = Voter { id, incarnation: 1 };
            let node = Node::new(own, (1..=size).rev().collect(), PersistentState::default(), &mut effects);
            cluster.servers.push(Server {
                node,
                disk: PersistentState::default(),
                incarnation: 1,
                pending: VecDeque::new(),
            });
            cluster.record(id as usize - 1, "start", effects);
        }
        cluster
    }

    /// Adds an event, its effects and the state after it to the trace, and carries the effects out.
    fn record(&mut self, position: usize, event: &str, effects: Vec<Effect>) {
        let _ = writeln!(self.trace, "{} {event}", position + 1);
        self.count("event", event);
        for effect in effects {
            let line = format_effect(&effect);
            let _ = writeln!(self.trace, "  {line}");
            self.count("effect", &line);
            match effect {
                Effect::Send(message) => {
                    // The first byte of the encoding identifies the variant.
                    let kind = encoded(&message.body)[..2].to_string();
                    self.count("message", &kind);
                    self.network.push(message);
                }
                Effect::Write { number, write } => self.servers[position].pending.push_back((number, write)),
                _ => {}
            }
        }
        let node = &self.servers[position].node;
        let _ = writeln!(
            self.trace,
            "  = {} term {} leader {} commit {} log {}..{} last term {} voters {}",
            node.role().as_str(),
            node.term(),
            optional(node.leader().map(u64::from)),
            node.commit_index(),
            node.log().first_index(),
            node.log().last_index(),
            node.log().last_term(),
            encoded(&node.voters().to_vec()),
        );
        let role = node.role().as_str();
        self.count("role", role);
        // The network holds 60 messages and loses the oldest ones beyond that.
        let excess = self.network.len().saturating_sub(60);
        self.network.drain(..excess);
    }

    /// Counts a line of the trace by its first word.
    fn count(&mut self, group: &str, line: &str) {
        let kind = line.split(' ').next().unwrap_or_default();
        *self.counts.entry(format!("{group} {kind}")).or_default() += 1;
    }

    fn step(&mut self, position: usize, event: Event) {
        let line = format_event(&event);
        let mut effects = Vec::new();
        self.servers[position].node.step(event, &mut effects);
        self.record(position, &line, effects);
    }

    /// Restarts a server from its disk. In one of four cases the last server is no longer configured.
    fn restart(&mut self, position: usize, cause: &str) {
        let size = self.servers.len() as u32;
        let fewer = u32::from(self.random.below(4) == 0 && size > 1);
        let server = &mut self.servers[position];
        server.pending.clear();
        let mut effects = Vec::new();
        let own = Voter { id: position as u32 + 1, incarnation: server.incarnation };
        server.node = Node::new(own, (1..=size - fewer).collect(), server.disk.clone(), &mut effects);
        self.record(position, &format!("{cause} {fewer}"), effects);
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        // The oldest message is delivered in two of three cases, a random one otherwise. One message in 20
        // stays in the network for another delivery, and one in 20 is lost.
        let range = if self.random.below(3) == 0 { self.network.len() } else { 1 };
        let chosen = self.random.below(range);
        let message = match self.random.below(20) {
            0 => self.network[chosen].clone(),
            _ => self.network.remove(chosen),
        };
        if self.random.below(20) != 0 {
            self.step(message.to.id as usize - 1, Event::MessageReceived(message));
        }
    }

    fn sync(&mut self, position: usize) {
        let server = &mut self.servers[position];
        let count = server.pending.len();
        if count == 0 {
            return;
        }
        let count = self.random.below(count) + 1;
        let mut last = 0;
        for (number, write) in server.pending.drain(..count) {
            server.disk.apply(write);
            last = number;
        }
        self.step(position, Event::WritesDurable(last));
    }

    fn propose(&mut self, position: usize) {
        self.proposals += 1;
        let length = if self.random.below(50) == 0 { MAX_COMMAND_BYTES + 1 } else { self.random.below(6) };
        let command = (0..length).map(|i| (self.proposals as usize + i) as u8).collect();
        self.step(position, Event::Propose { proposal_id: self.proposals, command });
    }

    fn random_event(&mut self) {
        let position = self.random.below(self.servers.len());
        match self.random.below(1000) {
            0..=599 => self.deliver(),
            600..=829 => self.sync(position),
            830..=869 => self.step(position, Event::TimerExpired(Timer::ElectionTimeout)),
            870..=919 => self.step(position, Event::TimerExpired(Timer::HeartbeatTimeout)),
            920..=979 => self.propose(position),
            980..=988 => {
                let index = self.servers[position].node.commit_index();
                self.step(position, Event::Compact { index, state: index.to_le_bytes().to_vec() });
            }
            989..=996 => self.restart(position, "crash"),
            _ => {
                self.servers[position].disk = PersistentState::default();
                self.servers[position].incarnation += 1;
                self.restart(position, "disk-lost");
            }
        }
    }
}

fn run(seed: u64, events: usize) -> Cluster {
    let mut cluster = Cluster::new(seed);
    (0..events).for_each(|_| cluster.random_event());
    cluster
}

/// 64-bit FNV-1a hash.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Compares a text with a recorded file. Writes a missing file and fails.
fn compare_with_file(file: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let Ok(recorded) = std::fs::read_to_string(&path) else {
        std::fs::write(&path, text).expect("write the missing fixture");
        panic!("fixture {file} was missing and has been written from this run; check it and commit it");
    };
    for (i, (old, new)) in recorded.lines().zip(text.lines()).enumerate() {
        assert_eq!(old, new, "{file}: line {}", i + 1);
    }
    assert_eq!(recorded.len(), text.len(), "{file}");
}

/// The run of this seed has nearly every kind of event, effect and message.
#[test]
fn run_of_three_servers_matches_recording() {
    compare_with_file("run.txt", &run(1574, 700).trace);
}

/// Compares the hashes of longer runs, and the number of events, effects, messages and roles of each kind.
#[test]
fn longer_runs_match_recorded_hashes_and_counts() {
    let mut text = String::new();
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 1..=64 {
        let cluster = run(seed, 4_000);
        let _ = writeln!(text, "seed {seed}: {:016x}", hash(&cluster.trace));
        for (kind, count) in cluster.counts {
            *counts.entry(kind).or_default() += count;
        }
    }
    for (kind, count) in counts {
        let _ = writeln!(text, "{kind}: {count}");
    }
    compare_with_file("runs.txt", &text);
}
