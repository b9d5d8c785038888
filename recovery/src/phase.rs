//! How far a relay's recovery is, for operators. Nothing is decided by it.

/// What a relay knows of itself and its servers at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseInput {
    /// Servers that sessions can be placed on.
    pub servers: usize,
    /// Those of them that are in slow start.
    pub servers_in_slow_start: usize,
    /// Whether discovery has answered since the start.
    pub discovery_contacted: bool,
    /// Whether another relay's endpoint list was used since the start.
    pub list_from_peer: bool,
}

/// How far a relay's recovery is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryPhase {
    /// It knows no server to place a session on: all sessions are rejected.
    NoServers,
    /// It goes by its store or its configuration.
    FromStore,
    /// It goes by another relay's endpoint list.
    FromPeer,
    /// Most servers are in slow start.
    SlowStart,
    /// Discovery has answered, and most servers are warm.
    Complete,
}

impl RecoveryPhase {
    /// The phase by what is known; the first condition that holds decides.
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

    /// The word in `/v1/fleet` and `hallrelay fleet status`.
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
