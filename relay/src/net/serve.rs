//! Runs the relay: passes events to the reducer in order of arrival, and its effects to the runner.
use super::effect_runner::{EffectRunner, TakeoverSocket};
use super::membership::MembershipSockets;
use super::operator::OperatorCall;
use super::state_store::StateStore;
use super::{accept, hot_restart, listening_socket, membership, operator, signals, Hub};
use crate::clock::span;
use crate::reducer::{Effect, Event, Reducer};
use hallrelay_balancer::types::Micros;
use hallrelay_config::node::Node;
use hallrelay_recovery::StoredState;
use hallrelay_store::writer::WriterHealth;
use std::fmt::Display;
use std::future::pending;
use std::io;
use std::rc::Rc;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep_until, timeout};

/// Connections that the system queues until they are accepted. When the accept queue is full, the system
/// drops a connection's first packet and the caller retries only after a second. The queue must hold many
/// clients that reconnect together, so that an operator's call behind them is answered within a second.
const BACKLOG: u32 = 1024;

/// Serves until a stop is requested and all sessions have ended.
///
/// # Errors
/// The start fails, or the reducer ends the process with an error.
pub async fn run<E: Display + 'static>(
    node: Node,
    read_configuration: impl Fn() -> Result<Node, E> + 'static,
    log: slog::Logger,
) -> io::Result<()> {
    let signals = signals::Signals::install()?;
    signals::unblock();
    let limits = node.limits;
    let (hub, events) = Hub::new(limits, node.site.report, log.clone());
    // Hot restart requires an operators' address. Without it, no one could see when a new process is ready.
    let no_path = |error: &hot_restart::PathError| {
        slog::warn!(log, "hot restart unavailable: no path for the takeover socket"; "error" => %error);
    };
    let takeover_path = node.operator.and_then(|_| hot_restart::socket_path(&node).inspect_err(no_path).ok());
    let offer = takeover_path.as_deref().map_or(Ok(None), |path| hot_restart::request_takeover(path, &node));
    let (predecessor, listening_socket) = match offer.map_err(io::Error::other)? {
        Some(offer) => (Some(offer.stream), listening_socket::from_std(offer.listening_socket)?),
        None => (None, listening_socket::bind(node.listen, BACKLOG).await?),
    };
    let listening_socket = Rc::new(listening_socket);
    let (to_calls, calls) = mpsc::channel(limits.max_operator_connections);
    if let Some(addr) = node.operator {
        let listening_socket = listening_socket::bind(addr, BACKLOG).await?;
        tokio::task::spawn_local(operator::run(listening_socket, to_calls, hub.clone()));
    }
    let membership_sockets = membership_sockets(&node, predecessor.is_some(), &hub).await?;
    let mut state_store = node.state.as_deref().map(|path| StateStore::new(path, limits.max_state_bytes));
    let health = state_store.as_ref().map(StateStore::watch_health);
    let stored = match state_store.as_mut().filter(|_| predecessor.is_none()) {
        Some(store) => open_in_time(store, &hub).await,
        None => None,
    };
    slog::info!(log, "serving"; "name" => &node.name, "listen" => %node.listen, "limits" => ?limits);

    let (accepting, is_accepting) = watch::channel(false);
    let takeover = takeover_path.map(|path| TakeoverSocket {
        path,
        listening_socket: listening_socket.clone(),
        task: None,
    });
    let runner = EffectRunner::new(hub.clone(), accepting, takeover, membership_sockets, state_store);
    tokio::task::spawn_local(accept::run(listening_socket, is_accepting, hub.clone()));
    let predecessor = predecessor.map(|stream| hot_restart::begin(stream, &hub)).transpose()?;
    let mut reducer = Reducer::new(node, predecessor);
    stored.into_iter().for_each(|stored| reducer.load_state(stored));
    let mut event_loop = EventLoop { reducer, runner, effects: Vec::new(), hub: hub.clone() };
    event_loop.start();
    tokio::task::spawn_local(signals::run(signals, read_configuration, hub));
    event_loop.run(events, calls, health).await
}

/// Returns the sockets of membership, if a fleet is configured. They are not bound while a predecessor still
/// holds the port.
async fn membership_sockets(
    node: &Node,
    has_predecessor: bool,
    hub: &Hub,
) -> io::Result<Option<MembershipSockets>> {
    let Some(config) = &node.fleet else { return Ok(None) };
    let bound = match has_predecessor {
        true => None,
        false => Some(membership::bind(config.listen).await?),
    };
    Ok(Some(MembershipSockets::new(config.clone(), bound, hub.clone())))
}

/// Opens the store and returns its content; `None` if it was not opened within the limit.
async fn open_in_time(store: &mut StateStore, hub: &Hub) -> Option<StoredState> {
    let limit = span(hub.limits().state_open_timeout);
    let stored = timeout(limit, store.open()).await.ok().and_then(Result::ok);
    if stored.is_none() {
        slog::warn!(hub.log, "state store not opened within {:?}; starting without stored state", limit);
    }
    stored
}

/// The reducer, and the runner that carries out its effects.
struct EventLoop {
    reducer: Reducer,
    runner: EffectRunner,
    /// Scratch space for the effects of one step.
    effects: Vec<Effect>,
    hub: Hub,
}

impl EventLoop {
    fn start(&mut self) {
        self.reducer.start(self.hub.clock.now(), &mut self.effects);
        self.runner.carry_out_all(&mut self.effects);
    }

    async fn run(
        mut self,
        mut events: mpsc::Receiver<Event>,
        mut calls: mpsc::Receiver<OperatorCall>,
        mut health: Option<watch::Receiver<WriterHealth>>,
    ) -> io::Result<()> {
        let clock = self.hub.clock;
        while self.runner.is_running() {
            let wake_at = clock.at(self.runner.next_wake());
            let event = tokio::select! {
                biased;
                // Operators' calls are handled before queued events of sessions.
                Some(call) = calls.recv() => Some(self.runner.register_call(call)),
                event = events.recv() => event,
                Some(health) = health_change(&mut health) => Some(self.runner.store_health_changed(health)),
                () = sleep_until(wake_at) => None,
            };
            self.handle(event);
        }
        let result = self.runner.take_exit().unwrap_or(Ok(()));
        slog::info!(self.hub.log, "stopping"; "well" => result.is_ok());
        self.runner.finish();
        result
    }

    /// Sends the dials that are due, handles an event, then durable writes and timers that are due.
    fn handle(&mut self, event: Option<Event>) {
        let now = self.hub.clock.now();
        self.runner.send_waiting_dials(now);
        if let Some(event) = event {
            slog::trace!(self.hub.log, "event"; "what" => ?event);
            self.step(now, event);
        }
        while let Some(event) = self.runner.durable_voter_write() {
            self.step(now, event);
        }
        while let Some(timer) = self.runner.expired_timer(now) {
            self.step(now, Event::Timer(timer));
        }
    }

    fn step(&mut self, now: Micros, event: Event) {
        self.reducer.step(now, event, &mut self.effects);
        self.runner.carry_out_all(&mut self.effects);
    }
}

/// Waits for a change in the health of the store's writer; never completes without a store.
async fn health_change(health: &mut Option<watch::Receiver<WriterHealth>>) -> Option<WriterHealth> {
    let Some(health) = health else { return pending().await };
    // The store keeps its sender until the process ends.
    health.changed().await.ok()?;
    Some(health.borrow_and_update().clone())
}
