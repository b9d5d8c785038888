//! The one place that says whether a dial may begin now: its client waits, it was decided a short time ago, and
//! its server was not told to leave since. It is asked before the connect and again just before the first byte;
//! the line goes out only with a `Permit` in hand. What is denied is counted by its reason.
use super::read::{self, State};
use super::Hub;
use hallrelay_balancer::types::{Micros, ServerId};
use std::cell::Cell;
use tokio::net::TcpStream;

/// Stands for the rules that held as it was made; used up by the line that it lets go.
pub struct Permit(());

/// What a dial was decided by.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// None for a connection that stood at its server before this relay started: it goes nowhere else.
    pub server: Option<ServerId>,
    /// Not begun later than this, by the relay's clock.
    pub by: Micros,
}

/// Why a dial may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// Its client has ended its sending, has gone, or sent more.
    Client(State),
    /// It was decided too long ago: the relay stood still meanwhile.
    Late,
    /// Its server drains, or has left the list.
    Leaving,
}

/// How often dials were denied, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Denials {
    pub client: u64,
    pub late: u64,
    pub leaving: u64,
}

/// The counts as they go on.
#[derive(Default)]
pub struct Counted(Cell<Denials>);

impl Counted {
    pub fn now(&self) -> Denials {
        self.0.get()
    }

    fn add(&self, why: Denied) {
        let mut all = self.0.get();
        match why {
            Denied::Client(_) => all.client += 1,
            Denied::Late => all.late += 1,
            Denied::Leaving => all.leaving += 1,
        }
        self.0.set(all);
    }
}

/// Judges by what is known at this moment.
///
/// # Errors
/// The first rule that does not hold; it is counted and said in the log at debug.
pub(super) fn permit(terms: Terms, client: &TcpStream, hub: &Hub) -> Result<Permit, Denied> {
    let denied = match read::now(client) {
        // The system knows sooner than the task that a client has left.
        state @ (State::More | State::Ended) => Some(Denied::Client(state)),
        State::Waits if terms.server.is_some_and(|server| hub.leaving.borrow().contains(&server)) => {
            Some(Denied::Leaving)
        }
        // Guards a drain's grace, and a server's name, against a standstill of this relay.
        State::Waits if hub.clock.now() > terms.by => Some(Denied::Late),
        State::Waits => None,
    };
    match denied {
        None => Ok(Permit(())),
        Some(why) => {
            hub.denials.add(why);
            slog::debug!(hub.log, "a dial is not begun"; "server" => terms.server, "why" => ?why);
            Err(why)
        }
    }
}
