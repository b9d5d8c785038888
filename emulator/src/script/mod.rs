//! Faults of a scenario as single actions at their times. What they affect is drawn from the seed; they may
//! overlap, and each ends by itself.
mod schedule;

use crate::event_queue::EventQueue;
use crate::links::{LinkFault, LinkSet};
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{ConnectionFault, Fault, FaultKind, Scenario};
use schedule::FaultSchedule;
use std::rc::Rc;

/// One action of a day's script. Servers, relays, zones and faults go by their numbers in the scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A server's process dies, or its machine goes silent.
    Crash {
        /// The server.
        server: usize,
        /// The machine goes silent: nothing is reset.
        is_silent: bool,
        /// When it starts again; none where it never does.
        until: Option<Micros>,
    },
    /// A server starts, and warms up.
    Start {
        /// The server.
        server: usize,
    },
    /// A server is slower.
    SetSlowdown {
        /// The server.
        server: usize,
        /// The fault that it comes from; slowdowns of several faults multiply.
        fault_id: usize,
        /// How many times slower it is; 1 ends what this fault did.
        factor: f64,
    },
    /// A server stalls, or goes on.
    SetStalled {
        /// The server.
        server: usize,
        /// Whether it stalls.
        is_stalled: bool,
    },
    /// A fraction of a server's new sessions gets an error at once.
    SetFailing {
        /// The server.
        server: usize,
        /// From 0 to 1.
        fraction: f64,
    },
    /// A server's load reports are published late.
    SetReportDelay {
        /// The server.
        server: usize,
        /// Delay beyond the usual one, in microseconds.
        delay: Micros,
    },
    /// A server reports a multiple of its load.
    SetReportFactor {
        /// The server.
        server: usize,
        /// 1 is the truth.
        factor: f64,
    },
    /// A server starts to drain.
    Drain {
        /// The server.
        server: usize,
    },
    /// A zone and the others are cut off from each other, or reach each other again.
    SetZoneCut {
        /// The zone.
        zone: usize,
        /// Whether it is cut off.
        is_cut: bool,
    },
    /// Session set-ups at the shared store take longer.
    SetStoreSlowdown {
        /// How many times longer; 1 is usual.
        factor: f64,
    },
    /// New connections to a server meet a fault.
    SetWireFault {
        /// The server.
        server: usize,
        /// The fault; none ends it.
        fault: Option<WireFault>,
    },
    /// A server gets work that does not come through relays.
    SetBypassLoad {
        /// The server.
        server: usize,
        /// Cores of speed 1 that it takes.
        cores: f64,
    },
    /// Clients arrive at another rate.
    SetArrivalRate {
        /// Multiple of the scenario's rate.
        factor: f64,
    },
    /// Open clients end their connections at once, and come back.
    Reconnect {
        /// Fraction of them, from 0 to 1.
        fraction: f64,
        /// They are back within this, in microseconds.
        within: Micros,
    },
    /// Discovery becomes unavailable, or is back.
    SetDiscoveryDown {
        /// Whether it is unavailable.
        is_down: bool,
    },
    /// Discovery learns of changes later than usual.
    SetDiscoveryDelay {
        /// In microseconds.
        delay: Micros,
    },
    /// Something is done to a relay.
    Relay(RelayCommand),
    /// A fault of links between relays starts.
    StartLinkFault {
        /// The fault that it comes from.
        fault_id: usize,
        /// Links that it affects.
        links: Rc<LinkSet>,
        /// What it does to them.
        fault: LinkFault,
    },
    /// A fault of links between relays ends.
    EndLinkFault {
        /// The fault that it comes from.
        fault_id: usize,
    },
    /// A relay and discovery are cut off from each other, or reach each other again.
    SetDiscoveryCut {
        /// The relay.
        relay: usize,
        /// Whether it is cut off.
        is_cut: bool,
    },
    /// A relay and a server are cut off from each other, or reach each other again.
    SetServerCut {
        /// The relay.
        relay: usize,
        /// The server.
        server: usize,
        /// Whether they are cut off.
        is_cut: bool,
    },
    /// A fault begins or ends: a line of the day's log.
    Log {
        /// The line.
        text: String,
    },
}

/// A fault that new connections to a server meet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WireFault {
    /// What befalls them.
    pub fault: ConnectionFault,
    /// Fraction of the connections, from 0 to 1.
    pub fraction: f64,
}

/// Something that is done to one relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCommand {
    /// The relay.
    pub relay: usize,
    /// What is done.
    pub action: RelayAction,
}

/// What is done to a relay's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// It is killed.
    Kill,
    /// It is requested to stop, and drains.
    Stop,
    /// It is started; one that runs is killed before.
    Start,
    /// It loads a changed configuration.
    Reload,
    /// It is stopped by a signal, and will go on.
    Stall,
    /// It goes on after a stall.
    Resume,
    /// Another process takes over from it in a hot restart.
    Replace,
    /// An operator requests a lease to take it out of service for so many microseconds, and repeats the
    /// request until it is granted.
    RequestLease(Micros),
}

/// The time of one fault, in microseconds since the day began.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    /// Kind in lower case, words apart.
    pub kind: String,
    /// Its beginning.
    pub from: Micros,
    /// Its end, or that of the day where it is sooner.
    pub to: Micros,
}

/// A kind of fault in lower case, words apart, as logs and reports have it.
pub fn kind_text(kind: FaultKind) -> String {
    let mut text = String::new();
    for character in format!("{kind:?}").chars() {
        if character.is_ascii_uppercase() && !text.is_empty() {
            text.push(' ');
        }
        text.push(character.to_ascii_lowercase());
    }
    text
}

/// The times of a scenario's faults, in its order.
pub fn fault_periods(scenario: &Scenario) -> Vec<FaultPeriod> {
    let period = |fault: &Fault| {
        let from = fault.at_s.us();
        let to = (from + fault.length_s.us()).min(scenario.length_s.us());
        FaultPeriod { kind: kind_text(fault.kind), from, to }
    };
    scenario.faults.iter().map(period).collect()
}

/// All actions of a day that begins at a time.
pub fn actions(scenario: &Scenario, begin: Micros, random: &mut Random) -> EventQueue<Action> {
    let mut actions = EventQueue::default();
    for (fault_id, fault) in scenario.faults.iter().enumerate() {
        let from = begin + fault.at_s.us();
        let to = from + fault.length_s.us();
        let mut schedule =
            FaultSchedule { scenario, fault_id, fault, from, to, actions: &mut actions, random };
        schedule.log(from, "begins");
        if fault.length_s.us() > 0 {
            schedule.log(to, "ends");
        }
        schedule.add();
    }
    actions
}
