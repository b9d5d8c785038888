//! Decides whether a dial may start now; no other module does.
//!
//! The conditions are checked before the connect and again just before the first byte. Writing the first line
//! requires a `DialPermit`. Each denial is counted by its reason.
use super::read::{self, ClientState};
use super::Hub;
use hallrelay_balancer::types::{Micros, ServerId};
use std::cell::Cell;
use tokio::net::TcpStream;

/// Proof that all conditions held when it was created. The write of the first line consumes it.
pub struct DialPermit(());

/// The conditions under which a dial was decided.
#[derive(Clone, Copy, Debug)]
pub struct DialConditions {
    /// The backend; `None` for a session that was open there before this process started and must not be sent
    /// to another one.
    pub server: Option<ServerId>,
    /// The latest start, by the relay's clock in microseconds.
    pub start_by: Micros,
}

/// Why a dial may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The client has closed, left, or sent more data.
    Client(ClientState),
    /// The dial was decided too long ago, because the process was not scheduled in between.
    Late,
    /// The backend drains or has left the endpoint list.
    Draining,
}

/// Denied dials by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    /// The client no longer waited.
    pub client: u64,
    /// The decision was too old.
    pub late: u64,
    /// The backend was draining.
    pub draining: u64,
}

/// The running counts of denials.
#[derive(Default)]
pub struct DenialCounter(Cell<Denials>);

impl DenialCounter {
    /// Returns the counts so far.
    pub fn counts(&self) -> Denials {
        self.0.get()
    }

    fn add(&self, reason: Denied) {
        let mut counts = self.0.get();
        match reason {
            Denied::Client(_) => counts.client += 1,
            Denied::Late => counts.late += 1,
            Denied::Draining => counts.draining += 1,
        }
        self.0.set(counts);
    }
}

/// Checks the conditions of a dial against the current state.
///
/// # Errors
/// The first condition that does not hold. The denial is counted, and logged at debug level.
pub(super) fn check(conditions: DialConditions, client: &TcpStream, hub: &Hub) -> Result<DialPermit, Denied> {
    let Some(reason) = violated(conditions, client, hub) else { return Ok(DialPermit(())) };
    hub.denials.add(reason);
    slog::debug!(hub.log, "dial not started"; "server" => conditions.server, "why" => ?reason);
    Err(reason)
}

/// Returns the first condition that does not hold.
fn violated(conditions: DialConditions, client: &TcpStream, hub: &Hub) -> Option<Denied> {
    let state = read::client_state(client);
    if state != ClientState::Waiting {
        return Some(Denied::Client(state));
    }
    if conditions.server.is_some_and(|server| hub.draining.borrow().contains(&server)) {
        return Some(Denied::Draining);
    }
    // After a time in which the process was not scheduled, the dial could exceed the grace period of a drain.
    (hub.clock.now() > conditions.start_by).then_some(Denied::Late)
}
