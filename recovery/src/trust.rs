//! What of a store is trusted: how old it may be, what outranks it, what is assumed when nothing is known.
use crate::fact::{entry_name, Fact, Stored};
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};

/// What is done with a fact whose age can't be told, since the system's clock has gone back or was never set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unknown {
    /// It holds all the same: too much caution costs service at one server, too little breaks a rule.
    Holds,
    /// As if it had come about just now: the longest wait that it can mean, and no more.
    JustNow,
}

/// How long a fact is kept: for ever, a time, or as long as a server that starts takes to be warm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Age {
    Any,
    Most(Micros),
    WarmUp,
}

const DAY: Micros = 86_400_000_000;

/// The fact, how old it may be, what holds where its age is unknown. What outranks each, and what holds where
/// two disagree, stands at `recover`'s steps; the same rows, with their sources, are in `docs/recovery.md`.
const TABLE: [(Fact, Age, Unknown); 8] = [
    (Fact::Own, Age::Any, Unknown::Holds),
    (Fact::List, Age::Any, Unknown::Holds),
    // An end that was told a week ago is in every list by now, or in none.
    (Fact::Server, Age::Most(7 * DAY), Unknown::Holds),
    (Fact::Turn, Age::WarmUp, Unknown::JustNow),
    // What was promised holds for ever; no clock has a part in it.
    (Fact::Vote, Age::Any, Unknown::Holds),
    (Fact::Entry, Age::Any, Unknown::Holds),
    (Fact::Snapshot, Age::Any, Unknown::Holds),
    (Fact::Shut, Age::Any, Unknown::Holds),
];

/// A turn at a cold server that is taken already, and how long ago.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    pub server: String,
    pub ago: Micros,
}

/// What a relay begins with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The list, whole; servers that were told to be shut are shut in it.
    pub list: List,
    pub turns: Vec<Turn>,
    /// At least this is the relay's start number.
    pub start: u64,
    /// Servers, and turns, that nothing needs any more.
    pub forgotten: Vec<(Fact, String)>,
    /// Servers of the list that the store does not know yet: it holds the whole of it from now on.
    pub missing: Vec<Instance>,
    /// Servers that were told to be gone, and which life of theirs.
    pub gone: Vec<(String, Micros)>,
    /// What came of it, for the log.
    pub words: Vec<String>,
}

/// How long ago something was, by the system's clock; none where that can't be trusted: it lies in the
/// future, or the clock stands before the last time that was written down.
fn age(now: Micros, then: Micros, last: Micros) -> Option<Micros> {
    if now < last {
        return None;
    }
    now.checked_sub(then)
}

/// How long ago a fact counts as having come about; none where it is too old to be kept.
fn trusted(fact: Fact, age: Option<Micros>, warm_up: Micros) -> Option<Micros> {
    let row = TABLE.iter().find(|row| row.0 == fact)?;
    match (age, row.1) {
        (None, _) if row.2 == Unknown::JustNow => Some(0),
        (None, _) | (_, Age::Any) => Some(age.unwrap_or(0)),
        (Some(age), Age::Most(most)) => (age < most).then_some(age),
        (Some(age), Age::WarmUp) => (age < warm_up).then_some(age),
    }
}

/// What a relay of a name begins with at a time of the system's clock: `known`, the list that its
/// configuration tells; `discovery`, where it asks for the list.
///
/// The store of another relay tells nothing. Of two lists from one source the later version holds; between
/// two sources, whose versions mean nothing to each other, the configuration's. A server that was told to
/// drain or to be gone stays so till a later version of the same list says otherwise, or it has started anew
/// since: a list that the configuration remembers can't lift it.
pub fn recover(
    now: Micros,
    name: &str,
    discovery: &str,
    warm_up: Micros,
    known: &List,
    stored: &Stored,
) -> Recovered {
    let mut r = Recovered { list: List { whole: true, ..known.clone() }, ..Recovered::default() };
    if stored.name.as_deref() != Some(name) {
        if let Some(owner) = &stored.name {
            r.words.push(format!("the store is relay {owner}'s: nothing of it is used"));
        }
        // From now on it is this relay's: nothing that it held may be taken for its own at the next start.
        let servers = stored.servers.keys().map(|id| (Fact::Server, id.clone()));
        r.forgotten.extend(servers.chain(stored.turns.keys().map(|id| (Fact::Turn, id.clone()))));
        let alone = [Fact::List, Fact::Vote, Fact::Snapshot, Fact::Shut];
        r.forgotten.extend(alone.map(|fact| (fact, String::new())));
        let entries = stored.agreed.entries.iter().map(|one| (Fact::Entry, entry_name(one.index)));
        r.forgotten.extend(entries);
        r.missing.clone_from(&r.list.instances);
        return r;
    }
    // Later than the last start whatever the clock says.
    r.start = stored.start + 1;
    let age = |then| age(now, then, stored.wall);
    let same = stored.list.as_ref().is_some_and(|(source, _)| source == discovery);
    let generation = stored.list.as_ref().filter(|_| same).map(|list| list.1);
    let kept = |server: &&crate::fact::ServerTold| trusted(Fact::Server, age(server.wall), warm_up).is_some();
    for (name, server) in &stored.servers {
        if server.instance.phase == Phase::Gone && !kept(&server) {
            r.forgotten.push((Fact::Server, name.clone()));
        }
    }
    let servers: Vec<_> = stored.servers.values().filter(kept).collect();
    let gone = servers.iter().map(|server| &server.instance).filter(|one| one.phase == Phase::Gone);
    r.gone = gone.map(|one| (one.id.clone(), one.came_up)).collect();
    if generation.is_some_and(|stored| stored > known.generation) {
        let there = |server: &&&crate::fact::ServerTold| server.instance.phase != Phase::Gone;
        r.list.generation = generation.unwrap_or(known.generation);
        r.list.instances = servers.iter().filter(there).map(|s| s.instance.clone()).collect();
        r.words.push(format!("the list of version {} is from the store", r.list.generation));
    }
    let known = |one: &&Instance| stored.servers.contains_key(&one.id);
    r.missing = r.list.instances.iter().filter(|one| !known(one)).cloned().collect();
    let mut shut = 0;
    for one in &mut r.list.instances {
        let told = servers.iter().find(|s| s.instance.id == one.id && s.instance.phase != Phase::Ready);
        let Some(told) = told else { continue };
        let later = same && r.list.generation > told.generation;
        if one.phase == Phase::Ready && !later && !anew(one, &told.instance) {
            one.phase = told.instance.phase;
            shut += 1;
        }
    }
    if shut > 0 {
        r.words.push(format!("{shut} servers are shut, as this relay was told before it ended"));
    }
    for (server, then) in &stored.turns {
        match trusted(Fact::Turn, age(*then), warm_up) {
            Some(ago) => r.turns.push(Turn { server: server.clone(), ago }),
            None => r.forgotten.push((Fact::Turn, server.clone())),
        }
    }
    if age(stored.wall).is_none() {
        r.words.push("the clock stands before what was written last: ages are unknown".to_string());
    }
    if stored.odd > 0 {
        r.words.push(format!("{} records of the store are not understood", stored.odd));
    }
    r
}

/// Whether a server has started since it was told of.
fn anew(now: &Instance, told: &Instance) -> bool {
    now.came_up > told.came_up
}
