//! The one place where the relay's state changes: `step` takes an event and appends effects. It hands the
//! decision module its inputs and turns its effects into reading, writing, dialling and timers, which tasks
//! carry out. It reads no clock and no socket, and decides nothing that the module decides.
mod control;
mod coordination;
mod disruption_status;
mod drain_requests;
mod draining;
mod events;
mod excluded_backends;
mod figures;
mod leader_review;
mod lifecycle;
mod listener_ownership;
mod membership;
mod operator_requests;
mod outcome_counts;
mod peer_list;
mod persistence;
mod restart_detection;
mod rollout;
mod servers;
mod session_handover;
mod sessions;
mod voter;
mod voter_host;
mod watch;

pub use drain_requests::DrainRequest;
pub use events::{Effect, Event, OperatorReply, OperatorRequest, Timer};
pub use figures::{Figures, Outcomes};
pub use lifecycle::LifecycleStatus;
pub use membership::MembershipMetrics;

use hallrelay_balancer::types::{self as module, AdmissionRequest, DialEnd, Input, Micros, ServerId, SessId};
use hallrelay_balancer::Relay;
use hallrelay_config::list::{Instance, List};
use hallrelay_config::node::Node;
use hallrelay_disruption::SessionCounts;
use hallrelay_hot_restart::{ListenerOwnership, OwnershipEvent, PeerId};
use hallrelay_membership::Membership;
use hallrelay_recovery::StoredState;
use hallrelay_store::writer::WriterHealth;
use lifecycle::{Lifecycle, LifecycleEvent};
use listener_ownership::Remaining;
use restart_detection::ConnectFailureStreak;
use std::collections::{BTreeMap, BTreeSet, HashSet, VecDeque};
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
enum SessionStage {
    /// The balancer decides where it goes, or lets it wait.
    AwaitingPlacement,
    /// A dial is out for it.
    Dialing,
    /// Open: lines pass both ways.
    Proxying,
    /// Its client was told to come again; it ends with its backend's connection.
    Migrating,
    /// It is being handed over to another process.
    HandingOver,
}

/// A line for the log.
fn log(what: impl Into<String>, out: &mut Vec<Effect>) {
    out.push(Effect::Log { what: what.into() });
}

impl SessionStage {
    /// Whether its client still waits for the final answer.
    fn awaits_answer(self) -> bool {
        matches!(self, SessionStage::AwaitingPlacement | SessionStage::Dialing)
    }
}

/// One session, from its request to its end.
struct Session {
    /// The id that its client gave it.
    id: u64,
    /// The name of its listener when it was requested.
    listener: Rc<str>,
    request: AdmissionRequest,
    stage: SessionStage,
    server: Option<ServerId>,
    /// Dials so far.
    dials: u32,
    /// When its final answer is due.
    deadline: Micros,
    /// When its backend reported a load last.
    last_load_at: Option<Micros>,
    /// It was open at its backend before this process started; the balancer learns of it once it is open again.
    pre_existing: bool,
}

/// A backend that the endpoint list names, or named.
struct Server {
    /// As the list had it last.
    instance: Instance,
    /// When it started, by this process' clock; 0 is long ago.
    started_at: Micros,
    health_check_pending: bool,
    /// Health checks in a row without any answer.
    consecutive_misses: u32,
    /// Connects in a row that failed.
    consecutive_connect_failures: u32,
    latency_report: LatencyReport,
    /// Outcomes of sessions there since the last report to the leader.
    session_counts: SessionCounts,
}

impl Server {
    /// Whether it is warming up.
    fn in_slow_start(&self, now: Micros, warm_up: Micros) -> bool {
        self.started_at > 0 && now < self.started_at.saturating_add(warm_up)
    }
}

/// The last report of a server's message latency to the balancer.
#[derive(Default)]
struct LatencyReport {
    reported_at: Option<Micros>,
    /// Whether it was above the threshold below which nothing is reported.
    above_threshold: bool,
}

/// The watches on the endpoint list: the latest one, and an earlier one that may still bring something.
#[derive(Default)]
struct EndpointWatch {
    /// The number of the latest one.
    latest: u32,
    /// Whether that one is open.
    is_open: bool,
    /// The one that brought something last, or was open before the latest one: kept until that brings something.
    previous: Option<u32>,
}

pub struct Reducer {
    node: Node,
    balancer: Relay,
    now: Micros,
    sessions: BTreeMap<SessId, Session>,
    /// The marks of all sessions: searched through the sessions, they took half of a large relay's time.
    session_ids: HashSet<u64>,
    servers: BTreeMap<ServerId, Server>,
    ids: BTreeMap<String, ServerId>,
    /// Servers that nothing new may be sent to, as the tasks were told.
    draining: BTreeSet<ServerId>,
    /// The version that was heard last; none from a discovery that has not told one yet.
    list_version: Option<u64>,
    watch: EndpointWatch,
    /// Clients' connections that are no session: their first line is awaited, or their last one is out. The
    /// one that did something last first, and whether a part of a line is there. Sessions and these are all
    /// connections that have a place.
    idle_connections: VecDeque<(SessId, bool)>,
    /// Connections that wait for a `PONG`.
    pending_pings: Vec<SessId>,
    lifecycle: Lifecycle,
    /// When the drain or stop that is in force began.
    lifecycle_since: Micros,
    /// Counts drains and stops, so that timers of earlier ones are known.
    migration_round: u32,
    /// Thousandths of a session that the next batch moves in addition.
    migration_credit: usize,
    metrics: Figures,
    ownership: ListenerOwnership,
    membership: Option<Membership>,
    /// What the store held, until the start has used it.
    stored: Option<Box<StoredState>>,
    /// How writing to the store goes; `None` until it was reported.
    store_health: Option<Box<WriterHealth>>,
    /// Disruptions coordinated across the fleet; none where no voters are configured.
    coordination: Option<Box<coordination::Coordination>>,
    /// This relay's own sessions as of its last report.
    reported_counts: SessionCounts,
    /// When discovery answered last since the start; `None` where it has not.
    discovery_contacted: Option<Micros>,
    /// When it answered the time before.
    discovery_contacted_before: Option<Micros>,
    /// Lists of other relays that came before discovery answered.
    peer_lists_received: u32,
    /// Whether discovery had answered one of those relays.
    peer_knew_discovery: bool,
    /// Servers that discovery removed, and when they had started.
    removed_servers: BTreeMap<String, Micros>,
    connect_failures: ConnectFailureStreak,
    /// What the predecessor still has.
    predecessor_remaining: Remaining,
    /// The ids of the sessions there.
    predecessor_session_ids: HashSet<u64>,
    /// What the successor was last told that remains here.
    reported_remaining: Remaining,
    balancer_effects: Vec<module::Effect>,
}

impl Reducer {
    /// `predecessor`: the process that this one takes over from, where there is one.
    pub fn new(node: Node, predecessor: Option<PeerId>) -> Reducer {
        Reducer {
            ownership: ListenerOwnership::new(&node.name, &node.listen.to_string(), predecessor),
            predecessor_remaining: Remaining::default(),
            predecessor_session_ids: HashSet::new(),
            reported_remaining: Remaining::default(),
            balancer: Relay::new(node.site.facts.clone(), node.seed),
            metrics: Figures::of(&node.site.listeners),
            membership: None,
            stored: None,
            store_health: None,
            coordination: None,
            reported_counts: SessionCounts::default(),
            discovery_contacted: None,
            discovery_contacted_before: None,
            peer_lists_received: 0,
            peer_knew_discovery: false,
            removed_servers: BTreeMap::new(),
            connect_failures: ConnectFailureStreak::default(),
            node,
            now: 0,
            sessions: BTreeMap::new(),
            session_ids: HashSet::new(),
            servers: BTreeMap::new(),
            ids: BTreeMap::new(),
            draining: BTreeSet::new(),
            list_version: None,
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

    /// Begins with the list as this relay last had it.
    pub fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        self.now = now;
        self.coordination = self.configured_coordination();
        let stored = self.stored.take();
        self.start_voter(stored.as_deref(), out);
        self.start_review(out);
        let recovered = stored.map(|stored| self.recover_state(now, &stored, out)).unwrap_or_default();
        let stored = (!recovered.list.instances.is_empty()).then(|| recovered.list.clone());
        let known = stored.unwrap_or(List { whole: true, ..self.node.known.clone() });
        self.list_version = Some(known.generation);
        let start = now.max(recovered.min_start_number);
        self.membership = membership::new_membership(&self.node, start);
        self.apply_list(known, out);
        self.restore_slow_start_slots(&recovered, out);
        if self.ownership.awaited_predecessor().is_none() {
            self.persist_identity(start, out);
            self.start_polling_peers(out);
        }
        // Where the module counts on being told unasked, the watch that tells it is the program's own.
        if !self.node.site.facts.must_watch {
            self.watch_endpoints(out);
        }
        self.begin_ownership(out);
    }

    pub fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        self.now = now;
        match event {
            Event::ClientConnected { connection_id } => self.client_connected(connection_id, out),
            Event::FirstLineStarted { connection_id } => self.first_line_started(connection_id),
            Event::ProtocolViolation { connection_id } => self.protocol_violation(connection_id, out),
            Event::Ping { connection_id } => {
                self.pending_pings.push(connection_id);
                self.answer_pings(out);
            }
            Event::SessionRequested { session_id, open, left } => {
                self.session_requested(session_id, open, left, out)
            }
            Event::ClientDisconnected { session_id } => {
                self.abandon_session(session_id, out);
                self.idle_connections.retain(|one| one.0 != session_id);
                self.pending_pings.retain(|connection_id| *connection_id != session_id);
            }
            Event::ClientHalfClosed { session_id } => self.client_half_closed(session_id, out),
            Event::FirstLineForwarded => self.metrics.tries += 1,
            Event::SessionEstablished { session_id, dial } if self.is_current_dial(session_id, dial) => {
                self.session_established(session_id, dial, out)
            }
            Event::DialEnded { session_id, dial, end, report } if self.is_current_dial(session_id, dial) => {
                self.dial_ended(session_id, dial, end, report, out);
            }
            Event::DialNotStarted { session_id, dial } if self.is_current_dial(session_id, dial) => {
                self.dial_not_started(session_id, dial, out)
            }
            Event::SessionEnded { session_id, end, report } => {
                let Some(s) = self.remove_session(session_id) else { return };
                let dial = s.dials.saturating_sub(1);
                if end == DialEnd::Reset {
                    self.count_outcome(s.server, end);
                }
                self.step_balancer(
                    Input::DialEnded { session: session_id, dial, end, settled: true, report },
                    out,
                );
            }
            Event::LoadReported { session_id, load } if self.is_proxying(session_id) => {
                self.load_reported(session_id, load, out)
            }
            Event::MessageLatency { session_id, time } if self.is_proxying(session_id) => {
                self.latency_measured(session_id, time, out)
            }
            Event::HealthCheckEnded { server, end, report } => {
                self.health_check_ended(server, end, out);
                self.step_balancer(Input::ProbeEnded { server, end, report }, out);
            }
            Event::EndpointListReceived { watch, list } => self.list_received(watch, list, out),
            Event::EndpointWatchFailed { watch } => self.watch_failed(watch, out),
            Event::ConfigurationReloaded(node) => {
                self.metrics.loads += 1;
                self.configuration_reloaded(*node, out);
            }
            Event::ConfigurationRejected => self.metrics.load_errors += 1,
            Event::OperatorCall { call, what } => self.operator_call(call, what, out),
            Event::VoterWritesDurable { life, number } => self.raft_written(life, number, out),
            Event::StoreReopened(stored) => self.start_voter(Some(&stored), out),
            Event::SessionHandedOver { session_id } => self.abandon_session(session_id, out),
            Event::SessionHandoverFailed { session_id } => self.session_handover_failed(session_id),
            Event::SessionAdopted { session_id, session } => self.adopt_session(session_id, *session, out),
            Event::HotRestart(event) => self.apply_ownership_event(event, out),
            Event::Membership(event) => self.step_membership(event, out),
            Event::StoreHealth(health) => self.store_health = Some(health),
            Event::Timer(alarm) => self.timer_expired(alarm, out),
            Event::StopRequested => _ = self.apply_lifecycle_event(LifecycleEvent::Stop, out),
            // Of a dial or a session that is over.
            Event::SessionEstablished { .. }
            | Event::DialEnded { .. }
            | Event::DialNotStarted { .. }
            | Event::LoadReported { .. }
            | Event::MessageLatency { .. } => {}
        }
    }

    fn step_balancer(&mut self, input: Input, out: &mut Vec<Effect>) {
        let mut asks = std::mem::take(&mut self.balancer_effects);
        self.balancer.step(self.now, input, &mut asks);
        asks.drain(..).for_each(|ask| self.apply_balancer_effect(ask, out));
        self.balancer_effects = asks;
    }

    /// What the module asks for, in the program's own effects.
    fn apply_balancer_effect(&mut self, ask: module::Effect, out: &mut Vec<Effect>) {
        match ask {
            module::Effect::Dial { session: session_id, server, timeout: wait, send_within: window } => {
                let Some(s) = self.sessions.get_mut(&session_id) else { return };
                (s.stage, s.server, s.dials) = (SessionStage::Dialing, Some(server), s.dials + 1);
                let dial = s.dials - 1;
                if let Some(addr) = self.servers.get(&server).map(|v| v.instance.addr) {
                    self.persist_slow_start_slot(server, session_id, out);
                    let begin = self.node.limits.connect.min(window.unwrap_or(Micros::MAX));
                    return out.push(Effect::Dial {
                        session_id,
                        dial,
                        server: Some(server),
                        addr,
                        wait,
                        begin,
                    });
                }
                let end = DialEnd::Unconnected;
                self.step_balancer(
                    Input::DialEnded { session: session_id, dial, end, settled: false, report: None },
                    out,
                );
            }
            module::Effect::Reject { session: session_id, retry_after } => {
                self.send_final_answer(session_id, Effect::Reject { session_id, retry_after }, out);
            }
            module::Effect::TearDown { session: session_id } => {
                self.send_final_answer(session_id, Effect::TearDown { session_id }, out)
            }
            module::Effect::Migrate { session: session_id } => self.migrate_session(session_id, out),
            module::Effect::Probe { server } => {
                let Some(v) = self.servers.get_mut(&server) else { return };
                v.health_check_pending = true;
                out.push(Effect::HealthCheck { server, addr: v.instance.addr });
            }
            module::Effect::SetTimer { after, label } => {
                out.push(Effect::StartTimer { after, alarm: Timer::Balancer(label) });
            }
            module::Effect::WatchEndpoints => self.watch_endpoints(out),
        }
    }

    fn timer_expired(&mut self, alarm: Timer, out: &mut Vec<Effect>) {
        match alarm {
            Timer::Balancer(label) => self.step_balancer(Input::TimerExpired { label }, out),
            Timer::RedialPreExisting(session_id) => self.redial_pre_existing(session_id, out),
            Timer::AnswerDeadline(session_id) => {
                // Dials end and the module answers before this; it guards against a task that does neither.
                if self.sessions.get(&session_id).is_some_and(|s| s.stage.awaits_answer()) {
                    self.deadline_expired(session_id, out);
                }
            }
            Timer::MigrateBatch(round) if round == self.migration_round => self.migrate_batch(out),
            Timer::MigrateBatch(_) => {}
            Timer::HandoverOffer(peer) => {
                self.apply_ownership_event(OwnershipEvent::ReadyTimeout { peer }, out)
            }
            Timer::HandoverProgress => self.report_remaining(out),
            Timer::Membership => self.membership_timer_expired(out),
            Timer::RequestEndpointList => self.watch_endpoints(out),
            Timer::PollPeers => self.poll_peers(out),
            Timer::Voter(alarm, round) => self.raft_timer(alarm, round, out),
            Timer::LeaderReview => self.review(out),
            Timer::PendingRequest(ops) => self.retry_request(ops, out),
        }
    }
}
