//! The phase of a relay's recovery, for operators. No decision depends on it.

/// What a relay currently knows about itself and its servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseInput {
    /// Number of servers on which sessions can be placed.
    pub servers: usize,
    /// Number of these servers that are in slow start.
    pub servers_in_slow_start: usize,
    /// Whether discovery has answered since the start of the relay.
    pub discovery_contacted: bool,
    /// Whether the endpoint list of another relay has been used since the start.
    pub list_from_peer: bool,
}

/// The phase of a relay's recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryPhase {
    /// The relay knows no server for sessions and rejects all sessions.
    NoServers,
    /// The relay uses the servers of its store or its configuration.
    FromStore,
    /// The relay uses the endpoint list of another relay.
    FromPeer,
    /// More than half of the servers are in slow start.
    SlowStart,
    /// Discovery has answered, and at most half of the servers are in slow start.
    Complete,
}

impl RecoveryPhase {
    /// Determines the phase. The first condition that holds decides.
    pub fn of(input: &PhaseInput) -> RecoveryPhase {
        if input.servers == 0 {
            RecoveryPhase::NoServers
        } else if input.servers_in_slow_start * 2 > input.servers {
            RecoveryPhase::SlowStart
        } else if input.discovery_contacted {
            RecoveryPhase::Complete
        } else if input.list_from_peer {
            RecoveryPhase::FromPeer
        } else {
            RecoveryPhase::FromStore
        }
    }

    /// The word for this phase in `/v1/fleet` and `hallrelay fleet status`.
    pub fn label(self) -> &'static str {
        match self {
            RecoveryPhase::NoServers => "dark",
            RecoveryPhase::FromStore => "remembering",
            RecoveryPhase::FromPeer => "asking",
            RecoveryPhase::SlowStart => "trickle",
            RecoveryPhase::Complete => "open",
        }
    }
}
