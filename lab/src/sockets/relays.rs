//! Relay processes during a day on sockets: starts, hot restarts, stops and stalls.
use super::{relay_placement, write_config, SocketDay, START_TIMEOUT};
use crate::error::LabError;
use crate::relay_process::{describe_exit, log_tail, Process};
use hallrelay_config::scenario::FaultKind;
use hallrelay_emulator::clients::mix;
use hallrelay_emulator::net::free_port;
use hallrelay_emulator::node::{MembershipAddresses, RelayPlacement};
use hallrelay_emulator::script::RelayAction;
use hallrelay_emulator::service::RelayFigures;
use hallrelay_relay::operator_client;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Interval at which starting and ending processes are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of polls (6 s) within which the new process of a hot restart must be ready. Otherwise the running
/// process is not stopped.
const READINESS_POLLS: u32 = 300;

/// A relay with its current process.
pub(super) struct ManagedRelay {
    pub(super) process: Option<Process>,
    /// Whether the process was requested to stop, so that its end is not a crash.
    is_stopping: bool,
    pub(super) figures: RelayFigures,
    /// CPU seconds of all earlier processes.
    previous_cpu_s: f64,
    config: PathBuf,
    log: PathBuf,
    /// Operator address of the process; `None` if this day needs none.
    operator: Option<SocketAddr>,
    /// Whether the process is stopped by SIGSTOP.
    is_stalled: bool,
    /// Whether a poll of the relay's view is in flight.
    is_polled: Rc<Cell<bool>>,
}

impl ManagedRelay {
    /// A relay without a process. Removes the relay's log and store if an earlier day left them in the
    /// directory.
    pub(super) fn new(relay: usize, out: &Path) -> ManagedRelay {
        let file = |extension: &str| out.join(format!("relay-{relay}.{extension}"));
        _ = std::fs::remove_file(file("log"));
        _ = std::fs::remove_dir_all(file("state"));
        ManagedRelay {
            process: None,
            is_stopping: false,
            figures: RelayFigures::default(),
            previous_cpu_s: 0.0,
            config: file("json"),
            log: file("log"),
            operator: None,
            is_stalled: false,
            is_polled: Rc::default(),
        }
    }

    /// If the process has ended since the last check, returns a description of how it ended.
    pub(super) fn check_end(&mut self) -> Option<String> {
        let status = self.process.as_mut()?.exit_status()?;
        self.process = None;
        self.previous_cpu_s = self.figures.cpu_s;
        let event = if self.is_stopping {
            "has stopped"
        } else {
            self.figures.crashed = true;
            "CRASHED"
        };
        Some(format!("{event} ({})", describe_exit(status)))
    }

    /// Reads and records the resource usage of the process.
    pub(super) fn record_usage(&mut self) {
        let Some(usage) = self.process.as_ref().and_then(Process::usage) else { return };
        self.figures.cpu_s = self.previous_cpu_s + usage.cpu_s;
        self.figures.resident_mb = self.figures.resident_mb.max(usage.resident_mb);
        self.figures.descriptors = self.figures.descriptors.max(usage.descriptors);
    }
}

impl SocketDay<'_> {
    pub(super) fn start(&mut self, relay: usize) -> Result<(), LabError> {
        let process = self.spawn_process(relay)?;
        let r = &mut self.relays[relay];
        (r.process, r.is_stopping, r.is_stalled) = (Some(process), false, false);
        Ok(())
    }

    /// Starts a relay process with a new configuration. Another process of the relay may still be running.
    fn spawn_process(&mut self, relay: usize) -> Result<Process, LabError> {
        let has_hot_restarts =
            self.scenario.faults.iter().any(|fault| fault.kind == FaultKind::RelayReplaced);
        let has_operator = self.scenario.relays.fleet || has_hot_restarts;
        let r = &mut self.relays[relay];
        r.figures.starts += 1;
        let starts = u64::from(r.figures.starts);
        let seed = mix(self.seed ^ (relay as u64) << 32 ^ starts << 48);
        let ip = Ipv4Addr::new(127, 11, (relay / 250) as u8, (relay % 250 + 1) as u8);
        r.operator = match has_operator {
            true => Some(free_port(ip).map_err(LabError::emulator)?),
            false => None,
        };
        let placement = self.placement(relay, seed);
        let r = &self.relays[relay];
        write_config(self.scenario, &placement, &self.host, &r.config)?;
        let hot_restart_folder = has_operator.then_some(self.options.out);
        Process::start(&self.options.program, &r.config, &r.log, hot_restart_folder)
    }

    fn placement(&self, relay: usize, seed: u64) -> RelayPlacement {
        let membership = self
            .addresses
            .as_ref()
            .map(|all| MembershipAddresses { listen: all.listen[relay], advertised: all.advertised.clone() });
        let state = self.options.out.join(format!("relay-{relay}.state")).display().to_string();
        let state = self.scenario.relays.state.then_some(state);
        let operator = self.relays[relay].operator;
        RelayPlacement { operator, state, membership, ..relay_placement(relay, seed, &self.host) }
    }

    /// Polls all running relays for their views of the membership.
    pub(super) fn poll_views(&self) {
        for (relay, r) in self.relays.iter().enumerate() {
            let is_running = r.process.is_some() && !r.is_stalled;
            let Some(operator) = r.operator.filter(|_| is_running) else { continue };
            if r.is_polled.replace(true) {
                continue;
            }
            let (host, is_polled) = (self.host.clone(), r.is_polled.clone());
            tokio::task::spawn_local(async move {
                if let Ok(status) = operator_client::fleet_status(operator).await {
                    host.with(|day, now, _| day.membership_audit.status_reported(now, relay, &status));
                }
                is_polled.set(false);
            });
        }
    }

    /// Waits until a relay answers `PING`.
    ///
    /// # Errors
    /// If the relay does not answer in time, or its process ends.
    pub(super) async fn wait_until_serving(&mut self, relay: usize) -> Result<(), LabError> {
        let host = self.host.clone();
        let mut started = std::pin::pin!(host.relay_started(relay, START_TIMEOUT));
        loop {
            tokio::select! {
                is_serving = &mut started => {
                    if is_serving {
                        return Ok(());
                    }
                    return Err(LabError::RelayUnresponsive { relay, log: log_tail(&self.relays[relay].log) });
                }
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
            if let Some(status) = self.relays[relay].process.as_mut().and_then(Process::exit_status) {
                let log = log_tail(&self.relays[relay].log);
                return Err(LabError::RelayEnded { relay, exit: describe_exit(status), log });
            }
        }
    }

    /// Applies a fault or an operation of the scenario to a relay process.
    pub(super) async fn apply_action(&mut self, relay: usize, action: RelayAction) -> Result<(), LabError> {
        match action {
            RelayAction::Kill => self.kill(relay).await,
            RelayAction::Stop => self.request_stop(relay),
            RelayAction::Start => self.restart(relay).await?,
            // Scenarios with drains of relays are rejected before the start.
            RelayAction::RequestLease(_) => {}
            RelayAction::Stall => self.set_stalled(relay, true),
            RelayAction::Resume => self.set_stalled(relay, false),
            RelayAction::Replace => self.hot_restart(relay)?,
            RelayAction::Reload => self.reload(relay).await?,
        }
        Ok(())
    }

    /// Requests a graceful shutdown.
    fn request_stop(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        r.is_stopping = true;
        self.host.relay_stopping(relay);
        if let Some(process) = &r.process {
            process.signal(libc::SIGTERM);
        }
    }

    /// Kills the process if one is running, and starts another one.
    async fn restart(&mut self, relay: usize) -> Result<(), LabError> {
        self.kill(relay).await;
        self.start(relay)?;
        let host = self.host.clone();
        tokio::task::spawn_local(async move {
            _ = host.relay_started(relay, START_TIMEOUT).await;
        });
        Ok(())
    }

    fn set_stalled(&mut self, relay: usize, is_stalled: bool) {
        let r = &mut self.relays[relay];
        if let Some(process) = r.process.as_ref().filter(|_| r.is_stalled != is_stalled) {
            process.signal(if is_stalled { libc::SIGSTOP } else { libc::SIGCONT });
            r.is_stalled = is_stalled;
            self.host.set_relay_stalled(relay, is_stalled);
        }
    }

    /// Starts a new process that takes over from the running one, and requests the old one to stop when the
    /// new one is ready.
    fn hot_restart(&mut self, relay: usize) -> Result<(), LabError> {
        if self.relays[relay].process.is_none() {
            return Ok(());
        }
        let successor = self.spawn_process(relay)?;
        let r = &mut self.relays[relay];
        let Some(mut predecessor) = r.process.replace(successor) else { return Ok(()) };
        r.previous_cpu_s += predecessor.usage().map_or(0.0, |usage| usage.cpu_s);
        let (host, operator) = (self.host.clone(), r.operator);
        tokio::task::spawn_local(async move {
            for _ in 0..READINESS_POLLS {
                tokio::time::sleep(POLL_INTERVAL).await;
                let Some(operator) = operator else { break };
                if operator_client::is_ready(operator).await {
                    predecessor.signal(libc::SIGTERM);
                    break;
                }
            }
            while predecessor.exit_status().is_none() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            host.with(|day, now, _| day.service.log_event(now, format!("relay {relay} is replaced")));
        });
        Ok(())
    }

    /// Moves the discovery service to another port and makes the relay reload its configuration.
    async fn reload(&mut self, relay: usize) -> Result<(), LabError> {
        let host = &self.host;
        let before = host.list_addresses.borrow()[relay];
        host.list_moves.borrow()[relay].send_modify(|n| *n += 1);
        while host.list_addresses.borrow()[relay] == before {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let (placement, r) = (self.placement(relay, 1), &self.relays[relay]);
        write_config(self.scenario, &placement, host, &r.config)?;
        if let Some(process) = &r.process {
            process.signal(libc::SIGHUP);
        }
        Ok(())
    }

    /// Kills the process, if one is running. Its clients will return.
    async fn kill(&mut self, relay: usize) {
        let r = &mut self.relays[relay];
        r.record_usage();
        let Some(mut process) = r.process.take() else { return };
        r.previous_cpu_s = r.figures.cpu_s;
        self.host.relay_ended(relay);
        process.kill().await;
    }
}
