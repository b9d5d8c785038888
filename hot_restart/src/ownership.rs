//! The state machine of a process towards its predecessor, whose listening socket it takes over, and its
//! successor, which takes over from it. It decides who owns the listening socket. Inputs are the other
//! processes' messages and disconnects, and timeouts that the caller runs.
use crate::message::{Message, RelayState, VERSION};
use serde_json::Value;

/// Another process of the same relay, numbered by the caller for as long as it is connected.
pub type ProcessId = u32;

/// How long a successor may take from the offer until it is ready, in microseconds: it reads its
/// configuration and the endpoint list meanwhile. Whoever starts it waits 6 s for a ready answer.
pub const READY_TIMEOUT: u64 = 10_000_000;

/// What happens to a process. Trace logs print events, and with them the field name `peer`.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEvent {
    /// A message came from another process.
    Received {
        /// The sender.
        peer: ProcessId,
        /// The message, decoded.
        message: Message,
    },
    /// Another process disconnected.
    Disconnected {
        /// Which one.
        peer: ProcessId,
    },
    /// [`READY_TIMEOUT`] has passed since an offer.
    ReadyTimeout {
        /// The process that was offered the listening socket.
        peer: ProcessId,
    },
    /// The connections and sessions that are left here changed.
    RemainingChanged {
        /// Connections of clients, those with a session included.
        connections: u32,
        /// Sessions.
        sessions: u32,
    },
    /// Discovery told this process something.
    ListReceived {
        /// In discovery's form.
        list: Value,
    },
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipAction {
    /// Send a message; the listening socket goes along with an [`Offer`](Message::Offer).
    Send {
        /// The receiver.
        process: ProcessId,
        /// The message.
        message: Message,
    },
    /// Close the connection to another process.
    Disconnect {
        /// Which one.
        process: ProcessId,
    },
    /// Report a [`ReadyTimeout`](OwnershipEvent::ReadyTimeout) after [`READY_TIMEOUT`].
    StartReadyTimer {
        /// The process that was offered the listening socket.
        process: ProcessId,
    },
    /// Stop accepting connections and send what is known as [`TakeOver`](Message::TakeOver).
    HandOver {
        /// The successor.
        process: ProcessId,
    },
    /// The successor died: accept connections again.
    Resume,
    /// Accept connections, with what the predecessor knew; `None` where it died before it told.
    TakeOver(Option<Box<RelayState>>),
    /// The predecessor keeps the listening socket: end this process.
    Abort {
        /// The predecessor's reason.
        reason: String,
    },
    /// What is left at the predecessor; nothing once it is gone.
    PredecessorRemaining {
        /// Connections of clients, those with a session included.
        connections: u32,
        /// Sessions.
        sessions: u32,
    },
    /// Discovery told the predecessor something.
    PredecessorList(Value),
    /// A line for the log.
    Log(String),
}

/// The process whose listening socket this one takes over.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Predecessor {
    None,
    /// It has offered its listening socket.
    Offered(ProcessId),
    /// It has handed over its listening socket, and still has sessions.
    HandedOver(ProcessId),
}

/// The process that takes over the listening socket of this one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Successor {
    None,
    /// It was offered the listening socket and is not ready yet.
    Offered(ProcessId),
    /// It owns the listening socket.
    Owner(ProcessId),
}

/// Whether this process owns the relay's listening socket, and how it stands with the processes before and
/// after it.
pub struct SocketOwnership {
    name: String,
    listen: String,
    predecessor: Predecessor,
    successor: Successor,
}

impl SocketOwnership {
    /// For a relay of a name and listening address. `predecessor` has offered its listening socket; without
    /// one this process owns the listening socket from the start.
    pub fn new(name: &str, listen: &str, predecessor: Option<ProcessId>) -> SocketOwnership {
        SocketOwnership {
            name: name.to_string(),
            listen: listen.to_string(),
            predecessor: predecessor.map_or(Predecessor::None, Predecessor::Offered),
            successor: Successor::None,
        }
    }

    /// Whether this process owns the listening socket.
    pub fn is_owner(&self) -> bool {
        self.awaited_predecessor().is_none() && self.successor().is_none()
    }

    /// The predecessor, until it has handed over.
    pub fn awaited_predecessor(&self) -> Option<ProcessId> {
        match self.predecessor {
            Predecessor::Offered(process) => Some(process),
            Predecessor::None | Predecessor::HandedOver(_) => None,
        }
    }

    /// The successor, once it owns the listening socket.
    pub fn successor(&self) -> Option<ProcessId> {
        match self.successor {
            Successor::Owner(process) => Some(process),
            Successor::None | Successor::Offered(_) => None,
        }
    }

    /// Applies an event and appends what the caller is to do.
    pub fn step(&mut self, event: OwnershipEvent, actions: &mut Vec<OwnershipAction>) {
        match event {
            OwnershipEvent::Received { peer: sender, message } => self.receive(sender, message, actions),
            OwnershipEvent::Disconnected { peer: process } => self.disconnected(process, actions),
            OwnershipEvent::ReadyTimeout { peer: process } => self.ready_timeout(process, actions),
            OwnershipEvent::RemainingChanged { connections, sessions } => {
                self.send_to_successor(Message::Remaining { connections, sessions }, actions);
            }
            OwnershipEvent::ListReceived { list } => {
                self.send_to_successor(Message::EndpointList { list }, actions);
            }
        }
    }

    fn receive(&mut self, process: ProcessId, message: Message, actions: &mut Vec<OwnershipAction>) {
        let is_offered = self.predecessor == Predecessor::Offered(process);
        let has_handed_over = self.predecessor == Predecessor::HandedOver(process);
        match message {
            Message::Hello { name, listen, .. } => self.receive_hello(process, &name, &listen, actions),
            Message::Ready {} if self.successor == Successor::Offered(process) => {
                self.successor = Successor::Owner(process);
                actions.push(OwnershipAction::HandOver { process });
            }
            Message::TakeOver(state) if is_offered => {
                self.predecessor = Predecessor::HandedOver(process);
                let connections = state.connections;
                let sessions = state.session_ids.len() as u32;
                actions.push(OwnershipAction::TakeOver(Some(state)));
                actions.push(OwnershipAction::PredecessorRemaining { connections, sessions });
            }
            Message::Rejected { reason } if is_offered => actions.push(OwnershipAction::Abort { reason }),
            Message::Remaining { connections, sessions } if has_handed_over => {
                actions.push(OwnershipAction::PredecessorRemaining { connections, sessions });
            }
            Message::EndpointList { list } if has_handed_over => {
                actions.push(OwnershipAction::PredecessorList(list));
            }
            message => {
                let shown = format!("{message:?}");
                actions.push(OwnershipAction::Log(format!("an unexpected message: {shown:.60}")));
                reject(process, "out of turn", actions);
                self.disconnected(process, actions);
            }
        }
    }

    fn receive_hello(
        &mut self,
        process: ProcessId,
        name: &str,
        listen: &str,
        actions: &mut Vec<OwnershipAction>,
    ) {
        if let Some(reason) = self.rejection(name, listen) {
            return reject(process, reason, actions);
        }
        self.successor = Successor::Offered(process);
        actions.push(OwnershipAction::Send { process, message: Message::Offer { version: VERSION } });
        actions.push(OwnershipAction::StartReadyTimer { process });
    }

    /// Why the listening socket is not offered to a process; `None` where it is.
    fn rejection(&self, name: &str, listen: &str) -> Option<&'static str> {
        if name != self.name {
            return Some("this relay has another name");
        }
        if listen != self.listen {
            return Some("this relay listens elsewhere");
        }
        match self.predecessor {
            Predecessor::Offered(_) => return Some("this process has not taken over yet"),
            Predecessor::HandedOver(_) => return Some("the last replacement is not over yet"),
            Predecessor::None => {}
        }
        match self.successor {
            Successor::Offered(_) => Some("another replacement is under way"),
            Successor::Owner(_) => Some("this process is replaced already"),
            Successor::None => None,
        }
    }

    fn ready_timeout(&mut self, process: ProcessId, actions: &mut Vec<OwnershipAction>) {
        // An earlier offer's timer, where the process is not the one that was offered the listening socket
        // last.
        if self.successor != Successor::Offered(process) {
            return;
        }
        self.successor = Successor::None;
        actions.push(OwnershipAction::Log("the new process was not ready in time".to_string()));
        reject(process, "not ready in time", actions);
    }

    fn disconnected(&mut self, process: ProcessId, actions: &mut Vec<OwnershipAction>) {
        if self.predecessor == Predecessor::Offered(process) {
            // It died as the owner: nobody else accepts connections.
            self.predecessor = Predecessor::None;
            actions.push(OwnershipAction::TakeOver(None));
        } else if self.predecessor == Predecessor::HandedOver(process) {
            self.predecessor = Predecessor::None;
            actions.push(OwnershipAction::PredecessorRemaining { connections: 0, sessions: 0 });
        }
        if self.successor == Successor::Offered(process) {
            self.successor = Successor::None;
            let text = "the new process disconnected before it was ready";
            actions.push(OwnershipAction::Log(text.to_string()));
        } else if self.successor == Successor::Owner(process) {
            self.successor = Successor::None;
            actions.push(OwnershipAction::Resume);
        }
    }

    fn send_to_successor(&self, message: Message, actions: &mut Vec<OwnershipAction>) {
        if let Some(process) = self.successor() {
            actions.push(OwnershipAction::Send { process, message });
        }
    }
}

/// Tells a process that it gets no listening socket, and disconnects it.
fn reject(process: ProcessId, reason: &str, actions: &mut Vec<OwnershipAction>) {
    let reason = reason.to_string();
    actions.push(OwnershipAction::Send { process, message: Message::Rejected { reason } });
    actions.push(OwnershipAction::Disconnect { process });
}
