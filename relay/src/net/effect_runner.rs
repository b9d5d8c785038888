//! Carries out the reducer's effects: commands to connections, timers, health checks, endpoint watches,
//! writes to the store, messages to other processes, and replies to operators.
use super::dial_permit::DialConditions;
use super::membership::MembershipSockets;
use super::operator::OperatorCall;
use super::processes::ProcessCommand;
use super::state_store::StateStore;
use super::{discovery, health_check, hot_restart, Command, Hub, Tuning};
use crate::lines;
use crate::reducer::{Effect, Event, OperatorReply, Timer};
use hallrelay_balancer::types::{Micros, ServerId, SessionId};
use hallrelay_config::facts::ReportOrder;
use hallrelay_config::limits::Limits;
use hallrelay_hot_restart::{Message, ProcessId};
use hallrelay_membership::Effect as MembershipEffect;
use hallrelay_recovery::Record;
use hallrelay_store::writer::WriterHealth;
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// When a timer expires, and a number that orders timers with the same expiry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct TimerKey {
    at: Micros,
    number: u64,
}

/// A dial that waits until a record is durable in the store.
struct WaitingDial {
    /// The record's number in the store.
    ticket: u64,
    /// The dial is sent at the latest at this time, durable or not, so that service does not depend on a
    /// disk.
    until: Micros,
    session_id: SessionId,
    command: Command,
}

/// A write of the voter that is not durable yet.
struct PendingVoterWrite {
    /// The number of its last record in the store.
    ticket: u64,
    voter_start: u32,
    number: u64,
}

/// The path to which a successor connects, and the listening socket that it is offered.
pub(super) struct TakeoverSocket {
    pub path: PathBuf,
    pub listening_socket: Rc<TcpListener>,
    /// The task that accepts connections of processes, while it runs.
    pub task: Option<AbortHandle>,
}

/// Carries out effects, with the state that this requires.
pub(super) struct EffectRunner {
    hub: Hub,
    timers: BTreeMap<TimerKey, Timer>,
    /// The last number that was assigned to a timer or an operator's call.
    last_number: u64,
    health_checks: BTreeMap<ServerId, mpsc::Sender<SocketAddr>>,
    watches: BTreeMap<u32, AbortHandle>,
    /// Operators' calls that are not answered yet.
    calls: BTreeMap<u32, oneshot::Sender<OperatorReply>>,
    /// Whether this process accepts clients' connections.
    accepting: watch::Sender<bool>,
    takeover: Option<TakeoverSocket>,
    membership_sockets: Option<MembershipSockets>,
    state_store: Option<StateStore>,
    /// For each session, the record that its next dial waits for.
    records_before_dials: BTreeMap<SessionId, u64>,
    waiting_dials: VecDeque<WaitingDial>,
    pending_voter_writes: VecDeque<PendingVoterWrite>,
    exit: Option<io::Result<()>>,
}

impl EffectRunner {
    pub fn new(
        hub: Hub,
        accepting: watch::Sender<bool>,
        takeover: Option<TakeoverSocket>,
        membership_sockets: Option<MembershipSockets>,
        state_store: Option<StateStore>,
    ) -> EffectRunner {
        EffectRunner {
            hub,
            timers: BTreeMap::new(),
            last_number: 0,
            health_checks: BTreeMap::new(),
            watches: BTreeMap::new(),
            calls: BTreeMap::new(),
            accepting,
            takeover,
            membership_sockets,
            state_store,
            records_before_dials: BTreeMap::new(),
            waiting_dials: VecDeque::new(),
            pending_voter_writes: VecDeque::new(),
            exit: None,
        }
    }

    /// Takes the result with which the process is to end, if it is to end.
    pub fn take_exit(&mut self) -> Option<io::Result<()>> {
        self.exit.take()
    }

    /// Returns true until the process is to end.
    pub fn is_running(&self) -> bool {
        self.exit.is_none()
    }

    /// Returns when the next timer or waiting dial is due.
    pub fn next_wake(&self) -> Micros {
        let timer = self.timers.first_key_value().map_or(Micros::MAX / 2, |(key, _)| key.at);
        self.waiting_dials.front().map_or(timer, |dial| dial.until.min(timer))
    }

    /// Removes and returns the next timer that has expired by `now`.
    pub fn expired_timer(&mut self, now: Micros) -> Option<Timer> {
        let first = self.timers.first_entry().filter(|first| first.key().at <= now)?;
        Some(first.remove())
    }

    /// Registers the reply channel of an operator's call; returns the event for the reducer.
    pub fn register_call(&mut self, call: OperatorCall) -> Event {
        self.last_number += 1;
        let id = self.last_number as u32;
        self.calls.insert(id, call.reply);
        Event::OperatorCall { call: id, request: call.request }
    }

    /// Logs an error of the store's writer; returns the event for the reducer.
    pub fn store_health_changed(&mut self, health: WriterHealth) -> Event {
        if let Some(error) = &health.last_error {
            let failures = health.failures;
            slog::warn!(self.hub.log, "state not stored, {} failures so far", failures; "error" => error);
        }
        Event::StoreHealth(Box::new(health))
    }

    /// Removes the next write of the voter that is durable; returns the event for the reducer.
    pub fn durable_voter_write(&mut self) -> Option<Event> {
        let durable = self.state_store.as_ref()?.durable_ticket();
        let write = self.pending_voter_writes.pop_front_if(|write| write.ticket <= durable)?;
        Some(Event::VoterWritesDurable { voter_start: write.voter_start, number: write.number })
    }

    /// Sends the dials whose waiting time is over, or whose record is durable or cannot be stored.
    pub fn send_waiting_dials(&mut self, now: Micros) {
        let Some(store) = &self.state_store else { return };
        let is_ready = |dial: &mut WaitingDial| dial.until <= now || store.is_settled(dial.ticket);
        while let Some(dial) = self.waiting_dials.pop_front_if(is_ready) {
            self.hub.command(dial.session_id, dial.command);
        }
    }

    /// Carries out effects in order.
    pub fn carry_out_all(&mut self, effects: &mut Vec<Effect>) {
        for effect in effects.drain(..) {
            slog::trace!(self.hub.log, "effect"; "what" => ?effect);
            self.carry_out(effect);
        }
    }

    /// Cleans up after the event loop: removes the takeover socket's path, at which this process no longer
    /// answers, and closes the store.
    pub fn finish(&mut self) {
        if let Some(takeover) = self.takeover.take().filter(|takeover| takeover.task.is_some()) {
            _ = std::fs::remove_file(takeover.path);
        }
        self.state_store.iter_mut().for_each(StateStore::finish);
    }

    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::Pong { connection_id } => self.hub.command(connection_id, Command::Pong(lines::PONG)),
            Effect::RejectPing { connection_id } => {
                self.hub.command(connection_id, Command::Pong(lines::BUSY));
            }
            Effect::Reply { call, reply } => self.reply(call, reply),
            Effect::SetDraining { server, draining } => self.set_draining(server, draining),
            Effect::Dial { session_id, dial, server, addr, timeout, start_within } => {
                let conditions = DialConditions { server, start_by: self.hub.clock.now() + start_within };
                self.dial(session_id, Command::Dial { dial, addr, timeout, conditions });
            }
            Effect::StartProxying { session_id } => self.hub.command(session_id, Command::StartProxying),
            Effect::Reject { session_id, retry_after } => {
                self.final_answer(session_id, lines::busy(retry_after / 1000));
            }
            Effect::TearDown { session_id } => self.final_answer(session_id, lines::FAIL.to_vec()),
            Effect::Migrate { session_id } => self.hub.command(session_id, Command::Migrate),
            Effect::HandOverSession { session_id, peer: process, state } => {
                self.hub.command(session_id, Command::HandOver(process, state));
            }
            Effect::ReportProtocolError { connection_id } => {
                self.hub.command(connection_id, Command::FinalAnswer(lines::ERROR.to_vec()));
            }
            Effect::ShedConnection { connection_id } => self.hub.command(connection_id, Command::Shed),
            Effect::SetSuspect { session_id, suspect } => {
                self.hub.command(session_id, Command::SetSuspect(suspect));
            }
            Effect::CloseClient { session_id } => self.close_client(session_id),
            Effect::HealthCheck { server, addr } => self.check_health(server, addr),
            Effect::ForgetServer { server } => _ = self.health_checks.remove(&server),
            Effect::WatchEndpoints { watch, addr, since } => self.watch_endpoints(watch, addr, since),
            Effect::StopWatch { watch } => _ = self.watches.remove(&watch).inspect(AbortHandle::abort),
            Effect::ApplyTuning { limits, order } => self.apply_tuning(*limits, order),
            Effect::RestartRequired { key } => {
                slog::warn!(self.hub.log, "changed setting takes effect only after a restart"; "key" => key);
            }
            Effect::StartTimer { after, timer } => self.start_timer(after, timer),
            Effect::SetAccepting { accepting } => _ = self.accepting.send(accepting),
            Effect::SendToProcess { peer: process, message } => self.send_to_process(process, message),
            // Messages that are already queued are still sent.
            Effect::DisconnectProcess { peer: process } => {
                _ = self.hub.processes.borrow_mut().remove(&process)
            }
            Effect::SetTakeoverListener { open: true } => self.open_takeover_listener(),
            Effect::SetTakeoverListener { open: false } => self.stop_takeover_listener(),
            Effect::Persist { record, before } => self.persist(record, before),
            Effect::PersistVoterWrites { voter_start, number, records } => {
                self.persist_voter_writes(voter_start, number, records);
            }
            Effect::SetStoreOwnership { owned: true } => self.open_store(),
            Effect::SetStoreOwnership { owned: false } => self.close_store(),
            Effect::Membership(effect) => self.carry_out_membership(effect),
            Effect::Log { message } => slog::info!(self.hub.log, "{}", message),
            Effect::Abort { reason } => self.abort(&reason),
            Effect::Exit => self.exit = Some(Ok(())),
        }
    }

    fn reply(&mut self, call: u32, mut reply: OperatorReply) {
        if let OperatorReply::Metrics(metrics) = &mut reply {
            metrics.denials = self.hub.denials.counts();
        }
        // The caller may have disconnected.
        _ = self.calls.remove(&call).map(|caller| caller.send(reply));
    }

    fn set_draining(&self, server: ServerId, draining: bool) {
        let mut all = self.hub.draining.borrow_mut();
        if draining {
            all.insert(server);
        } else {
            all.remove(&server);
        }
    }

    /// Sends a dial, or queues it until the record that it waits for is durable.
    fn dial(&mut self, session_id: SessionId, command: Command) {
        let ticket = self.records_before_dials.remove(&session_id);
        let is_pending = |ticket: &u64| self.state_store.as_ref().is_some_and(|s| !s.is_settled(*ticket));
        match ticket.filter(is_pending) {
            Some(ticket) => {
                let until = self.hub.clock.now() + self.hub.limits().state_write_timeout;
                self.waiting_dials.push_back(WaitingDial { ticket, until, session_id, command });
            }
            None => self.hub.command(session_id, command),
        }
    }

    /// Sends a final answer. A dial that still waits for its record is dropped: after the final answer
    /// nothing may be sent for the session.
    fn final_answer(&mut self, session_id: SessionId, line: Vec<u8>) {
        self.cancel_waiting_dial(session_id);
        self.hub.command(session_id, Command::FinalAnswer(line));
    }

    /// Closes a connection without an answer, and drops a dial of it that still waits for its record.
    fn close_client(&mut self, session_id: SessionId) {
        self.cancel_waiting_dial(session_id);
        self.hub.command(session_id, Command::Close);
    }

    fn cancel_waiting_dial(&mut self, session_id: SessionId) {
        self.waiting_dials.retain(|dial| dial.session_id != session_id);
    }

    fn check_health(&mut self, server: ServerId, addr: SocketAddr) {
        let keep_connection = self.health_checks.len() < self.hub.limits().max_probe_connections;
        let requests = self.health_checks.entry(server).or_insert_with(|| {
            // The balancer requests one check per server at a time.
            let (to, requests) = mpsc::channel(1);
            tokio::task::spawn_local(health_check::run(server, keep_connection, requests, self.hub.clone()));
            to
        });
        if requests.try_send(addr).is_err() {
            slog::warn!(
                self.hub.log, "health check of {} skipped: another is still running", addr;
                "server" => server
            );
        }
    }

    fn apply_tuning(&self, limits: Limits, report_order: ReportOrder) {
        *self.hub.tuning.borrow_mut() = Tuning { limits: Rc::new(limits), report_order };
    }

    fn watch_endpoints(&mut self, watch: u32, addr: SocketAddr, since: Option<u64>) {
        let task = discovery::run(watch, addr, since, self.hub.clone());
        self.watches.insert(watch, tokio::task::spawn_local(task).abort_handle());
    }

    fn start_timer(&mut self, after: Micros, timer: Timer) {
        self.last_number += 1;
        let key = TimerKey { at: self.hub.clock.now() + after, number: self.last_number };
        self.timers.insert(key, timer);
    }

    fn send_to_process(&self, process: ProcessId, message: Message) {
        let processes = self.hub.processes.borrow();
        let command = ProcessCommand::Send(message);
        if processes.get(&process).is_none_or(|channel| channel.try_send(command).is_err()) {
            slog::warn!(self.hub.log, "hot restart message dropped: queue closed or full"; "peer" => process);
        }
    }

    fn open_takeover_listener(&mut self) {
        let Some(takeover) = &mut self.takeover else { return };
        let path = takeover.path.clone();
        let accept = hot_restart::accept_processes(path, takeover.listening_socket.clone(), self.hub.clone());
        let task = tokio::task::spawn_local(accept).abort_handle();
        takeover.task.replace(task).inspect(AbortHandle::abort);
    }

    /// Stops accepting processes. The path stays, because the other process binds it from now on.
    fn stop_takeover_listener(&mut self) {
        let task = self.takeover.as_mut().and_then(|takeover| takeover.task.take());
        task.inspect(AbortHandle::abort);
    }

    fn persist(&mut self, record: Record, before: Option<SessionId>) {
        let ticket = self.state_store.as_ref().and_then(|store| store.persist(record));
        if let (Some(session_id), Some(ticket)) = (before, ticket) {
            self.records_before_dials.insert(session_id, ticket);
        }
    }

    fn persist_voter_writes(&mut self, voter_start: u32, number: u64, records: Vec<Record>) {
        let Some(store) = &self.state_store else { return };
        let tickets: Vec<Option<u64>> = records.into_iter().map(|record| store.persist(record)).collect();
        // If the store does not accept a record, the write is never reported as durable. The voter then waits
        // and does not vote, since a vote that is not durable could be given twice.
        if let Some(tickets) = tickets.into_iter().collect::<Option<Vec<u64>>>() {
            let ticket = tickets.into_iter().max().unwrap_or(0);
            self.pending_voter_writes.push_back(PendingVoterWrite { ticket, voter_start, number });
        }
    }

    /// Opens the store, which this process now owns, and reports its content to the reducer, which already
    /// knows most of it.
    fn open_store(&mut self) {
        let Some(store) = &mut self.state_store else { return };
        let opened = store.open();
        let hub = self.hub.clone();
        tokio::task::spawn_local(async move {
            if let Ok(stored) = opened.await {
                hub.notify(Event::StoreReopened(Box::new(stored))).await;
            }
        });
    }

    fn close_store(&mut self) {
        self.state_store.iter_mut().for_each(StateStore::close);
    }

    /// Ends this process, whose takeover failed.
    fn abort(&mut self, reason: &str) {
        let reason = format!("takeover failed, the running process continues to serve: {reason}");
        self.exit = Some(Err(io::Error::other(reason)));
    }

    fn carry_out_membership(&mut self, effect: MembershipEffect) {
        let Some(sockets) = &mut self.membership_sockets else { return };
        match effect {
            MembershipEffect::SetListening { enabled } => sockets.set_listening(enabled),
            MembershipEffect::SendDatagram { to, bytes } => sockets.send_datagram(to, &bytes),
            MembershipEffect::OpenStream { to, bytes } => sockets.open_stream(to, bytes),
            MembershipEffect::ReplyOnStream { stream, bytes } => sockets.reply(stream, bytes),
            // The reducer has already carried these out.
            MembershipEffect::SetTimer { .. }
            | MembershipEffect::Log { .. }
            | MembershipEffect::MemberChanged { .. }
            | MembershipEffect::EndpointListRequested { .. }
            | MembershipEffect::EndpointListReceived { .. }
            | MembershipEffect::UserMessageReceived { .. } => {}
        }
    }
}
