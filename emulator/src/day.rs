//! One day: servers, clients, auditor and service figure together, for whoever drives them.
use crate::audit::Audit;
use crate::clients::{ClientAction, Clients};
use crate::links::{Arrival, Links};
use crate::membership_audit::MembershipAudit;
use crate::script::{Act, RelayAction};
use crate::servers::{ServerEvent, Servers};
use crate::service::{Outcome, Service};
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::Scenario;

pub struct Day {
    pub scenario: Scenario,
    pub seed: u64,
    pub begin: Micros,
    pub end: Micros,
    pub servers: Servers,
    pub clients: Clients,
    pub audit: Audit,
    pub service: Service,
    /// Links between relays.
    pub links: Links,
    /// Auditor of the relays' views of each other.
    pub membership_audit: MembershipAudit,
    /// By relay: whether the way to its list service is cut.
    pub list_cut: Vec<bool>,
    forget_at: Micros,
}

/// What the driver has to do, beyond what its own calls brought.
#[derive(Default)]
pub struct DriverActions {
    pub server_events: Vec<ServerEvent>,
    pub client_actions: Vec<ClientAction>,
    pub relay_actions: Vec<(usize, RelayAction)>,
    pub discovery_down: Option<bool>,
    pub list_changed: bool,
    /// Datagrams between relays that were held, and go on now.
    pub arrivals: Vec<Arrival>,
}

impl DriverActions {
    pub fn is_empty(&self) -> bool {
        let quiet =
            self.server_events.is_empty() && self.client_actions.is_empty() && self.relay_actions.is_empty();
        quiet && self.arrivals.is_empty() && !self.list_changed && self.discovery_down.is_none()
    }
}

impl Day {
    pub fn new(s: &Scenario, seed: u64, begin: Micros) -> Day {
        let servers = Servers::new(s, seed, begin);
        let places =
            (0..servers.len()).map(|i| (servers.zone(i), servers.endpoints.identities[i].cell)).collect();
        let names = servers.endpoints.identities.iter().map(|p| p.id.clone()).collect();
        Day {
            scenario: s.clone(),
            seed,
            begin,
            end: begin + s.length_s.us(),
            clients: Clients::new(s, seed, begin),
            audit: Audit::new(s, places, names, begin),
            service: Service::new(s, begin),
            links: Links::new(s.net.server_ms.us(), seed),
            membership_audit: MembershipAudit::new(s.relays.count, begin),
            list_cut: vec![false; s.relays.count],
            servers,
            forget_at: begin,
        }
    }

    /// When it wants to be stepped next.
    pub fn next_at(&self) -> Micros {
        let times = [self.servers.next(), self.clients.next()];
        times.into_iter().flatten().fold(self.service.next(), Micros::min)
    }

    /// All that is due by now. What servers say comes as `told`, what clients do as `does`.
    pub fn step(&mut self, now: Micros, todo: &mut DriverActions) {
        self.servers.step(now, &mut todo.server_events);
        self.take_internal_events(now, todo);
        self.clients.step(now, &mut todo.client_actions);
        if now >= self.service.next() {
            self.service.tick(now, &mut self.servers, &self.clients, &mut todo.server_events);
            self.audit.check_deadlines(now);
            if self.scenario.relays.fleet {
                self.look_at_links(now);
                self.membership_audit.check_pending(now);
            }
            self.take_internal_events(now, todo);
        }
        if now >= self.forget_at {
            self.forget_at = now + 10_000_000;
            self.audit.forget_ended(now);
        }
    }

    /// Takes out of `told` what is not the driver's: news of the list, falls, the log.
    pub fn take_internal_events(&mut self, now: Micros, todo: &mut DriverActions) {
        // Most of the time all that was told is the driver's.
        let drivers = |told: &ServerEvent| {
            matches!(
                told,
                ServerEvent::Line { .. }
                    | ServerEvent::Reset { .. }
                    | ServerEvent::ReachabilityChanged { .. }
            )
        };
        if todo.server_events.iter().all(drivers) {
            return;
        }
        let mut kept = Vec::with_capacity(todo.server_events.len());
        for told in std::mem::take(&mut todo.server_events) {
            match told {
                ServerEvent::Log(text) => self.service.log_event(now, text),
                ServerEvent::Overloaded { server, blamed } => {
                    self.audit.backend_overloaded(now, server, blamed)
                }
                ServerEvent::EndpointListChanged => {
                    for server in 0..self.servers.len() {
                        self.audit.endpoint_listed(now, server, self.servers.endpoints.entry(server).phase);
                    }
                    todo.list_changed = true;
                }
                ServerEvent::DiscoveryDown { down } => todo.discovery_down = Some(down),
                ServerEvent::Action(Act::Rate { times }) => self.clients.rate_times(times),
                ServerEvent::Action(Act::Reconnect { part, within }) => {
                    self.clients.reconnect(now, part, within)
                }
                ServerEvent::Action(Act::Relay { relay, deed }) => todo.relay_actions.push((relay, deed)),
                ServerEvent::Action(Act::Links { trouble, fault: Some((links, fault)) }) => {
                    self.links.start_fault(trouble, links, fault);
                    self.look_at_links(now);
                }
                ServerEvent::Action(Act::Links { trouble, fault: None }) => {
                    // Cut till now, and no longer.
                    self.look_at_links(now);
                    self.links.end_fault(now, trouble, &mut todo.arrivals);
                }
                ServerEvent::Action(Act::CutList { relay, cut }) => {
                    self.list_cut[relay] = cut;
                    todo.list_changed = true;
                }
                other => kept.push(other),
            }
        }
        todo.server_events = kept;
    }

    /// The list has told a relay of these servers, as it stands.
    pub fn list_sent(&mut self, now: Micros, relay: usize, servers: &[usize], out: &mut Vec<ServerEvent>) {
        self.servers.told(now, relay, servers, out);
        for &server in servers {
            self.audit.endpoint_notified(now, relay, server, self.servers.endpoints.entry(server).phase);
        }
    }

    fn look_at_links(&mut self, now: Micros) {
        self.membership_audit.links_cut(now, |relay| self.links.is_cut(relay));
    }

    pub fn outcome(&self) -> Outcome {
        let mut out =
            self.service.outcome(&self.scenario, self.seed, &self.servers, &self.clients, &self.audit);
        if self.scenario.relays.fleet {
            let mut membership = self.membership_audit.outcome();
            let counts = self.links.counts;
            membership.datagrams = [counts.sent, counts.arrived, counts.lost, counts.corrupted];
            out.membership = Some(membership);
        }
        out
    }
}
