//! Simulates a day in virtual time, without sockets: the relays' reducers (state machines that handle events
//! and return effects) run with the models of the emulator, that is its clients, servers and discovery
//! service. There is one event queue and one seed; equal seeds give byte-identical days.
mod clients;
mod dials;
mod discovery;
mod effects;
mod events;
mod membership;
mod operator;
mod processes;
mod silence;
mod state;

use crate::error::LabError;
use events::QueuedEvent;
use hallrelay_balancer::types::Micros;
use hallrelay_config::node::Node;
use hallrelay_config::scenario::Scenario;
use hallrelay_emulator::clients::ClientRequest;
use hallrelay_emulator::day::{Day, DriverActions};
use hallrelay_emulator::event_queue::EventQueue;
use hallrelay_emulator::script::{RelayAction, RelayCommand};
use hallrelay_emulator::servers::ConnectionId;
use hallrelay_emulator::service::{Outcome, RelayFigures};
use hallrelay_recovery::StoredState;
use hallrelay_relay::reducer::{Effect, Event, Reducer};
use operator::DrainCounts;
use state::{BackendConnection, ProcessId, VirtualRelay};
use std::collections::HashMap;

/// The state machine of a relay: the reducer, or a faulty one in tests.
pub trait StateMachine {
    /// Starts the state machine at `now` (Unix time in microseconds). Its effects are appended to `out`.
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>);
    /// Handles one event at `now`. The effects are appended to `out`.
    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>);
    /// Loads the contents of the relay's store before the start. The default implementation ignores them.
    fn load_state(&mut self, _stored: StoredState) {}
}

impl StateMachine for Reducer {
    fn start(&mut self, now: Micros, out: &mut Vec<Effect>) {
        Reducer::start(self, now, out);
    }
    fn step(&mut self, now: Micros, event: Event, out: &mut Vec<Effect>) {
        Reducer::step(self, now, event, out);
    }
    fn load_state(&mut self, stored: StoredState) {
        Reducer::load_state(self, stored);
    }
}

/// Creates a state machine from the configuration whenever a relay process starts.
pub type StateMachineFactory<'a> = Box<dyn Fn(Node) -> Box<dyn StateMachine> + 'a>;

/// The factory for the real reducer.
pub fn reducers() -> StateMachineFactory<'static> {
    Box::new(|node| Box::new(Reducer::new(node, None)))
}

/// Unix time at which a day begins, in microseconds. Any value would work that leaves room before it for
/// sessions that were set up earlier.
const BEGIN: Micros = 1_800_000_000_000_000;

/// Interval of the calls to `progress`, in virtual time.
const PROGRESS_INTERVAL: Micros = 250_000;

/// One day during its simulation.
struct VirtualDay<'a> {
    day: Day,
    queue: EventQueue<QueuedEvent>,
    relays: Vec<VirtualRelay>,
    /// Connections to servers by number. This can be a hash map because it is only looked up and never
    /// iterated; its random iteration order would make days with the same seed differ.
    dials: HashMap<ConnectionId, BackendConnection>,
    /// Requests of clients that have not disconnected, by mark. Also only looked up and never iterated.
    requests: HashMap<u64, ClientRequest>,
    /// Number that was last assigned to a connection.
    last_connection: ConnectionId,
    now: Micros,
    is_discovery_down: bool,
    new_state_machine: StateMachineFactory<'a>,
    drains: DrainCounts,
}

/// Plays a scenario in virtual time.
///
/// `progress` is called with the completed fraction of the day (0 to 1). If it returns false, the day ends
/// early and the outcome is marked as partial.
///
/// # Errors
/// If the relay configuration derived from the scenario is not valid.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    new_state_machine: StateMachineFactory,
    progress: &mut dyn FnMut(f64) -> bool,
) -> Result<Outcome, LabError> {
    let mut day = VirtualDay {
        day: Day::new(scenario, seed, BEGIN),
        queue: EventQueue::default(),
        relays: Vec::new(),
        dials: HashMap::new(),
        requests: HashMap::new(),
        last_connection: 0,
        now: BEGIN,
        is_discovery_down: false,
        new_state_machine,
        drains: DrainCounts::default(),
    };
    for relay in 0..scenario.relays.count {
        let node = day.configuration(relay, 0)?;
        day.relays.push(VirtualRelay::new(node.limits));
    }
    for relay in 0..scenario.relays.count {
        day.start_process(relay)?;
    }
    day.play(progress)
}

impl VirtualDay<'_> {
    fn play(mut self, progress: &mut dyn FnMut(f64) -> bool) -> Result<Outcome, LabError> {
        let mut todo = DriverActions::default();
        let servers = self.day.servers.len();
        self.day.clients.open_pre_existing(self.now, servers, &mut todo.client_actions);
        self.apply_model_outputs(&mut todo)?;
        if self.day.scenario.relays.fleet {
            self.poll_views();
        }
        let mut partial = None;
        let mut progress_at = self.now;
        loop {
            let next = self.queue.next_at().unwrap_or(Micros::MAX).min(self.day.next_at());
            if next > self.day.end {
                break;
            }
            self.now = self.now.max(next);
            if self.now >= progress_at {
                progress_at = self.now + PROGRESS_INTERVAL;
                if !progress(self.completed_fraction()) {
                    partial = Some("interrupted".to_string());
                    break;
                }
            }
            self.handle_due(&mut todo)?;
        }
        self.now = self.now.max(self.day.end.min(self.now + 1));
        Ok(self.outcome(partial))
    }

    /// Handles everything that is due now, starting with the models.
    fn handle_due(&mut self, todo: &mut DriverActions) -> Result<(), LabError> {
        if self.day.next_at() <= self.now {
            self.day.step(self.now, todo);
            self.apply_model_outputs(todo)?;
        }
        while let Some((_, event)) = self.queue.pop_due(self.now) {
            self.handle(event, todo);
            self.apply_model_outputs(todo)?;
        }
        Ok(())
    }

    /// Completed fraction of the day, from 0 to 1.
    fn completed_fraction(&self) -> f64 {
        (self.now - self.day.begin) as f64 / (self.day.end - self.day.begin) as f64
    }

    fn outcome(&self, partial: Option<String>) -> Outcome {
        let figures = |relay: &VirtualRelay| RelayFigures { starts: relay.starts, ..RelayFigures::default() };
        let mut outcome = self.day.outcome();
        outcome.outs = self.drains.outcome();
        outcome.relays = self.relays.iter().map(figures).collect();
        outcome.partial = partial;
        outcome.mode = "virtual".to_string();
        outcome
    }

    /// Applies the outputs of the models for relays, clients and the discovery service.
    fn apply_model_outputs(&mut self, todo: &mut DriverActions) -> Result<(), LabError> {
        // Each output may lead to more outputs.
        while !todo.is_empty() {
            self.day.take_internal_events(self.now, todo);
            let outputs = std::mem::take(todo);
            self.schedule_arrivals(outputs.arrivals);
            for output in outputs.server_events {
                self.server_output(output, todo);
            }
            for action in outputs.client_actions {
                self.client_action(action);
            }
            if let Some(is_down) = outputs.discovery_down {
                self.is_discovery_down = is_down;
                if is_down {
                    self.break_watches();
                }
            }
            if outputs.list_changed {
                self.send_watch_events();
            }
            for RelayCommand { relay, action } in outputs.relay_commands {
                self.apply_action(relay, action)?;
            }
        }
        Ok(())
    }

    /// Applies a fault or an operation of the scenario to a relay process.
    fn apply_action(&mut self, relay: usize, action: RelayAction) -> Result<(), LabError> {
        match action {
            RelayAction::Kill => self.end_process(relay),
            RelayAction::Stop => self.request_stop(relay),
            RelayAction::Start => {
                self.end_process(relay);
                self.start_process(relay)?;
            }
            RelayAction::RequestLease(duration) => self.request_drain(relay, duration),
            RelayAction::Stall => self.stall(relay),
            RelayAction::Resume => self.resume(relay),
            // Hot restarts are not simulated: sessions and membership continue unchanged.
            RelayAction::Replace => {}
            RelayAction::Reload => {
                let mut node = self.configuration(relay, 0)?;
                // The reloaded configuration differs only in the port of discovery, which was 2 before.
                node.discovery.set_port(3);
                self.step(relay, Event::ConfigurationReloaded(Box::new(node)));
            }
        }
        Ok(())
    }

    /// One-way latency between a relay and a server or the discovery service.
    fn server_latency(&self) -> Micros {
        self.day.scenario.net.server_ms.us()
    }

    /// One-way latency between a client and a relay.
    fn client_latency(&self) -> Micros {
        self.day.scenario.net.client_ms.us()
    }

    fn schedule_after(&mut self, delay: Micros, event: QueuedEvent) {
        self.queue.schedule(self.now + delay, event);
    }

    /// Schedules an event for the current process of a relay.
    fn notify_after(&mut self, delay: Micros, relay: usize, event: Event) {
        let process = self.process_id(relay);
        self.schedule_after(delay, QueuedEvent::Relay { process, event: Box::new(event) });
    }

    fn process_id(&self, relay: usize) -> ProcessId {
        ProcessId { relay, incarnation: self.relays[relay].incarnation }
    }

    /// Whether a process is the current one of its relay.
    fn is_current(&self, process: ProcessId) -> bool {
        self.relays[process.relay].incarnation == process.incarnation
    }
}
