//! Runs a plan: starts relays, backends, discovery and clients, applies the scheduled faults, and checks the
//! observations.
use crate::backend::{Backend, Behaviour};
use crate::client::{self, Cancellation, ClientPlan};
use crate::discovery::{Discovery, DiscoveryMode};
use crate::faults::{FaultControl, SystemFault};
use crate::lateness::LatenessMonitor;
use crate::link::LinkMode;
use crate::locked;
use crate::observations::{Impairment, Interval, ListChange, Recorder, Timestamp};
use crate::oracle::{self, Violation};
use crate::plan::Plan;
use crate::process::RelayProcess;
use crate::report::Report;
use crate::schedule::{FaultKind, ScheduledFault};
use crate::settings::{shared_configuration, LISTENERS, REQUEST_TIMEOUT, SETTINGS};
use oorandom::Rand64;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Interval at which the harness starts faults and clients, and observes processes.
const TICK: Duration = Duration::from_millis(5);
/// Delay from SIGTERM to a relay until the front, the load balancer before the relays, sends it no more
/// clients.
const FRONT_DELAY: Duration = Duration::from_millis(300);
/// Delay after each reload of `FaultKind::Reload`.
const RELOAD_INTERVAL: Duration = Duration::from_millis(300);
/// Minimum time from the end of a pause to the start of the next. Long pauses use twice their length
/// instead.
const PAUSE_INTERVAL: Duration = Duration::from_millis(600);
/// Delay after the end of the last client, in which backends still observe the end of its session.
const FINAL_DELAY: Duration = Duration::from_secs(1);
/// Number of clients in a reconnect storm.
const STORM_CLIENTS: usize = 60;
/// Size in bytes of the pieces in which slow requests are sent.
const SLOW_PIECE_BYTES: usize = 12;
/// Time from its start within which a new process either takes over from its predecessor or exits.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after a discovery fault for which discovery may still answer late.
const DISCOVERY_RECOVERY: Duration = Duration::from_secs(1);
/// Fault value with which every call fails, in failures per thousand calls.
const ALWAYS: i64 = 1_000;

/// State of a running plan.
struct Harness {
    plan: Plan,
    recorder: Recorder,
    discovery: Discovery,
    backends: Vec<Backend>,
    relays: Vec<Arc<Mutex<RelayProcess>>>,
    relay_addresses: Vec<SocketAddr>,
    controls: Vec<Arc<FaultControl>>,
    /// Numbers of the relays that must restart as soon as their processes have ended.
    to_restart: Vec<usize>,
    /// For each relay, whether the front sends clients to the relay.
    in_front: Vec<Arc<AtomicBool>>,
    threads: Vec<JoinHandle<()>>,
    /// Number of active faults that make clients cancel.
    active_cancellation_faults: u32,
    /// Number of active faults that make clients send their requests in pieces.
    active_slow_request_faults: u32,
    random: Rand64,
    last_session: u64,
}

fn unix_milliseconds() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

/// Runs a plan and checks its observations.
///
/// # Panics
/// Panics if a relay is not ready in time after its first start.
pub fn run(plan: &Plan) -> Report {
    _ = std::fs::remove_dir_all(&plan.folder);
    std::fs::create_dir_all(&plan.folder).expect("create the folder of the run");
    let lateness = LatenessMonitor::start();
    let mut harness = Harness::start(plan);
    let mut pending: Vec<ScheduledFault> = plan.faults.clone();
    let mut active: Vec<ScheduledFault> = Vec::new();
    let started_at = harness.recorder.now();
    let mut next_client = Duration::ZERO;
    loop {
        let now = harness.recorder.now() - started_at;
        if now >= plan.length {
            break;
        }
        while let Some(position) = pending.iter().position(|fault| fault.from <= now) {
            let fault = pending.remove(position);
            harness.begin_fault(&fault);
            active.push(fault);
        }
        while let Some(position) = active.iter().position(|fault| fault.until <= now) {
            let fault = active.remove(position);
            harness.end_fault(&fault);
        }
        while next_client <= now {
            harness.start_client(false);
            next_client += harness.draw_interval();
        }
        harness.observe_exits();
        harness.restart_relays();
        thread::sleep(TICK);
    }
    active.iter().for_each(|fault| harness.end_fault(fault));
    harness.finish(started_at, lateness)
}

/// Adds the relay's individual settings to the shared configuration, and starts the relay.
fn start_relay(
    plan: &Plan,
    number: usize,
    discovery: &Discovery,
    configuration: &Value,
    recorder: &Recorder,
) -> RelayProcess {
    let mut relay =
        RelayProcess::new(number, &plan.program, &plan.folder, configuration.clone(), recorder.clone());
    relay.config["discovery"] = json!(discovery.addresses[number].to_string());
    relay.config["operator"] = json!(crate::unused_address().to_string());
    relay.config["seed"] = json!(format!("{:016x}", plan.seed * 1_000 + number as u64));
    if plan.keeps_state {
        let state = plan.folder.join(format!("state-{number}"));
        std::fs::create_dir_all(&state).expect("create the state directory of the relay");
        relay.config["state"] = json!(state.display().to_string());
    }
    relay.start();
    relay
}

impl Harness {
    fn start(plan: &Plan) -> Harness {
        let recorder = Recorder::default();
        let discovery = Discovery::start(plan.relays, &recorder);
        let backends: Vec<Backend> =
            (0..plan.backends).map(|number| Backend::start(number, recorder.clone())).collect();
        for (number, backend) in backends.iter().enumerate() {
            discovery.list_backend(number, backend.address, false, 0);
        }
        let configuration = shared_configuration(plan, discovery.complete_list());
        let relays: Vec<RelayProcess> = (0..plan.relays)
            .map(|number| start_relay(plan, number, &discovery, &configuration, &recorder))
            .collect();
        let relay_addresses = relays.iter().map(|relay| relay.listen).collect();
        let controls = relays.iter().map(|relay| relay.control.clone()).collect();
        let relays = relays.into_iter().map(|mut relay| {
            let is_ready = relay.wait_until_ready();
            assert!(
                is_ready,
                "relay {} did not answer PING in time; its log is {}",
                relay.number,
                relay.log_path().display()
            );
            Arc::new(Mutex::new(relay))
        });
        Harness {
            relays: relays.collect(),
            relay_addresses,
            controls,
            to_restart: Vec::new(),
            in_front: (0..plan.relays).map(|_| Arc::new(AtomicBool::new(true))).collect(),
            plan: plan.clone(),
            recorder,
            discovery,
            backends,
            threads: Vec::new(),
            active_cancellation_faults: 0,
            active_slow_request_faults: 0,
            random: Rand64::new(u128::from(plan.seed)),
            last_session: 0,
        }
    }

    fn draw(&mut self, end: u64) -> u64 {
        self.random.rand_range(0..end)
    }

    /// Draws the interval until the next client, from an exponential distribution.
    fn draw_interval(&mut self) -> Duration {
        let seconds = -(1.0 - self.random.rand_float()).ln() / self.plan.sessions_per_second;
        Duration::from_secs_f64(seconds)
    }

    /// Starts one client at a relay that is drawn from those to which the front sends clients. If there is
    /// no such relay, no client is started.
    fn start_client(&mut self, reconnects: bool) {
        let in_front: Vec<usize> =
            (0..self.relays.len()).filter(|relay| self.in_front[*relay].load(Ordering::Relaxed)).collect();
        if in_front.is_empty() {
            return;
        }
        let plan = self.draw_client(&in_front, reconnects);
        let recorder = self.recorder.clone();
        self.threads.push(thread::spawn(move || client::run(&plan, &recorder)));
    }

    fn draw_client(&mut self, in_front: &[usize], reconnects: bool) -> ClientPlan {
        let relay = in_front[self.draw(in_front.len() as u64) as usize];
        self.last_session += 1;
        let cancels_after = Duration::from_millis(self.draw(400));
        let cancellation = match self.draw(4) {
            0 if self.active_cancellation_faults > 0 => Cancellation::Close(cancels_after),
            1 if self.active_cancellation_faults > 0 => Cancellation::Reset(cancels_after),
            _ => Cancellation::Never,
        };
        let listener = LISTENERS[self.draw(LISTENERS.len() as u64) as usize];
        let session_length = Duration::from_millis(500 + self.draw(3_000));
        ClientPlan {
            id: self.plan.seed << 32 | self.last_session,
            relay,
            address: self.relay_addresses[relay],
            listener,
            timeout: REQUEST_TIMEOUT,
            reconnects,
            piece_bytes: (self.active_slow_request_faults > 0).then_some(SLOW_PIECE_BYTES),
            cancellation,
            session_length,
        }
    }

    /// Lists a backend as up or draining. `is_start` means that the backend has just started and warms up.
    fn change_list(&self, backend: usize, draining: bool, is_start: bool) {
        let change = ListChange { backend, draining, is_start, at: self.recorder.now() };
        self.recorder.record(|observations| observations.list_changes.push(change));
        let started_ms = if is_start { unix_milliseconds() } else { 0 };
        self.discovery.list_backend(backend, self.backends[backend].address, draining, started_ms);
    }

    /// Returns the period of a fault of the relay or backend `subject` that begins now.
    fn impairment(&self, subject: usize, length: Duration) -> Impairment {
        let from = self.recorder.now();
        Impairment { subject, from, until: from + length }
    }

    fn begin_fault(&mut self, fault: &ScheduledFault) {
        let length = fault.until.saturating_sub(fault.from);
        match fault.kind {
            FaultKind::SystemCalls { relay, fault, value } => {
                self.begin_system_fault(relay, fault, value, length);
            }
            FaultKind::Stop { relay } => self.stop_relay(relay, true),
            FaultKind::StopUnderTraffic { relay } => self.stop_relay(relay, false),
            FaultKind::ReloadThenStop { relay } => {
                _ = self.relays[relay].try_lock().map(|relay| relay.reload());
                self.stop_relay(relay, true);
            }
            FaultKind::HotRestart { relay } => self.hot_restart(relay),
            FaultKind::Kill { relay } => {
                let relay = self.relays[relay].clone();
                self.threads.push(thread::spawn(move || locked(&relay).kill()));
            }
            FaultKind::Pause { relay, each } => self.pause_repeatedly(relay, length, each),
            FaultKind::Reload { relay } => {
                self.repeat(relay, length, RELOAD_INTERVAL, |relay| relay.reload());
            }
            FaultKind::Backend { backend, behaviour } => self.backends[backend].set_behaviour(behaviour),
            FaultKind::ResetSessions { backend } => self.backends[backend].reset_sessions(),
            FaultKind::Link { backend, mode } => self.begin_link_fault(backend, mode, length),
            FaultKind::NoRoute { backend } => {
                let port = i64::from(self.backends[backend].address.port());
                self.set_unreachable_port(port);
            }
            FaultKind::Drain { backend } => self.change_list(backend, true, false),
            FaultKind::NewBackend => {
                let number = self.backends.len();
                self.backends.push(Backend::start(number, self.recorder.clone()));
                self.change_list(number, false, true);
            }
            FaultKind::Discovery { mode } => self.begin_discovery_fault(mode, length),
            FaultKind::ClientsCancel => self.active_cancellation_faults += 1,
            FaultKind::SlowRequests => self.active_slow_request_faults += 1,
            FaultKind::PartialRequests => self.send_partial_requests(),
            FaultKind::ReconnectStorm => (0..STORM_CLIENTS).for_each(|_| self.start_client(true)),
        }
    }

    fn end_fault(&mut self, fault: &ScheduledFault) {
        match fault.kind {
            FaultKind::SystemCalls { relay, fault, .. } => self.controls[relay].set(fault, 0),
            FaultKind::Stop { relay }
            | FaultKind::StopUnderTraffic { relay }
            | FaultKind::ReloadThenStop { relay }
            | FaultKind::Kill { relay } => self.to_restart.push(relay),
            FaultKind::Backend { backend, .. } => self.backends[backend].set_behaviour(Behaviour::Serves),
            FaultKind::Drain { backend } => self.change_list(backend, false, false),
            FaultKind::Discovery { .. } => self.discovery.set_mode(DiscoveryMode::Serves),
            FaultKind::Link { backend, .. } => self.backends[backend].link.set_mode(LinkMode::Normal),
            FaultKind::NoRoute { .. } => self.set_unreachable_port(0),
            FaultKind::ClientsCancel => self.active_cancellation_faults -= 1,
            FaultKind::SlowRequests => self.active_slow_request_faults -= 1,
            FaultKind::Pause { .. }
            | FaultKind::Reload { .. }
            | FaultKind::HotRestart { .. }
            | FaultKind::ResetSessions { .. }
            | FaultKind::PartialRequests
            | FaultKind::NewBackend
            | FaultKind::ReconnectStorm => {}
        }
    }

    fn begin_system_fault(&self, relay: usize, fault: SystemFault, value: i64, length: Duration) {
        let impairment = self.impairment(relay, length);
        self.recorder.record(|observations| {
            if fault == SystemFault::Accept && value == ALWAYS {
                observations.accept_outages.push(impairment);
            }
            if fault == SystemFault::BrokenClient {
                observations.broken_client_connections.push(impairment);
            }
        });
        self.controls[relay].set(fault, value);
    }

    fn begin_link_fault(&self, backend: usize, mode: LinkMode, length: Duration) {
        if mode == LinkMode::Stalls {
            let stall = self.impairment(backend, length);
            self.recorder.record(|observations| observations.link_stalls.push(stall));
        }
        self.backends[backend].link.set_mode(mode);
    }

    fn begin_discovery_fault(&self, mode: DiscoveryMode, length: Duration) {
        if mode != DiscoveryMode::Silent {
            let from = self.recorder.now();
            let outage = Interval { from, until: from + length + DISCOVERY_RECOVERY };
            self.recorder.record(|observations| observations.discovery_outages.push(outage));
        }
        self.discovery.set_mode(mode);
    }

    /// Makes a port unreachable for all relays. 0 makes all ports reachable.
    fn set_unreachable_port(&self, port: i64) {
        for control in &self.controls {
            control.set(SystemFault::Unreachable, port);
        }
    }

    fn send_partial_requests(&mut self) {
        for (relay, &address) in self.relay_addresses.iter().enumerate() {
            let recorder = self.recorder.clone();
            let send = move || client::send_partial_request(relay, address, &recorder);
            self.threads.push(thread::spawn(send));
        }
    }

    fn pause_repeatedly(&mut self, relay: usize, length: Duration, each: Duration) {
        let recorder = self.recorder.clone();
        self.repeat(relay, length, PAUSE_INTERVAL.max(each * 2), move |relay| {
            let from = recorder.now();
            relay.signal(libc::SIGSTOP);
            thread::sleep(each);
            relay.signal(libc::SIGCONT);
            let pause = Impairment { subject: relay.number, from, until: recorder.now() };
            recorder.record(|observations| observations.pauses.push(pause));
        });
    }

    /// Repeats an action on a relay for the given length, with a delay of `interval` after each repetition.
    fn repeat(
        &mut self,
        relay: usize,
        length: Duration,
        interval: Duration,
        action: impl Fn(&RelayProcess) + Send + 'static,
    ) {
        let relay = self.relays[relay].clone();
        let recorder = self.recorder.clone();
        let until = recorder.now() + length;
        self.threads.push(thread::spawn(move || {
            while recorder.now() < until {
                action(&locked(&relay));
                thread::sleep(interval);
            }
        }));
    }

    fn stop_relay(&mut self, relay: usize, remove_from_front: bool) {
        let in_front = self.in_front[relay].clone();
        let relay = self.relays[relay].clone();
        self.threads.push(thread::spawn(move || {
            locked(&relay).begin_stop();
            thread::sleep(FRONT_DELAY);
            if remove_from_front {
                in_front.store(false, Ordering::Relaxed);
            }
            locked(&relay).finish_stop(REQUEST_TIMEOUT.saturating_sub(FRONT_DELAY));
        }));
    }

    /// Starts a new process that takes over from the relay's running one. After the takeover, requests the
    /// predecessor to stop.
    fn hot_restart(&mut self, relay: usize) {
        let relay = self.relays[relay].clone();
        let predecessor = match relay.try_lock() {
            Ok(mut relay) => relay.is_running().then(|| relay.start_successor()).flatten(),
            Err(_) => None,
        };
        let Some(predecessor) = predecessor else { return };
        self.threads.push(thread::spawn(move || {
            thread::sleep(TAKEOVER_TIMEOUT);
            let mut relay = locked(&relay);
            if relay.is_running() && relay.wait_until_ready() {
                drop(relay);
                predecessor.stop(REQUEST_TIMEOUT);
            } else {
                relay.resume(predecessor);
            }
        }));
    }

    /// Records the ends of processes that have exited.
    fn observe_exits(&self) {
        for relay in &self.relays {
            if let Ok(mut relay) = relay.try_lock() {
                relay.is_running();
            }
        }
    }

    /// Restarts the relays of `to_restart` whose processes have ended.
    fn restart_relays(&mut self) {
        for number in std::mem::take(&mut self.to_restart) {
            if !self.restart_relay(number) {
                self.to_restart.push(number);
            }
        }
    }

    /// Restarts a relay. Returns false if its process is still running.
    fn restart_relay(&mut self, number: usize) -> bool {
        let Ok(mut relay) = self.relays[number].try_lock() else { return false };
        if relay.is_running() {
            return false;
        }
        relay.start();
        drop(relay);
        let relay = self.relays[number].clone();
        let in_front = self.in_front[number].clone();
        self.threads.push(thread::spawn(move || {
            locked(&relay).wait_until_ready();
            in_front.store(true, Ordering::Relaxed);
        }));
        true
    }

    fn finish(mut self, started_at: Timestamp, lateness: LatenessMonitor) -> Report {
        self.threads.drain(..).for_each(|thread| _ = thread.join());
        thread::sleep(FINAL_DELAY);
        let injected_failures = self.relays.iter().map(|relay| locked(relay).control.injected()).sum();
        for relay in &self.relays {
            locked(relay).is_running();
        }
        let observations = self.recorder.snapshot();
        let since_start = |violation: Violation| {
            let at = violation.at.saturating_sub(started_at);
            Violation { at, ..violation }
        };
        let violations = oracle::check(&observations, &SETTINGS).into_iter().map(since_start).collect();
        Report { observations, violations, injected_failures, longest_lateness: lateness.stop() }
    }
}
