//! A model of a small Raft cluster whose state machine grants disruption leases: voters with their disks, the
//! messages between them, and lease holders that want to be disrupted.
//!
//! The voters and the state machine are the program's own code. Time is left to the search: an election
//! timeout may expire in any state, so no property that holds depends on a clock.
mod canonical;
mod enabled;
mod execution;
mod initial;
mod invariants;
mod mutation;
mod next;
mod recovery;
mod state;
mod transition;

pub use mutation::Mutation;
pub use state::{ClusterState, EventLimits};
pub use transition::Transition;

use crate::search::Model;
use hallrelay_disruption::Target;
use hallrelay_raft::{Id, Voter};

/// How many lease holders may be disrupted at once.
const BUDGET: u32 = 1;

/// The parameters of the model.
#[derive(Clone, Debug)]
pub struct ClusterModel {
    /// The number of voters; their ids are 1 and up.
    pub voters: usize,
    /// The number of lease holders, at most 8.
    pub holders: usize,
    /// How often each kind of event may occur between the initial state and any other.
    pub limits: EventLimits,
    /// The deliberate defect.
    pub mutation: Mutation,
    /// The first voter leads in the initial state, and no message is in flight.
    pub starts_with_leader: bool,
    /// The first holder is disrupted in the initial state, by a lease that all snapshots hold.
    pub starts_disrupted: bool,
    /// A write is durable some time after it was requested and may be lost until then; otherwise at once.
    pub slow_disks: bool,
}

impl ClusterModel {
    fn ids(&self) -> Vec<Id> {
        (0..self.voters).map(id_of).collect()
    }

    fn first_voters(&self) -> Vec<Voter> {
        self.ids().into_iter().map(|id| Voter { id, incarnation: 1 }).collect()
    }
}

/// The id of a server by its position.
fn id_of(server: usize) -> Id {
    server as Id + 1
}

/// The position of a server by its id.
fn position_of(id: Id) -> usize {
    id as usize - 1
}

/// A lease holder as the state machine names it.
fn holder_name(holder: usize) -> Target {
    Target::Relay(format!("h{holder}"))
}

impl Model for ClusterModel {
    type State = ClusterState;
    type Transition = Transition;

    fn initial_state(&self) -> ClusterState {
        self.initial()
    }

    fn transitions(&self, state: &ClusterState) -> Vec<Transition> {
        self.enabled(state)
    }

    fn next_state(&self, state: &ClusterState, transition: &Transition) -> ClusterState {
        let mut next = state.clone();
        self.take(&mut next, transition);
        self.make_canonical(&mut next);
        next
    }

    fn violated_invariant(&self, state: &ClusterState) -> Option<&'static str> {
        invariants::violated(state)
    }

    fn can_recover(&self, state: &ClusterState) -> bool {
        self.recovers(state)
    }
}
