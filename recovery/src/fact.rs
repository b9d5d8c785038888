//! The facts that are kept, and how they stand in the store.
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::{self, Instance, List};
use hallrelay_raft::{Entry, Snapshot, Voter};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Kinds of facts; the number is the kind of their keys in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fact {
    /// Whose store it is, and its start number.
    Own = 1,
    /// Where the list came from, and its version.
    List = 2,
    /// One server as it was told last, by its name in the list: drains and ends among them.
    Server = 3,
    /// This relay's last turn at a cold server.
    Turn = 4,
    /// A voter's disk: when it was born, and the last term with its vote.
    Vote = 5,
    /// An entry of the agreed log.
    Entry = 6,
    /// What came of the entries before those.
    Snapshot = 7,
    /// Servers that were agreed to be out.
    Shut = 8,
}

impl Fact {
    pub const ALL: [Fact; 8] = [
        Fact::Own,
        Fact::List,
        Fact::Server,
        Fact::Turn,
        Fact::Vote,
        Fact::Entry,
        Fact::Snapshot,
        Fact::Shut,
    ];

    pub fn of(kind: u8) -> Option<Fact> {
        Fact::ALL.into_iter().find(|fact| *fact as u8 == kind)
    }

    pub fn word(self) -> &'static str {
        ["own", "list", "server", "turn", "vote", "entry", "snapshot", "shut"][self as usize - 1]
    }
}

/// Counted up with each change of a value's form that an older program would misread.
pub const VERSION: u8 = 1;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Own {
    name: String,
    start: u64,
    /// The latest time of the system's clock that was written with it.
    wall: Micros,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Head {
    source: String,
    generation: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Told {
    /// The version of the list that told it.
    generation: u64,
    wall: Micros,
    /// In the list's own form.
    instance: Value,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Spent {
    wall: Micros,
}

/// One fact as it goes to the store: its kind, the name of what it is of, its bytes; none takes it out.
#[derive(Clone, Debug, PartialEq)]
pub struct Kept {
    pub fact: Fact,
    pub name: String,
    pub bytes: Option<Vec<u8>>,
}

impl Kept {
    fn new(fact: Fact, name: &str, value: &impl Serialize) -> Kept {
        // These are numbers, texts and a value that came out of JSON: they can be written.
        Kept { fact, name: name.to_string(), bytes: serde_json::to_vec(value).ok() }
    }

    pub fn own(name: &str, start: u64, wall: Micros) -> Kept {
        Kept::new(Fact::Own, "", &Own { name: name.to_string(), start, wall })
    }

    pub fn list(source: &str, generation: u64) -> Kept {
        Kept::new(Fact::List, "", &Head { source: source.to_string(), generation })
    }

    pub fn server(generation: u64, wall: Micros, instance: &Instance) -> Kept {
        let whole = list::encode(generation, true, std::iter::once(instance));
        let instance_json = whole["instances"][0].clone();
        Kept::new(Fact::Server, &instance.id, &Told { generation, wall, instance: instance_json })
    }

    pub fn turn(server: &str, wall: Micros) -> Kept {
        Kept::new(Fact::Turn, server, &Spent { wall })
    }

    /// Of a disk that was born then.
    pub fn vote(birth: u64, term: u64, vote: Option<Voter>) -> Kept {
        Kept { fact: Fact::Vote, name: String::new(), bytes: postcard::to_stdvec(&(birth, term, vote)).ok() }
    }

    pub fn entry(entry: &Entry) -> Kept {
        Kept { fact: Fact::Entry, name: entry_name(entry.index), bytes: postcard::to_stdvec(entry).ok() }
    }

    pub fn no_entry(index: u64) -> Kept {
        Kept::forgotten(Fact::Entry, &entry_name(index))
    }

    pub fn snapshot(snapshot: &Snapshot) -> Kept {
        Kept { fact: Fact::Snapshot, name: String::new(), bytes: postcard::to_stdvec(snapshot).ok() }
    }

    /// Servers that were out by the agreed log up to an entry.
    pub fn shut(index: u64, servers: &BTreeSet<String>) -> Kept {
        Kept::new(Fact::Shut, "", &(index, servers))
    }

    pub fn forgotten(fact: Fact, name: &str) -> Kept {
        Kept { fact, name: name.to_string(), bytes: None }
    }
}

/// Of one length, so that they stand in their order.
pub(crate) fn entry_name(index: u64) -> String {
    format!("{index:020}")
}

/// One server as it was told last.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerTold {
    pub generation: u64,
    pub wall: Micros,
    pub instance: Instance,
}

/// All that a store held, read. What can't be read is counted and nothing else.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// Whose it is; none where it is new.
    pub name: Option<String>,
    pub start: u64,
    /// Where the list came from, and its version.
    pub list: Option<(String, u64)>,
    pub servers: BTreeMap<String, ServerTold>,
    /// When turns were spent, by the system's clock.
    pub turns: BTreeMap<String, Micros>,
    /// What a voter must not forget, and when its disk was born; none where it was none.
    pub birth: Option<u64>,
    pub agreed: hallrelay_raft::PersistentState,
    pub shut: (u64, BTreeSet<String>),
    /// The latest time of that clock that anything was written at.
    pub wall: Micros,
    /// Facts of another version or kind, or that are not of their form.
    pub odd: usize,
}

impl Stored {
    /// Takes one record of the store: kind, version, name and bytes.
    pub fn take(&mut self, kind: u8, version: u8, name: &[u8], bytes: &[u8]) {
        if self.read(kind, version, name, bytes).is_none() {
            self.odd += 1;
        }
    }

    fn read(&mut self, kind: u8, version: u8, name: &[u8], bytes: &[u8]) -> Option<()> {
        let fact = Fact::of(kind).filter(|_| version == VERSION)?;
        let name = std::str::from_utf8(name).ok()?.to_string();
        let wall = match fact {
            Fact::Own => {
                let own: Own = serde_json::from_slice(bytes).ok()?;
                (self.name, self.start) = (Some(own.name), own.start);
                own.wall
            }
            Fact::List => {
                let head: Head = serde_json::from_slice(bytes).ok()?;
                self.list = Some((head.source, head.generation));
                0
            }
            Fact::Server => {
                let told: Told = serde_json::from_slice(bytes).ok()?;
                let one = serde_json::json!({"generation": told.generation, "instances": [told.instance]});
                let List { mut instances, .. } = list::parse(one.to_string().as_bytes()).ok()?;
                let instance = instances.pop().filter(|one| one.id == name)?;
                let (generation, wall) = (told.generation, told.wall);
                self.servers.insert(name, ServerTold { generation, wall, instance });
                wall
            }
            Fact::Turn => {
                let spent: Spent = serde_json::from_slice(bytes).ok()?;
                self.turns.insert(name, spent.wall);
                spent.wall
            }
            Fact::Vote => {
                let (birth, term, vote) = postcard::from_bytes(bytes).ok()?;
                (self.birth, self.agreed.term, self.agreed.voted_for) = (Some(birth), term, vote);
                0
            }
            Fact::Entry => {
                let entry: Entry = postcard::from_bytes(bytes).ok()?;
                let at = self.agreed.entries.partition_point(|one| one.index < entry.index);
                self.agreed.entries.insert(at, entry);
                0
            }
            Fact::Snapshot => {
                self.agreed.snapshot = postcard::from_bytes(bytes).ok()?;
                0
            }
            Fact::Shut => {
                self.shut = serde_json::from_slice(bytes).ok()?;
                0
            }
        };
        self.wall = self.wall.max(wall);
        Some(())
    }
}
