//! Clients, and the front that distributes them over the relays. No I/O. Clients arrive at a rate that does
//! not depend on how well they are served (open loop). Each one wants a session until the end of its
//! lifetime, and reacts to answers, migrations and breaks. Each of its connections has a mark, the id in its
//! first line.
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
/// Upper bound of the histograms of handshake times, in microseconds.
const MAX_WAIT: u64 = 120_000_000;

/// A connection's first line, with its sender and destination.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// Mark of the connection; marks are never reused.
    pub mark: u64,
    /// Relay that receives the request.
    pub relay: usize,
    /// Listener that the request is for.
    pub listener: usize,
    /// Key of the client, the same for all its connections.
    pub key: u64,
    /// Group of the client; 0 is none.
    pub group: u64,
    /// Whether the client had a session before, and returns after a break or a migration.
    pub returned: bool,
    /// Whether the request is a retry after a failed attempt.
    pub retry: bool,
    /// How long the client waits for its answer, in microseconds.
    pub dial_timeout: Micros,
    /// Server at which the session was open before the day; none for a new session.
    pub pre_existing_at: Option<usize>,
    /// Time in microseconds until the server ends the session; none if the client ends it.
    pub ended_after: Option<Micros>,
}

/// Action of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientAction {
    /// Opens a connection and sends its first line.
    Open(ClientRequest),
    /// Closes its connection, whether or not its session is open.
    Leave {
        /// Mark of the connection.
        mark: u64,
    },
}

/// Event of a connection as seen by its client. All events but `Established` end the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The session is established.
    Established,
    /// The session was rejected. The value is the delay in microseconds after which the relay wants the
    /// client to retry, or 0 if the relay set none.
    Rejected(Micros),
    /// The attempt got an error.
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
    /// Waits before its next request.
    Waiting,
    /// Sends no further requests, though its lifetime has not ended.
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
    /// End of the client's lifetime.
    until: Micros,
    /// Whether the server ends the session at the end of this lifetime, rather than the client.
    is_ended_by_server: bool,
    state: ClientState,
    retries_left: u32,
    /// Whether it had a session before.
    has_returned: bool,
    /// Number of consecutive requests for which no relay was available, at most `MAX_BACKOFF_DOUBLINGS`.
    relay_misses: u32,
    /// Start of the idempotency window: the first request since the client last had a session.
    first_request_at: Micros,
    /// Server at which the session was open before the day, until the session is established.
    pre_existing_at: Option<usize>,
}

/// A scheduled event.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    /// Draws the arrivals until the next review.
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
        /// Number of the relay's starts when this event was scheduled.
        starts: u32,
    },
}

/// Counts by listener.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Counts {
    /// Clients that arrived.
    pub first_attempts: u64,
    /// First lines sent.
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
    /// Clients that gave up.
    pub given_up: u64,
    /// Sessions established within the handshake target.
    pub within_target: u64,
}

/// All clients of a day.
pub struct Clients {
    scenario: Scenario,
    begin: Micros,
    end: Micros,
    /// By the number of the client.
    clients: BTreeMap<u64, Client>,
    /// Clients by the marks of their connections. Never iterated: a hash map has no stable order, and a day
    /// must give the same result for the same seed.
    by_mark: HashMap<u64, u64>,
    events: EventQueue<Event>,
    front: Front,
    random: Random,
    arrival_factor: f64,
    now: Micros,
    /// Last number assigned to a client or a connection.
    last_number: u64,
    /// Marks of connections that `reconnect` ended; the next step reports that their clients leave.
    marks_to_leave: Vec<u64>,
    /// By listener: clients whose lifetime has not ended.
    pub wanted: Vec<u32>,
    /// By listener: counts since the start of the day.
    pub counts: Vec<Counts>,
    /// Number of open sessions that migrated.
    pub moves: u64,
    /// Number of open sessions that ended early without a migration, including those that `reconnect` ended.
    pub breaks: u64,
    /// By listener: microseconds from the first line until the session was established.
    pub waits: Vec<hdrhistogram::Histogram<u64>>,
    /// Clients with an open session.
    pub open: u32,
    /// Clients that await an answer.
    pub requesting: u32,
    /// Clients that wait before their next request.
    pub waiting: u32,
}

impl Clients {
    /// Creates an empty set of clients for a day that begins at `begin`.
    pub fn new(scenario: &Scenario, seed: u64, begin: Micros) -> Clients {
        let mut events = EventQueue::default();
        events.schedule(begin, Event::RateReview);
        let histogram =
            || hdrhistogram::Histogram::new_with_bounds(1, MAX_WAIT, 3).expect("create a histogram of waits");
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

    /// Time of the next event; none if nothing is scheduled.
    pub fn next_at(&self) -> Option<Micros> {
        self.events.next_at()
    }

    /// Processes everything that is due by now, in chronological order.
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

    /// Changes a client's state and updates the counts by state.
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

    /// Whether the client of a connection is still present.
    pub fn is_present(&self, mark: u64) -> bool {
        self.by_mark.contains_key(&mark)
    }
}

/// Hashes a number to 64 bits, so that consecutive numbers give unrelated results (the finalizer of
/// splitmix64).
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
