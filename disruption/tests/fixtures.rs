//! Checks that commands, outcomes and states which voters of earlier builds stored and sent are decoded, and
//! are encoded to the same bytes. Each fixture file has one kind of value, one value per line in hexadecimal.
use hallrelay_disruption::{
    AnalysisPolicy, Budget, Command, CommandError, FailureDomain, HealthState, Outcome, RolloutPhase,
    RolloutPlan, Scope, State, Target, TargetKind, Wave,
};
use std::path::Path;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).expect("parse two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn lines(name: &str) -> Vec<Vec<u8>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name);
    let text = std::fs::read_to_string(&path).expect("read the fixture file");
    text.lines().map(bytes).collect()
}

fn compare_with_fixture(name: &str, encoded: &[Vec<u8>]) {
    let stored = lines(name);
    assert_eq!(stored.len(), encoded.len(), "{name}: number of lines");
    for (i, (stored, encoded)) in stored.iter().zip(encoded).enumerate() {
        assert_eq!(hex(stored), hex(encoded), "{name}, line {}", i + 1);
    }
}

fn relay(name: &str) -> Target {
    Target::Relay(name.to_string())
}

fn backend(name: &str) -> Target {
    Target::Backend(name.to_string())
}

fn text(text: &str) -> String {
    text.to_string()
}

fn domain(zone: &str, kind: &str, group: &str) -> FailureDomain {
    FailureDomain { zone: text(zone), kind: text(kind), group: text(group) }
}

fn observe(target: Target, zone: &str, health: HealthState) -> Command {
    Command::Observe { target, domain: domain(zone, "large", "g1"), health }
}

fn request(target: Target, request_id: u64, force: bool) -> Command {
    Command::Request { target, request_id, requested_by: text("ann"), reason: text("new disks"), force }
}

fn mark_done(name: &str, lease_id: u64, succeeded: bool) -> Command {
    let reason = if succeeded { String::new() } else { text("the disk is full") };
    Command::MarkDone { target: backend(name), lease_id, succeeded, reason }
}

fn analysis(wave: u64, passed: bool) -> Command {
    Command::RecordAnalysis { wave, passed, reason: text("bad at the new build 3 of 40, at the old 1 of 90") }
}

fn plan() -> RolloutPlan {
    RolloutPlan {
        build: text("b2"),
        target_kind: TargetKind::Backend,
        waves: vec![
            Wave { names: vec![text("s1")], count: 0, share_ppm: 0 },
            Wave { names: vec![], count: 1, share_ppm: 300_000 },
        ],
        analysis: AnalysisPolicy { min_sessions: 200, margin_ppm: 20_000, deadline_s: 600 },
        requested_by: text("bo"),
    }
}

fn budgets() -> Vec<Budget> {
    let budget = |target_kind, scope, max_count, max_share_ppm| Budget {
        target_kind,
        scope,
        max_count,
        max_share_ppm,
    };
    vec![
        budget(TargetKind::Relay, Scope::Fleet, Some(2), None),
        budget(TargetKind::Relay, Scope::Zone, None, Some(500_000)),
        budget(TargetKind::Backend, Scope::Kind, Some(3), Some(900_000)),
        budget(TargetKind::Backend, Scope::Group, Some(2), None),
    ]
}

/// Each kind of command, with each of its optional parts and each value of its enums.
fn commands() -> Vec<Command> {
    let (up, warming_up) = (HealthState::Up, HealthState::WarmingUp);
    let (down, removed) = (HealthState::Down, HealthState::Removed);
    vec![
        Command::SetBudgets(vec![]),
        Command::SetBudgets(budgets()),
        observe(relay("r1"), "east", up),
        observe(backend("s1"), "west", warming_up),
        observe(backend("s1"), "west", down),
        Command::Observe { target: relay("r1"), domain: FailureDomain::default(), health: removed },
        request(relay("r1"), 1, false),
        request(backend("s1"), u64::MAX, true),
        Command::Withdraw { target: relay("r1"), request_id: 1 },
        Command::Begin { target: relay("r1"), lease_id: 300 },
        Command::Expire { target: backend("s1"), lease_id: 70_000 },
        Command::Return { target: backend("s1") },
        Command::Reclaim { target: relay("r1"), requested_by: text("bo") },
        Command::StartRollout { plan: plan() },
        mark_done("s1", 7, true),
        mark_done("s1", 8, false),
        analysis(0, true),
        analysis(1, false),
        Command::Halt { requested_by: text("ann"), reason: text("lunch") },
        Command::Resume { requested_by: text("ann") },
        Command::RollBack { requested_by: text("ann") },
    ]
}

/// Leases that are requested, granted, begun, expired, withdrawn, forced, reclaimed and returned. Then a
/// rollout that is halted by an operator and by a failed wave and is rolled back, and one that finishes.
fn history() -> Vec<Command> {
    let (up, warming_up) = (HealthState::Up, HealthState::WarmingUp);
    let (down, removed) = (HealthState::Down, HealthState::Removed);
    let start = || Command::StartRollout { plan: plan() };
    let halt = || Command::Halt { requested_by: text("ann"), reason: text("lunch") };
    let resume = || Command::Resume { requested_by: text("ann") };
    let roll_back = || Command::RollBack { requested_by: text("ann") };
    let r1 = || relay("r1");
    vec![
        Command::SetBudgets(budgets()),
        observe(relay("r1"), "east", up),
        observe(relay("r2"), "east", up),
        observe(relay("r3"), "west", up),
        observe(relay("r4"), "west", up),
        observe(backend("s1"), "east", up),
        observe(backend("s2"), "east", up),
        observe(backend("s3"), "west", up),
        request(r1(), 11, false),
        request(r1(), 12, false),
        request(relay("r2"), 13, false),
        request(relay("r3"), 14, false),
        Command::Begin { target: r1(), lease_id: 1 },
        Command::Begin { target: r1(), lease_id: 9 },
        request(relay("r4"), 15, false),
        Command::Expire { target: relay("r3"), lease_id: 2 },
        Command::Withdraw { target: relay("r2"), request_id: 13 },
        request(relay("r2"), 16, true),
        observe(r1(), "east", down),
        Command::Return { target: r1() },
        observe(r1(), "east", warming_up),
        request(r1(), 17, false),
        observe(r1(), "east", up),
        Command::Reclaim { target: relay("r2"), requested_by: text("bo") },
        observe(relay("r4"), "west", removed),
        request(backend("s3"), 18, false),
        Command::Begin { target: backend("s3"), lease_id: 5 },
        start(),
        start(),
        mark_done("s1", 1, true),
        observe(backend("s1"), "east", down),
        mark_done("s1", 6, true),
        observe(backend("s1"), "east", warming_up),
        observe(backend("s1"), "east", up),
        halt(),
        resume(),
        Command::Return { target: backend("s3") },
        analysis(0, true),
        mark_done("s2", 7, true),
        mark_done("s3", 8, false),
        resume(),
        mark_done("s2", 7, true),
        analysis(1, false),
        roll_back(),
        halt(),
        resume(),
        mark_done("s3", 8, true),
        mark_done("s2", 9, true),
        observe(backend("s1"), "east", down),
        mark_done("s1", 10, true),
        observe(backend("s1"), "east", up),
        mark_done("s3", 11, true),
        start(),
        mark_done("s1", 11, true),
        analysis(0, true),
        mark_done("s2", 12, true),
        mark_done("s3", 13, true),
        analysis(1, true),
        request(relay("unknown"), 19, false),
    ]
}

#[test]
fn stored_commands_decode_and_encode_unchanged() {
    let encoded: Vec<Vec<u8>> = commands().iter().map(Command::encode).collect();
    compare_with_fixture("commands.hex", &encoded);
    for (stored, command) in lines("commands.hex").iter().zip(commands()) {
        assert_eq!(Command::decode(stored), Ok(command));
    }
}

#[test]
fn command_history_yields_recorded_states_and_outcomes() {
    let (mut state, mut states, mut outcomes) = (State::default(), vec![], vec![]);
    for command in history() {
        outcomes.push(postcard::to_stdvec(&state.apply(&command)).expect("encode the outcome"));
        states.push(state.encode());
    }
    compare_with_fixture("states.hex", &states);
    compare_with_fixture("outcomes.hex", &outcomes);
    for stored in lines("states.hex") {
        let state = State::decode(&stored).expect("decode the stored state");
        assert_eq!(hex(&state.encode()), hex(&stored));
    }
    for stored in lines("outcomes.hex") {
        let outcome: Outcome = postcard::from_bytes(&stored).expect("decode the stored outcome");
        assert_eq!(hex(&postcard::to_stdvec(&outcome).expect("encode the outcome")), hex(&stored));
    }
}

/// The recorded history guards the encoding only of the states and phases that it reaches.
#[test]
fn command_history_reaches_all_states_and_phases() {
    let (mut lease_states, mut item_states, mut phases) = (vec![], vec![], vec![]);
    for stored in lines("states.hex") {
        let state = State::decode(&stored).expect("decode the stored state");
        lease_states.extend(state.leases().map(|(_, lease)| lease.state.word()));
        item_states.extend(state.rollout().iter().flat_map(|r| &r.items).map(|item| item.state.word()));
        phases.extend(state.rollout().map(|r| r.phase));
    }
    for state in ["in", "asked", "granted", "out", "returning"] {
        assert!(lease_states.contains(&state), "lease state {state} is not reached");
    }
    for state in ["to do", "going", "changed", "done", "going back", "changed back", "back"] {
        assert!(item_states.contains(&state), "item state {state} is not reached");
    }
    for phase in [
        RolloutPhase::Running,
        RolloutPhase::Analyzing,
        RolloutPhase::Halted,
        RolloutPhase::RollingBack,
        RolloutPhase::RollbackHalted,
        RolloutPhase::Finished,
        RolloutPhase::RolledBack,
    ] {
        assert!(phases.contains(&phase), "phase {phase:?} is not reached");
    }
}

#[test]
fn outcomes_and_errors_encode_to_recorded_bytes() {
    let outcomes = [
        Outcome::Done,
        Outcome::Granted { lease_id: 300 },
        Outcome::AlreadyOut { lease_id: 7 },
        Outcome::RequestedByAnother { requested_by: text("ann"), reason: text("new disks") },
        Outcome::Waiting {
            blocked_by: text("at most 1 relay of the fleet"),
            unavailable: vec![text("relay a (out)")],
        },
        Outcome::Rejected(CommandError::UnknownTarget),
        Outcome::Rejected(CommandError::LimitExceeded),
        Outcome::Rejected(CommandError::Stale),
        Outcome::Rejected(CommandError::UnsupportedVersion),
    ];
    let encoded: Vec<Vec<u8>> =
        outcomes.iter().map(|outcome| postcard::to_stdvec(outcome).expect("encode the outcome")).collect();
    compare_with_fixture("outcome.hex", &encoded);
    for (stored, outcome) in lines("outcome.hex").iter().zip(outcomes) {
        assert_eq!(postcard::from_bytes::<Outcome>(stored), Ok(outcome));
    }
}
