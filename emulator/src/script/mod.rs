//! The script of a day: converts the faults of a scenario to single actions at given times. The affected
//! servers and relays are drawn from the seed. Faults may overlap: the end of one does not end another.
mod schedule;

use crate::event_queue::EventQueue;
use crate::links::{LinkFault, LinkSet};
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::{ConnectionFault, Fault, FaultKind, Scenario};
use schedule::FaultSchedule;
use std::rc::Rc;

/// One action of a day's script. Servers, relays, zones and faults are identified by their numbers in the
/// scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// A server's process crashes, or its machine stops responding.
    Crash {
        /// The server.
        server: usize,
        /// Whether the machine stops responding, so that no connection is reset.
        is_silent: bool,
        /// Time at which it starts again; none if it never does.
        until: Option<Micros>,
    },
    /// A server starts and warms up.
    Start {
        /// The server.
        server: usize,
    },
    /// A server becomes slower.
    SetSlowdown {
        /// The server.
        server: usize,
        /// Number of the fault that causes it. Factors of several faults are multiplied.
        fault_id: usize,
        /// Slowdown factor; 1 ends the slowdown caused by this fault.
        factor: f64,
    },
    /// A server stalls or resumes.
    SetStalled {
        /// The server.
        server: usize,
        /// Whether it is stalled.
        is_stalled: bool,
    },
    /// A fraction of a server's new sessions gets an error immediately.
    SetFailing {
        /// The server.
        server: usize,
        /// Fraction from 0 to 1.
        fraction: f64,
    },
    /// A server's load reports are published with a delay.
    SetReportDelay {
        /// The server.
        server: usize,
        /// Delay in addition to the usual one, in microseconds.
        delay: Micros,
    },
    /// A server reports a multiple of its actual load.
    SetReportFactor {
        /// The server.
        server: usize,
        /// Factor; 1 reports the actual load.
        factor: f64,
    },
    /// A server starts to drain.
    Drain {
        /// The server.
        server: usize,
    },
    /// A zone is cut off from all others, or reachable again.
    SetZoneCut {
        /// The zone.
        zone: usize,
        /// Whether it is cut off.
        is_cut: bool,
    },
    /// Set-ups of sessions at the store that all servers share take longer.
    SetStoreSlowdown {
        /// Slowdown factor; 1 is the usual speed.
        factor: f64,
    },
    /// New connections to a server are affected by a fault.
    SetWireFault {
        /// The server.
        server: usize,
        /// The fault; none ends it.
        fault: Option<WireFault>,
    },
    /// A server receives load that bypasses the relays.
    SetBypassLoad {
        /// The server.
        server: usize,
        /// Demand of this load, in cores of speed 1.
        cores: f64,
    },
    /// The arrival rate of clients changes.
    SetArrivalRate {
        /// Multiple of the scenario's rate.
        factor: f64,
    },
    /// Clients with an open session close their connections immediately and return.
    Reconnect {
        /// Fraction of these clients, from 0 to 1.
        fraction: f64,
        /// Time within which they return, in microseconds.
        within: Micros,
    },
    /// Discovery becomes unavailable or available again.
    SetDiscoveryDown {
        /// Whether it is unavailable.
        is_down: bool,
    },
    /// Discovery learns of changes later than usual.
    SetDiscoveryDelay {
        /// Delay in microseconds.
        delay: Micros,
    },
    /// A command for a relay.
    Relay(RelayCommand),
    /// A fault of links between relays starts.
    StartLinkFault {
        /// Number of the fault that causes it.
        fault_id: usize,
        /// Affected links.
        links: Rc<LinkSet>,
        /// Effect on these links.
        fault: LinkFault,
    },
    /// A fault of links between relays ends.
    EndLinkFault {
        /// Number of the fault that caused it.
        fault_id: usize,
    },
    /// A relay and discovery are cut off from each other, or reachable again.
    SetDiscoveryCut {
        /// The relay.
        relay: usize,
        /// Whether it is cut off.
        is_cut: bool,
    },
    /// A relay and a server are cut off from each other, or reachable again.
    SetServerCut {
        /// The relay.
        relay: usize,
        /// The server.
        server: usize,
        /// Whether they are cut off.
        is_cut: bool,
    },
    /// Writes a line to the day's log when a fault begins or ends.
    Log {
        /// The line.
        text: String,
    },
}

/// A fault that affects new connections to a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WireFault {
    /// Effect on a connection.
    pub fault: ConnectionFault,
    /// Fraction of the connections affected, from 0 to 1.
    pub fraction: f64,
}

/// An action on one relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayCommand {
    /// The relay.
    pub relay: usize,
    /// The action.
    pub action: RelayAction,
}

/// Action on a relay's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayAction {
    /// Kills the process.
    Kill,
    /// Requests the process to stop, so that it drains.
    Stop,
    /// Starts a process; if one still runs, it is killed first.
    Start,
    /// Makes the process load a changed configuration.
    Reload,
    /// Stalls the process by a signal until it is resumed.
    Stall,
    /// Resumes the process after a stall.
    Resume,
    /// Starts another process that takes over from the running one in a hot restart.
    Replace,
    /// An operator requests a lease, the permission to take the relay out of service for this many
    /// microseconds, and repeats the request until the lease is granted.
    RequestLease(Micros),
}

/// Period of one fault, in microseconds since the start of the day.
#[derive(Clone, Debug)]
pub struct FaultPeriod {
    /// Kind in lower case, with spaces between words.
    pub kind: String,
    /// Start of the fault.
    pub from: Micros,
    /// End of the fault, or of the day if that is earlier.
    pub to: Micros,
}

/// Name of a kind of fault in logs and reports: lower case, with spaces between words.
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

/// Periods of a scenario's faults, in the order of the scenario.
pub fn fault_periods(scenario: &Scenario) -> Vec<FaultPeriod> {
    let period = |fault: &Fault| {
        let from = fault.at_s.us();
        let to = (from + fault.length_s.us()).min(scenario.length_s.us());
        FaultPeriod { kind: kind_text(fault.kind), from, to }
    };
    scenario.faults.iter().map(period).collect()
}

/// All actions of a day that begins at `begin`.
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
