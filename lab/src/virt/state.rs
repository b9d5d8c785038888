//! The state of a relay's sockets, watches and store in virtual time.
use super::events::QueuedEvent;
use super::StateMachine;
use hallrelay_balancer::types::SessionId;
use hallrelay_config::limits::Limits;
use hallrelay_config::scenario::ConnectionFault;
use hallrelay_emulator::servers::{ConnectionId, DialRequest};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One process of a relay.
#[derive(Clone, Copy)]
pub(super) struct ProcessId {
    pub(super) relay: usize,
    /// Incremented whenever a process of this relay starts or ends.
    pub(super) incarnation: u32,
}

/// The state of a client's session at its relay.
pub(super) struct ClientSession {
    /// Id of the session in the client's first line.
    pub(super) mark: u64,
    /// Number of dials so far.
    pub(super) dials: u32,
    /// The connection to a server, for a dial or for the open session.
    pub(super) connection: Option<ConnectionId>,
    pub(super) is_open: bool,
    /// Whether the relay suspects that the session's server is silent.
    pub(super) is_suspect: bool,
    /// Whether the session has ended, or the client was sent its final answer.
    pub(super) is_over: bool,
}

impl ClientSession {
    pub(super) fn new(mark: u64) -> Self {
        ClientSession { mark, dials: 0, connection: None, is_open: false, is_suspect: false, is_over: false }
    }
}

/// A connection from a relay to a server.
pub(super) struct BackendConnection {
    pub(super) process: ProcessId,
    pub(super) session_id: SessionId,
    /// Number of the dial within its session, from 0.
    pub(super) dial: u32,
    pub(super) mark: u64,
    pub(super) server: usize,
    pub(super) request: DialRequest,
    /// Whether the server has received the first line.
    pub(super) is_received: bool,
    pub(super) is_established: bool,
    /// Fault that affects this connection.
    pub(super) fault: Option<ConnectionFault>,
}

/// A relay's watch of the endpoint list.
pub(super) struct Watch {
    pub(super) id: u32,
    /// Generation of the list that the relay already has.
    pub(super) since: Option<u64>,
    /// Whether the first answer was sent. After it, each change of the list is sent.
    pub(super) is_answered: bool,
}

/// Kind and name of a stored record, in the order in which records are loaded.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RecordKey {
    pub(super) kind: u8,
    pub(super) name: String,
}

/// A relay: its state machine, and the state of its sockets, watches and store.
pub(super) struct VirtualRelay {
    /// `None` while no process runs.
    pub(super) state_machine: Option<Box<dyn StateMachine>>,
    pub(super) incarnation: u32,
    pub(super) sessions: BTreeMap<SessionId, ClientSession>,
    pub(super) session_ids_by_mark: BTreeMap<u64, SessionId>,
    /// Marks of sessions whose client has disconnected. A faulty relay may still dial for them.
    pub(super) disconnected: BTreeMap<SessionId, u64>,
    pub(super) watches: Vec<Watch>,
    pub(super) last_session_id: SessionId,
    /// Number of processes started.
    pub(super) starts: u32,
    pub(super) limits: Limits,
    /// Contents of the relay's store, which outlive the process.
    pub(super) stored_records: BTreeMap<RecordKey, Vec<u8>>,
    /// The events that have arrived for the process while it is stalled; `None` if it is not stalled.
    pub(super) stalled: Option<Vec<QueuedEvent>>,
}

impl VirtualRelay {
    pub(super) fn new(limits: Limits) -> Self {
        VirtualRelay {
            state_machine: None,
            incarnation: 0,
            sessions: BTreeMap::new(),
            session_ids_by_mark: BTreeMap::new(),
            disconnected: BTreeMap::new(),
            watches: Vec::new(),
            last_session_id: 0,
            starts: 0,
            limits,
            stored_records: BTreeMap::new(),
            stalled: None,
        }
    }

    /// The mark of a session of the current process, whether or not its client is still connected.
    pub(super) fn mark_of(&self, session_id: SessionId) -> Option<u64> {
        let session = self.sessions.get(&session_id).map(|session| session.mark);
        session.or(self.disconnected.get(&session_id).copied())
    }
}

/// Address of a server by its index.
pub(super) fn address_of(server: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (server >> 8) as u8, server as u8], 1))
}

/// Index of the server at an address.
pub(super) fn server_at(addr: SocketAddr) -> usize {
    match addr {
        SocketAddr::V4(addr) => {
            let [_, _, high, low] = addr.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        SocketAddr::V6(_) => 0,
    }
}
