//! The states of a process towards the one before it and the one after it.
use crate::message::{Message, State, VERSION};
use serde_json::Value;

pub type Peer = u32;

/// How long a new process may take from the offer till it is ready: start, configuration, list. Operators
/// give it 6 s to say yes.
pub const PATIENCE: u64 = 10_000_000;

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Another process has come to the door, or it is the one whose place this one wants.
    Said {
        peer: Peer,
        message: Message,
    },
    Left {
        peer: Peer,
    },
    /// The time for an offer is up, if it is still the same one.
    Due {
        peer: Peer,
    },
    /// As many connections and sessions are left here; said to the one after.
    Holds {
        connections: u32,
        sessions: u32,
    },
    /// Discovery told this process something; the one after is to know it.
    Listed {
        list: Value,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Says something; with the listening socket beside it where it is an offer.
    Tell {
        peer: Peer,
        message: Message,
    },
    /// Ends a conversation.
    Part {
        peer: Peer,
    },
    /// Asks for `Due` after `PATIENCE`.
    Wait {
        peer: Peer,
    },
    /// Gives the place up: what is known goes out as `Yours`, and nothing is taken from here on.
    Yield {
        peer: Peer,
    },
    /// The new process died: this one takes connections again.
    Return,
    /// The place is this process's, with what the old one knew; none where that died unsaid.
    Take(Option<Box<State>>),
    /// The old process keeps its place.
    GiveUp(String),
    /// The old process holds so much still: connections, sessions; nothing once it is gone.
    Shares {
        connections: u32,
        sessions: u32,
    },
    /// Discovery told the process before this one something.
    Listed(Value),
    Note(String),
}

/// Towards the one before.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Before {
    None,
    /// Its place is offered, and this process is ready.
    Offered(Peer),
    /// Its place was taken, and it is not yet gone.
    Lives(Peer),
}

/// Towards the one after.
#[derive(Clone, Copy, Debug, PartialEq)]
enum After {
    None,
    Offered(Peer),
    Given(Peer),
}

pub struct Place {
    name: String,
    listen: String,
    before: Before,
    after: After,
}

impl Place {
    /// `before`: the old process, where it has offered its place.
    pub fn new(name: &str, listen: &str, before: Option<Peer>) -> Place {
        let before = before.map_or(Before::None, Before::Offered);
        Place { name: name.to_string(), listen: listen.to_string(), before, after: After::None }
    }

    /// Whether this process takes connections and may be asked for its place.
    pub fn has(&self) -> bool {
        self.before().is_none() && self.after().is_none()
    }

    /// The process whose place this one is to take.
    pub fn before(&self) -> Option<Peer> {
        match self.before {
            Before::Offered(peer) => Some(peer),
            Before::None | Before::Lives(_) => None,
        }
    }

    /// The process that has this one's place.
    pub fn after(&self) -> Option<Peer> {
        match self.after {
            After::Given(peer) => Some(peer),
            After::None | After::Offered(_) => None,
        }
    }

    pub fn step(&mut self, event: Event, out: &mut Vec<Act>) {
        match event {
            Event::Said { peer, message: Message::Hello { name, listen, .. } } => {
                match self.refusal(&name, &listen) {
                    None => {
                        self.after = After::Offered(peer);
                        out.push(Act::Tell { peer, message: Message::Offer { version: VERSION } });
                        out.push(Act::Wait { peer });
                    }
                    Some(why) => self.refuse(peer, why, out),
                }
            }
            Event::Said { peer, message: Message::Ready {} } if self.after == After::Offered(peer) => {
                self.after = After::Given(peer);
                out.push(Act::Yield { peer });
            }
            Event::Said { peer, message: Message::Yours(state) } if self.before == Before::Offered(peer) => {
                self.before = Before::Lives(peer);
                let (connections, sessions) = (state.connections, state.open.len() as u32);
                out.push(Act::Take(Some(state)));
                out.push(Act::Shares { connections, sessions });
            }
            Event::Said { peer, message: Message::No { why } } if self.before == Before::Offered(peer) => {
                out.push(Act::GiveUp(why));
            }
            Event::Said { peer, message: Message::Holds { connections, sessions } }
                if self.before == Before::Lives(peer) =>
            {
                out.push(Act::Shares { connections, sessions });
            }
            Event::Said { peer, message: Message::Listed { list } } if self.before == Before::Lives(peer) => {
                out.push(Act::Listed(list));
            }
            Event::Said { peer, message } => {
                out.push(Act::Note(format!("a message out of turn: {:.60}", format!("{message:?}"))));
                self.refuse(peer, "out of turn", out);
                self.left(peer, out);
            }
            Event::Left { peer } => self.left(peer, out),
            Event::Due { peer } if self.after == After::Offered(peer) => {
                out.push(Act::Note("the new process was not ready in time".to_string()));
                self.after = After::None;
                self.refuse(peer, "not ready in time", out);
            }
            Event::Holds { connections, sessions } => {
                if let Some(peer) = self.after() {
                    out.push(Act::Tell { peer, message: Message::Holds { connections, sessions } });
                }
            }
            Event::Listed { list } => {
                if let Some(peer) = self.after() {
                    out.push(Act::Tell { peer, message: Message::Listed { list } });
                }
            }
            Event::Due { .. } => {}
        }
    }

    fn refuse(&self, peer: Peer, why: &str, out: &mut Vec<Act>) {
        out.push(Act::Tell { peer, message: Message::No { why: why.to_string() } });
        out.push(Act::Part { peer });
    }

    /// Why this process does not offer its place.
    fn refusal(&self, name: &str, listen: &str) -> Option<&'static str> {
        let rows = [
            (name != self.name, "this relay has another name"),
            (listen != self.listen, "this relay listens elsewhere"),
            (matches!(self.before, Before::Offered(_)), "this process has not taken over yet"),
            (matches!(self.before, Before::Lives(_)), "the last replacement is not over yet"),
            (matches!(self.after, After::Offered(_)), "another replacement is under way"),
            (matches!(self.after, After::Given(_)), "this process is replaced already"),
        ];
        rows.into_iter().find(|row| row.0).map(|row| row.1)
    }

    fn left(&mut self, peer: Peer, out: &mut Vec<Act>) {
        if self.before == Before::Offered(peer) {
            // It died with its place: nobody else takes what comes.
            self.before = Before::None;
            out.push(Act::Take(None));
        } else if self.before == Before::Lives(peer) {
            self.before = Before::None;
            out.push(Act::Shares { connections: 0, sessions: 0 });
        }
        if self.after == After::Offered(peer) {
            self.after = After::None;
            out.push(Act::Note("the new process left before it was ready".to_string()));
        } else if self.after == After::Given(peer) {
            self.after = After::None;
            out.push(Act::Return);
        }
    }
}
