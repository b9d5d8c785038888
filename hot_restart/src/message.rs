//! What the two processes say: a line of JSON each, of a version that both must know, bounded and checked.
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Counted up with each change that the other side would misread.
pub const VERSION: u32 = 2;
/// Some ten thousand servers and open marks.
pub const LONGEST: usize = 4 << 20;
const NAME: usize = 256;
/// What a connection's buffer may hold either way.
const BYTES: usize = 64 << 10;
const UNANSWERED: usize = 64;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Message {
    /// The new process, which wants the place of a relay of this name and address.
    Hello { version: u32, name: String, listen: String },
    /// The old one's listening socket comes beside this.
    Offer { version: u32 },
    /// It can't be, or is no more.
    No { why: String },
    /// The new process could take over now.
    Ready {},
    /// From here on the new process takes all that comes.
    Yours(Box<State>),
    /// An open session passes on; its client's socket and its backend's come beside this.
    Session(Box<Session>),
    /// What the old process holds still: connections of clients, and sessions among them.
    Holds { connections: u32, sessions: u32 },
    /// What the old process' watch heard since it gave its place, in discovery's form: the two are one relay, and
    /// what one was told the other knows.
    Listed { list: Value },
}

/// What the old process knows and the new one goes on with. Times are ago, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct State {
    /// The list as last heard, in discovery's form; none where it was never told.
    pub list: Option<Value>,
    pub servers: Vec<Server>,
    /// One session's part of a server.
    pub step: f64,
    /// Since when a drain is in force.
    pub draining: Option<u64>,
    /// The marks of the sessions that it keeps.
    pub open: Vec<u64>,
    pub connections: u32,
    /// What it knows of the other relays, in the words of their own messages; none where it knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fleet: Option<Vec<u8>>,
    /// Servers that were agreed to be out, and by which entry; none where nothing is agreed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shut: Option<(u64, Vec<String>)>,
}

/// An open session: what the new process needs to go on between two bytes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Session {
    pub mark: u64,
    pub listener: String,
    pub server: String,
    pub key: u64,
    pub group: u64,
    pub returned: bool,
    /// Bytes on their way to the backend and to the client.
    pub up: Vec<u8>,
    pub down: Vec<u8>,
    /// How long ago messages came whose answers are awaited, in microseconds.
    pub unanswered: Vec<u64>,
}

/// What is known of one server, by its name in the list.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    pub name: String,
    /// Its last report and how old that is: load, work piled up, sessions held.
    pub report: Option<(u64, f64, f64, f64)>,
    /// Probes and connects in a row without an answer.
    pub misses: u32,
    /// Sessions placed there of late, less those that left.
    pub placed: f64,
    /// How long ago this relay had its last turn at the cold server, and what part of a pause the next takes.
    pub turn: (u64, f64),
}

pub fn encode(message: &Message) -> Result<Vec<u8>, String> {
    let mut line = serde_json::to_vec(message).map_err(|e| format!("a message can't be written: {e}"))?;
    line.push(b'\n');
    if line.len() > LONGEST {
        return Err(format!("a message of {} bytes is too long", line.len()));
    }
    Ok(line)
}

/// A line without its end.
pub fn decode(line: &[u8]) -> Result<Message, String> {
    if line.len() > LONGEST {
        return Err(format!("a message is over {LONGEST} bytes"));
    }
    let message: Message = serde_json::from_slice(line).map_err(|e| format!("not a message: {e}"))?;
    match &message {
        Message::Hello { version, .. } | Message::Offer { version } if *version != VERSION => {
            Err(format!("version {version} of the handover, wanted {VERSION}"))
        }
        Message::Hello { name, listen, .. } if name.len() > NAME || listen.len() > NAME => {
            Err(format!("a name is over {NAME} bytes"))
        }
        Message::Session(s) if s.up.len().max(s.down.len()) > BYTES || s.unanswered.len() > UNANSWERED => {
            Err("a session with too much under way".to_string())
        }
        Message::Session(s) if s.listener.len().max(s.server.len()) > NAME => {
            Err(format!("a name is over {NAME} bytes"))
        }
        Message::Yours(state) => state.check().map(|()| message),
        _ => Ok(message),
    }
}

impl State {
    fn check(&self) -> Result<(), String> {
        let sound = |x: f64| x.is_finite() && (0.0..=1e9).contains(&x);
        for s in &self.servers {
            let report = s.report.is_none_or(|r| sound(r.1) && sound(r.2) && sound(r.3));
            // Who left may outnumber who came.
            if s.name.len() > NAME || !report || !sound(s.placed.abs()) || !sound(s.turn.1) {
                return Err(format!("what is told of server {:.40} can't be", s.name));
            }
        }
        if !sound(self.step) {
            return Err(format!("step is {}", self.step));
        }
        Ok(())
    }
}
