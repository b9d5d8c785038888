//! What comes to the reducer, what it asks for, and what operators ask of it and hear.
use super::{DrainRequest, Figures, LifecycleStatus};
use crate::lines::SessionRequest;
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros, ServerId, SessId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_disruption::Command;
use hallrelay_hot_restart::{Message, OwnershipEvent, PeerId, SessionState};
use hallrelay_membership::status::Status;
use hallrelay_recovery::{Record, StoredState};
use hallrelay_store::writer::WriterHealth;
use std::net::SocketAddr;

/// What an operator may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    Readiness,
    Metrics,
    Membership,
    /// What is agreed across the fleet.
    Leases,
    /// This relay, or a server for the whole fleet.
    Drain(Box<DrainRequest>),
    Activate,
    /// A command that is to be agreed as it stands: back, freed, of a release; and in words.
    Propose {
        command: Box<Command>,
        words: String,
    },
    /// How the release stands.
    Rollout,
}

#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    Accepted(LifecycleStatus),
    /// Not now.
    Unavailable(LifecycleStatus),
    /// What was asked for can't be, as things stand.
    Conflict(LifecycleStatus),
    /// Not by what is agreed across the fleet; why.
    Blocked(String),
    /// Agreed; what.
    Committed(String),
    /// What is agreed, as JSON; none where nothing is.
    Leases(Option<String>),
    Metrics(Box<Figures>),
    /// What this relay believes of its fleet; none where it is told of none.
    Membership(Option<Box<Status>>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client has connected.
    ClientConnected {
        connection_id: SessId,
    },
    /// A part of a first line has come.
    FirstLineStarted {
        connection_id: SessId,
    },
    /// A connection asks whether this relay is able to serve.
    Ping {
        connection_id: SessId,
    },
    /// A client's first line, and what is left of its dial timeout.
    SessionRequested {
        session_id: SessId,
        open: SessionRequest,
        left: Micros,
    },
    /// What a connection sends is not of the protocol, or it sends nothing.
    ProtocolViolation {
        connection_id: SessId,
    },
    /// The client's connection is over.
    ClientDisconnected {
        session_id: SessId,
    },
    /// The client has ended its sending while it waited for its answer: it has left, or reads on.
    ClientHalfClosed {
        session_id: SessId,
    },
    /// A dial's line is written whole.
    FirstLineForwarded,
    SessionEstablished {
        session_id: SessId,
        dial: u32,
    },
    /// This machine could not begin the dial.
    DialNotStarted {
        session_id: SessId,
        dial: u32,
    },
    DialEnded {
        session_id: SessId,
        dial: u32,
        end: DialEnd,
        report: Option<LoadReport>,
    },
    /// An open session ended at its backend's side.
    SessionEnded {
        session_id: SessId,
        end: DialEnd,
        report: Option<LoadReport>,
    },
    LoadReported {
        session_id: SessId,
        load: f64,
    },
    /// A message of an open session took this long.
    MessageLatency {
        session_id: SessId,
        time: Micros,
    },
    HealthCheckEnded {
        server: ServerId,
        end: DialEnd,
        report: Option<LoadReport>,
    },
    EndpointListReceived {
        watch: u32,
        list: List,
    },
    EndpointWatchFailed {
        watch: u32,
    },
    /// The configuration as it stands now, whole and checked.
    ConfigurationReloaded(Box<Node>),
    /// A configuration that is not used, since something in it is wrong.
    ConfigurationRejected,
    /// An operator's call.
    OperatorCall {
        call: u32,
        what: OperatorRequest,
    },
    /// The successor has the session.
    SessionHandedOver {
        session_id: SessId,
    },
    /// The successor could not take the session.
    SessionHandoverFailed {
        session_id: SessId,
    },
    /// A session of the predecessor was handed over to this process.
    SessionAdopted {
        session_id: SessId,
        session: Box<SessionState>,
    },
    /// Something came from the predecessor or the successor.
    HotRestart(OwnershipEvent),
    /// Something came from another relay.
    Membership(hallrelay_membership::Event),
    /// What was to be written for a life of the voter is on the disk, up to a number.
    VoterWritesDurable {
        life: u32,
        number: u64,
    },
    /// The store was opened again: what it held.
    StoreReopened(Box<StoredState>),
    /// How writing to the store goes, as it changes.
    StoreHealth(Box<WriterHealth>),
    Timer(Timer),
    StopRequested,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    Balancer(u32),
    /// The answer is due.
    AnswerDeadline(SessId),
    /// A standing connection is dialled again.
    RedialPreExisting(SessId),
    /// Sessions are moved while the relay stops or drains; of the how-manieth time that it does so.
    MigrateBatch(u32),
    /// A process that was offered the listener was not ready in time.
    HandoverOffer(PeerId),
    /// The successor is told what remains here.
    HandoverProgress,
    /// Something of membership is due.
    Membership,
    /// Of the voter, and of which round.
    Voter(hallrelay_raft::Timer, u32),
    /// What is seen of the fleet goes to the leader, or into the log.
    LeaderReview,
    /// A wish of an operator's call.
    PendingRequest(u32),
    /// The list is watched anew where it comes unasked.
    RequestEndpointList,
    /// Others are polled for the list, if discovery has not answered by now.
    PollPeers,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Pong {
        connection_id: SessId,
    },
    /// A `PING` is told no.
    RejectPing {
        connection_id: SessId,
    },
    Reply {
        call: u32,
        reply: OperatorReply,
    },
    /// Nothing new may be sent to a server from now on, or it may be again.
    SetDraining {
        server: ServerId,
        leaves: bool,
    },
    Dial {
        session_id: SessId,
        dial: u32,
        /// None for a connection that stood at its server before this relay started.
        server: Option<ServerId>,
        addr: SocketAddr,
        wait: Micros,
        /// The time in which its line must begin to go out.
        begin: Micros,
    },
    /// From here on lines pass both ways.
    StartProxying {
        session_id: SessId,
    },
    /// The final answers that no backend gave.
    Reject {
        session_id: SessId,
        retry_after: Micros,
    },
    TearDown {
        session_id: SessId,
    },
    Migrate {
        session_id: SessId,
    },
    /// Another process goes on with it.
    HandOverSession {
        session_id: SessId,
        peer: PeerId,
        session: Box<SessionState>,
    },
    /// An error for what is not of the protocol.
    ReportProtocolError {
        connection_id: SessId,
    },
    /// Ends a connection that is no session, for the place that it takes.
    ShedConnection {
        connection_id: SessId,
    },
    /// The session's backend answers no probes: its silence tells sooner, till it answers again.
    SetSuspect {
        session_id: SessId,
        doubted: bool,
    },
    /// Ends the connection without a word.
    CloseClient {
        session_id: SessId,
    },
    HealthCheck {
        server: ServerId,
        addr: SocketAddr,
    },
    ForgetServer {
        server: ServerId,
    },
    /// Watches the list from a version on, or asks for the whole of it first.
    WatchEndpoints {
        watch: u32,
        addr: SocketAddr,
        since: Option<u64>,
    },
    StopWatch {
        watch: u32,
    },
    /// Connections are taken, or are left to another process.
    SetAccepting {
        on: bool,
    },
    /// What is said to another process, and the end of it.
    SendToProcess {
        peer: PeerId,
        message: Message,
    },
    DisconnectProcess {
        peer: PeerId,
    },
    /// Other processes may connect to take over from this one, or no more.
    SetTakeoverListener {
        open: bool,
    },
    /// A record goes to the store; the dial of a session waits until it is durable, or that takes too long.
    Persist {
        record: Record,
        before: Option<SessId>,
    },
    /// What a voter promises: it is told as all of it is on the disk.
    PersistVoterWrites {
        life: u32,
        number: u64,
        records: Vec<Record>,
    },
    /// The store is opened by this process, or closed for another one.
    SetStoreOwnership {
        on: bool,
    },
    /// What goes to other relays.
    Membership(hallrelay_membership::Effect),
    Log {
        what: String,
    },
    /// The process ends with a complaint.
    Abort {
        why: String,
    },
    /// What tasks go by from now on.
    ApplyTuning {
        limits: Box<Limits>,
        order: ReportOrder,
    },
    /// A key of a new configuration that can't change while the program runs.
    KeyUnchanged {
        key: &'static str,
    },
    StartTimer {
        after: Micros,
        alarm: Timer,
    },
    Exit,
}
