//! Clients, and the front that distributes them over the relays. No I/O: open-loop arrivals, lifetimes, and
//! what each client does after an answer, a migration or a break.
mod arrivals;
mod front;
mod sessions;

use crate::event_queue::EventQueue;
use crate::random::Random;
use front::Front;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::Scenario;
use std::collections::{BTreeMap, HashMap};

/// Random stream of the clients.
const RANDOM_STREAM: u64 = 4;
/// Upper bound of the histograms of waits, in microseconds.
const MAX_WAIT: u64 = 120_000_000;

/// A connection's first line, and who sends it where.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Mark of the connection; no mark is used twice.
    pub mark: u64,
    /// Relay that it goes to.
    pub relay: usize,
    /// Listener that it is for.
    pub listener: usize,
    /// Key of the client, the same for all its connections.
    pub key: u64,
    /// Group of the client; 0 is none.
    pub group: u64,
    /// The client had a session, and is back after a break or a migration.
    pub returned: bool,
    /// It is a retry after an attempt that failed.
    pub retry: bool,
    /// How long the client waits for its answer, in microseconds.
    pub dial_timeout: Micros,
    /// The server at which the session was open before the day.
    pub pre_existing_at: Option<usize>,
    /// When the server is to end the session, in microseconds from now; none where the client will leave.
    pub ended_after: Option<Micros>,
}

/// What a client does.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Opens a connection and sends its first line.
    Open(ClientRequest),
    /// Ends its connection, whatever its state.
    Leave {
        /// Mark of the connection.
        mark: u64,
    },
}

/// What happens to a connection, as its client sees it. All but `Established` end it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The session is established.
    Established,
    /// It was rejected, with a time in microseconds after which to retry; 0 where none was named.
    Rejected(Micros),
    /// It got an error.
    Failed,
    /// The connection ended without a line, before or after the answer.
    Closed,
    /// The session has to migrate.
    Migrated,
    /// The server has ended the session.
    Ended,
    /// Connecting to the relay failed.
    Unreachable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// Awaits the answer to its first line.
    Requesting { mark: u64, since: Micros },
    /// Has an open session.
    Open { mark: u64 },
    /// Will send its next request later.
    Waiting,
    /// Requests nothing any more, though its lifetime is not over.
    GivenUp,
}

impl ClientState {
    /// Mark of its connection, if it has one.
    fn mark(self) -> Option<u64> {
        match self {
            ClientState::Requesting { mark, .. } | ClientState::Open { mark } => Some(mark),
            ClientState::Waiting | ClientState::GivenUp => None,
        }
    }
}

struct Client {
    listener: usize,
    key: u64,
    group: u64,
    /// End of its lifetime.
    until: Micros,
    /// The server is to end its session.
    is_ended_by_server: bool,
    state: ClientState,
    retries_left: u32,
    /// It had a session before.
    has_returned: bool,
    /// Requests in a row that found no relay.
    relay_misses: u32,
    /// Start of its window of idempotency: its first request since it had a session.
    first_request_at: Micros,
    /// The server at which its session was open before the day, until it is established.
    pre_existing_at: Option<usize>,
}

/// What is scheduled.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    /// The arrivals until the next review are drawn.
    RateReview,
    Request {
        client: u64,
    },
    LifetimeEnd {
        client: u64,
    },
    AnswerTimeout {
        mark: u64,
    },
    /// The front learns whether a relay serves.
    FrontUpdate {
        relay: usize,
        is_serving: bool,
        /// The relay's starts as this was scheduled.
        starts: u32,
    },
}

/// Counts by listener.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Clients that arrived.
    pub first_attempts: u64,
    /// First lines.
    pub attempts: u64,
    /// Sessions established.
    pub established: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts that got an error.
    pub failed: u64,
    /// Attempts whose connection ended without an answer.
    pub closed: u64,
    /// Attempts that did not connect.
    pub unreachable: u64,
    /// Attempts that got no answer in time.
    pub unanswered: u64,
    /// Clients that have given up.
    pub given_up: u64,
    /// Sessions established within the handshake target.
    pub within_target: u64,
}

/// All clients of a day.
pub struct Clients {
    scenario: Scenario,
    begin: Micros,
    end: Micros,
    /// By number, counted from 1.
    clients: BTreeMap<u64, Client>,
    /// Clients by the marks of their connections; looked up and never iterated.
    by_mark: HashMap<u64, u64>,
    events: EventQueue<Event>,
    front: Front,
    random: Random,
    arrival_factor: f64,
    now: Micros,
    /// Last number given to a client or a connection.
    last_number: u64,
    /// Marks of connections that clients end in the next step.
    marks_to_leave: Vec<u64>,
    /// By listener: clients that are to be served.
    pub wanted: Vec<u32>,
    /// By listener.
    pub counts: Vec<Counts>,
    /// Open sessions that migrated.
    pub moves: u64,
    /// Open sessions that ended otherwise, and not by their client or at their time.
    pub breaks: u64,
    /// By listener: microseconds from the first line until the session was established.
    pub waits: Vec<hdrhistogram::Histogram<u64>>,
    /// Clients with an open session.
    pub open: u32,
    /// Clients that await an answer.
    pub requesting: u32,
    /// Clients that will send their next request later.
    pub waiting: u32,
}

impl Clients {
    /// No client yet, for a day that begins at a time.
    pub fn new(scenario: &Scenario, seed: u64, begin: Micros) -> Clients {
        let mut events = EventQueue::default();
        events.schedule(begin, Event::RateReview);
        let histogram = || hdrhistogram::Histogram::new_with_bounds(1, MAX_WAIT, 3).expect("valid bounds");
        let listener_count = scenario.listeners.len();
        Clients {
            scenario: scenario.clone(),
            begin,
            end: begin + scenario.length_s.us(),
            clients: BTreeMap::new(),
            by_mark: HashMap::new(),
            events,
            front: Front::new(scenario.relays.count),
            random: Random::new(seed, RANDOM_STREAM),
            arrival_factor: 1.0,
            now: 0,
            last_number: 0,
            marks_to_leave: Vec::new(),
            wanted: vec![0; listener_count],
            counts: vec![Counts::default(); listener_count],
            moves: 0,
            breaks: 0,
            waits: (0..listener_count).map(|_| histogram()).collect(),
            open: 0,
            requesting: 0,
            waiting: 0,
        }
    }

    /// When `step` has something to do next; none where never.
    pub fn next_at(&self) -> Option<Micros> {
        self.events.next_at()
    }

    /// Does all that is due by now, in order of time.
    pub fn step(&mut self, now: Micros, out: &mut Vec<ClientAction>) {
        while let Some((at, event)) = self.events.pop_due(now) {
            self.now = self.now.max(at);
            match event {
                Event::RateReview => self.draw_arrivals(),
                Event::Arrival => {
                    let client = self.add_client(self.now);
                    self.request(client, None, out);
                }
                Event::Request { client } => self.request(client, None, out),
                Event::LifetimeEnd { client } => self.end_lifetime(client, out),
                Event::AnswerTimeout { mark } => self.answer_timed_out(mark, out),
                Event::FrontUpdate { relay, is_serving, starts } => {
                    self.front.update(relay, is_serving, starts);
                }
            }
        }
        self.now = self.now.max(now);
        out.extend(self.marks_to_leave.drain(..).map(|mark| ClientAction::Leave { mark }));
    }

    /// Changes a client's state, and the counts by state.
    fn set_state(&mut self, client: u64, state: ClientState) {
        let Some(found) = self.clients.get_mut(&client) else { return };
        let previous = std::mem::replace(&mut found.state, state);
        for (state, change) in [(previous, -1), (state, 1)] {
            let count = match state {
                ClientState::Requesting { .. } => &mut self.requesting,
                ClientState::Open { .. } => &mut self.open,
                ClientState::Waiting => &mut self.waiting,
                ClientState::GivenUp => continue,
            };
            *count = count.saturating_add_signed(change);
        }
    }

    fn remove(&mut self, client: u64) {
        self.set_state(client, ClientState::GivenUp);
        self.clients.remove(&client);
    }

    /// Whether the client of a connection is still there.
    pub fn is_present(&self, mark: u64) -> bool {
        self.by_mark.contains_key(&mark)
    }
}

/// Spreads numbers evenly over 64 bits (the finalizer of splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
