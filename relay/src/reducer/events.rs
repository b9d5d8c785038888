//! What comes to the reducer, what it asks for, and what operators ask of it and hear.
use super::{DrainRequest, Figures, Word};
use crate::lines::SessionRequest;
use hallrelay_balancer::types::{DialEnd, Micros, Report, ServerId, SessId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_disruption::Command;
use hallrelay_hot_restart::place::{self as handover, Peer};
use hallrelay_hot_restart::{Message, Session};
use hallrelay_membership::status::Status;
use hallrelay_recovery::{Kept, Stored};
use hallrelay_store::writer::Health;
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
    Accepted(Word),
    /// No, not now, with a word why.
    Unavailable(Word),
    /// What was asked for can't be, as things stand.
    Conflict(Word),
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
        conn: SessId,
    },
    /// A part of a first line has come.
    FirstLineStarted {
        conn: SessId,
    },
    /// A connection asks whether this relay is able to serve.
    Ping {
        conn: SessId,
    },
    /// A client's first line, and what is left of its dial timeout.
    SessionRequested {
        sess: SessId,
        open: SessionRequest,
        left: Micros,
    },
    /// What a connection sends is not of the protocol, or it sends nothing.
    ProtocolViolation {
        conn: SessId,
    },
    /// The client's connection is over.
    ClientDisconnected {
        sess: SessId,
    },
    /// The client has ended its sending while it waited for its answer: it has left, or reads on.
    ClientHalfClosed {
        sess: SessId,
    },
    /// A dial's line is written whole.
    FirstLineForwarded,
    SessionEstablished {
        sess: SessId,
        dial: u32,
    },
    /// This machine could not begin the dial.
    DialNotStarted {
        sess: SessId,
        dial: u32,
    },
    DialEnded {
        sess: SessId,
        dial: u32,
        end: DialEnd,
        report: Option<Report>,
    },
    /// An open session ended at its backend's side.
    SessionEnded {
        sess: SessId,
        end: DialEnd,
        report: Option<Report>,
    },
    LoadReported {
        sess: SessId,
        load: f64,
    },
    /// A message of an open session took this long.
    MessageLatency {
        sess: SessId,
        time: Micros,
    },
    HealthCheckEnded {
        server: ServerId,
        end: DialEnd,
        report: Option<Report>,
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
    /// Another process has this one's session, or could not take it.
    SessionHandedOver {
        sess: SessId,
    },
    SessionHandoverFailed {
        sess: SessId,
    },
    /// This one has a session of the process before it.
    SessionAdopted {
        sess: SessId,
        session: Box<Session>,
    },
    /// Something came from the process before or after this one.
    HotRestart(handover::Event),
    /// Something came from another relay.
    Membership(hallrelay_membership::Event),
    /// What was to be written for a life of the voter is on the disk, up to a number.
    VoterWritesDurable {
        life: u32,
        number: u64,
    },
    /// The store is this process's by now: what it held.
    StoreReopened(Box<Stored>),
    /// How the store does, as it changes.
    StoreHealth(Box<Health>),
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
    /// An offered place was not taken.
    HandoverOffer(Peer),
    /// The process that took this one's place is told what is held here still.
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
    /// Others are asked for the list, if discovery has not spoken by now.
    PollPeers,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    Pong {
        conn: SessId,
    },
    /// A `PING` is told no.
    RejectPing {
        conn: SessId,
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
        sess: SessId,
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
        sess: SessId,
    },
    /// The final answers that no backend gave.
    Reject {
        sess: SessId,
        retry_after: Micros,
    },
    TearDown {
        sess: SessId,
    },
    Migrate {
        sess: SessId,
    },
    /// Another process goes on with it.
    HandOverSession {
        sess: SessId,
        peer: Peer,
        session: Box<Session>,
    },
    /// An error for what is not of the protocol.
    ReportProtocolError {
        conn: SessId,
    },
    /// Ends a connection that is no session, for the place that it takes.
    ShedConnection {
        conn: SessId,
    },
    /// The session's backend answers no probes: its silence tells sooner, till it answers again.
    SetSuspect {
        sess: SessId,
        doubted: bool,
    },
    /// Ends the connection without a word.
    CloseClient {
        sess: SessId,
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
        peer: Peer,
        message: Message,
    },
    DisconnectProcess {
        peer: Peer,
    },
    /// Other processes may come to take this one's place, or no more.
    SetTakeoverListener {
        open: bool,
    },
    /// A fact goes to the store; the dial of a session may go once it is written, or that takes too long.
    Persist {
        kept: Kept,
        before: Option<SessId>,
    },
    /// What a voter promises: it is told as all of it is on the disk.
    PersistVoterWrites {
        life: u32,
        number: u64,
        kept: Vec<Kept>,
    },
    /// The store is this process's, or another's.
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
