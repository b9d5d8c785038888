//! The scenarios of the cluster model. Each sets the number of voters and lease holders, and how often each
//! kind of event may occur.
use crate::cluster::{ClusterModel, EventLimits, Mutation};

/// A scenario of the cluster model, called "scene" on the command line.
pub struct Scenario {
    /// The name of the scenario on the command line.
    pub name: &'static str,
    /// The parameters without a mutation.
    model: ClusterModel,
    /// The mutations for which a search of this scenario must find a counterexample.
    pub mutations: &'static [Mutation],
}

impl Scenario {
    /// The model of this scenario with a deliberate defect.
    pub fn with_mutation(&self, mutation: Mutation) -> ClusterModel {
        ClusterModel { mutation, ..self.model.clone() }
    }
}

const NO_EVENTS: EventLimits = EventLimits {
    election_timeouts: 0,
    crashes: 0,
    disk_losses: 0,
    duplicates: 0,
    delays: 0,
    heartbeats: 0,
    requests: 0,
    expirations: 0,
    holder_failures: 0,
    compactions: 0,
};

/// Three voters, of which the first is the leader, and one holder.
const BASE: ClusterModel = ClusterModel {
    voter_count: 3,
    holder_count: 1,
    limits: NO_EVENTS,
    mutation: Mutation::None,
    starts_with_leader: true,
    starts_disrupted: false,
    slow_disks: false,
};

/// All scenarios, in the order in which they are searched.
pub const ALL: [Scenario; 8] = [
    // Elections with delayed and duplicated messages.
    Scenario {
        name: "elections",
        model: ClusterModel {
            limits: EventLimits { election_timeouts: 2, duplicates: 1, delays: 1, ..NO_EVENTS },
            starts_with_leader: false,
            ..BASE
        },
        mutations: &[],
    },
    // Processes that crash after a write and before it is durable.
    Scenario {
        name: "crashes",
        model: ClusterModel {
            limits: EventLimits { election_timeouts: 3, crashes: 1, ..NO_EVENTS },
            starts_with_leader: false,
            slow_disks: true,
            ..BASE
        },
        mutations: &[Mutation::VoteNotSynced],
    },
    // Two holders request a lease, and the budget allows one.
    Scenario {
        name: "holders",
        model: ClusterModel {
            holder_count: 2,
            limits: EventLimits { requests: 4, expirations: 1, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::BeginsUncommitted, Mutation::ExpiresWhileOut],
    },
    // Two holders request a lease while the leader changes.
    Scenario {
        name: "leaders",
        model: ClusterModel {
            holder_count: 2,
            limits: EventLimits { election_timeouts: 2, delays: 1, requests: 2, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::AcknowledgesAhead, Mutation::LogNotCompared],
    },
    // Disk losses, and entries that never became durable.
    Scenario {
        name: "disks",
        model: ClusterModel {
            limits: EventLimits {
                election_timeouts: 2,
                disk_losses: 1,
                crashes: 1,
                heartbeats: 1,
                requests: 1,
                ..NO_EVENTS
            },
            ..BASE
        },
        mutations: &[Mutation::DiskLossUnreported, Mutation::LogNotSynced],
    },
    // A holder fails and warms up while another requests a lease.
    Scenario {
        name: "unplanned",
        model: ClusterModel {
            holder_count: 2,
            limits: EventLimits { election_timeouts: 1, requests: 2, holder_failures: 1, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::WarmingCountsAsUp, Mutation::GrantsWithoutLog],
    },
    // Voters that restarted from a snapshot compact their logs while a holder is disrupted.
    Scenario {
        name: "snapshots",
        model: ClusterModel {
            holder_count: 2,
            limits: EventLimits {
                election_timeouts: 1,
                requests: 2,
                crashes: 1,
                compactions: 1,
                ..NO_EVENTS
            },
            starts_disrupted: true,
            ..BASE
        },
        mutations: &[Mutation::GrantNumbersForgotten, Mutation::BudgetsForgotten],
    },
    // A voter restarts and receives all entries again.
    Scenario {
        name: "restarts",
        model: ClusterModel {
            limits: EventLimits { requests: 1, expirations: 1, crashes: 1, heartbeats: 3, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::AppliesTwice],
    },
];
