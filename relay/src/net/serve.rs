//! Runs the relay: events go to the reducer in order of arrival, its effects to the tasks.
use super::dial_permit::DialConditions;
use super::state_store::StateStore;
use super::{
    accept, discovery, health_check, hot_restart, listener, membership, operator, processes, signals,
    Command, Hub,
};
use crate::clock::span;
use crate::lines;
use crate::reducer::{Effect, Event, OperatorReply, Reducer, Timer};
use hallrelay_balancer::types::{Micros, ServerId, SessId};
use hallrelay_config::node::Node;
use hallrelay_membership::Effect as MembershipEffect;
use hallrelay_store::writer::WriterHealth;
use std::collections::{BTreeMap, VecDeque};
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::sleep_until;

/// What carries the effects out, and the little that this takes: timers, probe tasks, the watch.
struct Hands {
    hub: Hub,
    /// By time, and in order of asking.
    alarms: BTreeMap<(Micros, u64), Timer>,
    asked: u64,
    probes: BTreeMap<ServerId, mpsc::Sender<SocketAddr>>,
    watches: BTreeMap<u32, AbortHandle>,
    /// Operators' calls that are not yet answered.
    calls: BTreeMap<u32, oneshot::Sender<OperatorReply>>,
    /// Whether connections are taken here; other processes, and where they come.
    taking: watch::Sender<bool>,
    takeover: Option<TakeoverListener>,
    membership_sockets: Option<membership::MembershipSockets>,
    state_store: Option<StateStore>,
    /// Dials that wait for a fact to be written: by session its number; till when, and what then goes out.
    tickets: BTreeMap<SessId, u64>,
    waiting: VecDeque<(u64, Micros, SessId, Command)>,
    /// What a voter promises and is not written yet: the store's number, its life and its own.
    vows: VecDeque<(u64, u32, u64)>,
    exit: Option<std::io::Result<()>>,
}

/// Where the next process may connect, and the listener that it is offered.
struct TakeoverListener {
    path: PathBuf,
    listener: Rc<TcpListener>,
    task: Option<AbortHandle>,
}

/// Serves until it is told to stop and is empty.
pub async fn run<E: Display + 'static>(
    node: Node,
    read_configuration: impl Fn() -> Result<Node, E> + 'static,
    log: slog::Logger,
) -> std::io::Result<()> {
    let signals = signals::Signals::install()?;
    signals::unblock();
    let limits = node.limits;
    let (hub, mut arrived) = Hub::new(limits, node.site.report, log.clone());
    let clock = hub.clock;
    // A wave of clients that return at once waits here, and not for its own next try.
    const BACKLOG: u32 = 1024;
    // Only where operators run it: without a second address nobody could tell when a new process is ready.
    let no_path = |error: &hot_restart::PathError| {
        slog::warn!(log, "no other process can take over from this one"; "error" => %error);
    };
    let takeover_path = node.operator.and_then(|_| hot_restart::socket_path(&node).inspect_err(no_path).ok());
    let offer = takeover_path.as_deref().map_or(Ok(None), |path| hot_restart::request_takeover(path, &node));
    let offer = offer.map_err(std::io::Error::other)?;
    let (before, listener) = match offer {
        Some(offer) => (Some(offer.stream), listener::from_std(offer.listener)?),
        None => (None, listener::bind(node.listen, BACKLOG).await?),
    };
    let listener = Rc::new(listener);
    let (to_calls, mut calls) = mpsc::channel(limits.callers);
    if let Some(place) = node.operator {
        // Guards a caller that comes behind a crowd: where the queue is full its first packet is dropped, and
        // the next one comes a second later.
        let listener = listener::bind(place, BACKLOG).await?;
        tokio::task::spawn_local(operator::run(listener, to_calls, hub.clone()));
    }
    let membership_sockets = match &node.fleet {
        None => None,
        // The process before this one has the port till it gives its place.
        Some(config) if before.is_some() => {
            Some(membership::MembershipSockets::new(config.clone(), None, hub.clone()))
        }
        Some(config) => {
            let bound = membership::bind(config.listen).await?;
            Some(membership::MembershipSockets::new(config.clone(), Some(bound), hub.clone()))
        }
    };
    let mut state_store = node.state.as_deref().map(|path| StateStore::new(path, limits.state_bytes));
    let mut health = state_store.as_ref().map(StateStore::watch_health);
    let mut stored = None;
    if let Some(store) = state_store.as_mut().filter(|_| before.is_none()) {
        stored = tokio::time::timeout(span(limits.state_open), store.open()).await.ok().and_then(Result::ok);
        if stored.is_none() {
            slog::warn!(log, "the state store was not opened in time: this relay starts without its state");
        }
    }
    slog::info!(log, "serving"; "name" => &node.name, "listen" => %node.listen, "limits" => ?limits);

    let (taking, taken) = watch::channel(false);
    let mut hands = Hands {
        hub: hub.clone(),
        alarms: BTreeMap::new(),
        asked: 0,
        probes: BTreeMap::new(),
        watches: BTreeMap::new(),
        calls: BTreeMap::new(),
        taking,
        takeover: takeover_path.map(|path| TakeoverListener { path, listener: listener.clone(), task: None }),
        membership_sockets,
        state_store,
        tickets: BTreeMap::new(),
        waiting: VecDeque::new(),
        vows: VecDeque::new(),
        exit: None,
    };
    tokio::task::spawn_local(accept::run(listener, taken, hub.clone()));
    let before = before.map(|talk| hot_restart::begin(talk, &hub)).transpose()?;
    let (mut reducer, mut effects) = (Reducer::new(node, before), Vec::new());
    stored.into_iter().for_each(|stored| reducer.load_state(stored));
    reducer.start(clock.now(), &mut effects);
    hands.carry_out(&mut effects);
    tokio::task::spawn_local(signals::run(signals, read_configuration, hub));
    while hands.exit.is_none() {
        let next = hands.alarms.first_key_value().map_or(Micros::MAX / 2, |((at, _), _)| *at);
        let next = hands.waiting.front().map_or(next, |wait| wait.1.min(next));
        let event = tokio::select! {
            biased;
            // Before all that waits from sessions: a crowd of these may not delay an operator.
            Some(call) = calls.recv() => Some(hands.called(call)),
            event = arrived.recv() => event,
            Some(now) = changed(&mut health) => Some(hands.store_told(now)),
            () = sleep_until(clock.at(next)) => None,
        };
        let now = clock.now();
        hands.dial_on(now);
        if let Some(event) = event {
            slog::trace!(log, "event"; "what" => ?event);
            reducer.step(now, event, &mut effects);
            hands.carry_out(&mut effects);
        }
        while let Some((life, number)) = hands.vowed() {
            reducer.step(now, Event::VoterWritesDurable { life, number }, &mut effects);
            hands.carry_out(&mut effects);
        }
        while let Some(alarm) = hands.due(now) {
            reducer.step(now, Event::Timer(alarm), &mut effects);
            hands.carry_out(&mut effects);
        }
    }
    let ended = hands.exit.take().unwrap_or(Ok(()));
    slog::info!(log, "stopping"; "well" => ended.is_ok());
    hands.close_takeover_listener();
    hands.state_store.iter_mut().for_each(StateStore::finish);
    ended
}

/// How the store does, as that changes; never where there is none.
async fn changed(health: &mut Option<watch::Receiver<WriterHealth>>) -> Option<WriterHealth> {
    match health {
        Some(health) => {
            // The store lives as long as the program.
            health.changed().await.ok()?;
            Some(health.borrow_and_update().clone())
        }
        None => std::future::pending().await,
    }
}

impl Hands {
    fn called(&mut self, call: operator::OperatorCall) -> Event {
        self.asked += 1;
        let id = self.asked as u32;
        self.calls.insert(id, call.reply);
        Event::OperatorCall { call: id, what: call.request }
    }

    fn store_told(&mut self, now: WriterHealth) -> Event {
        if let Some(why) = &now.last_error {
            slog::warn!(self.hub.log, "the state can't be written"; "error" => why);
        }
        Event::StoreHealth(Box::new(now))
    }

    /// A voter's promise that is on the disk.
    fn vowed(&mut self) -> Option<(u32, u64)> {
        let durable = self.state_store.as_ref()?.durable_ticket();
        let (_, life, number) = self.vows.pop_front_if(|vow| vow.0 <= durable)?;
        Some((life, number))
    }

    /// Lets dials go whose fact is written, or has taken too long: service does not wait for a disk.
    fn dial_on(&mut self, now: Micros) {
        let Some(store) = &self.state_store else { return };
        while self
            .waiting
            .front()
            .is_some_and(|(ticket, until, ..)| *until <= now || store.is_settled(*ticket))
        {
            if let Some((_, _, session_id, dial)) = self.waiting.pop_front() {
                self.hub.command(session_id, dial);
            }
        }
    }

    fn due(&mut self, now: Micros) -> Option<Timer> {
        let first = self.alarms.first_entry().filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    fn carry_out(&mut self, effects: &mut Vec<Effect>) {
        for effect in effects.drain(..) {
            if let Effect::Reject { session_id, .. }
            | Effect::TearDown { session_id }
            | Effect::CloseClient { session_id } = &effect
            {
                // Its dial never went out, and nothing is sent for it after its answer.
                self.waiting.retain(|wait| wait.2 != *session_id);
            }
            slog::trace!(self.hub.log, "effect"; "what" => ?effect);
            match effect {
                Effect::Pong { connection_id } => self.hub.command(connection_id, Command::Pong(lines::PONG)),
                Effect::RejectPing { connection_id } => {
                    self.hub.command(connection_id, Command::Pong(lines::BUSY))
                }
                Effect::Reply { call, mut reply } => {
                    if let OperatorReply::Metrics(figures) = &mut reply {
                        figures.denials = self.hub.denials.counts();
                    }
                    // Who asked may be gone by now.
                    _ = self.calls.remove(&call).map(|answer| answer.send(reply));
                }
                Effect::SetDraining { server, leaves: true } => {
                    _ = self.hub.leaving.borrow_mut().insert(server)
                }
                Effect::SetDraining { server, leaves: false } => {
                    self.hub.leaving.borrow_mut().remove(&server);
                }
                Effect::Dial { session_id, dial, server, addr, wait, begin } => {
                    let terms = DialConditions { server, start_by: self.hub.clock.now() + begin };
                    let command = Command::Dial { dial, addr, wait, terms };
                    let ticket = self.tickets.remove(&session_id);
                    let unwritten =
                        |t: &u64| self.state_store.as_ref().is_some_and(|store| !store.is_settled(*t));
                    match ticket.filter(unwritten) {
                        Some(ticket) => {
                            let until = self.hub.clock.now() + self.hub.limits().state_wait;
                            self.waiting.push_back((ticket, until, session_id, command));
                        }
                        None => self.hub.command(session_id, command),
                    }
                }
                Effect::Persist { record, before } => {
                    let ticket = self.state_store.as_ref().and_then(|store| store.persist(record));
                    if let (Some(session_id), Some(ticket)) = (before, ticket) {
                        self.tickets.insert(session_id, ticket);
                    }
                }
                Effect::PersistVoterWrites { life, number, records } => {
                    let Some(store) = &self.state_store else { continue };
                    let tickets: Vec<_> = records.into_iter().map(|one| store.persist(one)).collect();
                    // What can't be put is never told to be written: the voter waits, and votes no more.
                    if let Some(all) = tickets.into_iter().collect::<Option<Vec<_>>>() {
                        self.vows.push_back((all.into_iter().max().unwrap_or(0), life, number));
                    }
                }
                Effect::SetStoreOwnership { on } => {
                    if let Some(store) = &mut self.state_store {
                        match on {
                            // Most of what it held this process knows by now.
                            true => {
                                let (held, hub) = (store.open(), self.hub.clone());
                                tokio::task::spawn_local(async move {
                                    if let Ok(held) = held.await {
                                        hub.tell(Event::StoreReopened(Box::new(held))).await;
                                    }
                                });
                            }
                            false => store.close(),
                        }
                    }
                }
                Effect::StartProxying { session_id } => self.hub.command(session_id, Command::Pass),
                Effect::Reject { session_id, retry_after } => {
                    self.hub.command(session_id, Command::Answer(lines::busy(retry_after / 1000)));
                }
                Effect::TearDown { session_id } => {
                    self.hub.command(session_id, Command::Answer(lines::FAIL.to_vec()))
                }
                Effect::HandOverSession { session_id, peer, session } => {
                    self.hub.command(session_id, Command::PassOn(peer, session));
                }
                Effect::Migrate { session_id } => self.hub.command(session_id, Command::Move),
                Effect::ReportProtocolError { connection_id } => {
                    self.hub.command(connection_id, Command::Answer(lines::ERROR.to_vec()))
                }
                Effect::ShedConnection { connection_id } => self.hub.command(connection_id, Command::Shed),
                Effect::SetSuspect { session_id, doubted } => {
                    self.hub.command(session_id, Command::Doubt(doubted))
                }
                Effect::CloseClient { session_id } => self.hub.command(session_id, Command::Close),
                Effect::HealthCheck { server, addr } => self.probe(server, addr),
                Effect::ForgetServer { server } => _ = self.probes.remove(&server),
                Effect::WatchEndpoints { watch, addr, since } => {
                    let task = discovery::run(watch, addr, since, self.hub.clone());
                    self.watches.insert(watch, tokio::task::spawn_local(task).abort_handle());
                }
                Effect::StopWatch { watch } => {
                    self.watches.remove(&watch).inspect(AbortHandle::abort);
                }
                Effect::ApplyTuning { limits, order } => {
                    *self.hub.tuned.borrow_mut() = (Rc::new(*limits), order);
                }
                Effect::KeyUnchanged { key } => {
                    slog::warn!(self.hub.log, "a change that only a new start brings"; "key" => key);
                }
                Effect::StartTimer { after, alarm } => {
                    self.asked += 1;
                    self.alarms.insert((self.hub.clock.now() + after, self.asked), alarm);
                }
                Effect::SetAccepting { on } => _ = self.taking.send(on),
                Effect::SendToProcess { peer, message } => {
                    let processes = self.hub.processes.borrow();
                    let command = processes::ProcessCommand::Send(message);
                    if processes.get(&peer).is_none_or(|to| to.try_send(command).is_err()) {
                        slog::warn!(self.hub.log, "another process does not hear"; "peer" => peer);
                    }
                }
                // What was said goes out first.
                Effect::DisconnectProcess { peer } => _ = self.hub.processes.borrow_mut().remove(&peer),
                Effect::SetTakeoverListener { open: true } => {
                    let Some(takeover) = &mut self.takeover else { continue };
                    let path = takeover.path.clone();
                    let listener = takeover.listener.clone();
                    let wait = hot_restart::accept_processes(path, listener, self.hub.clone());
                    let wait = tokio::task::spawn_local(wait).abort_handle();
                    takeover.task.replace(wait).inspect(AbortHandle::abort);
                }
                Effect::SetTakeoverListener { open: false } => {
                    // The path is the other process's to take.
                    self.takeover.as_mut().and_then(|one| one.task.take()).inspect(AbortHandle::abort);
                }
                Effect::Membership(effect) => self.carry_out_membership(effect),
                Effect::Log { what } => slog::info!(self.hub.log, "{}", what),
                Effect::Abort { why } => {
                    let why = format!("the running process keeps its place: {why}");
                    self.exit = Some(Err(std::io::Error::other(why)));
                }
                Effect::Exit => self.exit = Some(Ok(())),
            }
        }
    }

    fn carry_out_membership(&mut self, effect: MembershipEffect) {
        let Some(sockets) = &mut self.membership_sockets else { return };
        match effect {
            MembershipEffect::SetListening { enabled } => sockets.set_listening(enabled),
            MembershipEffect::SendDatagram { to, bytes } => sockets.send_datagram(to, &bytes),
            MembershipEffect::OpenStream { to, bytes } => sockets.open_stream(to, bytes),
            MembershipEffect::ReplyOnStream { stream, bytes } => sockets.reply(stream, bytes),
            // The reducer has carried these out.
            MembershipEffect::SetTimer { .. }
            | MembershipEffect::Log { .. }
            | MembershipEffect::MemberChanged { .. }
            | MembershipEffect::EndpointListRequested { .. }
            | MembershipEffect::EndpointListReceived { .. }
            | MembershipEffect::UserMessageReceived { .. } => {}
        }
    }

    /// Leaves no path behind that nobody answers at.
    fn close_takeover_listener(&mut self) {
        if let Some(takeover) = self.takeover.take().filter(|one| one.task.is_some()) {
            _ = std::fs::remove_file(takeover.path);
        }
    }

    fn probe(&mut self, server: ServerId, addr: SocketAddr) {
        let keep = self.probes.len() < self.hub.limits().probes;
        let to = self.probes.entry(server).or_insert_with(|| {
            // The module asks for one probe of a server at a time.
            let (to, asked) = mpsc::channel(1);
            tokio::task::spawn_local(health_check::run(server, keep, asked, self.hub.clone()));
            to
        });
        if to.try_send(addr).is_err() {
            slog::warn!(self.hub.log, "a probe was asked for while one is out"; "server" => server);
        }
    }
}
