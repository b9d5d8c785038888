//! One relay: the state that its decisions rest on, and the step that takes an input to effects.

use crate::estimate::FleetEstimate;
use crate::interarrival::MeanInterarrival;
use crate::random::{hash, Random};
use crate::rolling_sum::RollingSum;
use crate::server::{MessageDelay, Server};
use crate::session::{Event, Session, SessionPolicy, State};
use crate::types::{Effect, Input, Listener, Micros, ServerId, SessId, SiteConfig};
use std::collections::BTreeMap;
use std::rc::Rc;

pub(crate) const SECOND: Micros = 1_000_000;
/// A server below this load has capacity for all its sessions, and nothing is gained by a migration.
pub(crate) const FULL_LOAD: f64 = 0.75;
/// Own sessions below which chance is more than a quarter of what they tell.
pub(crate) const FEW_SESSIONS: u32 = 16;
/// The time in which reports are made and travel before an answer brings them.
pub(crate) const REPORT_LAG: Micros = SECOND;

/// Timer of the next probe.
pub(crate) const PROBE_TIMER: u32 = 0;
/// Timer of the next watch of the endpoint list.
pub(crate) const WATCH_TIMER: u32 = 1;
/// Timer of sessions that wait for reports.
pub(crate) const HELD_TIMER: u32 = 2;

/// The decisions of one relay, with all that they rest on.
#[derive(Default)]
pub struct Relay {
    pub(crate) site: SiteConfig,
    /// One for each listener, shared by its sessions.
    pub(crate) policies: Vec<Rc<SessionPolicy>>,
    pub(crate) random: Random,
    /// Draws the warming servers at which this relay keeps unused slots.
    pub(crate) slot_selection_key: u64,
    pub(crate) now: Micros,
    started: bool,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    pub(crate) sessions: BTreeMap<SessId, Session>,
    /// Sessions that wait for reports, in the order in which they came.
    pub(crate) awaiting_reports: Vec<SessId>,
    /// Own sessions of a group at a server, dialled and established.
    pub(crate) group_sessions: BTreeMap<(ServerId, u64), u32>,
    /// Running mean of the sessions' loads, in their unit; 0 where none was told.
    mean_session_load: f64,
    /// Dialled and established (the paper's n).
    pub(crate) own_sessions: u32,
    /// Sessions that may take a slot at a warming server, rejected ones too.
    pub(crate) slot_arrivals: MeanInterarrival,
    /// Sessions dialled, less those that ended, weighted by their load.
    pub(crate) net_sessions: RollingSum,
    /// Sessions that ended here, less those that came again.
    pub(crate) disconnects: RollingSum,
    /// Sessions that came back from any relay.
    pub(crate) reconnects: RollingSum,
    pub(crate) last_dial_at: Micros,
    /// Dials that servers took up, and those throttled.
    pub(crate) dials: RollingSum,
    /// Those of them that were accepted in time.
    pub(crate) accepts: RollingSum,
    /// Seconds that work waits, over which a server is congested.
    pub(crate) queue_delay_limit: f64,
    pub(crate) estimate: FleetEstimate,
    /// Probes that are paid for and not yet sent.
    pub(crate) probe_credit: f64,
    /// Failed watches in a row, up to the last step of the backoff.
    pub(crate) watch_failures: u32,
    pub(crate) last_watch_at: Micros,
}

impl Relay {
    /// A relay that knows nothing yet. `seed` draws its chances; `site` names one listener at least.
    pub fn new(site: SiteConfig, seed: u64) -> Relay {
        /// Until reports tell more.
        const INITIAL_SESSION_LOAD: f64 = 0.02;
        let estimate = FleetEstimate {
            session_load: INITIAL_SESSION_LOAD,
            slot_load: INITIAL_SESSION_LOAD,
            ..FleetEstimate::default()
        };
        let mut relay = Relay {
            random: Random::new(seed),
            slot_selection_key: hash(hash(seed) ^ u64::from(site.relay_index)),
            estimate,
            ..Relay::default()
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

    /// Takes one input at `now`, never earlier than the last; appends its effects to `out`, to be carried out
    /// in order.
    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.now = now;
        if !self.started {
            self.start(out);
        }
        self.handle(input, out);
    }

    fn start(&mut self, out: &mut Vec<Effect>) {
        self.started = true;
        if self.site.must_watch {
            out.push(Effect::WatchEndpoints);
        }
        if self.site.may_probe {
            out.push(Effect::SetTimer { after: 1, label: PROBE_TIMER });
        }
    }

    /// What is of a dial or a session that is over changes nothing.
    fn handle(&mut self, input: Input, out: &mut Vec<Effect>) {
        match input {
            Input::Configure(site) => self.reconfigure(*site, out),
            Input::Restore(snapshot) => self.restore(snapshot),
            Input::EndpointList { update, endpoints } => self.update_list(update, endpoints, out),
            Input::SessionRequested { session, request } => {
                self.register(session, Session { request, ..Session::default() });
                self.advance(session, Event::EvaluationDue, out);
            }
            Input::SessionAdopted { session, server, request } => {
                let state = State::Established;
                self.register(session, Session { request, server, state, dials: 1, ..Session::default() });
                self.book(session, 1);
            }
            Input::SessionEstablished { session, .. } => {
                self.count_dial(session, true);
                self.advance(session, Event::Established, out);
            }
            Input::DialEnded { session, dial, end, settled, report } => {
                if self.is_last_dial(session, dial) {
                    self.record_dial_end(session, end, report);
                    self.advance(session, if settled { Event::Ended } else { Event::DialFailed }, out);
                }
            }
            Input::DialNotStarted { session, dial } => {
                if self.is_last_dial(session, dial) {
                    self.sessions.entry(session).and_modify(|session| session.dials -= 1);
                    self.advance(session, Event::DialFailed, out);
                }
            }
            Input::SessionLoad { session, load } => self.record_session_load(session, load),
            Input::MessageDelay { session, delay } => self.record_message_delay(session, delay, out),
            Input::SessionEnded { session } => self.advance(session, Event::Ended, out),
            Input::ProbeEnded { server, end, report } => {
                self.record_probe_end(server, end, report);
                self.rebalance(server, out);
                self.reevaluate_waiting(Some(server), out);
            }
            Input::TimerExpired { label } => self.timer_expired(label, out),
        }
    }

    fn reconfigure(&mut self, site: SiteConfig, out: &mut Vec<Effect>) {
        let begins_to_probe = site.may_probe && !self.site.may_probe;
        self.configure(site);
        if begins_to_probe {
            out.push(Effect::SetTimer { after: 1, label: PROBE_TIMER });
        }
    }

    fn timer_expired(&mut self, label: u32, out: &mut Vec<Effect>) {
        match label {
            PROBE_TIMER => self.probe_tick(out),
            WATCH_TIMER => {
                self.last_watch_at = self.now;
                out.push(Effect::WatchEndpoints);
            }
            _ => self.reevaluate_waiting(None, out),
        }
    }

    /// Sets a heavy session apart from a light one, by a running mean over some fifty inputs.
    fn record_session_load(&mut self, id: SessId, load: f64) {
        const GAIN: f64 = 0.02;
        /// Of a session, over the mean.
        const MIN_WEIGHT: f64 = 0.3;
        const MAX_WEIGHT: f64 = 3.0;
        let gain = if self.mean_session_load > 0.0 { GAIN } else { 1.0 };
        self.mean_session_load += (load - self.mean_session_load) * gain;
        let weight = (load / self.mean_session_load.max(1e-9)).clamp(MIN_WEIGHT, MAX_WEIGHT);
        self.sessions.entry(id).and_modify(|session| session.weight = weight);
    }

    fn record_message_delay(&mut self, id: SessId, seconds: f64, out: &mut Vec<Effect>) {
        let Some(server_id) = self.sessions.get(&id).map(|session| session.server) else { return };
        let Some(server) = self.servers.get_mut(&server_id) else { return };
        server.message_delay = MessageDelay { seconds, measured_at: self.now };
        self.rebalance(server_id, out);
    }
}
