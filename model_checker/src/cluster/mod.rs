//! A model of a small Raft cluster whose state machine grants disruption leases. It consists of voters with
//! their disks, the messages between them, and lease holders. A holder is a relay that requests a lease, the
//! right to be out of service; the disruption is the time during which it is out of service.
//!
//! The voters and the state machine execute the program's own code. The model has no clock: an election
//! timeout may expire in any state, so the checked properties do not depend on time.
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

/// Maximum number of lease holders that may be disrupted at a time.
const BUDGET: u32 = 1;

/// The parameters of the model.
#[derive(Clone, Debug)]
pub struct ClusterModel {
    /// The number of voters. Their ids start at 1.
    pub voter_count: usize,
    /// The number of lease holders, at most 8.
    pub holder_count: usize,
    /// How often each kind of event may occur on any path from the initial state.
    pub limits: EventLimits,
    /// The deliberate defect that the search must find, or none.
    pub mutation: Mutation,
    /// Whether the first voter is the leader in the initial state, with no message in flight.
    pub starts_with_leader: bool,
    /// Whether the first holder is disrupted in the initial state, by a lease that all snapshots contain.
    pub starts_disrupted: bool,
    /// Whether a write becomes durable some time after the request, and may be lost until then. Otherwise it
    /// is durable immediately.
    pub slow_disks: bool,
}

impl ClusterModel {
    fn ids(&self) -> Vec<Id> {
        (0..self.voter_count).map(id_of).collect()
    }

    fn first_voters(&self) -> Vec<Voter> {
        self.ids().into_iter().map(|id| Voter { id, incarnation: 1 }).collect()
    }
}

/// The id of the server at a position.
fn id_of(server: usize) -> Id {
    server as Id + 1
}

/// The position of the server with an id.
fn position_of(id: Id) -> usize {
    id as usize - 1
}

/// The target of a lease holder in the state machine.
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
