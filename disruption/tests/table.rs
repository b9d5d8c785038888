//! Who is granted what, case by case.
use hallrelay_disruption::{
    Budget, Command, CommandError, FailureDomain, HealthState, LeaseState, Outcome, Scope, State, Target,
    TargetKind,
};

fn relay(name: &str) -> Target {
    Target::Relay(name.to_string())
}

fn budget(scope: Scope, count: Option<u32>, part: Option<u32>) -> Budget {
    Budget { target_kind: TargetKind::Relay, scope, max_count: count, max_share_ppm: part }
}

fn observe(state: &mut State, name: &str, zone: &str, health: HealthState) {
    let domain = FailureDomain { zone: zone.to_string(), ..FailureDomain::default() };
    state.apply(&Command::Observe { target: relay(name), domain, health });
}

/// `a` to `d` in east, `e` and `f` in west, all up.
fn fleet(budgets: Vec<Budget>) -> State {
    let mut state = State::default();
    state.apply(&Command::SetBudgets(budgets));
    for name in ["a", "b", "c", "d"] {
        observe(&mut state, name, "east", HealthState::Up);
    }
    for name in ["e", "f"] {
        observe(&mut state, name, "west", HealthState::Up);
    }
    state
}

fn request(state: &mut State, name: &str, request_id: u64, force: bool) -> Outcome {
    let (requested_by, reason) = ("ann".to_string(), "new disks".to_string());
    state.apply(&Command::Request { target: relay(name), request_id, requested_by, reason, force })
}

fn waiting(outcome: Outcome) -> (String, Vec<String>) {
    match outcome {
        Outcome::Waiting { blocked_by, unavailable } => (blocked_by, unavailable),
        other => panic!("{other:?}"),
    }
}

fn lease_state(state: &State, name: &str) -> LeaseState {
    state.lease(&relay(name)).expect("it was observed").state
}

#[test]
fn one_at_a_time_then_the_oldest_wish() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    assert_eq!(request(&mut s, "a", 1, false), Outcome::Granted { lease_id: 1 });
    assert_eq!(request(&mut s, "a", 1, false), Outcome::Granted { lease_id: 1 }, "the same wish once more");
    let taken =
        Outcome::RequestedByAnother { requested_by: "ann".to_string(), reason: "new disks".to_string() };
    assert_eq!(request(&mut s, "a", 9, false), taken, "another's wish for the same");
    let (why, out) = waiting(request(&mut s, "c", 2, false));
    assert_eq!((why.as_str(), out), ("at most 1 relay of the fleet", vec!["relay a (granted)".to_string()]));
    waiting(request(&mut s, "b", 3, false));
    assert_eq!(
        s.apply(&Command::Begin { target: relay("a"), lease_id: 2 }),
        Outcome::Rejected(CommandError::Stale)
    );
    assert_eq!(s.apply(&Command::Begin { target: relay("a"), lease_id: 1 }), Outcome::Done);
    assert_eq!(
        s.apply(&Command::Expire { target: relay("a"), lease_id: 1 }),
        Outcome::Rejected(CommandError::Stale)
    );
    observe(&mut s, "a", "east", HealthState::Down);
    s.apply(&Command::Return { target: relay("a") });
    observe(&mut s, "a", "east", HealthState::WarmingUp);
    assert_eq!(
        (lease_state(&s, "a"), lease_state(&s, "c")),
        (LeaseState::Returning, LeaseState::Waiting),
        "cold is not in"
    );
    observe(&mut s, "a", "east", HealthState::Up);
    assert_eq!(
        (lease_state(&s, "a"), lease_state(&s, "c"), lease_state(&s, "b")),
        (LeaseState::InService, LeaseState::Granted, LeaseState::Waiting)
    );
    // Not begun in time: the next one's turn, under a number of its own.
    assert_eq!(s.apply(&Command::Expire { target: relay("c"), lease_id: 2 }), Outcome::Done);
    assert_eq!(request(&mut s, "b", 3, false), Outcome::Granted { lease_id: 3 });
}

#[test]
fn the_least_of_all_budgets_holds_and_a_part_is_rounded_down() {
    // A quarter of six is one; a half of a zone of two is one, of four two.
    let half = budget(Scope::Zone, None, Some(500_000));
    let mut s = fleet(vec![half.clone()]);
    assert!(matches!(request(&mut s, "a", 1, false), Outcome::Granted { .. }));
    assert!(matches!(request(&mut s, "b", 2, false), Outcome::Granted { .. }));
    assert_eq!(waiting(request(&mut s, "c", 3, false)).0, "at most 2 relay of zone east");
    assert!(matches!(request(&mut s, "e", 4, false), Outcome::Granted { .. }));
    assert_eq!(waiting(request(&mut s, "f", 5, false)).0, "at most 1 relay of zone west");
    let mut s = fleet(vec![half, budget(Scope::Fleet, Some(3), Some(250_000))]);
    assert!(matches!(request(&mut s, "a", 1, false), Outcome::Granted { .. }));
    assert_eq!(waiting(request(&mut s, "e", 2, false)).0, "at most 1 relay of the fleet");
}

#[test]
fn the_unplanned_takes_room_and_is_never_refused() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    observe(&mut s, "f", "west", HealthState::Down);
    assert_eq!(waiting(request(&mut s, "a", 1, false)).1, vec!["relay f (not up)".to_string()]);
    observe(&mut s, "e", "west", HealthState::Down);
    observe(&mut s, "f", "west", HealthState::Up);
    assert_eq!(lease_state(&s, "a"), LeaseState::Waiting, "another is down by now");
    observe(&mut s, "e", "west", HealthState::Up);
    assert_eq!(lease_state(&s, "a"), LeaseState::Granted);
    // It dies while it may be out: it stays counted till it is seen in, or a person says so.
    s.apply(&Command::Begin { target: relay("a"), lease_id: 1 });
    observe(&mut s, "a", "east", HealthState::Removed);
    waiting(request(&mut s, "b", 2, false));
    assert_eq!(
        s.apply(&Command::Reclaim { target: relay("a"), requested_by: "bo".to_string() }),
        Outcome::Done
    );
    assert_eq!(lease_state(&s, "b"), LeaseState::Waiting, "freed, and still not up");
    observe(&mut s, "a", "east", HealthState::Up);
    assert_eq!(lease_state(&s, "b"), LeaseState::Granted);
}

#[test]
fn odd_budgets_and_force() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(0), None)]);
    waiting(request(&mut s, "a", 1, false));
    assert_eq!(request(&mut s, "b", 2, true), Outcome::Granted { lease_id: 1 }, "forced");
    assert!(s.lease(&relay("b")).expect("seen").forced);
    assert_eq!(s.apply(&Command::Withdraw { target: relay("a"), request_id: 1 }), Outcome::Done);
    assert_eq!(lease_state(&s, "a"), LeaseState::InService);
    assert_eq!(request(&mut s, "nobody", 3, false), Outcome::Rejected(CommandError::UnknownTarget));
    // Smaller than what is out: nothing new, and what is out stays.
    let mut s = fleet(vec![budget(Scope::Fleet, Some(2), None)]);
    request(&mut s, "a", 1, false);
    request(&mut s, "b", 2, false);
    s.apply(&Command::SetBudgets(vec![budget(Scope::Fleet, Some(1), None)]));
    s.apply(&Command::Expire { target: relay("a"), lease_id: 1 });
    waiting(request(&mut s, "c", 3, false));
    assert_eq!((lease_state(&s, "b"), State::decode(&s.encode())), (LeaseState::Granted, Ok(s.clone())));
}

#[test]
fn odd_bytes_change_nothing() {
    let long = Command::Return { target: relay(&"x".repeat(65)) };
    assert_eq!(Command::decode(&long.encode()), Err(CommandError::LimitExceeded));
    assert_eq!(Command::decode(&[2, 0]), Err(CommandError::UnsupportedVersion));
    assert_eq!(Command::decode(&[]), Err(CommandError::UnsupportedVersion));
    let mut whole = Command::Return { target: relay("a") }.encode();
    assert!(Command::decode(&whole).is_ok());
    whole.truncate(2);
    assert_eq!(Command::decode(&whole), Err(CommandError::UnsupportedVersion));
}
