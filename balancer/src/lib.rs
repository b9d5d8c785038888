//! All decisions of one relay (`docs/design.md`). Hand `Relay::step` every input in order of arrival with the
//! clock of its batch, and carry out the effects it appends, in order. Nothing reads a clock or is shared.

mod admission;
mod estimate;
mod memory;
mod placement;
mod probes;
mod rebalance;
mod server_list;
mod session;
mod slow_start;
mod tools;
pub mod types;

use crate::tools::{mix, Arrivals, Chance, Flow, Least, Ring};
use crate::types::*;
use estimate::FleetEstimate;
use session::{Event, Rule, Session, State};
use std::{collections::BTreeMap, rc::Rc};

const SECOND: Micros = 1_000_000;
const FULL: f64 = 0.75; // below this load a server has room for all, and nothing is gained by a move
const GROUP: f64 = 4.0; // a group's cost on a server, in sessions; tried 2 and 8
const POOL: usize = 3; // servers compared for a session: enough to miss what is full, few enough to probe
const FEW: u32 = 16; // own sessions, of which chance is a quarter; with more these are steadier
const LAG: Micros = SECOND; // that reports are refreshed and travel before an answer; tried 0.5 to 2 s

/// What a relay knows of one server.
#[derive(Default)]
struct Server {
    entry: Entry,
    load: f64,
    queue_delay: f64, // seconds, as reported
    sessions: f64,    // of all relays there; 0 where this is not reported
    last_report: Option<Micros>,
    message_delay: (f64, Micros), // seconds that a message took there, and when this was measured
    misses: u32,                  // probes and connects in a row without an answer
    next_slot: (Micros, f64),     // since the last dial there, after this part of a slot interval
    last_probe: Micros,
    probe_pending: bool,
    last_rebalance: Micros,
    flow: Flow,
}

/// The decisions of one relay, with all that they rest on.
#[derive(Default)]
pub struct Relay {
    site: SiteFacts,
    rules: Vec<Rc<Rule>>, // a row for each listener, shared by its sessions
    rng: Chance,
    slot_key: u64, // draws the cold servers whose unused slots this relay keeps
    now: Micros,
    started: bool,
    servers: BTreeMap<ServerId, Server>,
    sessions: BTreeMap<SessId, Session>,
    held_sessions: Vec<SessId>,
    groups: BTreeMap<(ServerId, u64), u32>, // own open sessions of a group at a server
    mean_load: f64,
    own_sessions: u32,  // dialled and open
    arrivals: Arrivals, // of sessions that may take a slot at a cold server, refused ones too
    net_sessions: Ring, // dialled, less those that ended
    disconnects: Ring,  // sessions that left here and have not come again
    reconnects: Ring,   // sessions that came back from anywhere
    last_dial: Micros,
    dials: Ring,            // that servers took up, and those throttled
    accepts: Ring,          // of these, in time
    queue_delay_limit: f64, // in seconds, over which a server is congested
    estimate: FleetEstimate,
    probe_credit: f64, // probes that are paid for and not yet sent
    watch_failures: u32,
    last_watch: Micros, // when the list was last requested
}

const PROBE: u32 = 0;
const WATCH: u32 = 1;
const HELD: u32 = 2;

impl Relay {
    /// A relay that knows nothing yet. `seed` draws its chances; `site` names one listener at least.
    pub fn new(site: SiteFacts, seed: u64) -> Relay {
        let estimate = FleetEstimate { session_load: 0.02, slot_load: 0.02, ..FleetEstimate::default() }; // till more is known
        let slot_key = mix(mix(seed) ^ u64::from(site.slot));
        let mut relay = Relay { rng: Chance::new(seed), slot_key, estimate, ..Relay::default() };
        relay.set_site(site);
        relay
    }

    fn set_site(&mut self, site: SiteFacts) {
        let target = site.listeners.iter().map(|l| l.message_target).min().unwrap_or(SECOND) as f64 / 1e6;
        let rule = |listener: &Listener| Rule { listener: listener.clone(), most_dials: site.most_dials };
        self.rules = site.listeners.iter().map(|listener| Rc::new(rule(listener))).collect();
        (self.queue_delay_limit, self.site, self.estimate.valid_until) = (target, site, self.now);
    }

    /// Takes one input at `now`, in microseconds, never earlier than the last; appends its effects to `out`.
    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Effect>) {
        self.now = now;
        if !std::mem::replace(&mut self.started, true) {
            out.extend(self.site.must_watch.then_some(Effect::Watch));
            out.extend(self.site.may_probe.then_some(Effect::Alarm { after: 1, label: PROBE }));
        }
        match input {
            Input::List { kind, entries } => self.update_list(kind, entries, out),
            Input::Facts(site) => {
                let probes = site.may_probe && !self.site.may_probe;
                self.set_site(*site);
                out.extend(probes.then_some(Effect::Alarm { after: 1, label: PROBE }));
            }
            Input::Remember { step, servers } => self.remember(step, servers),
            Input::Asked { sess, asked } => {
                self.admit(sess, Session { request: asked, ..Session::default() });
                self.advance(sess, Event::Reconsider, out);
            }
            Input::AlreadyOpen { sess, server, asked } => {
                let state = State::Open;
                self.admit(sess, Session { request: asked, server, state, dials: 1, ..Session::default() });
                self.book(sess, 1);
            }
            Input::Stands { sess, .. } => {
                self.count_dial(sess, true);
                self.advance(sess, Event::Established, out);
            }
            Input::DialEnded { sess, dial, end, settled, report } if self.is_last_dial(sess, dial) => {
                self.dial_ended(sess, end, report);
                self.advance(sess, if settled { Event::Ended } else { Event::DialFailed }, out);
            }
            Input::NotBegun { sess, dial } if self.is_last_dial(sess, dial) => {
                self.sessions.entry(sess).and_modify(|s| s.dials -= 1);
                self.advance(sess, Event::DialFailed, out);
            }
            Input::Load { sess, load } => {
                // A running mean over some fifty inputs, to set a heavy session apart from a light one.
                self.mean_load += (load - self.mean_load) * if self.mean_load > 0.0 { 0.02 } else { 1.0 };
                let weight = (load / self.mean_load.max(1e-9)).clamp(0.3, 3.0);
                self.sessions.entry(sess).and_modify(|s| s.weight = weight);
            }
            Input::Delay { sess, delay } => {
                let Some(server) = self.sessions.get(&sess).map(|s| s.server) else { return };
                let Some(v) = self.servers.get_mut(&server) else { return };
                v.message_delay = (delay, now);
                self.rebalance(server, out);
            }
            Input::Left { sess } => self.advance(sess, Event::Ended, out),
            Input::Probed { server, end, report } => {
                self.probe_ended(server, end, report);
                self.rebalance(server, out);
                self.reconsider_held(Some(server), out);
            }
            Input::Alarm { label: PROBE } => self.probe_tick(out),
            Input::Alarm { label: WATCH } => {
                self.last_watch = now;
                out.push(Effect::Watch);
            }
            Input::Alarm { .. } => self.reconsider_held(None, out),
            _ => {} // of a dial or a session that is over
        }
    }

    /// Whether a session is sent to a server now only where there is no other.
    pub fn avoids(&self, now: Micros, server: ServerId) -> bool {
        let Some(v) = self.servers.get(&server) else { return true };
        !v.entry.ready() || v.misses > 0 || v.flow.faulty(now, 2.0, 0.25)
    }
}
