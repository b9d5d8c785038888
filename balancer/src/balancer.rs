//! The balancer of one relay: the state on which its decisions depend, and the step that turns an input into
//! effects. "The paper" in the crate's comments is the one that the module `admission` cites. A slot is one
//! dial that this relay may make to a warming server (see the module `slow_start`).

use crate::estimate::FleetEstimate;
use crate::interarrival::MeanInterarrival;
use crate::random::{hash, Random};
use crate::rolling_sum::RollingSum;
use crate::server::{MessageDelay, Server};
use crate::session::{Event, Session, SessionPolicy, State};
use crate::types::{Effect, Input, Listener, Micros, ServerId, SessionId, SiteConfig};
use std::collections::BTreeMap;
use std::rc::Rc;

pub(crate) const SECOND: Micros = 1_000_000;
/// The load at or above which a server counts as full, as a fraction of the saturating load. Below it, all
/// sessions of the server are served in time, and a migration gains nothing.
pub(crate) const FULL_LOAD: f64 = 0.75;
/// Minimum number of this relay's own sessions from which a value of the fleet is extrapolated. With fewer,
/// the sampling error exceeds a quarter of the value.
pub(crate) const MIN_SAMPLE_SESSIONS: u32 = 16;
/// The delay of load reports, from the measurement of a load to the arrival of the answer that contains it.
pub(crate) const REPORT_LAG: Micros = SECOND;

/// Label of the timer for the next probe.
pub(crate) const PROBE_TIMER: u32 = 0;
/// Label of the timer for the next watch of the endpoint list.
pub(crate) const WATCH_TIMER: u32 = 1;
/// Label of the timers for the report deadlines of sessions that wait for reports.
pub(crate) const REPORTS_TIMER: u32 = 2;

/// Identifies the sessions of one group on one server.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct GroupKey {
    pub(crate) server: ServerId,
    /// The group in the session's request. 0 means no group.
    pub(crate) group: u64,
}

/// The decisions of one relay and the state on which they depend. Relays share no state: each has its own
/// balancer.
#[derive(Default)]
pub struct Balancer {
    pub(crate) site: SiteConfig,
    /// One policy per listener, shared by the listener's sessions.
    pub(crate) policies: Vec<Rc<SessionPolicy>>,
    pub(crate) random: Random,
    /// Hash key that selects the warming servers at which this relay may use slots that stayed unused.
    pub(crate) slot_selection_key: u64,
    pub(crate) now: Micros,
    started: bool,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) sessions: BTreeMap<SessionId, Session>,
    /// Sessions that wait for reports, in the order of their requests.
    pub(crate) awaiting_reports: Vec<SessionId>,
    /// Number of this relay's sessions of each group on each server, including those being dialled.
    pub(crate) group_sessions: BTreeMap<GroupKey, u32>,
    /// Running mean of the loads in `Input::SessionLoad`, in the unit of that input. 0 before the first load.
    mean_session_load: f64,
    /// Number of sessions of this relay, including those being dialled (the paper's n).
    pub(crate) own_sessions: u32,
    /// Arrivals of sessions that may take a slot at a warming server, including rejected sessions.
    pub(crate) slot_arrivals: MeanInterarrival,
    /// Sessions that this relay dialled minus sessions that ended, weighted by their load.
    pub(crate) net_sessions: RollingSum,
    /// Sessions of this relay that ended, minus those that returned to it.
    pub(crate) disconnects: RollingSum,
    /// Sessions that returned to this relay after they were lost or migrated at any relay.
    pub(crate) reconnects: RollingSum,
    pub(crate) last_dial_at: Micros,
    /// Dials that reached servers, and sessions that throttling rejected instead of dialling.
    pub(crate) dials: RollingSum,
    /// Dials accepted within the handshake objective.
    pub(crate) accepts: RollingSum,
    /// The queue delay above which a server is congested, in seconds. It is the shortest message objective.
    pub(crate) queue_delay_limit: f64,
    pub(crate) estimate: FleetEstimate,
    /// Number of probes that may still be sent. Each new session adds credit, each probe takes 1 from it.
    pub(crate) probe_credit: f64,
    /// Number of consecutive failed watches, limited to the last index of `WATCH_BACKOFF`.
    pub(crate) watch_failures: u32,
    pub(crate) last_watch_at: Micros,
}

impl Balancer {
    /// Creates the balancer of a relay without servers and sessions. `seed` determines all of its random
    /// numbers. `site` must have at least one listener.
    pub fn new(site: SiteConfig, seed: u64) -> Balancer {
        /// Assumed load of one session on a server before the first reports.
        const INITIAL_SESSION_LOAD: f64 = 0.02;
        let estimate = FleetEstimate {
            session_load: INITIAL_SESSION_LOAD,
            slot_session_load: INITIAL_SESSION_LOAD,
            ..FleetEstimate::default()
        };
        let mut relay = Balancer {
            random: Random::new(seed),
            slot_selection_key: hash(hash(seed) ^ u64::from(site.relay_index)),
            estimate,
            ..Balancer::default()
        };
        relay.configure(site);
        relay
    }

    fn configure(&mut self, site: SiteConfig) {
        let shortest_target = site.listeners.iter().map(|listener| listener.message_target).min();
        self.queue_delay_limit = shortest_target.unwrap_or(SECOND) as f64 / 1e6;
        let policy =
            |listener: &Listener| SessionPolicy { listener: listener.clone(), max_dials: site.max_dials };
        self.policies = site.listeners.iter().map(|listener| Rc::new(policy(listener))).collect();
        self.site = site;
        self.estimate.valid_until = self.now;
    }

    /// Processes one input and appends its effects to `effects`. The caller must execute them in order. `now`
    /// must not be earlier than in the previous call.
    pub fn step(&mut self, now: Micros, input: Input, effects: &mut Vec<Effect>) {
        self.now = now;
        if !self.started {
            self.start(effects);
        }
        self.handle(input, effects);
    }

    fn start(&mut self, effects: &mut Vec<Effect>) {
        self.started = true;
        if self.site.must_watch {
            effects.push(Effect::WatchEndpoints);
        }
        if self.site.may_probe {
            effects.push(Effect::SetTimer { after: 1, label: PROBE_TIMER });
        }
    }

    /// Dispatches one input. An input about a dial or a session that has ended is ignored.
    fn handle(&mut self, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::Configure(site) => self.reconfigure(*site, effects),
            Input::Restore(snapshot) => self.restore(snapshot),
            Input::EndpointList { update, endpoints } => self.update_list(update, endpoints, effects),
            Input::SessionRequested { session, request } => {
                self.register(session, Session { request, ..Session::default() });
                self.advance(session, Event::EvaluationDue, effects);
            }
            Input::SessionAdopted { session, server, request } => {
                let state = State::Established;
                self.register(session, Session { request, server, state, dials: 1, ..Session::default() });
                self.count_session(session, 1);
            }
            Input::SessionEstablished { session, .. } => {
                self.count_dial(session, true);
                self.advance(session, Event::Established, effects);
            }
            Input::DialEnded { session, dial, end, settled, report } => {
                if self.is_last_dial(session, dial) {
                    self.record_dial_end(session, end, report);
                    self.advance(session, if settled { Event::Ended } else { Event::DialFailed }, effects);
                }
            }
            Input::DialNotStarted { session, dial } => {
                if self.is_last_dial(session, dial) {
                    self.sessions.entry(session).and_modify(|session| session.dials -= 1);
                    self.advance(session, Event::DialFailed, effects);
                }
            }
            Input::SessionLoad { session, load } => self.record_session_load(session, load),
            Input::MessageDelay { session, delay } => self.record_message_delay(session, delay, effects),
            Input::SessionEnded { session } => self.advance(session, Event::Ended, effects),
            Input::ProbeEnded { server, end, report } => {
                self.record_probe_end(server, end, report);
                self.rebalance(server, effects);
                self.reevaluate_waiting(Some(server), effects);
            }
            Input::TimerExpired { label } => self.timer_expired(label, effects),
        }
    }

    fn reconfigure(&mut self, site: SiteConfig, effects: &mut Vec<Effect>) {
        let starts_probing = site.may_probe && !self.site.may_probe;
        self.configure(site);
        if starts_probing {
            effects.push(Effect::SetTimer { after: 1, label: PROBE_TIMER });
        }
    }

    fn timer_expired(&mut self, label: u32, effects: &mut Vec<Effect>) {
        match label {
            PROBE_TIMER => self.probe_tick(effects),
            WATCH_TIMER => {
                self.last_watch_at = self.now;
                effects.push(Effect::WatchEndpoints);
            }
            _ => self.reevaluate_waiting(None, effects),
        }
    }

    /// Sets the weight of a session: its load divided by the running mean of about the last 50 loads.
    fn record_session_load(&mut self, id: SessionId, load: f64) {
        const GAIN: f64 = 0.02;
        /// Bounds of the weight. A session with the mean load has weight 1.0.
        const MIN_WEIGHT: f64 = 0.3;
        const MAX_WEIGHT: f64 = 3.0;
        let gain = if self.mean_session_load > 0.0 { GAIN } else { 1.0 };
        self.mean_session_load += (load - self.mean_session_load) * gain;
        let weight = (load / self.mean_session_load.max(1e-9)).clamp(MIN_WEIGHT, MAX_WEIGHT);
        self.sessions.entry(id).and_modify(|session| session.weight = weight);
    }

    fn record_message_delay(&mut self, id: SessionId, seconds: f64, effects: &mut Vec<Effect>) {
        let Some(server_id) = self.sessions.get(&id).map(|session| session.server) else { return };
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.message_delay = MessageDelay { seconds, measured_at: self.now };
        self.rebalance(server_id, effects);
    }
}
