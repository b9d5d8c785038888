//! The scenarios of the cluster model that are searched: how many voters and lease holders, and how often
//! each kind of event may occur.
use crate::cluster::{ClusterModel, EventLimits, Mutation};

/// A scenario of the cluster model; "scene" on the command line.
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// The parameters, without a mutation.
    model: ClusterModel,
    /// The mutations that its search must find.
    pub mutations: &'static [Mutation],
}

impl Scenario {
    /// The model with a deliberate defect.
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

/// Three voters, the first of which leads, and one holder.
const BASE: ClusterModel = ClusterModel {
    voters: 3,
    holders: 1,
    limits: NO_EVENTS,
    mutation: Mutation::None,
    starts_with_leader: true,
    starts_disrupted: false,
    slow_disks: false,
};

/// All scenarios, in the order in which they are searched.
pub const ALL: [Scenario; 8] = [
    // Elections, with messages that are delayed and duplicated.
    Scenario {
        name: "elections",
        model: ClusterModel {
            limits: EventLimits { election_timeouts: 2, duplicates: 1, delays: 1, ..NO_EVENTS },
            starts_with_leader: false,
            ..BASE
        },
        mutations: &[],
    },
    // Processes that die between a write and its durability.
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
    // Two holders that want to be disrupted where one may.
    Scenario {
        name: "holders",
        model: ClusterModel {
            holders: 2,
            limits: EventLimits { requests: 4, expirations: 1, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::BeginsUncommitted, Mutation::ExpiresWhileOut],
    },
    // The same while the leader changes.
    Scenario {
        name: "leaders",
        model: ClusterModel {
            holders: 2,
            limits: EventLimits { election_timeouts: 2, delays: 1, requests: 2, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::AcknowledgesAhead, Mutation::LogNotCompared],
    },
    // Disks that are lost, and entries that were never durable.
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
    // A holder that fails, and warms up while another requests a lease.
    Scenario {
        name: "unplanned",
        model: ClusterModel {
            holders: 2,
            limits: EventLimits { election_timeouts: 1, requests: 2, holder_failures: 1, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::WarmingCountsAsUp, Mutation::GrantsWithoutLog],
    },
    // Logs that are compacted while a holder is disrupted, by voters that restarted from a snapshot.
    Scenario {
        name: "snapshots",
        model: ClusterModel {
            holders: 2,
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
    // A voter that restarts and is sent all entries again.
    Scenario {
        name: "restarts",
        model: ClusterModel {
            limits: EventLimits { requests: 1, expirations: 1, crashes: 1, heartbeats: 3, ..NO_EVENTS },
            ..BASE
        },
        mutations: &[Mutation::AppliesTwice],
    },
];
