//! The states of the cluster model.
use hallrelay_disruption::State as StateMachine;
use hallrelay_raft::{Id, Message, MessageBody, Node, PersistentState, Term, Write};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// How often each kind of event may still occur.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct EventLimits {
    /// An election timeout expires.
    pub election_timeouts: u8,
    /// A process crashes and restarts from its disk.
    pub crashes: u8,
    /// A process crashes and restarts with an empty disk.
    pub disk_losses: u8,
    /// A message is delivered, and delivered again at any later time.
    pub duplicates: u8,
    /// A message is delayed and delivered at any later time, possibly after newer messages of its kind.
    pub delays: u8,
    /// A leader sends heartbeats.
    pub heartbeats: u8,
    /// A holder requests a lease or begins its disruption.
    pub requests: u8,
    /// A leader proposes that a lease expires.
    pub expirations: u8,
    /// The first holder fails. It later starts again and warms up.
    pub holder_failures: u8,
    /// A voter compacts its log.
    pub compactions: u8,
}

/// A write that is not durable yet.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingWrite {
    pub number: u64,
    pub write: Write,
}

/// A server: its process, its disk and its state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Server {
    /// `None` until the first start of the process.
    pub node: Option<Node>,
    pub disk: PersistentState,
    /// Identifies the disk. A lost disk is replaced by one with the next incarnation.
    pub incarnation: u64,
    /// Requested writes that are not durable, in order.
    pub pending_writes: VecDeque<PendingWrite>,
    pub state_machine: StateMachine,
}

/// The actual health of a holder, which may differ from that in the state machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) enum Health {
    #[default]
    Up,
    Down,
    WarmingUp,
}

/// A lease holder: a relay that requests its own disruption.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Holder {
    /// The id of its current request; 0 for none.
    pub request: u64,
    /// The id of the lease granted to it; 0 for none.
    pub lease_id: u64,
    /// Whether the holder is out of service, that is, its disruption has begun.
    pub is_out: bool,
    pub health: Health,
    /// The last health of this holder that a leader proposed.
    pub reported_health: Health,
}

impl Holder {
    /// Returns whether the holder was granted a lease that it has not returned. A holder does not learn that
    /// its lease has expired.
    pub(super) fn has_lease(&self) -> bool {
        self.lease_id != 0
    }
}

/// The kind of a message. A newer message makes an older one of the same channel obsolete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum MessageKind {
    Membership,
    VoteRequest,
    VoteResponse,
    Append,
    AppendResponse,
}

impl MessageKind {
    pub(super) fn of(body: &MessageBody) -> MessageKind {
        match body {
            MessageBody::Announce { .. } | MessageBody::Bootstrap { .. } => MessageKind::Membership,
            MessageBody::RequestPreVote { .. } | MessageBody::RequestVote { .. } => MessageKind::VoteRequest,
            MessageBody::PreVoteResponse { .. } | MessageBody::VoteResponse { .. } => {
                MessageKind::VoteResponse
            }
            MessageBody::AppendEntries(_) | MessageBody::InstallSnapshot { .. } => MessageKind::Append,
            MessageBody::AppendResponse { .. } => MessageKind::AppendResponse,
        }
    }

    /// The kind of message that a recipient may send in response. The response is delivered in the transition
    /// that delivers the message.
    pub(super) fn immediate_response(self) -> Option<MessageKind> {
        match self {
            MessageKind::Membership => Some(MessageKind::VoteRequest),
            MessageKind::VoteRequest => Some(MessageKind::VoteResponse),
            MessageKind::VoteResponse => Some(MessageKind::Append),
            MessageKind::Append => Some(MessageKind::AppendResponse),
            MessageKind::AppendResponse => None,
        }
    }
}

/// The sender, the recipient and the kind of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Channel {
    pub from: Id,
    pub to: Id,
    pub kind: MessageKind,
}

impl Channel {
    pub(super) fn of(message: &Message) -> Channel {
        Channel { from: message.from.id, to: message.to.id, kind: MessageKind::of(&message.body) }
    }
}

/// The holder that received a grant, and the id of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct GrantOwner {
    pub holder: usize,
    pub request: u64,
}

/// A state of the cluster model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ClusterState {
    /// The servers. States share unchanged ones, because most transitions change one or two servers.
    pub(super) servers: Vec<Arc<Server>>,
    /// Messages that may be delivered in any order. A newer message replaces an older one of the same
    /// channel, which is lost.
    pub(super) in_flight: BTreeMap<Channel, Message>,
    /// Messages that may be delivered at any later time, independently of newer ones.
    pub(super) delayed: BTreeSet<Message>,
    pub(super) holders: Vec<Holder>,
    pub(super) limits: EventLimits,
    /// The leader of each term.
    pub(super) leaders: BTreeMap<Term, Id>,
    /// All grants by their lease ids.
    pub(super) grants: BTreeMap<u64, GrantOwner>,
    /// Holders whose last committed health is not up.
    pub(super) unhealthy_holders: BTreeSet<usize>,
    /// Bit set of the servers whose election timeout has expired; bit 0 is the first server.
    pub(super) timed_out: u8,
    /// The last number assigned to a request or proposal.
    pub(super) last_request: u64,
    /// The first invariant that a transition violated.
    pub(super) violated: Option<&'static str>,
}

impl ClusterState {
    /// Mutable access to a server, which is copied if other states share it.
    pub(super) fn server_mut(&mut self, server: usize) -> &mut Server {
        Arc::make_mut(&mut self.servers[server])
    }

    pub(super) fn node(&self, server: usize) -> Option<&Node> {
        self.servers[server].node.as_ref()
    }

    /// Returns whether a server's election timeout has expired on the path to this state.
    pub(super) fn has_timed_out(&self, server: usize) -> bool {
        self.timed_out & 1 << server != 0
    }

    /// Records a violated invariant, unless another was recorded before.
    pub(super) fn violate(&mut self, invariant: &'static str) {
        self.violated = self.violated.or(Some(invariant));
    }
}
