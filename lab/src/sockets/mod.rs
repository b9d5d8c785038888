//! Plays a day on sockets: relay processes, with emulated clients, servers and discovery service on loopback
//! addresses.
mod descriptors;
mod relays;

use crate::error::LabError;
use crate::relay_process::Program;
pub use descriptors::{descriptors_needed, raise_descriptor_limit};
use hallrelay_config::scenario::{FaultKind, Scenario};
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::links::{self, RelayAddresses};
use hallrelay_emulator::net::{endpoint_addresses, free_port, list, malformed, server, Clock, Host, Shared};
use hallrelay_emulator::node::{self, RelayPlacement};
use hallrelay_emulator::script::RelayCommand;
use hallrelay_emulator::service::Outcome;
use relays::ManagedRelay;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

/// Time within which a relay must answer `PING` after its start. Otherwise the command fails.
pub const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of relays on sockets. Each relay connects to the servers at its own addresses, whose second
/// byte (127.16 to 127.79) identifies the relay.
const MAX_RELAYS: usize = 64;

/// Interval at which relay processes are checked for their end and views are polled.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of checks after which the relays' CPU time and memory are read.
const CHECKS_PER_USAGE: u64 = 5;

/// Options of a day on sockets.
pub struct Options<'a> {
    /// The build of the relay.
    pub program: Program,
    /// Directory for configurations, logs and stores of the relays.
    pub out: &'a Path,
    /// Called with the completed fraction of the day, from 0 to 1.
    pub progress: &'a dyn Fn(f64),
}

/// A day while it is played.
struct SocketDay<'a> {
    scenario: &'a Scenario,
    seed: u64,
    host: Shared,
    /// Addresses for the emulated links, if the relays form a fleet.
    addresses: Option<RelayAddresses>,
    relays: Vec<ManagedRelay>,
    options: &'a Options<'a>,
}

/// Plays a day until its end, or until `interrupted` completes; the outcome is then marked as partial. All
/// relay processes have ended when this returns or is dropped.
///
/// # Errors
/// If the day can't be played on sockets, if ports or descriptors are missing, or if a relay does not start.
pub async fn run(
    scenario: &Scenario,
    seed: u64,
    options: &Options<'_>,
    interrupted: impl Future<Output = ()>,
) -> Result<Outcome, LabError> {
    check_limits(scenario, options.out)?;
    let relay_count = scenario.relays.count;
    let addresses = match scenario.relays.fleet {
        true => Some(RelayAddresses::free(relay_count).map_err(LabError::emulator)?),
        false => None,
    };
    let server_addresses =
        endpoint_addresses(relay_count, scenario.server_count()).map_err(LabError::emulator)?;
    let relay_addresses = relay_addresses(scenario)?;
    let clock = Clock::anchored();
    // Time in microseconds before the day begins, in which relays start and the sessions are established that
    // exist when the day begins: 1 s, and 0.5 ms for each of these sessions.
    let preparation = 1_000_000 + scenario.load.standing as u64 * 500;
    let day = Day::new(scenario, seed, clock.now() + preparation);
    let host = Host::new(day, clock, server_addresses, relay_addresses);
    let mut day = SocketDay { scenario, seed, host, addresses, relays: Vec::new(), options };
    serve_fleet(&day.host).await?;
    if let Some(addresses) = &day.addresses {
        links::serve(addresses.clone(), &day.host).await.map_err(LabError::emulator)?;
    }
    for relay in 0..relay_count {
        day.relays.push(ManagedRelay::new(relay, options.out));
        day.start(relay)?;
    }
    for relay in 0..relay_count {
        day.wait_until_serving(relay).await?;
    }
    let servers = scenario.server_count();
    day.host.with(|day, now, todo| day.clients.open_pre_existing(now, servers, &mut todo.client_actions));
    tokio::task::spawn_local(malformed::run(day.host.clone()));
    let partial = day.play(interrupted).await?;
    Ok(day.finish(partial).await)
}

/// Checks everything that is required before the start, and creates the directory for results.
fn check_limits(scenario: &Scenario, out: &Path) -> Result<(), LabError> {
    if scenario.faults.iter().any(|fault| fault.kind == FaultKind::RelaysOut) {
        return Err(LabError::DrainsOnSockets);
    }
    raise_descriptor_limit(scenario, descriptors_needed(scenario))?;
    std::fs::create_dir_all(out).map_err(LabError::file(out))?;
    if scenario.relays.count > MAX_RELAYS {
        return Err(LabError::TooManyRelays { count: scenario.relays.count, max: MAX_RELAYS });
    }
    Ok(())
}

/// Addresses on which the relays listen: a free port on a separate address each, or the scenario's ports.
fn relay_addresses(scenario: &Scenario) -> Result<Vec<SocketAddr>, LabError> {
    let address = |relay: usize| {
        if scenario.relays.first_port == 0 {
            let ip = Ipv4Addr::new(127, 8, (relay / 250) as u8, (relay % 250 + 1) as u8);
            return free_port(ip).map_err(LabError::emulator);
        }
        let port = scenario.relays.first_port.checked_add(relay as u16).ok_or(LabError::PortRange)?;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        match TcpListener::bind(addr) {
            Ok(_) => Ok(addr),
            Err(source) => Err(LabError::PortInUse { addr, source }),
        }
    };
    (0..scenario.relays.count).map(address).collect()
}

impl SocketDay<'_> {
    /// Plays the day. Returns the reason if the day ended early.
    async fn play(&mut self, interrupted: impl Future<Output = ()>) -> Result<Option<String>, LabError> {
        let host = self.host.clone();
        let mut day = std::pin::pin!(host.clone().run());
        let mut interrupted = std::pin::pin!(interrupted);
        let mut check = tokio::time::interval(CHECK_INTERVAL);
        let mut checks = 0u64;
        loop {
            tokio::select! {
                () = &mut day => return Ok(None),
                () = &mut interrupted => return Ok(Some("interrupted".to_string())),
                commands = host.next_relay_commands() => {
                    for RelayCommand { relay, action } in commands {
                        self.apply_action(relay, action).await?;
                    }
                }
                _ = check.tick() => {
                    checks += 1;
                    self.check_relays(checks);
                    if self.scenario.relays.fleet {
                        self.poll_views();
                    }
                }
            }
        }
    }

    /// Logs which processes have ended. At every `CHECKS_PER_USAGE`th check, reads the resource usage of the
    /// others.
    fn check_relays(&mut self, checks: u64) {
        let (now, begin, end) = {
            let day = self.host.day.borrow();
            (self.host.now(), day.begin, day.end)
        };
        (self.options.progress)(now.saturating_sub(begin) as f64 / (end - begin) as f64);
        for relay in 0..self.relays.len() {
            if self.relays[relay].process.is_none() {
                continue;
            }
            if let Some(event) = self.relays[relay].check_end() {
                let text = format!("relay {relay} {event}");
                self.host.with(|day, now, _| day.service.log_event(now, text));
                self.host.relay_ended(relay);
            } else if checks.is_multiple_of(CHECKS_PER_USAGE) {
                self.relays[relay].record_usage();
            }
        }
    }

    async fn finish(mut self, partial: Option<String>) -> Outcome {
        self.relays.iter_mut().for_each(ManagedRelay::record_usage);
        let mut outcome = self.host.day.borrow().outcome();
        for relay in &mut self.relays {
            if let Some(process) = &mut relay.process {
                process.kill().await;
            }
        }
        outcome.relays = self.relays.iter().map(|relay| relay.figures.clone()).collect();
        outcome.mode = "sockets".to_string();
        outcome.partial = partial;
        outcome.max_delay_ms = self.host.max_delay.get() as f64 / 1e3;
        outcome.malformed_clients = self.host.malformed_clients.borrow().clone();
        outcome
    }
}

/// Starts the emulated servers and the discovery services of all relays. They end with the runtime.
///
/// # Errors
/// If there is no free port for a discovery service.
pub async fn serve_fleet(host: &Shared) -> Result<(), LabError> {
    for relay in 0..host.servers.len() {
        let discovery = list::bind(relay, host).await.ok_or(LabError::NoDiscoveryPort)?;
        tokio::task::spawn_local(list::serve(relay, discovery, host.clone()));
        for index in 0..host.servers[relay].len() {
            tokio::task::spawn_local(server::listen(index, relay, host.clone()));
        }
    }
    Ok(())
}

/// The addresses and the seed of a relay, without an operator port, a store and membership.
pub fn relay_placement(relay: usize, seed: u64, host: &Shared) -> RelayPlacement {
    let (listen, discovery) = (host.relays.borrow()[relay], host.list_addresses.borrow()[relay]);
    RelayPlacement { relay, listen, discovery, seed, operator: None, state: None, membership: None }
}

/// Writes the configuration file of a relay.
///
/// # Errors
/// If the file can't be written.
pub fn write_config(
    scenario: &Scenario,
    placement: &RelayPlacement,
    host: &Shared,
    file: &Path,
) -> Result<(), LabError> {
    let day = host.day.borrow();
    let address = |server: usize| host.servers[placement.relay][server].to_string();
    let configuration = node::text(scenario, placement, &day.servers.endpoints, address);
    let text = serde_json::to_string_pretty(&configuration)?;
    std::fs::write(file, text + "\n").map_err(LabError::file(file))
}
