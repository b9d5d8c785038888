//! The lifecycle of this process: whether it serves, drains, stops, or has been replaced by another process.
//! One table defines the effect of each command, signal and handover in each state.
use super::{log, Effect, Reducer};
use hallrelay_balancer::types::{Micros, SessionId};
use hallrelay_config::limits::Limits;
use hallrelay_hot_restart::RelayUpdate;
use std::fmt;

/// The state of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Lifecycle {
    /// The predecessor still owns the listening socket.
    AwaitingTakeover,
    #[default]
    Serving,
    Draining,
    Stopping,
    /// The successor owns the listening socket. Sessions that remain in this process continue.
    HandedOver,
    /// `HandedOver`, while a drain is in progress.
    HandedOverDraining,
    /// `HandedOver`, while a stop is in progress.
    HandedOverStopping,
}

/// An event that may change the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifecycleEvent {
    /// An operator's command to migrate all sessions and accept none.
    Drain,
    /// An operator's command to end the drain.
    Activate,
    /// SIGTERM.
    Stop,
    /// This process takes over from its predecessor.
    TakeOver,
    /// This process takes over from a predecessor that was draining.
    TakeOverDraining,
    /// The successor takes over.
    HandOver,
    /// An operator drains the relay by a command to the successor.
    SuccessorDrains,
    /// An operator ends the drain by a command to the successor.
    SuccessorActivated,
    /// The successor exited, as intended or not.
    SuccessorExited,
}

/// The action of a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifecycleAction {
    /// Accept connections.
    StartAccepting,
    /// Migrate the sessions in batches.
    StartDraining,
    /// Accept connections and migrate the sessions in batches.
    StartAcceptingAndDraining,
    /// Keep the sessions that were not migrated, and answer `PING` with ready again.
    StopDraining,
    /// Accept no more connections.
    StopAccepting,
    /// Confirm the command without any change.
    Confirm,
    /// Reject the command.
    Reject,
}

/// A row of the table.
struct Transition {
    from: Lifecycle,
    event: LifecycleEvent,
    to: Lifecycle,
    action: LifecycleAction,
}

const fn row(from: Lifecycle, event: LifecycleEvent, to: Lifecycle, action: LifecycleAction) -> Transition {
    Transition { from, event, to, action }
}

/// All transitions. An event that is not listed for a state changes nothing and is confirmed.
const TRANSITIONS: &[Transition] = {
    use Lifecycle::*;
    use LifecycleAction::*;
    use LifecycleEvent::*;
    &[
        row(AwaitingTakeover, TakeOver, Serving, StartAccepting),
        row(AwaitingTakeover, TakeOverDraining, Draining, StartAcceptingAndDraining),
        row(AwaitingTakeover, Drain, AwaitingTakeover, Reject),
        row(AwaitingTakeover, Activate, AwaitingTakeover, Reject),
        // The predecessor keeps the listening socket, so this process stops as if it had handed it over.
        row(AwaitingTakeover, Stop, HandedOverStopping, StartDraining),
        row(Serving, Drain, Draining, StartDraining),
        row(Serving, Stop, Stopping, StartDraining),
        row(Serving, HandOver, HandedOver, StopAccepting),
        row(Draining, Activate, Serving, StopDraining),
        row(Draining, Stop, Stopping, StartDraining),
        row(Draining, HandOver, HandedOverDraining, StopAccepting),
        row(Stopping, Activate, Stopping, Reject),
        row(Stopping, HandOver, HandedOverStopping, StopAccepting),
        row(HandedOver, Drain, HandedOver, Reject),
        row(HandedOver, Activate, HandedOver, Reject),
        row(HandedOver, Stop, HandedOverStopping, StartDraining),
        row(HandedOver, SuccessorDrains, HandedOverDraining, StartDraining),
        row(HandedOver, SuccessorExited, Serving, StartAccepting),
        row(HandedOverDraining, Drain, HandedOverDraining, Reject),
        row(HandedOverDraining, Activate, HandedOverDraining, Reject),
        row(HandedOverDraining, Stop, HandedOverStopping, StartDraining),
        row(HandedOverDraining, SuccessorActivated, HandedOver, StopDraining),
        row(HandedOverDraining, SuccessorExited, Draining, StartAccepting),
        row(HandedOverStopping, Drain, HandedOverStopping, Reject),
        row(HandedOverStopping, Activate, HandedOverStopping, Reject),
    ]
};

/// The state as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleStatus {
    /// The process does not accept connections yet, or knows no server.
    Starting,
    /// The process accepts connections.
    Serving,
    /// The process migrates its sessions to other relays on an operator's command.
    Draining,
    /// The process migrates its sessions to other relays and then exits.
    Stopping,
    /// Another process owns the listening socket.
    Replaced,
}

impl LifecycleStatus {
    /// The word for the state in answers to operators and in the log.
    pub fn label(self) -> &'static str {
        match self {
            LifecycleStatus::Starting => "starting",
            LifecycleStatus::Serving => "serving",
            LifecycleStatus::Draining => "draining",
            LifecycleStatus::Stopping => "stopping",
            LifecycleStatus::Replaced => "replaced",
        }
    }
}

impl fmt::Display for LifecycleStatus {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.label())
    }
}

/// When sessions are migrated, in microseconds after the state was entered.
pub(super) struct MigrationSchedule {
    /// When the first batch is migrated.
    pub start: Micros,
    /// When the last batch is migrated.
    pub end: Micros,
}

impl Lifecycle {
    fn status(self) -> LifecycleStatus {
        match self {
            Lifecycle::AwaitingTakeover => LifecycleStatus::Starting,
            Lifecycle::Serving => LifecycleStatus::Serving,
            Lifecycle::Draining => LifecycleStatus::Draining,
            Lifecycle::Stopping => LifecycleStatus::Stopping,
            Lifecycle::HandedOver | Lifecycle::HandedOverDraining | Lifecycle::HandedOverStopping => {
                LifecycleStatus::Replaced
            }
        }
    }

    pub(super) fn migration_schedule(self, limits: &Limits) -> MigrationSchedule {
        match self {
            Lifecycle::Draining | Lifecycle::HandedOverDraining => MigrationSchedule {
                start: limits.drain_first_migration_delay,
                end: limits.drain_last_migration_delay,
            },
            Lifecycle::HandedOverStopping => MigrationSchedule {
                start: limits.leave_first_migration_delay,
                end: limits.leave_last_migration_delay,
            },
            Lifecycle::AwaitingTakeover
            | Lifecycle::Serving
            | Lifecycle::Stopping
            | Lifecycle::HandedOver => MigrationSchedule {
                start: limits.stop_first_migration_delay,
                end: limits.stop_last_migration_delay,
            },
        }
    }

    /// Whether a drain or a stop continues in the next state, so that its times still count from its start.
    fn continues_in(self, next: Lifecycle) -> bool {
        matches!(
            (self, next),
            (Lifecycle::Draining, Lifecycle::HandedOverDraining)
                | (Lifecycle::HandedOverDraining, Lifecycle::Draining)
                | (Lifecycle::Stopping, Lifecycle::HandedOverStopping)
        )
    }
}

impl Reducer {
    pub(super) fn apply_lifecycle_event(
        &mut self,
        event: LifecycleEvent,
        out: &mut Vec<Effect>,
    ) -> LifecycleAction {
        let from = self.lifecycle;
        let row = TRANSITIONS.iter().find(|row| row.from == from && row.event == event);
        let to = row.map_or(from, |row| row.to);
        let action = row.map_or(LifecycleAction::Confirm, |row| row.action);
        self.lifecycle = to;
        if from != to {
            // `hallrelay-lab losses` parses this line.
            log(format!("from {} to {}", from.status(), to.status()), out);
            if !from.continues_in(to) {
                self.begin_migration_round();
            }
        }
        match action {
            LifecycleAction::StartDraining => self.start_migration(out),
            LifecycleAction::StartAccepting => {
                out.push(Effect::SetAccepting { accepting: true });
                self.answer_pings(out);
            }
            LifecycleAction::StartAcceptingAndDraining => {
                out.push(Effect::SetAccepting { accepting: true });
                self.start_migration(out);
            }
            LifecycleAction::StopAccepting => out.push(Effect::SetAccepting { accepting: false }),
            LifecycleAction::StopDraining => self.answer_pings(out),
            LifecycleAction::Confirm | LifecycleAction::Reject => {}
        }
        if from != to {
            self.refresh_metadata(out);
            match event {
                LifecycleEvent::Drain => self.update_predecessor(RelayUpdate::Draining(true), out),
                LifecycleEvent::Activate => self.update_predecessor(RelayUpdate::Draining(false), out),
                _ => {}
            }
        }
        action
    }

    /// The state as operators see it.
    pub(super) fn lifecycle_status(&self) -> LifecycleStatus {
        match self.lifecycle {
            Lifecycle::Serving if !self.has_servers() => LifecycleStatus::Starting,
            lifecycle => lifecycle.status(),
        }
    }

    pub(super) fn is_stopping(&self) -> bool {
        matches!(self.lifecycle, Lifecycle::Stopping | Lifecycle::HandedOverStopping)
    }

    /// When the current drain began; `None` if there is none.
    pub(super) fn draining_since(&self) -> Option<Micros> {
        let is_draining = matches!(self.lifecycle, Lifecycle::Draining | Lifecycle::HandedOverDraining);
        is_draining.then_some(self.lifecycle_since)
    }

    /// Whether new sessions are placed here.
    pub(super) fn is_serving(&self) -> bool {
        self.lifecycle == Lifecycle::Serving && self.has_servers()
    }

    /// Whether any server is known, by a list that is not older than this process may use.
    pub(super) fn has_servers(&self) -> bool {
        !self.servers.is_empty() && !self.awaits_first_list
    }

    pub(super) fn ping_received(&mut self, connection_id: SessionId, out: &mut Vec<Effect>) {
        self.pending_pings.push(connection_id);
        self.answer_pings(out);
    }

    /// Answers the connections that sent `PING`: with `PONG` while this process or its successor serves, with
    /// a rejection while it drains. They wait while this process starts, knows no server, or stops without a
    /// successor.
    pub(super) fn answer_pings(&mut self, out: &mut Vec<Effect>) {
        let accepts = match self.lifecycle {
            Lifecycle::Serving if self.has_servers() => true,
            // These connections were accepted before the handover. Both processes are one relay, which
            // serves.
            Lifecycle::HandedOver | Lifecycle::HandedOverStopping => true,
            Lifecycle::Draining | Lifecycle::HandedOverDraining => false,
            Lifecycle::AwaitingTakeover | Lifecycle::Serving | Lifecycle::Stopping => return,
        };
        out.extend(self.pending_pings.drain(..).map(|connection_id| match accepts {
            true => Effect::Pong { connection_id },
            false => Effect::RejectPing { connection_id },
        }));
    }
}
