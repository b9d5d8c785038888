//! One day: combines servers, clients, auditors and the service figure for a driver.
use crate::audit::{Audit, BackendPlace};
use crate::clients::{ClientAction, Clients};
use crate::links::{Arrival, Links};
use crate::membership_audit::MembershipAudit;
use crate::script::{Action, RelayCommand};
use crate::servers::{ServerEvent, Servers};
use crate::service::{Outcome, Service};
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::Scenario;

/// Interval at which the auditor removes sessions that ended long ago, in microseconds.
const CLEANUP_INTERVAL: Micros = 10_000_000;

/// All models of one day.
pub struct Day {
    /// The scenario.
    pub scenario: Scenario,
    /// Seed of all random draws.
    pub seed: u64,
    /// Start of the day, in microseconds of the driver's clock.
    pub begin: Micros,
    /// End of the day.
    pub end: Micros,
    /// All servers, and discovery's state of them.
    pub servers: Servers,
    /// All clients and the front.
    pub clients: Clients,
    /// Auditor of the four rules.
    pub audit: Audit,
    /// The service figure.
    pub service: Service,
    /// Links between relays.
    pub links: Links,
    /// Auditor of the relays' views of each other.
    pub membership_audit: MembershipAudit,
    /// By relay: whether it is cut off from discovery.
    pub list_cut: Vec<bool>,
    next_cleanup_at: Micros,
}

/// What the driver has to carry out, in addition to what its own calls returned.
#[derive(Default)]
pub struct DriverActions {
    /// Lines and resets on connections, and changes of reachability.
    pub server_events: Vec<ServerEvent>,
    /// Actions of clients.
    pub client_actions: Vec<ClientAction>,
    /// Actions on relays.
    pub relay_commands: Vec<RelayCommand>,
    /// Whether discovery is unavailable from now on; none if that does not change.
    pub discovery_down: Option<bool>,
    /// The endpoint list has changed, or which relays are cut off from discovery.
    pub list_changed: bool,
    /// Datagrams between relays that were held and are released now.
    pub arrivals: Vec<Arrival>,
}

impl DriverActions {
    /// Whether there is nothing to carry out.
    pub fn is_empty(&self) -> bool {
        self.server_events.is_empty()
            && self.client_actions.is_empty()
            && self.relay_commands.is_empty()
            && self.arrivals.is_empty()
            && !self.list_changed
            && self.discovery_down.is_none()
    }
}

impl Day {
    /// Creates the day of a scenario with a seed, starting at `begin`.
    pub fn new(scenario: &Scenario, seed: u64, begin: Micros) -> Day {
        let servers = Servers::new(scenario, seed, begin);
        let identities = servers.endpoints.identities.iter().enumerate();
        let backends = identities.map(|(index, identity)| BackendPlace {
            name: identity.id.clone(),
            zone: servers.zone(index),
            cell: identity.cell,
        });
        let audit = Audit::new(scenario, backends.collect(), begin);
        Day {
            scenario: scenario.clone(),
            seed,
            begin,
            end: begin + scenario.length_s.us(),
            clients: Clients::new(scenario, seed, begin),
            audit,
            service: Service::new(scenario, begin),
            links: Links::new(scenario.net.server_ms.us(), seed),
            membership_audit: MembershipAudit::new(scenario.relays.count, begin),
            list_cut: vec![false; scenario.relays.count],
            servers,
            next_cleanup_at: begin,
        }
    }

    /// Time at which `step` is due next.
    pub fn next_at(&self) -> Micros {
        let times = [self.servers.next_at(), self.clients.next_at()];
        times.into_iter().flatten().fold(self.service.next_at(), Micros::min)
    }

    /// Processes everything that is due by now, and appends what the driver has to carry out.
    pub fn step(&mut self, now: Micros, todo: &mut DriverActions) {
        self.servers.step(now, &mut todo.server_events);
        self.take_internal_events(now, todo);
        self.clients.step(now, &mut todo.client_actions);
        if now >= self.service.next_at() {
            self.service.tick(now, &mut self.servers, &self.clients, &mut todo.server_events);
            self.audit.check_deadlines(now);
            if self.scenario.relays.fleet {
                self.audit_link_cuts(now);
                self.membership_audit.check_pending(now);
            }
            self.take_internal_events(now, todo);
        }
        if now >= self.next_cleanup_at {
            self.next_cleanup_at = now + CLEANUP_INTERVAL;
            self.audit.remove_ended(now);
        }
    }

    /// Handles events that are not for the driver: changes of the endpoint list, overloads, script actions
    /// and log lines.
    pub fn take_internal_events(&mut self, now: Micros, todo: &mut DriverActions) {
        let is_for_driver = |event: &ServerEvent| {
            matches!(
                event,
                ServerEvent::Line { .. }
                    | ServerEvent::Reset { .. }
                    | ServerEvent::ReachabilityChanged { .. }
            )
        };
        // Fast path: in most calls all events are for the driver.
        if todo.server_events.iter().all(is_for_driver) {
            return;
        }
        let events = std::mem::take(&mut todo.server_events);
        todo.server_events.reserve(events.len());
        for event in events {
            match event {
                ServerEvent::Log(text) => self.service.log_event(now, text),
                ServerEvent::Overloaded { server, blamed } => {
                    self.audit.backend_overloaded(now, server, blamed);
                }
                ServerEvent::EndpointListChanged => {
                    for server in 0..self.servers.len() {
                        let phase = self.servers.endpoints.entry(server).phase;
                        self.audit.endpoint_listed(now, server, phase);
                    }
                    todo.list_changed = true;
                }
                ServerEvent::DiscoveryDown { down } => todo.discovery_down = Some(down),
                ServerEvent::Action(action) => self.perform(now, action, todo),
                event => todo.server_events.push(event),
            }
        }
    }

    fn perform(&mut self, now: Micros, action: Action, todo: &mut DriverActions) {
        match action {
            Action::SetArrivalRate { factor } => self.clients.set_arrival_factor(factor),
            Action::Reconnect { fraction, within } => self.clients.reconnect(now, fraction, within),
            Action::Relay(command) => todo.relay_commands.push(command),
            Action::StartLinkFault { fault_id, links, fault } => {
                self.links.start_fault(fault_id, links, fault);
                self.audit_link_cuts(now);
            }
            Action::EndLinkFault { fault_id } => {
                // Audited before the fault ends: the links are cut until now.
                self.audit_link_cuts(now);
                self.links.end_fault(now, fault_id, &mut todo.arrivals);
            }
            Action::SetDiscoveryCut { relay, is_cut } => {
                self.list_cut[relay] = is_cut;
                todo.list_changed = true;
            }
            other => todo.server_events.push(ServerEvent::Action(other)),
        }
    }

    /// Discovery has sent a relay the current state of these servers.
    pub fn list_sent(&mut self, now: Micros, relay: usize, servers: &[usize], out: &mut Vec<ServerEvent>) {
        self.servers.relay_notified(now, relay, servers, out);
        for &server in servers {
            let phase = self.servers.endpoints.entry(server).phase;
            self.audit.endpoint_notified(now, relay, server, phase);
        }
    }

    fn audit_link_cuts(&mut self, now: Micros) {
        self.membership_audit.links_cut(now, |relay| self.links.is_cut(relay));
    }

    /// The outcome so far. Fields that only the driver knows keep their defaults.
    pub fn outcome(&self) -> Outcome {
        let mut outcome =
            self.service.outcome(&self.scenario, self.seed, &self.servers, &self.clients, &self.audit);
        if self.scenario.relays.fleet {
            let mut membership = self.membership_audit.outcome();
            let counts = self.links.counts;
            membership.datagrams = [counts.sent, counts.arrived, counts.lost, counts.corrupted];
            outcome.membership = Some(membership);
        }
        outcome
    }
}
