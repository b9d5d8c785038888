//! The reducer's interface: its events, its effects, and the requests and replies of operators. Times are
//! durations in microseconds unless a field is documented otherwise.
//!
//! `session_id` and `connection_id` number clients' connections in one sequence: a connection keeps its
//! number when it becomes a session. With `-vv` the log has the `Debug` form of events and effects, which
//! `hallrelay-lab losses` parses.
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

/// An operator's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// Is this relay ready for sessions?
    Readiness,
    /// The metrics of this process.
    Metrics,
    /// The members of the fleet as this relay sees them.
    Membership,
    /// The leases and the disruption budgets.
    Leases,
    /// Drain this relay, or a backend for the entire fleet.
    Drain(Box<DrainRequest>),
    /// End this relay's drain.
    Activate,
    /// Commit a command to the replicated log.
    Propose {
        /// The command.
        command: Box<Command>,
        /// The answer once the command is committed.
        confirmation: String,
    },
    /// The status of the rollout.
    Rollout,
}

/// The reply to an operator's request.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorReply {
    /// The request was carried out, or the answer is yes.
    Accepted(LifecycleStatus),
    /// The relay is not ready at the moment.
    Unavailable(LifecycleStatus),
    /// The request is not possible in this state of the relay.
    Conflict(LifecycleStatus),
    /// The request was not granted or not committed, for this reason.
    Blocked(String),
    /// The command is committed. The text confirms that to the operator.
    Committed(String),
    /// The leases or the rollout as JSON; `None` if no voters are configured, or there is no rollout.
    Leases(Option<String>),
    /// The metrics.
    Metrics(Box<Metrics>),
    /// The fleet's status; `None` if no fleet is configured.
    Membership(Option<Box<Status>>),
}

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client connected.
    ClientConnected {
        /// The client's connection.
        connection_id: SessionId,
    },
    /// A part of a client's first line was received.
    FirstLineStarted {
        /// The client's connection.
        connection_id: SessionId,
    },
    /// A client sent `PING` to learn whether this relay is ready.
    Ping {
        /// The connection.
        connection_id: SessionId,
    },
    /// A client's first line is complete.
    SessionRequested {
        /// The session that the connection becomes.
        session_id: SessionId,
        /// The parsed line.
        open: SessionRequest,
        /// The rest of the client's timeout.
        time_remaining: Micros,
    },
    /// A client violated the protocol, or did not send its first line in time.
    ProtocolViolation {
        /// The connection.
        connection_id: SessionId,
    },
    /// A client's connection has ended.
    ClientDisconnected {
        /// The connection, which may or may not be a session.
        session_id: SessionId,
    },
    /// A client closed its sending side while it waited for its final answer. The client may have left, or
    /// may still read.
    ClientHalfClosed {
        /// The session.
        session_id: SessionId,
    },
    /// The first line of a dial was written to the backend, so the session may run there.
    FirstLineForwarded,
    /// A backend accepted a session.
    SessionEstablished {
        /// The session.
        session_id: SessionId,
        /// The dial's number within the session, from 0.
        dial: u32,
    },
    /// A dial was not started, since this machine could not connect, or since the backend drains. Such a dial
    /// is not counted as a dial of the session.
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
        /// How it ended; `Ok` if the backend served the session to its end immediately.
        end: DialEnd,
        /// The backend's load report, if it sent one.
        report: Option<LoadReport>,
    },
    /// The backend ended an open session.
    SessionEnded {
        /// The session.
        session_id: SessionId,
        /// How it ended.
        end: DialEnd,
        /// The backend's load report, if it sent one.
        report: Option<LoadReport>,
    },
    /// A backend reported a load within an open session.
    LoadReported {
        /// The session.
        session_id: SessionId,
        /// The session's load, or its message delay in milliseconds: backends use the same word for both.
        load: f64,
    },
    /// A message of an open session was answered.
    MessageLatency {
        /// The session.
        session_id: SessionId,
        /// The time from the message to its answer.
        time: Micros,
    },
    /// A health check ended.
    HealthCheckEnded {
        /// The backend.
        server: ServerId,
        /// How it ended.
        end: DialEnd,
        /// The backend's load report, if it sent one.
        report: Option<LoadReport>,
    },
    /// A watch delivered an endpoint list, or changes to it.
    EndpointListReceived {
        /// The watch's number.
        watch: u32,
        /// The list, or the changes.
        list: List,
    },
    /// A watch was opened and has no changes to deliver.
    EndpointListUnchanged {
        /// The watch's number.
        watch: u32,
    },
    /// A watch on the endpoint list has ended.
    EndpointWatchFailed {
        /// The watch's number.
        watch: u32,
        /// Why it has ended.
        failure: WatchFailure,
    },
    /// The configuration was reloaded and is valid.
    ConfigurationReloaded(Box<Node>),
    /// The configuration was reloaded and is invalid, so it is not used.
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
    /// Another process could not take over a session, which continues in this process.
    SessionHandoverFailed {
        /// The session.
        session_id: SessionId,
    },
    /// This process took over an open session of its predecessor.
    SessionAdopted {
        /// The session's number here.
        session_id: SessionId,
        /// The predecessor's state of the session.
        state: Box<SessionState>,
    },
    /// An event of a hot restart, concerning the predecessor or the successor.
    HotRestart(OwnershipEvent),
    /// A datagram, stream or timer of membership.
    Membership(hallrelay_membership::Event),
    /// Writes of the voter are durable.
    VoterWritesDurable {
        /// The start of the voter, counted in this process, that made the writes.
        voter_start: u32,
        /// The number of the last write that is durable; all earlier ones are as well.
        number: u64,
    },
    /// The store was reopened; its content.
    StoreReopened(Box<StoredState>),
    /// The health of writes to the store has changed.
    StoreHealth(Box<WriterHealth>),
    /// A timer expired.
    Timer(Timer),
    /// A graceful stop was requested.
    StopRequested,
}

/// Why a watch on the endpoint list has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFailure {
    /// Nothing accepts connections at the address of discovery.
    Refused,
    /// Discovery did not answer in time, answered with an error, or ended the call.
    Failed,
}

/// The timers that the reducer starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Timer {
    /// A timer of the balancer, by its label.
    Balancer(u32),
    /// The final answer of a session is due.
    AnswerDeadline(SessionId),
    /// The next dial to the backend of a session that is to be resumed is due.
    DialResumingSession(SessionId),
    /// The next batch of sessions is to be migrated, in the drain or stop with this number.
    MigrateBatch(u32),
    /// A process that was offered the listening socket was not ready in time.
    HandoverOffer(ProcessId),
    /// The next report to the successor on what remains in this process is due.
    HandoverProgress,
    /// Membership's next step is due.
    Membership,
    /// A timer of the voter, and the round in which it was started.
    Voter(hallrelay_raft::Timer, u32),
    /// This relay's next report to the voters is due, and its next review of the fleet if it is the leader.
    LeaderReview,
    /// The next proposal of an operator's pending request is due, by the number of the call.
    PendingRequest(u32),
    /// The store, which another process has written, was not opened in time.
    StoreOpenTimeout,
    /// Discovery has not answered a starting process in time.
    FirstListTimeout,
    /// A failed watch on the endpoint list is to be reopened, if the balancer does not request that itself.
    RequestEndpointList,
    /// The next poll of other relays for the endpoint list is due, while discovery is unavailable.
    PollPeers,
}

/// An output of the reducer. The tasks carry out effects in order.
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
    /// Forbids sending anything new to a backend, or allows it again.
    SetDraining {
        /// The backend.
        server: ServerId,
        /// Whether the backend drains or is removed.
        draining: bool,
    },
    /// Dials a backend for a session.
    Dial {
        /// The session.
        session_id: SessionId,
        /// The dial's number within the session, from 0.
        dial: u32,
        /// The backend; `None` for a session that is resumed at the backend at which it was open before this
        /// process started. That dial is made even if the backend drains.
        server: Option<ServerId>,
        /// The backend's address.
        addr: SocketAddr,
        /// The timeout of the complete dial.
        timeout: Micros,
        /// The time within which the first line must begin to be sent.
        start_within: Micros,
    },
    /// Starts to proxy lines in both directions.
    StartProxying {
        /// The session.
        session_id: SessionId,
    },
    /// Sends the final answer of a session that was never forwarded.
    Reject {
        /// The session.
        session_id: SessionId,
        /// The delay after which the client may retry; 0 to name none.
        retry_after: Micros,
    },
    /// Sends the final answer of a session that failed and may have run.
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
        /// The session's state for that process.
        state: Box<SessionState>,
    },
    /// Answers a protocol violation with an error.
    ReportProtocolError {
        /// The connection.
        connection_id: SessionId,
    },
    /// Ends a connection that is not a session, to make room for others.
    ShedConnection {
        /// The connection.
        connection_id: SessionId,
    },
    /// Marks the backend of an open session as suspect, since it fails its health checks, or clears the mark.
    /// While the backend is suspect, an unanswered message counts as lost sooner.
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
    /// Ends the health checks of a backend that was removed.
    ForgetServer {
        /// The backend.
        server: ServerId,
    },
    /// Watches the endpoint list.
    WatchEndpoints {
        /// The watch's number.
        watch: u32,
        /// The address of the discovery service.
        addr: SocketAddr,
        /// The known version; `None` to fetch the complete list first.
        since: Option<u64>,
    },
    /// Ends a watch.
    StopWatch {
        /// The watch's number.
        watch: u32,
    },
    /// Accepts connections, or leaves them to another process.
    SetAccepting {
        /// Whether this process accepts them.
        accepting: bool,
    },
    /// Sends a message to another process of this relay.
    SendToProcess {
        /// The process.
        peer: ProcessId,
        /// The message.
        message: Message,
    },
    /// Ends the connection to another process after all messages were sent.
    DisconnectProcess {
        /// The process.
        peer: ProcessId,
    },
    /// Allows or forbids other processes to request a takeover.
    SetTakeoverListener {
        /// Whether requests are accepted.
        open: bool,
    },
    /// Writes a record to the store.
    Persist {
        /// The record.
        record: Record,
        /// The session whose next dial waits until the record is durable, or until the limit of that wait.
        before: Option<SessionId>,
    },
    /// Writes records of the voter. `VoterWritesDurable` reports when all of them are durable.
    PersistVoterWrites {
        /// The start of the voter, counted in this process, that makes the write.
        voter_start: u32,
        /// The number of the write.
        number: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Opens the store for this process, or leaves it to another one.
    SetStoreOwnership {
        /// Whether this process owns the store.
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
        /// The error.
        reason: String,
    },
    /// Sets the limits and the order of report fields for all tasks.
    ApplyTuning {
        /// The limits.
        limits: Box<Limits>,
        /// The names of the fields in load reports.
        order: ReportOrder,
    },
    /// Logs that a key changed in the reloaded configuration and takes effect only at the next start.
    RestartRequired {
        /// The key's path.
        key: &'static str,
    },
    /// Starts a timer.
    StartTimer {
        /// The time until it expires.
        after: Micros,
        /// The timer.
        timer: Timer,
    },
    /// Ends the process.
    Exit,
}
