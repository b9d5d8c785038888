//! One day: servers, clients, auditor and service figure together, for whoever drives them.
use crate::audit::Audit;
use crate::clients::{Clients, Does};
use crate::links::{Arrival, Links};
use crate::membership_audit::MembershipAudit;
use crate::script::{Act, Deed};
use crate::servers::{Servers, Told};
use crate::service::{Outcome, Service};
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::Scenario;

pub struct Day {
    pub s: Scenario,
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
pub struct Todo {
    pub told: Vec<Told>,
    pub does: Vec<Does>,
    pub deeds: Vec<(usize, Deed)>,
    pub list_down: Option<bool>,
    pub list_news: bool,
    /// Datagrams between relays that were held, and go on now.
    pub arrivals: Vec<Arrival>,
}

impl Todo {
    pub fn is_empty(&self) -> bool {
        let quiet = self.told.is_empty() && self.does.is_empty() && self.deeds.is_empty();
        quiet && self.arrivals.is_empty() && !self.list_news && self.list_down.is_none()
    }
}

impl Day {
    pub fn new(s: &Scenario, seed: u64, begin: Micros) -> Day {
        let servers = Servers::new(s, seed, begin);
        let places =
            (0..servers.len()).map(|i| (servers.zone(i), servers.endpoints.identities[i].cell)).collect();
        let names = servers.endpoints.identities.iter().map(|p| p.id.clone()).collect();
        Day {
            s: s.clone(),
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
    pub fn next(&self) -> Micros {
        let times = [self.servers.next(), self.clients.next()];
        times.into_iter().flatten().fold(self.service.next(), Micros::min)
    }

    /// All that is due by now. What servers say comes as `told`, what clients do as `does`.
    pub fn step(&mut self, now: Micros, todo: &mut Todo) {
        self.servers.step(now, &mut todo.told);
        self.sort(now, todo);
        self.clients.step(now, &mut todo.does);
        if now >= self.service.next() {
            self.service.tick(now, &mut self.servers, &self.clients, &mut todo.told);
            self.audit.check_deadlines(now);
            if self.s.relays.fleet {
                self.look_at_links(now);
                self.membership_audit.check_pending(now);
            }
            self.sort(now, todo);
        }
        if now >= self.forget_at {
            self.forget_at = now + 10_000_000;
            self.audit.forget_ended(now);
        }
    }

    /// Takes out of `told` what is not the driver's: news of the list, falls, the log.
    pub fn sort(&mut self, now: Micros, todo: &mut Todo) {
        // Most of the time all that was told is the driver's.
        let drivers =
            |told: &Told| matches!(told, Told::Word { .. } | Told::Reset { .. } | Told::Reach { .. });
        if todo.told.iter().all(drivers) {
            return;
        }
        let mut kept = Vec::with_capacity(todo.told.len());
        for told in std::mem::take(&mut todo.told) {
            match told {
                Told::Log(text) => self.service.note(now, text),
                Told::Fell { server, blamed } => self.audit.backend_overloaded(now, server, blamed),
                Told::List => {
                    for server in 0..self.servers.len() {
                        self.audit.endpoint_listed(now, server, self.servers.endpoints.entry(server).phase);
                    }
                    todo.list_news = true;
                }
                Told::ListDown { down } => todo.list_down = Some(down),
                Told::Act(Act::Rate { times }) => self.clients.rate_times(times),
                Told::Act(Act::Reconnect { part, within }) => self.clients.reconnect(now, part, within),
                Told::Act(Act::Relay { relay, deed }) => todo.deeds.push((relay, deed)),
                Told::Act(Act::Links { trouble, fault: Some((links, fault)) }) => {
                    self.links.start_fault(trouble, links, fault);
                    self.look_at_links(now);
                }
                Told::Act(Act::Links { trouble, fault: None }) => {
                    // Cut till now, and no longer.
                    self.look_at_links(now);
                    self.links.end_fault(now, trouble, &mut todo.arrivals);
                }
                Told::Act(Act::CutList { relay, cut }) => {
                    self.list_cut[relay] = cut;
                    todo.list_news = true;
                }
                other => kept.push(other),
            }
        }
        todo.told = kept;
    }

    /// The list has told a relay of these servers, as it stands.
    pub fn list_told(&mut self, now: Micros, relay: usize, servers: &[usize], out: &mut Vec<Told>) {
        self.servers.told(now, relay, servers, out);
        for &server in servers {
            self.audit.endpoint_notified(now, relay, server, self.servers.endpoints.entry(server).phase);
        }
    }

    fn look_at_links(&mut self, now: Micros) {
        self.membership_audit.links_cut(now, |relay| self.links.is_cut(relay));
    }

    pub fn outcome(&self) -> Outcome {
        let mut out = self.service.outcome(&self.s, self.seed, &self.servers, &self.clients, &self.audit);
        if self.s.relays.fleet {
            let mut membership = self.membership_audit.outcome();
            let counts = self.links.counts;
            membership.datagrams = [counts.sent, counts.arrived, counts.lost, counts.corrupted];
            out.membership = Some(membership);
        }
        out
    }
}
