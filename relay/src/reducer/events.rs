//! The reducer's interface: the events that it is stepped with, its effects, and the requests and replies
//! of operators. Times are spans in microseconds unless a field says otherwise.
//!
//! `session_id` and `connection_id` number clients' connections in one sequence: a connection keeps its
//! number when it becomes a session. The `Debug` form of events and effects stands in the log at `-vv`, where
//! `hallrelay-lab losses` reads it.
use super::{DrainRequest, LifecycleStatus, Metrics};
use crate::lines::SessionRequest;
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros, ServerId, SessionId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_config::list::List;
use hallrelay_config::node::Node;
use hallrelay_disruption::Command;
use hallrelay_hot_restart::{Message, OwnershipEvent, ProcessId, SessionState};
use hallrelay_membership::status::Status;
use hallrelay_recovery::{Record, StoredState};
use hallrelay_store::writer::WriterHealth;
use std::net::SocketAddr;

/// What an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Whether this relay is ready for sessions.
    Readiness,
    /// The metrics of this process.
    Metrics,
    /// The members of the fleet as this relay sees them.
    Membership,
    /// The leases of disruption budgets.
    Leases,
    /// To drain this relay, or a backend for the whole fleet.
    Drain(Box<DrainRequest>),
    /// To end this relay's drain.
    Activate,
    /// To agree on a command across the fleet.
    Propose {
        /// The command.
        command: Box<Command>,
        /// The answer once it is agreed.
        confirmation: String,
    },
    /// How the rollout stands.
    Rollout,
}

/// The reply to an operator's request.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// Done, or the answer is yes.
    Accepted(LifecycleStatus),
    /// Not now.
    Unavailable(LifecycleStatus),
    /// Not possible in this state of the relay.
    Conflict(LifecycleStatus),
    /// The disruption budgets do not allow it; the reason.
    Blocked(String),
    /// The command is agreed; its confirmation.
    Committed(String),
    /// The leases or the rollout as JSON; `None` where no voters are configured.
    Leases(Option<String>),
    /// The metrics.
    Metrics(Box<Metrics>),
    /// The fleet's status; `None` where no fleet is configured.
    Membership(Option<Box<Status>>),
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client connected.
    ClientConnected {
        /// Its connection.
        connection_id: SessionId,
    },
    /// A part of a first line has come.
    FirstLineStarted {
        /// The client's connection.
        connection_id: SessionId,
    },
    /// A client sent `PING`: is this relay ready?
    Ping {
        /// The connection.
        connection_id: SessionId,
    },
    /// A client's first line is complete.
    SessionRequested {
        /// The session from now on.
        session_id: SessionId,
        /// The parsed line.
        open: SessionRequest,
        /// What is left of the client's timeout.
        time_remaining: Micros,
    },
    /// A connection sends what is not of the protocol, or nothing in time.
    ProtocolViolation {
        /// The connection.
        connection_id: SessionId,
    },
    /// A client's connection is over.
    ClientDisconnected {
        /// The connection, a session or not.
        session_id: SessionId,
    },
    /// A client ended its sending while it waited for its final answer: it has left, or still reads.
    ClientHalfClosed {
        /// The session.
        session_id: SessionId,
    },
    /// The first line of a dial is written to the backend, so the dial may run.
    FirstLineForwarded,
    /// A backend accepted a session.
    SessionEstablished {
        /// The session.
        session_id: SessionId,
        /// The dial's number within the session, from 0.
        dial: u32,
    },
    /// This machine could not start a dial, or its backend drains: it does not count as one.
    DialNotStarted {
        /// The session.
        session_id: SessionId,
        /// The dial's number within the session.
        dial: u32,
    },
    /// A dial ended without an open session.
    DialEnded {
        /// The session.
        session_id: SessionId,
        /// The dial's number within the session.
        dial: u32,
        /// How it ended; `Ok` where the backend served the session to its end at once.
        end: DialEnd,
        /// The backend's load report, where it gave one.
        report: Option<LoadReport>,
    },
    /// An open session ended at its backend's side.
    SessionEnded {
        /// The session.
        session_id: SessionId,
        /// How it ended.
        end: DialEnd,
        /// The backend's load report, where it gave one.
        report: Option<LoadReport>,
    },
    /// A backend reported a load within an open session.
    LoadReported {
        /// The session.
        session_id: SessionId,
        /// The session's load, or a message delay in milliseconds: backends use one word for both.
        load: f64,
    },
    /// A message of an open session was answered.
    MessageLatency {
        /// The session.
        session_id: SessionId,
        /// From the message to its answer.
        time: Micros,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The backend.
        server: ServerId,
        /// How it ended.
        end: DialEnd,
        /// The backend's load report, where it gave one.
        report: Option<LoadReport>,
    },
    /// A watch brought an endpoint list or changes of it.
    EndpointListReceived {
        /// The watch's number.
        watch: u32,
        /// The list, or its changes.
        list: List,
    },
    /// A watch on the endpoint list is over.
    EndpointWatchFailed {
        /// The watch's number.
        watch: u32,
    },
    /// The configuration was read anew and is valid.
    ConfigurationReloaded(Box<Node>),
    /// The configuration was read anew and is invalid, so it is not used.
    ConfigurationRejected,
    /// An operator's request.
    OperatorCall {
        /// The number that the reply carries.
        call: u32,
        /// The request.
        request: OperatorRequest,
    },
    /// Another process took over a session.
    SessionHandedOver {
        /// The session.
        session_id: SessionId,
    },
    /// Another process could not take over a session, which goes on here.
    SessionHandoverFailed {
        /// The session.
        session_id: SessionId,
    },
    /// This process took over an open session of its predecessor.
    SessionAdopted {
        /// The session's number here.
        session_id: SessionId,
        /// What the predecessor knew of it.
        state: Box<SessionState>,
    },
    /// A message or a change of the predecessor or the successor in a hot restart.
    HotRestart(OwnershipEvent),
    /// A datagram, stream or timer of membership.
    Membership(hallrelay_membership::Event),
    /// Writes of the voter are durable.
    VoterWritesDurable {
        /// Which start of the voter in this process wrote them.
        voter_start: u32,
        /// All of its writes up to this number.
        number: u64,
    },
    /// The store was opened again, and what it holds.
    StoreReopened(Box<StoredState>),
    /// How writing to the store goes, as it changes.
    StoreHealth(Box<WriterHealth>),
    /// A timer expired.
    Timer(Timer),
    /// A graceful stop was requested.
    StopRequested,
}

/// The timers that the reducer starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    /// A timer of the balancer, by its label.
    Balancer(u32),
    /// The final answer of a session is due.
    AnswerDeadline(SessionId),
    /// A session that is to be resumed is dialled at its backend again.
    DialResumingSession(SessionId),
    /// The next batch of sessions migrates, in the drain or stop of this number.
    MigrateBatch(u32),
    /// A process that was offered the listening socket was not ready in time.
    HandoverOffer(ProcessId),
    /// What remains here is reported to the successor.
    HandoverProgress,
    /// Something of membership is due.
    Membership,
    /// A timer of the voter, and the round in which it was started.
    Voter(hallrelay_raft::Timer, u32),
    /// This relay reports its status to the leader, or reviews the fleet as the leader.
    LeaderReview,
    /// A pending request of an operator, by its number, is retried.
    PendingRequest(u32),
    /// The endpoint list is watched again where the balancer does not request it.
    RequestEndpointList,
    /// Other relays are polled for the endpoint list while discovery is unavailable.
    PollPeers,
}

/// What the tasks carry out for the reducer, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answers a ping: this relay is ready.
    Pong {
        /// The connection.
        connection_id: SessionId,
    },
    /// Answers a ping: this relay is not ready.
    RejectPing {
        /// The connection.
        connection_id: SessionId,
    },
    /// Answers an operator.
    Reply {
        /// The request's number.
        call: u32,
        /// The reply.
        reply: OperatorReply,
    },
    /// Nothing new may be sent to a backend from now on, or it may again.
    SetDraining {
        /// The backend.
        server: ServerId,
        /// Whether it drains or is removed.
        draining: bool,
    },
    /// Dials a backend for a session.
    Dial {
        /// The session.
        session_id: SessionId,
        /// The dial's number within the session, from 0.
        dial: u32,
        /// The backend; `None` for a session that was open there before this process started.
        server: Option<ServerId>,
        /// The backend's address.
        addr: SocketAddr,
        /// How long the whole dial may take.
        timeout: Micros,
        /// Within this time its first line must start to go out.
        start_within: Micros,
    },
    /// Proxies lines both ways from now on.
    StartProxying {
        /// The session.
        session_id: SessionId,
    },
    /// The final answer of a session that was never forwarded.
    Reject {
        /// The session.
        session_id: SessionId,
        /// When the client may come again; at 0 the answer names no time.
        retry_after: Micros,
    },
    /// The final answer of a session that failed; it may have run.
    TearDown {
        /// The session.
        session_id: SessionId,
    },
    /// Sends `MOVE` to an open session's client, and ends the session.
    Migrate {
        /// The session.
        session_id: SessionId,
    },
    /// Hands an open session over to another process.
    HandOverSession {
        /// The session.
        session_id: SessionId,
        /// The process.
        peer: ProcessId,
        /// What the process has to know of it.
        state: Box<SessionState>,
    },
    /// Answers a protocol violation with an error.
    ReportProtocolError {
        /// The connection.
        connection_id: SessionId,
    },
    /// Ends a connection that is no session, for the place that it takes.
    ShedConnection {
        /// The connection.
        connection_id: SessionId,
    },
    /// The backend of an open session fails its health checks, or answers them again: while it is suspect, an
    /// unanswered message counts as lost sooner.
    SetSuspect {
        /// The session.
        session_id: SessionId,
        /// Whether the backend is suspect.
        suspect: bool,
    },
    /// Ends a client's connection without an answer.
    CloseClient {
        /// The session.
        session_id: SessionId,
    },
    /// Checks a backend's health and load.
    HealthCheck {
        /// The backend.
        server: ServerId,
        /// Its address.
        addr: SocketAddr,
    },
    /// A backend is no longer known: its task for health checks ends.
    ForgetServer {
        /// The backend.
        server: ServerId,
    },
    /// Watches the endpoint list.
    WatchEndpoints {
        /// The watch's number.
        watch: u32,
        /// Where discovery is.
        addr: SocketAddr,
        /// The version that is known; `None` to fetch the whole list first.
        since: Option<u64>,
    },
    /// Ends a watch.
    StopWatch {
        /// The watch's number.
        watch: u32,
    },
    /// Accepts connections, or leaves them to another process.
    SetAccepting {
        /// Whether they are accepted here.
        accepting: bool,
    },
    /// Sends a message to another process of this relay.
    SendToProcess {
        /// The process.
        peer: ProcessId,
        /// The message.
        message: Message,
    },
    /// Ends the connection to another process, after what was sent.
    DisconnectProcess {
        /// The process.
        peer: ProcessId,
    },
    /// Lets other processes request a takeover, or no longer.
    SetTakeoverListener {
        /// Whether they may.
        open: bool,
    },
    /// Writes a record to the store.
    Persist {
        /// The record.
        record: Record,
        /// The session whose dial waits until the record is durable, or for as long as the limits allow.
        before: Option<SessionId>,
    },
    /// Writes records of the voter; `VoterWritesDurable` reports when all of them are durable.
    PersistVoterWrites {
        /// Which start of the voter in this process writes them.
        voter_start: u32,
        /// The number of the write.
        number: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Opens the store as this process's own, or leaves it to another process.
    SetStoreOwnership {
        /// Whether this process owns it.
        owned: bool,
    },
    /// An effect of membership.
    Membership(hallrelay_membership::Effect),
    /// Writes a line to the log.
    Log {
        /// The line.
        message: String,
    },
    /// Ends the process with an error.
    Abort {
        /// Why.
        reason: String,
    },
    /// The limits and the order of report fields that tasks use from now on.
    ApplyTuning {
        /// The limits.
        limits: Box<Limits>,
        /// How the fields of load reports are read.
        order: ReportOrder,
    },
    /// A key changed in the reloaded configuration, and takes effect at the next start only.
    RestartRequired {
        /// The key's path.
        key: &'static str,
    },
    /// Starts a timer.
    StartTimer {
        /// When it expires, from now.
        after: Micros,
        /// The timer.
        timer: Timer,
    },
    /// Ends the process.
    Exit,
}
