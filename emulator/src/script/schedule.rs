//! The actions of one fault of a scenario.
use super::{kind_text, Action, RelayAction, RelayCommand, WireFault};
use crate::event_queue::EventQueue;
use crate::links::{LinkFault, LinkSet};
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{DrainPace, Fault, FaultKind, Scenario};
use std::rc::Rc;

/// Time for which an operator takes a relay out of service if the scenario sets none.
const DEFAULT_LEASE: Micros = 3_000_000;
/// Time within which clients return after a reconnect storm if the scenario sets none.
const DEFAULT_RECONNECT_WITHIN: Micros = 1_000_000;
/// Minimum time that a server is down between the end of its drain and its next start.
const MIN_RELEASE_OUTAGE: Micros = 1_000_000;
/// How long each server is down in a deployment.
const DEPLOY_OUTAGE: Micros = 2_000_000;
/// Fraction of the servers that a deployment restarts at a time if the scenario sets none.
const DEFAULT_DEPLOY_FRACTION: f64 = 0.2;
/// Time that clients need to leave a server that drains all its sessions at once.
const IMMEDIATE_DRAIN: Micros = 500_000;
/// Range of the interval from the start of a pause of a server to the start of the next one. The interval is
/// drawn again for each pause.
const PAUSE_INTERVAL: [Micros; 2] = [2_000_000, 4_000_000];

/// Schedules the actions of one fault, which lasts from `from` to `to`.
pub(super) struct FaultSchedule<'a> {
    pub scenario: &'a Scenario,
    pub fault_id: usize,
    pub fault: &'a Fault,
    pub from: Micros,
    pub to: Micros,
    pub actions: &'a mut EventQueue<Action>,
    pub random: &'a mut Random,
}

impl FaultSchedule<'_> {
    pub(super) fn log(&mut self, at: Micros, event: &str) {
        let text = format!("{} {event}", kind_text(self.fault.kind));
        self.actions.schedule(at, Action::Log { text });
    }

    /// Schedules all actions of the fault.
    pub(super) fn add(&mut self) {
        let strength = self.fault.strength.0;
        match self.fault.kind {
            FaultKind::Crash => self.crash(false),
            FaultKind::Vanish => self.crash(true),
            FaultKind::Slow => self.slow_servers(),
            FaultKind::SharedSlow => self.slow_all_servers_and_store(),
            FaultKind::Pauses => self.pause_servers(),
            FaultKind::Failing => {
                self.on_servers(strength, 0.0, |server, fraction| Action::SetFailing { server, fraction });
            }
            FaultKind::LateReports => {
                let delay = self.strength_as_time();
                self.on_servers(delay, 0, |server, delay| Action::SetReportDelay { server, delay });
            }
            FaultKind::Lies => {
                self.on_servers(strength, 1.0, |server, factor| Action::SetReportFactor { server, factor });
            }
            FaultKind::Overrun => {
                self.on_servers(strength, 0.0, |server, cores| Action::SetBypassLoad { server, cores });
            }
            FaultKind::Wire => self.wire_fault(),
            FaultKind::ZoneCut => self.cut_zone(),
            FaultKind::ServersCut => self.cut_servers(),
            FaultKind::Deploy => self.deploy(),
            FaultKind::Drain => self.drain(),
            FaultKind::Burst => self.during(strength, 1.0, |factor| Action::SetArrivalRate { factor }),
            FaultKind::Reconnect => self.reconnect(),
            FaultKind::ListDown => {
                self.during(true, false, |is_down| Action::SetDiscoveryDown { is_down });
            }
            FaultKind::ListLate => {
                let delay = self.strength_as_time();
                self.during(delay, 0, |delay| Action::SetDiscoveryDelay { delay });
            }
            FaultKind::ListCut => self.cut_discovery(),
            FaultKind::RelayKilled => self.on_relays(RelayAction::Kill, Some(RelayAction::Start)),
            FaultKind::RelayStopped => self.on_relays(RelayAction::Stop, Some(RelayAction::Start)),
            FaultKind::RelayStalled => self.on_relays(RelayAction::Stall, Some(RelayAction::Resume)),
            FaultKind::RelayReloaded => self.on_relays(RelayAction::Reload, None),
            FaultKind::RelayReplaced => self.on_relays(RelayAction::Replace, None),
            FaultKind::RelaysOut => self.request_leases(),
            FaultKind::RelayLooping => self.crash_loop(),
            FaultKind::LinkCut | FaultKind::LinkSplit => self.intermittent_link_fault(LinkFault::Cut),
            FaultKind::LinkLoss => self.link_fault(LinkFault::Loss(strength)),
            FaultKind::LinkDouble => self.link_fault(LinkFault::Duplicate(strength)),
            FaultKind::LinkDelay => self.link_fault(LinkFault::Delay(self.link_delay())),
            FaultKind::LinkReorder => self.link_fault(LinkFault::Reorder(strength, self.link_delay())),
            FaultKind::LinkDamage => self.link_fault(LinkFault::Corrupt(strength)),
            FaultKind::LinkHold => self.link_fault(LinkFault::Hold),
        }
    }

    /// The fault's strength as a time. In the scenario the strength of such a fault is in seconds.
    fn strength_as_time(&self) -> Micros {
        (self.fault.strength.0 * 1e6) as Micros
    }

    /// Draws the share of the fault from `of` servers or relays: at least one of them.
    fn draw(&mut self, of: usize) -> Vec<usize> {
        let count = ((of as f64 * self.fault.share.0).round() as usize).clamp(1, of.max(1));
        let mut drawn: Vec<usize> = (0..of).collect();
        for index in 0..count.min(of) {
            let other = index + self.random.below(of - index);
            drawn.swap(index, other);
        }
        drawn.truncate(count);
        drawn
    }

    fn draw_servers(&mut self) -> Vec<usize> {
        self.draw(self.scenario.server_count())
    }

    /// The relays that the fault names, or else a random share of all relays.
    fn affected_relays(&mut self) -> Vec<usize> {
        if self.fault.relays.is_empty() {
            self.draw(self.scenario.relays.count)
        } else {
            self.fault.relays.clone()
        }
    }

    /// Schedules an action at the start of the fault, and one with another value at its end.
    fn during<T>(&mut self, value: T, value_after: T, action: impl Fn(T) -> Action) {
        self.actions.schedule(self.from, action(value));
        self.actions.schedule(self.to, action(value_after));
    }

    /// As `during`, for each affected server.
    fn on_servers<T: Copy>(&mut self, value: T, value_after: T, action: impl Fn(usize, T) -> Action) {
        for server in self.draw_servers() {
            self.during(value, value_after, |value| action(server, value));
        }
    }

    /// Schedules an action for each affected relay, and optionally another one at the end of the fault.
    fn on_relays(&mut self, action: RelayAction, action_after: Option<RelayAction>) {
        // The second action must follow the first one even if the fault has no length.
        let end = self.to.max(self.from + 1);
        for relay in self.affected_relays() {
            self.actions.schedule(self.from, Action::Relay(RelayCommand { relay, action }));
            if let Some(action) = action_after {
                self.actions.schedule(end, Action::Relay(RelayCommand { relay, action }));
            }
        }
    }

    fn crash(&mut self, is_silent: bool) {
        let until = Some(self.to).filter(|to| *to > self.from);
        for server in self.draw_servers() {
            self.actions.schedule(self.from, Action::Crash { server, is_silent, until });
            if let Some(until) = until {
                self.actions.schedule(until, Action::Start { server });
            }
        }
    }

    fn slow_servers(&mut self) {
        let fault_id = self.fault_id;
        let factor = self.fault.strength.0;
        self.on_servers(factor, 1.0, |server, factor| Action::SetSlowdown { server, fault_id, factor });
    }

    fn slow_all_servers_and_store(&mut self) {
        let fault_id = self.fault_id;
        let factor = self.fault.strength.0;
        for server in 0..self.scenario.server_count() {
            self.during(factor, 1.0, |factor| Action::SetSlowdown { server, fault_id, factor });
        }
        self.during(factor, 1.0, |factor| Action::SetStoreSlowdown { factor });
    }

    /// Stalls servers repeatedly, each time for the fraction `strength` of a drawn interval.
    fn pause_servers(&mut self) {
        for server in self.draw_servers() {
            let mut at = self.from + self.random.between([0, PAUSE_INTERVAL[0]]);
            while at < self.to {
                let interval = self.random.between(PAUSE_INTERVAL);
                let pause = ((interval as f64 * self.fault.strength.0) as Micros).min(self.to - at);
                self.actions.schedule(at, Action::SetStalled { server, is_stalled: true });
                self.actions.schedule(at + pause, Action::SetStalled { server, is_stalled: false });
                at += interval;
            }
        }
    }

    fn wire_fault(&mut self) {
        let strength = self.fault.strength.0;
        let fraction = if strength > 0.0 { strength.min(1.0) } else { 1.0 };
        let fault = self.fault.fault.map(|fault| WireFault { fault, fraction });
        self.on_servers(fault, None, |server, fault| Action::SetWireFault { server, fault });
    }

    fn cut_zone(&mut self) {
        let zones = &self.scenario.servers.zones;
        let named = self.fault.zone.as_ref().and_then(|name| zones.iter().position(|zone| zone == name));
        let zone = named.unwrap_or(0);
        self.during(true, false, |is_cut| Action::SetZoneCut { zone, is_cut });
    }

    /// Cuts servers off from the relays that the fault names, or else from all relays. The share of the fault
    /// applies to the servers.
    fn cut_servers(&mut self) {
        let relays = if self.fault.relays.is_empty() {
            (0..self.scenario.relays.count).collect()
        } else {
            self.fault.relays.clone()
        };
        for server in self.draw_servers() {
            for &relay in &relays {
                self.during(true, false, |is_cut| Action::SetServerCut { relay, server, is_cut });
            }
        }
    }

    fn cut_discovery(&mut self) {
        for relay in self.affected_relays() {
            self.during(true, false, |is_cut| Action::SetDiscoveryCut { relay, is_cut });
        }
    }

    fn reconnect(&mut self) {
        let is_given = self.fault.strength.0 > 0.0;
        let within = if is_given { self.strength_as_time() } else { DEFAULT_RECONNECT_WITHIN };
        let fraction = self.fault.share.0;
        self.actions.schedule(self.from, Action::Reconnect { fraction, within });
    }

    fn request_leases(&mut self) {
        let is_given = self.fault.strength.0 > 0.0;
        let length = if is_given { self.strength_as_time() } else { DEFAULT_LEASE };
        self.on_relays(RelayAction::RequestLease(length), None);
    }

    /// Kills relays repeatedly. After each kill a relay is down for `every_s`, then up for the same time.
    fn crash_loop(&mut self) {
        let interval = self.fault.every_s.us();
        for relay in self.affected_relays() {
            let mut at = self.from;
            while at < self.to {
                let start_at = (at + interval).min(self.to);
                self.actions.schedule(at, Action::Relay(RelayCommand { relay, action: RelayAction::Kill }));
                self.actions
                    .schedule(start_at, Action::Relay(RelayCommand { relay, action: RelayAction::Start }));
                at += 2 * interval;
            }
        }
    }

    fn link_delay(&self) -> [Micros; 2] {
        self.fault.delay_ms.map(|ms| ms.us())
    }

    fn link_fault(&mut self, fault: LinkFault) {
        self.link_fault_between(self.from, self.to, fault);
    }

    fn link_fault_between(&mut self, from: Micros, to: Micros, fault: LinkFault) {
        let relay_count = self.scenario.relays.count;
        let fault_id = self.fault_id;
        let settings = self.fault;
        let links = match settings.kind {
            FaultKind::LinkSplit => LinkSet::partition(relay_count, &settings.groups, settings.bridge),
            _ => LinkSet::between(relay_count, &settings.from, &settings.to, settings.one_way),
        };
        self.actions.schedule(from, Action::StartLinkFault { fault_id, links: Rc::new(links), fault });
        self.actions.schedule(to, Action::EndLinkFault { fault_id });
    }

    /// Applies the fault for its complete length, or, if `every_s` is set, during the first half of each such
    /// interval.
    fn intermittent_link_fault(&mut self, fault: LinkFault) {
        let interval = self.fault.every_s.us();
        if interval == 0 {
            return self.link_fault(fault);
        }
        let mut at = self.from;
        while at < self.to {
            self.link_fault_between(at, (at + interval / 2).min(self.to), fault);
            at += interval;
        }
    }

    fn drain(&mut self) {
        let outage = self.to.saturating_sub(self.from);
        for server in self.draw_servers() {
            self.release(self.from, outage, server);
        }
    }

    /// Releases a new version of a server: drains it, ends its process, and starts it again after an outage.
    fn release(&mut self, at: Micros, outage: Micros, server: usize) {
        // The process ends only after discovery has reported the drain and the clients have left.
        let reported_after = self.scenario.list.notice_s[1].us();
        let drained_after = match self.scenario.servers.drains {
            DrainPace::BitByBit => self.scenario.servers.drain_s.us(),
            DrainPace::AtOnce => IMMEDIATE_DRAIN,
        };
        let ends_at = at + reported_after + drained_after;
        let starts_at = ends_at + outage.max(MIN_RELEASE_OUTAGE);
        self.actions.schedule(at, Action::Drain { server });
        self.actions.schedule(ends_at, Action::Crash { server, is_silent: false, until: Some(starts_at) });
        self.actions.schedule(starts_at, Action::Start { server });
    }

    /// Releases all affected servers in consecutive groups, spread over the length of the fault.
    fn deploy(&mut self) {
        let strength = self.fault.strength.0;
        let fraction = if strength > 0.0 { strength.min(1.0) } else { DEFAULT_DEPLOY_FRACTION };
        let servers = self.draw_servers();
        let group_size = ((servers.len() as f64 * fraction).ceil() as usize).max(1);
        let group_count = servers.len().div_ceil(group_size) as u64;
        let length = self.to.saturating_sub(self.from);
        for (index, group) in servers.chunks(group_size).enumerate() {
            let at = self.from + length * index as u64 / group_count.max(1);
            for &server in group {
                self.release(at, DEPLOY_OUTAGE, server);
            }
        }
    }
}
