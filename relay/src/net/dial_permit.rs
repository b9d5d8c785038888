//! Decides whether a dial may start now; no other module does. A dial is one attempt to open a session at a
//! backend: a connect, the client's first line, and the backend's answer.
//!
//! The conditions are checked before the connect and again just before the first byte is written. Writing the
//! first line requires a `DialPermit`. Each denial is counted by its reason.
use super::read::{self, ClientState};
use super::Hub;
use hallrelay_balancer::types::{Micros, ServerId};
use std::cell::Cell;
use tokio::net::TcpStream;

/// Proof that all conditions held when it was created. The write of the first line consumes it.
pub struct DialPermit(());

/// The conditions under which the reducer decided a dial.
#[derive(Clone, Copy, Debug)]
pub struct DialConditions {
    /// The backend, which must not be draining. `None` if that is not required: a session that was open at
    /// the backend before this process started may be resumed only there, even if the backend drains.
    pub server: Option<ServerId>,
    /// The latest time at which the first line may begin to be sent, by the relay's clock in microseconds.
    pub start_by: Micros,
}

/// Why a dial may not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The client no longer waits: it has closed its sending side, lost its connection, or sent more data.
    Client(ClientState),
    /// The latest start has passed, because the process was not scheduled or the connect took too long.
    Late,
    /// The backend drains, or discovery has removed it: neither may get anything new.
    Draining,
}

/// Denied dials by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    /// The client no longer waited.
    pub client: u64,
    /// The latest start had passed.
    pub late: u64,
    /// The backend was draining or removed.
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
    let server = conditions.server.map_or("not checked".to_string(), |server| server.to_string());
    let start_by = conditions.start_by;
    slog::debug!(
        hub.log, "dial not started; latest start {} us, now {} us", start_by, hub.clock.now();
        "server" => server, "client" => ?client.peer_addr().ok(), "why" => ?reason
    );
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
    // If the process was not scheduled for a while, a drain of the backend may have begun that this process
    // has not read yet. The limit keeps such a dial within the drain's grace period.
    (hub.clock.now() > conditions.start_by).then_some(Denied::Late)
}
