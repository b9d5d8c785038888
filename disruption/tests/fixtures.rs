//! Bytes of commands, outcomes and states as voters of earlier builds stored and sent them: they are read, and
//! the same bytes are written again. One file a kind, one value a line, in hexadecimal.
use hallrelay_disruption::{
    Budget, Command, Condition, Fault, Judge, Kind, Outcome, Phase, Place, Plan, Scope, State, Thing, Wave,
};
use std::path::Path;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn lines(name: &str) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let text = std::fs::read_to_string(&path).expect("a fixture");
    text.lines().map(bytes).collect()
}

fn same(name: &str, written: &[Vec<u8>]) {
    let stored = lines(name);
    assert_eq!(stored.len(), written.len(), "{name}");
    for (i, (stored, written)) in stored.iter().zip(written).enumerate() {
        assert_eq!(hex(stored), hex(written), "{name}, line {}", i + 1);
    }
}

fn relay(name: &str) -> Thing {
    Thing::Relay(name.to_string())
}

fn server(name: &str) -> Thing {
    Thing::Server(name.to_string())
}

fn text(text: &str) -> String {
    text.to_string()
}

fn place(zone: &str, kind: &str, group: &str) -> Place {
    Place { zone: text(zone), kind: text(kind), group: text(group) }
}

fn seen(thing: Thing, zone: &str, condition: Condition) -> Command {
    Command::Seen { thing, place: place(zone, "large", "g1"), condition }
}

fn ask(thing: Thing, call: u64, force: bool) -> Command {
    Command::Ask { thing, call, by: text("ann"), why: text("new disks"), force }
}

fn did(name: &str, grant: u64, good: bool) -> Command {
    let why = if good { String::new() } else { text("the disk is full") };
    Command::Did { thing: server(name), grant, good, why }
}

fn judged(wave: u64, good: bool) -> Command {
    Command::Judged { wave, good, why: text("bad at the new build 3 of 40, at the old 1 of 90") }
}

fn plan() -> Plan {
    Plan {
        build: text("b2"),
        of: Kind::Server,
        waves: vec![
            Wave { names: vec![text("s1")], count: 0, part: 0 },
            Wave { names: vec![], count: 1, part: 300_000 },
        ],
        judge: Judge { sessions: 200, worse: 20_000, within_s: 600 },
        by: text("bo"),
    }
}

fn budgets() -> Vec<Budget> {
    let budget = |of, scope, count, part| Budget { of, scope, count, part };
    vec![
        budget(Kind::Relay, Scope::Fleet, Some(2), None),
        budget(Kind::Relay, Scope::Zone, None, Some(500_000)),
        budget(Kind::Server, Scope::Kind, Some(3), Some(900_000)),
        budget(Kind::Server, Scope::Group, Some(2), None),
    ]
}

/// Each kind of command, with each of its optional parts and each value of its enumerations.
fn commands() -> Vec<Command> {
    let (up, cold, down, gone) = (Condition::Up, Condition::Cold, Condition::Down, Condition::Gone);
    vec![
        Command::Budgets(vec![]),
        Command::Budgets(budgets()),
        seen(relay("r1"), "east", up),
        seen(server("s1"), "west", cold),
        seen(server("s1"), "west", down),
        Command::Seen { thing: relay("r1"), place: Place::default(), condition: gone },
        ask(relay("r1"), 1, false),
        ask(server("s1"), u64::MAX, true),
        Command::Drop { thing: relay("r1"), call: 1 },
        Command::Begin { thing: relay("r1"), grant: 300 },
        Command::Lapse { thing: server("s1"), grant: 70_000 },
        Command::Back { thing: server("s1") },
        Command::Free { thing: relay("r1"), by: text("bo") },
        Command::Start { plan: plan() },
        did("s1", 7, true),
        did("s1", 8, false),
        judged(0, true),
        judged(1, false),
        Command::Halt { by: text("ann"), why: text("lunch") },
        Command::Resume { by: text("ann") },
        Command::WayBack { by: text("ann") },
    ]
}

/// Drains that are asked for, granted, begun, lapsed, dropped, forced, freed and brought back; a release that is
/// halted by a person and by a bad wave and goes back, and one that goes to its end.
fn history() -> Vec<Command> {
    let (up, cold, down, gone) = (Condition::Up, Condition::Cold, Condition::Down, Condition::Gone);
    let start = || Command::Start { plan: plan() };
    let halt = || Command::Halt { by: text("ann"), why: text("lunch") };
    let resume = || Command::Resume { by: text("ann") };
    let back = || Command::WayBack { by: text("ann") };
    let r1 = || relay("r1");
    vec![
        Command::Budgets(budgets()),
        seen(relay("r1"), "east", up),
        seen(relay("r2"), "east", up),
        seen(relay("r3"), "west", up),
        seen(relay("r4"), "west", up),
        seen(server("s1"), "east", up),
        seen(server("s2"), "east", up),
        seen(server("s3"), "west", up),
        ask(r1(), 11, false),
        ask(r1(), 12, false),
        ask(relay("r2"), 13, false),
        ask(relay("r3"), 14, false),
        Command::Begin { thing: r1(), grant: 1 },
        Command::Begin { thing: r1(), grant: 9 },
        ask(relay("r4"), 15, false),
        Command::Lapse { thing: relay("r3"), grant: 2 },
        Command::Drop { thing: relay("r2"), call: 13 },
        ask(relay("r2"), 16, true),
        seen(r1(), "east", down),
        Command::Back { thing: r1() },
        seen(r1(), "east", cold),
        ask(r1(), 17, false),
        seen(r1(), "east", up),
        Command::Free { thing: relay("r2"), by: text("bo") },
        seen(relay("r4"), "west", gone),
        ask(server("s3"), 18, false),
        Command::Begin { thing: server("s3"), grant: 5 },
        start(),
        start(),
        did("s1", 1, true),
        seen(server("s1"), "east", down),
        did("s1", 6, true),
        seen(server("s1"), "east", cold),
        seen(server("s1"), "east", up),
        halt(),
        resume(),
        Command::Back { thing: server("s3") },
        judged(0, true),
        did("s2", 7, true),
        did("s3", 8, false),
        resume(),
        did("s2", 7, true),
        judged(1, false),
        back(),
        halt(),
        resume(),
        did("s3", 8, true),
        did("s2", 9, true),
        seen(server("s1"), "east", down),
        did("s1", 10, true),
        seen(server("s1"), "east", up),
        did("s3", 11, true),
        start(),
        did("s1", 11, true),
        judged(0, true),
        did("s2", 12, true),
        did("s3", 13, true),
        judged(1, true),
        ask(relay("nobody"), 19, false),
    ]
}

#[test]
fn stored_commands_are_read_and_written_as_they_were() {
    let written: Vec<Vec<u8>> = commands().iter().map(Command::encode).collect();
    same("commands.hex", &written);
    for (stored, command) in lines("commands.hex").iter().zip(commands()) {
        assert_eq!(Command::decode(stored), Ok(command));
    }
}

#[test]
fn a_history_of_commands_leads_to_the_states_and_outcomes_that_it_led_to() {
    let (mut state, mut states, mut outcomes) = (State::default(), vec![], vec![]);
    for command in history() {
        outcomes.push(postcard::to_stdvec(&state.apply(&command)).expect("an outcome"));
        states.push(state.encode());
    }
    same("states.hex", &states);
    same("outcomes.hex", &outcomes);
    for stored in lines("states.hex") {
        let state = State::decode(&stored).expect("a state");
        assert_eq!(hex(&state.encode()), hex(&stored));
    }
    for stored in lines("outcomes.hex") {
        let outcome: Outcome = postcard::from_bytes(&stored).expect("an outcome");
        assert_eq!(hex(&postcard::to_stdvec(&outcome).expect("an outcome")), hex(&stored));
    }
}

/// The history is worth its bytes only where it goes through all that a state can hold.
#[test]
fn the_history_goes_through_all_stages_and_phases() {
    let (mut stages, mut steps, mut phases) = (vec![], vec![], vec![]);
    for stored in lines("states.hex") {
        let state = State::decode(&stored).expect("a state");
        stages.extend(state.things().map(|(_, r)| r.stage.word()));
        steps.extend(state.release().iter().flat_map(|r| &r.items).map(|item| item.step.word()));
        phases.extend(state.release().map(|r| r.phase));
    }
    for stage in ["in", "asked", "granted", "out", "returning"] {
        assert!(stages.contains(&stage), "{stage}");
    }
    for step in ["to do", "going", "changed", "done", "going back", "changed back", "back"] {
        assert!(steps.contains(&step), "{step}");
    }
    for phase in [
        Phase::Running,
        Phase::Judging,
        Phase::Halted,
        Phase::Returning,
        Phase::ReturnHalted,
        Phase::Finished,
        Phase::Back,
    ] {
        assert!(phases.contains(&phase), "{phase:?}");
    }
}

#[test]
fn each_outcome_and_fault_has_its_bytes() {
    let outcomes = [
        Outcome::Done,
        Outcome::Granted { grant: 300 },
        Outcome::Out { grant: 7 },
        Outcome::Taken { by: text("ann"), why: text("new disks") },
        Outcome::Waits { why: text("at most 1 relay of the fleet"), out: vec![text("relay a (out)")] },
        Outcome::Not(Fault::Unknown),
        Outcome::Not(Fault::Bound),
        Outcome::Not(Fault::Stale),
        Outcome::Not(Fault::Version),
    ];
    let written: Vec<Vec<u8>> =
        outcomes.iter().map(|outcome| postcard::to_stdvec(outcome).expect("an outcome")).collect();
    same("outcome.hex", &written);
    for (stored, outcome) in lines("outcome.hex").iter().zip(outcomes) {
        assert_eq!(postcard::from_bytes::<Outcome>(stored), Ok(outcome));
    }
}
