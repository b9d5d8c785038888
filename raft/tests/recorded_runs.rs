//! Runs of small clusters, drawn by seed: each event and all that comes of it, in a notation of its own, held
//! against runs that were recorded once. One run stands in full, of the others a hash does.
use hallrelay_raft::{Effect, Event, Message, Node, PersistentState, Timer, Voter, Write, MAX_COMMAND_BYTES};
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Numbers by seed (Knuth's MMIX constants, upper half).
struct Chance(u64);

impl Chance {
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % limit
    }
}

struct Server {
    node: Node,
    disk: PersistentState,
    incarnation: u64,
    pending: VecDeque<(u64, Write)>,
}

struct Cluster {
    chance: Chance,
    servers: Vec<Server>,
    network: Vec<Message>,
    proposals: u64,
    trace: String,
    /// How often each kind of line stands in the trace.
    seen: BTreeMap<String, usize>,
}

fn hex(bytes: &[u8]) -> String {
    match bytes.is_empty() {
        true => "-".to_string(),
        false => bytes.iter().map(|byte| format!("{byte:02x}")).collect(),
    }
}

fn encoded(value: &impl serde::Serialize) -> String {
    hex(&postcard::to_stdvec(value).expect("the value can be encoded"))
}

fn timer_word(timer: Timer) -> &'static str {
    match timer {
        Timer::ElectionTimeout => "election",
        Timer::HeartbeatTimeout => "heartbeat",
    }
}

fn event_words(event: &Event) -> String {
    match event {
        Event::MessageReceived(message) => format!("receive {}", encoded(message)),
        Event::TimerExpired(timer) => format!("timer {}", timer_word(*timer)),
        Event::WritesDurable(number) => format!("durable {number}"),
        Event::Propose { proposal_id, command } if command.len() > MAX_COMMAND_BYTES => {
            format!("propose {proposal_id} {} bytes", command.len())
        }
        Event::Propose { proposal_id, command } => format!("propose {proposal_id} {}", hex(command)),
        Event::Compact { index, state } => format!("compact {index} {}", hex(state)),
    }
}

fn write_words(write: &Write) -> String {
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

fn effect_words(effect: &Effect) -> String {
    match effect {
        Effect::Send(message) => format!("send {}", encoded(message)),
        Effect::Write { number, write } => format!("write {number} {}", write_words(write)),
        Effect::SetTimer(timer) => format!("set {}", timer_word(*timer)),
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
        let chance = Chance(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let size = [3, 3, 5, 3, 1, 3, 3, 7][seed as usize % 8];
        let mut cluster = Cluster {
            chance,
            servers: Vec::new(),
            network: Vec::new(),
            proposals: 0,
            trace: String::new(),
            seen: BTreeMap::new(),
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

    /// Notes an event with its effects and the state after it; carries the effects out.
    fn record(&mut self, at: usize, event: &str, effects: Vec<Effect>) {
        let _ = writeln!(self.trace, "{} {event}", at + 1);
        self.count("event", event);
        for effect in effects {
            let words = effect_words(&effect);
            let _ = writeln!(self.trace, "  {words}");
            self.count("effect", &words);
            match effect {
                Effect::Send(message) => {
                    // The field that follows on the term tells the kind.
                    let kind = encoded(&message.body)[..2].to_string();
                    self.count("message", &kind);
                    self.network.push(message);
                }
                Effect::Write { number, write } => self.servers[at].pending.push_back((number, write)),
                _ => {}
            }
        }
        let node = &self.servers[at].node;
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
        // The oldest are lost.
        let extra = self.network.len().saturating_sub(60);
        self.network.drain(..extra);
    }

    fn count(&mut self, group: &str, words: &str) {
        let first = words.split(' ').next().unwrap_or_default();
        *self.seen.entry(format!("{group} {first}")).or_default() += 1;
    }

    fn step(&mut self, at: usize, event: Event) {
        let words = event_words(&event);
        let mut effects = Vec::new();
        self.servers[at].node.step(event, &mut effects);
        self.record(at, &words, effects);
    }

    /// A process starts again with what is on its disk, sometimes with one voter fewer configured.
    fn restart(&mut self, at: usize, words: &str) {
        let size = self.servers.len() as u32;
        let fewer = u32::from(self.chance.below(4) == 0 && size > 1);
        let server = &mut self.servers[at];
        server.pending.clear();
        let mut effects = Vec::new();
        let own = Voter { id: at as u32 + 1, incarnation: server.incarnation };
        server.node = Node::new(own, (1..=size - fewer).collect(), server.disk.clone(), &mut effects);
        self.record(at, &format!("{words} {fewer}"), effects);
    }

    fn deliver(&mut self) {
        if self.network.is_empty() {
            return;
        }
        // Mostly in order.
        let range = if self.chance.below(3) == 0 { self.network.len() } else { 1 };
        let which = self.chance.below(range);
        let message = match self.chance.below(20) {
            0 => self.network[which].clone(),
            _ => self.network.remove(which),
        };
        if self.chance.below(20) != 0 {
            self.step(message.to.id as usize - 1, Event::MessageReceived(message));
        }
    }

    fn sync(&mut self, at: usize) {
        let server = &mut self.servers[at];
        let count = server.pending.len();
        if count == 0 {
            return;
        }
        let count = self.chance.below(count) + 1;
        let mut last = 0;
        for (number, write) in server.pending.drain(..count) {
            server.disk.apply(write);
            last = number;
        }
        self.step(at, Event::WritesDurable(last));
    }

    fn propose(&mut self, at: usize) {
        self.proposals += 1;
        let length = if self.chance.below(50) == 0 { MAX_COMMAND_BYTES + 1 } else { self.chance.below(6) };
        let command = (0..length).map(|i| (self.proposals as usize + i) as u8).collect();
        self.step(at, Event::Propose { proposal_id: self.proposals, command });
    }

    fn draw(&mut self) {
        let at = self.chance.below(self.servers.len());
        match self.chance.below(1000) {
            0..=599 => self.deliver(),
            600..=829 => self.sync(at),
            830..=869 => self.step(at, Event::TimerExpired(Timer::ElectionTimeout)),
            870..=919 => self.step(at, Event::TimerExpired(Timer::HeartbeatTimeout)),
            920..=979 => self.propose(at),
            980..=988 => {
                let index = self.servers[at].node.commit_index();
                self.step(at, Event::Compact { index, state: index.to_le_bytes().to_vec() });
            }
            989..=996 => self.restart(at, "crash"),
            _ => {
                self.servers[at].disk = PersistentState::default();
                self.servers[at].incarnation += 1;
                self.restart(at, "disk-lost");
            }
        }
    }
}

fn run(seed: u64, draws: usize) -> Cluster {
    let mut cluster = Cluster::new(seed);
    (0..draws).for_each(|_| cluster.draw());
    cluster
}

/// FNV-1a.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// A file that is missing is written, and the test fails.
fn compare_with_file(file: &str, text: &str) {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(file);
    let Ok(recorded) = std::fs::read_to_string(&path) else {
        std::fs::write(&path, text).expect("the fixture can be written");
        panic!("{file} was missing and has been written");
    };
    for (i, (old, new)) in recorded.lines().zip(text.lines()).enumerate() {
        assert_eq!(old, new, "{file}: line {}", i + 1);
    }
    assert_eq!(recorded.len(), text.len(), "{file}");
}

/// Of a seed whose run has nearly every kind of event, effect and message.
#[test]
fn a_run_of_three_is_as_it_was_recorded() {
    compare_with_file("run.txt", &run(1574, 700).trace);
}

/// Hashes of longer runs, and how often each kind of event, effect, message and role stands in them.
#[test]
fn longer_runs_are_as_they_were_recorded() {
    let mut text = String::new();
    let mut seen: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 1..=64 {
        let cluster = run(seed, 4_000);
        let _ = writeln!(text, "seed {seed}: {:016x}", hash(&cluster.trace));
        for (words, count) in cluster.seen {
            *seen.entry(words).or_default() += count;
        }
    }
    for (words, count) in seen {
        let _ = writeln!(text, "{words}: {count}");
    }
    compare_with_file("runs.txt", &text);
}
