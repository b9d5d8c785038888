//! The reducer owns all state of a relay: [`Reducer::step`] takes an event and appends effects, which the
//! tasks of `net` carry out.
//!
//! The reducer reads no clock, no socket and no unseeded randomness, so the same events give the same
//! effects. The balancer makes the load-balancing decisions: the reducer maps events to the balancer's
//! inputs, and the balancer's effects to dials, answers and timers. A backend is called server in names, as
//! in the balancer.
//!
//! Four rules hold at all times:
//! 1. Each session gets exactly one final answer before its deadline, and nothing after it.
//! 2. No session runs twice: a session that may run only once is retried or rejected only if no earlier
//!    attempt can have run.
//! 3. Nothing new is sent to a backend later than the drain grace after this relay was notified that the
//!    backend drains or is removed.
//! 4. All relays together do not overload a backend in slow start, that is, while it warms up.
//!
//! Silence from other relays never makes a relay admit or dial more.
mod balancer_effects;
mod control;
mod coordination;
mod disruption_status;
mod drain_requests;
mod draining;
mod events;
mod excluded_backends;
mod finished_ids;
mod first_list;
mod idle_connections;
mod latency;
mod leader_review;
mod lifecycle;
mod listener_ownership;
mod membership;
mod metrics;
mod operator_requests;
mod outcome_counts;
mod peer_list;
mod persistence;
mod process_list;
mod restart_detection;
mod rollout;
mod server;
mod servers;
mod session;
mod session_handover;
mod sessions;
mod store_takeover;
mod voter;
mod voter_host;
mod watch;

pub use drain_requests::DrainRequest;
pub use events::{Effect, Event, OperatorReply, OperatorRequest, Timer, WatchFailure};
pub use lifecycle::LifecycleStatus;
pub use membership::MembershipMetrics;
pub use metrics::{Metrics, Outcomes};

use finished_ids::FinishedIds;
use hallrelay_balancer::types::{self as balancer, Input, Micros, ServerId, SessionId};
use hallrelay_balancer::Balancer;
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_disruption::SessionCounts;
use hallrelay_hot_restart::{OwnershipEvent, ProcessId, SocketOwnership};
use hallrelay_membership::Membership;
use hallrelay_recovery::StoredState;
use hallrelay_store::writer::WriterHealth;
use idle_connections::IdleConnection;
use lifecycle::{Lifecycle, LifecycleEvent};
use listener_ownership::Remaining;
use restart_detection::ConnectFailureStreak;
use server::{LatencyReport, Server};
use session::{Session, SessionStage};
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use watch::{EndpointWatch, ListVersion};

/// Appends a line for the log.
fn log(message: impl Into<String>, out: &mut Vec<Effect>) {
    out.push(Effect::Log { message: message.into() });
}

/// The state of one relay.
pub struct Reducer {
    /// The configuration in force.
    node: Node,
    balancer: Balancer,
    /// The time of the event that is being handled, in microseconds.
    now: Micros,
    sessions: BTreeMap<SessionId, Session>,
    /// The ids that clients gave their sessions, to detect a second use of an id.
    client_session_ids: HashSet<u64>,
    /// The ids of ended sessions that must not run again.
    finished_ids: FinishedIds,
    servers: BTreeMap<ServerId, Server>,
    /// The numbers of the servers by their names in the endpoint list.
    ids: BTreeMap<String, ServerId>,
    /// Servers to which nothing new may be sent, as the tasks were last notified.
    draining: BTreeSet<ServerId>,
    /// The version of the known endpoint list.
    list_version: ListVersion,
    watch: EndpointWatch,
    /// Clients' connections that are not sessions, the least recently active one first.
    idle_connections: VecDeque<IdleConnection>,
    /// Connections that wait for the answer to a ping.
    pending_pings: Vec<SessionId>,
    lifecycle: Lifecycle,
    /// When the current drain or stop began.
    lifecycle_since: Micros,
    /// Counts drains and stops, so that timers of earlier ones are ignored.
    migration_round: u32,
    /// Thousandths of a session that are carried over to the next batch.
    migration_credit: usize,
    metrics: Metrics,
    ownership: SocketOwnership,
    membership: Option<Membership>,
    /// The state read from the store, until the start has used it.
    stored: Option<Box<StoredState>>,
    /// The number of this start of the relay, which is higher than that of each earlier one.
    start_number: u64,
    /// What is to happen once the store is open, which the other process has written.
    pending_service: Option<LifecycleEvent>,
    /// The health of writes to the store; `None` until the first report.
    store_health: Option<Box<WriterHealth>>,
    /// Disruptions coordinated across the fleet; `None` if no voters are configured.
    coordination: Option<Box<coordination::Coordination>>,
    /// The counts of this relay's own sessions at its last report.
    reported_counts: SessionCounts,
    /// Whether this process serves only after discovery's first answer.
    awaits_first_list: bool,
    /// When discovery answered last; `None` if it has not answered since the start.
    last_discovery_answer_at: Option<Micros>,
    /// When discovery gave the answer before the last one.
    previous_discovery_answer_at: Option<Micros>,
    /// Whether the timer for polls of other relays runs.
    is_polling_peers: bool,
    /// Number of endpoint lists received from other relays before discovery first answered this one.
    peer_lists_received: u32,
    /// Whether discovery had answered one of the relays that sent these lists.
    peer_knew_discovery: bool,
    /// Servers that discovery removed, by name, with the start time of each.
    removed_servers: BTreeMap<String, Micros>,
    connect_failures: ConnectFailureStreak,
    /// Connections and sessions that the predecessor still has.
    predecessor_remaining: Remaining,
    /// The ids of the predecessor's sessions.
    predecessor_session_ids: HashSet<u64>,
    /// Connections and sessions of this process in the last report to the successor.
    reported_remaining: Remaining,
    /// Reusable buffer for the balancer's effects.
    balancer_effects: Vec<balancer::Effect>,
}

impl Reducer {
    /// A relay before its start. `predecessor` is the process that it takes over from, if any.
    pub fn new(node: Node, predecessor: Option<ProcessId>) -> Reducer {
        Reducer {
            ownership: SocketOwnership::new(&node.name, &node.listen.to_string(), predecessor),
            predecessor_remaining: Remaining::default(),
            predecessor_session_ids: HashSet::new(),
            reported_remaining: Remaining::default(),
            balancer: Balancer::new(node.site.facts.clone(), node.seed),
            metrics: Metrics::with_listeners(&node.site.listeners),
            membership: None,
            stored: None,
            start_number: 0,
            pending_service: None,
            store_health: None,
            coordination: None,
            reported_counts: SessionCounts::default(),
            awaits_first_list: false,
            last_discovery_answer_at: None,
            previous_discovery_answer_at: None,
            is_polling_peers: false,
            peer_lists_received: 0,
            peer_knew_discovery: false,
            removed_servers: BTreeMap::new(),
            connect_failures: ConnectFailureStreak::default(),
            list_version: ListVersion { source: node.discovery, generation: 0 },
            node,
            now: 0,
            sessions: BTreeMap::new(),
            client_session_ids: HashSet::new(),
            finished_ids: FinishedIds::default(),
            servers: BTreeMap::new(),
            ids: BTreeMap::new(),
            draining: BTreeSet::new(),
            watch: EndpointWatch::default(),
            idle_connections: VecDeque::new(),
            pending_pings: Vec::new(),
            lifecycle: match predecessor {
                Some(_) => Lifecycle::AwaitingTakeover,
                None => Lifecycle::Serving,
            },
            lifecycle_since: 0,
            migration_round: 0,
            migration_credit: 0,
            balancer_effects: Vec::new(),
        }
    }

    /// Starts with the stored state if there is any, else with the configured endpoint list.
    pub fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.now = now;
        self.coordination = self.configured_coordination();
        let stored = self.stored.take();
        let configured = List { is_complete: true, ..self.node.known.clone() };
        // The records of another relay's store are discarded before the voter writes its own.
        let recovered = stored.as_ref().map(|stored| self.recover_state(&configured, stored, out));
        let recovered = recovered.unwrap_or_default();
        self.persist_unstored(&recovered, out);
        self.start_voter(stored.as_deref(), out);
        self.start_review(out);
        let stored_list = (!recovered.list.instances.is_empty()).then(|| recovered.list.clone());
        let initial_list = stored_list.unwrap_or(configured);
        self.list_version.generation = initial_list.generation;
        // Each start has a higher number than the one before: the Unix time, or if the store has a start
        // number that is not below the time, the next number after that one.
        self.start_number = now.max(recovered.min_start_number);
        self.membership = membership::new_membership(&self.node, self.start_number);
        self.apply_list(initial_list, out);
        self.restore_slow_start_slots(&recovered, out);
        if self.ownership.awaited_predecessor().is_none() {
            self.persist_identity(out);
            self.start_polling_peers(out);
            self.await_first_list(out);
        }
        // If `must_watch` is set, the balancer requests the watch itself.
        if !self.node.site.facts.must_watch {
            self.watch_endpoints(out);
        }
        self.begin_ownership(out);
    }

    /// Handles one event and appends its effects to `out`. `now` is in microseconds and never earlier than
    /// for the last event.
    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = now;
        match event {
            Event::ClientConnected { connection_id } => self.client_connected(connection_id, out),
            Event::FirstLineStarted { connection_id } => self.first_line_started(connection_id),
            Event::ProtocolViolation { connection_id } => self.protocol_violation(connection_id, out),
            Event::Ping { connection_id } => self.ping_received(connection_id, out),
            Event::SessionRequested { session_id, open, time_remaining } => {
                self.session_requested(session_id, open, time_remaining, out)
            }
            Event::ClientDisconnected { session_id } => self.client_disconnected(session_id, out),
            Event::ClientHalfClosed { session_id } => self.client_half_closed(session_id, out),
            Event::FirstLineForwarded => self.metrics.dials += 1,
            Event::SessionEstablished { session_id, dial } => self.session_established(session_id, dial, out),
            Event::DialEnded { session_id, dial, end, report } => {
                self.dial_ended(session_id, dial, end, report, out);
            }
            Event::DialNotStarted { session_id, dial } => self.dial_not_started(session_id, dial, out),
            Event::SessionEnded { session_id, end, report } => {
                self.session_ended(session_id, end, report, out);
            }
            Event::LoadReported { session_id, load } => self.load_reported(session_id, load, out),
            Event::MessageLatency { session_id, time } => self.latency_measured(session_id, time, out),
            Event::HealthCheckEnded { server, end, report } => {
                self.health_check_ended(server, end, report, out);
            }
            Event::EndpointListReceived { watch, list } => self.list_received(watch, list, out),
            Event::EndpointListUnchanged { watch } => self.list_unchanged(watch, out),
            Event::EndpointWatchFailed { watch, failure } => self.watch_failed(watch, failure, out),
            Event::ConfigurationReloaded(node) => self.configuration_reloaded(*node, out),
            Event::ConfigurationRejected => self.metrics.reload_errors += 1,
            Event::OperatorCall { call, request } => self.operator_call(call, request, out),
            Event::VoterWritesDurable { voter_start, number } => self.raft_written(voter_start, number, out),
            Event::StoreReopened(stored) => self.store_reopened(&stored, out),
            Event::SessionHandedOver { session_id } => self.abandon_session(session_id, out),
            Event::SessionHandoverFailed { session_id } => self.session_handover_failed(session_id),
            Event::SessionAdopted { session_id, state } => self.adopt_session(session_id, *state, out),
            Event::HotRestart(event) => self.apply_ownership_event(event, out),
            Event::Membership(event) => self.step_membership(event, out),
            Event::StoreHealth(health) => self.store_health = Some(health),
            Event::Timer(timer) => self.timer_expired(timer, out),
            Event::StopRequested => _ = self.apply_lifecycle_event(LifecycleEvent::Stop, out),
        }
    }

    fn timer_expired(&mut self, timer: Timer, out: &mut Vec<Effect>) {
        match timer {
            Timer::Balancer(label) => self.step_balancer(Input::TimerExpired { label }, out),
            Timer::DialResumingSession(session_id) => self.dial_resuming_session(session_id, out),
            Timer::AnswerDeadline(session_id) => {
                // Normally the dial has ended and the balancer has answered by now. The timer guards against
                // a task that does not end its dial.
                if self.sessions.get(&session_id).is_some_and(|session| session.stage.awaits_answer()) {
                    self.deadline_expired(session_id, out);
                }
            }
            Timer::MigrateBatch(round) if round == self.migration_round => self.migrate_batch(out),
            Timer::MigrateBatch(_) => {}
            Timer::HandoverOffer(process) => {
                self.apply_ownership_event(OwnershipEvent::ReadyTimeout { peer: process }, out)
            }
            Timer::HandoverProgress => self.report_remaining(out),
            Timer::Membership => self.membership_timer_expired(out),
            Timer::StoreOpenTimeout => self.begin_service(out),
            Timer::FirstListTimeout => self.first_list_timed_out(out),
            Timer::RequestEndpointList => self.watch_endpoints(out),
            Timer::PollPeers => self.poll_peers(out),
            Timer::Voter(timer, round) => self.raft_timer(timer, round, out),
            Timer::LeaderReview => self.review(out),
            Timer::PendingRequest(call) => self.retry_request(call, out),
        }
    }
}
