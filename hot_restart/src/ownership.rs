//! The state machine that decides whether a process owns the relay's listening socket. A process takes the
//! socket over from its predecessor and hands it over to its successor. The inputs are messages and
//! disconnects of the other processes, and timeouts that the caller runs.
use crate::extension::ListExtension;
use crate::message::{Message, RelayState, VERSION};
use serde_json::Value;

/// Another process of the same relay. The caller chooses the number, which identifies it while it is
/// connected.
pub type ProcessId = u32;

/// Longest time from the offer until the successor is ready, in microseconds. The successor reads its
/// configuration and the endpoint list in this time. A tool that starts a successor waits 6 s for the answer
/// that it is ready.
pub const READY_TIMEOUT: u64 = 10_000_000;

/// An input of the state machine. Trace logs print events with `{:?}`, including the field name `peer`.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipEvent {
    /// A message of another process was received.
    Received {
        /// The sender.
        peer: ProcessId,
        /// The decoded message.
        message: Message,
    },
    /// Another process disconnected.
    Disconnected {
        /// The disconnected process.
        peer: ProcessId,
    },
    /// [`READY_TIMEOUT`] has passed since an offer.
    ReadyTimeout {
        /// The process that was offered the listening socket.
        peer: ProcessId,
    },
    /// The number of connections or sessions that remain at this process changed.
    RemainingChanged {
        /// Number of client connections, including those with a session.
        connections: u32,
        /// Number of sessions.
        sessions: u32,
    },
    /// This process received an endpoint list from discovery.
    ListReceived {
        /// The list in the format of discovery.
        list: Value,
    },
    /// This process has received or has used something that the predecessor would need if it served again.
    PredecessorUpdated {
        /// The message.
        message: Message,
    },
}

/// An output of the state machine: an action for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum OwnershipAction {
    /// Send a message. The listening socket is passed with an [`Offer`](Message::Offer).
    Send {
        /// The receiver.
        process: ProcessId,
        /// The message.
        message: Message,
    },
    /// Close the connection to another process.
    Disconnect {
        /// The process to disconnect.
        process: ProcessId,
    },
    /// Report a [`ReadyTimeout`](OwnershipEvent::ReadyTimeout) after [`READY_TIMEOUT`].
    StartReadyTimer {
        /// The process that was offered the listening socket.
        process: ProcessId,
    },
    /// Stop accepting connections and send this process's state as [`TakeOver`](Message::TakeOver).
    HandOver {
        /// The successor.
        process: ProcessId,
    },
    /// Accept connections again, because the successor disconnected.
    Resume,
    /// Accept connections with the predecessor's state; `None` if the predecessor disconnected before sending
    /// it.
    TakeOver(Option<Box<RelayState>>),
    /// End this process, because the predecessor keeps the listening socket.
    Abort {
        /// The predecessor's reason.
        reason: String,
    },
    /// The connections and sessions that remain at the predecessor. Both are 0 after it disconnected.
    PredecessorRemaining {
        /// Number of client connections, including those with a session.
        connections: u32,
        /// Number of sessions.
        sessions: u32,
    },
    /// The predecessor received an endpoint list from discovery.
    PredecessorList(Value),
    /// The successor received an endpoint list, or an update of the relay.
    SuccessorList(Value),
    /// Write a line to the log.
    Log(String),
}

/// The process from which this one takes over the listening socket.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Predecessor {
    None,
    /// The predecessor has offered its listening socket.
    Offered(ProcessId),
    /// The predecessor has handed over its listening socket and still has sessions.
    HandedOver(ProcessId),
}

/// The process that takes over the listening socket from this one.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Successor {
    None,
    /// The successor was offered the listening socket and is not ready yet.
    Offered(ProcessId),
    /// The successor owns the listening socket.
    Owner(ProcessId),
}

/// Whether this process owns the relay's listening socket, and the state of the handovers from its
/// predecessor and to its successor.
pub struct SocketOwnership {
    name: String,
    listen: String,
    predecessor: Predecessor,
    /// Whether the predecessor accepts messages after the handover.
    predecessor_accepts_updates: bool,
    successor: Successor,
}

impl SocketOwnership {
    /// Creates the state of a process of the named relay. `predecessor` is the process that offered its
    /// listening socket; without one this process owns the listening socket from the start.
    pub fn new(name: &str, listen: &str, predecessor: Option<ProcessId>) -> SocketOwnership {
        SocketOwnership {
            name: name.to_string(),
            listen: listen.to_string(),
            predecessor: predecessor.map_or(Predecessor::None, Predecessor::Offered),
            predecessor_accepts_updates: false,
            successor: Successor::None,
        }
    }

    /// Whether this process owns the listening socket.
    pub fn is_owner(&self) -> bool {
        self.awaited_predecessor().is_none() && self.successor().is_none()
    }

    /// The predecessor, until it has handed over the listening socket.
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

    /// Whether the predecessor still runs and accepts updates of this process.
    pub fn updates_predecessor(&self) -> bool {
        self.updated_predecessor().is_some()
    }

    fn updated_predecessor(&self) -> Option<ProcessId> {
        match self.predecessor {
            Predecessor::HandedOver(process) if self.predecessor_accepts_updates => Some(process),
            Predecessor::None | Predecessor::Offered(_) | Predecessor::HandedOver(_) => None,
        }
    }

    /// Applies an event and appends the resulting actions.
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
            OwnershipEvent::PredecessorUpdated { message } => {
                let predecessor = self.updated_predecessor();
                actions.extend(predecessor.map(|process| OwnershipAction::Send { process, message }));
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
                let list = state.endpoint_list.as_ref();
                self.predecessor_accepts_updates =
                    list.is_some_and(|list| ListExtension::of(list).accepts_updates);
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
            Message::EndpointList { list } if self.successor == Successor::Owner(process) => {
                actions.push(OwnershipAction::SuccessorList(list));
            }
            message => {
                let text = format!("{message:?}");
                actions.push(OwnershipAction::Log(format!(
                    "received an unexpected message from process {process}: {text:.60}"
                )));
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

    /// The reason for not offering the listening socket to a process; `None` to offer it. The reason is sent
    /// on the wire.
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
        // This timer belongs to an earlier offer: the latest one was made to another process or is no longer
        // pending.
        if self.successor != Successor::Offered(process) {
            return;
        }
        self.successor = Successor::None;
        let seconds = READY_TIMEOUT / 1_000_000;
        let text = format!("the new process was not ready within {seconds} s of the offer");
        actions.push(OwnershipAction::Log(text));
        reject(process, "not ready in time", actions);
    }

    fn disconnected(&mut self, process: ProcessId, actions: &mut Vec<OwnershipAction>) {
        if self.predecessor == Predecessor::Offered(process) {
            // The predecessor died as the owner of the listening socket, and no other process accepts
            // connections.
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

/// Rejects a process's request for the listening socket and disconnects the process.
fn reject(process: ProcessId, reason: &str, actions: &mut Vec<OwnershipAction>) {
    let reason = reason.to_string();
    actions.push(OwnershipAction::Send { process, message: Message::Rejected { reason } });
    actions.push(OwnershipAction::Disconnect { process });
}
