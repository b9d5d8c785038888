//! Tests which lease requests the disruption budgets grant, and which have to wait.
use hallrelay_disruption::{
    BlockedBy, Budget, Command, CommandError, FailureDomain, HealthState, LeaseState, Outcome, Scope, State,
    Target, TargetKind,
};

fn relay(name: &str) -> Target {
    Target::Relay(name.to_string())
}

fn budget(scope: Scope, max_count: Option<u32>, max_share_ppm: Option<u32>) -> Budget {
    Budget { target_kind: TargetKind::Relay, scope, max_count, max_share_ppm }
}

fn observe(state: &mut State, name: &str, zone: &str, health: HealthState) {
    let domain = FailureDomain { zone: zone.to_string(), ..FailureDomain::default() };
    state.apply(&Command::Observe { target: relay(name), domain, health });
}

/// Relays `a` to `d` in zone east, `e` and `f` in zone west, all up.
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

fn assert_granted(outcome: &Outcome) {
    assert!(matches!(outcome, Outcome::Granted { .. }), "expected a grant, got {outcome:?}");
}

/// The budget that blocks a waiting request.
fn blocked_by(outcome: Outcome) -> BlockedBy {
    match outcome {
        Outcome::Waiting { blocked_by, unavailable } => BlockedBy { limit: blocked_by, unavailable },
        other => panic!("expected a waiting request, got {other:?}"),
    }
}

fn lease_state(state: &State, name: &str) -> LeaseState {
    state.lease(&relay(name)).expect("look up the lease of an observed relay").state
}

#[test]
fn grants_within_budget_then_to_oldest_request() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    assert_eq!(request(&mut s, "a", 1, false), Outcome::Granted { lease_id: 1 });
    assert_eq!(
        request(&mut s, "a", 1, false),
        Outcome::Granted { lease_id: 1 },
        "repeating the request returns the same grant"
    );
    let other_request =
        Outcome::RequestedByAnother { requested_by: "ann".to_string(), reason: "new disks".to_string() };
    assert_eq!(request(&mut s, "a", 9, false), other_request, "another request for the same target");
    let blocked = blocked_by(request(&mut s, "c", 2, false));
    assert_eq!(blocked.limit, "at most 1 relay of the fleet");
    assert_eq!(blocked.unavailable, vec!["relay a (granted)".to_string()]);
    blocked_by(request(&mut s, "b", 3, false));
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
        "a target that warms up is not in service"
    );
    observe(&mut s, "a", "east", HealthState::Up);
    assert_eq!(
        (lease_state(&s, "a"), lease_state(&s, "c"), lease_state(&s, "b")),
        (LeaseState::InService, LeaseState::Granted, LeaseState::Waiting)
    );
    // The grant to c was not begun in time, so the next request is granted with a new lease id.
    assert_eq!(s.apply(&Command::Expire { target: relay("c"), lease_id: 2 }), Outcome::Done);
    assert_eq!(request(&mut s, "b", 3, false), Outcome::Granted { lease_id: 3 });
}

#[test]
fn lowest_budget_applies_and_shares_round_down() {
    // A quarter of 6 relays is 1. Half of a zone is 1 of 2 relays, or 2 of 4.
    let half = budget(Scope::Zone, None, Some(500_000));
    let mut s = fleet(vec![half.clone()]);
    assert_granted(&request(&mut s, "a", 1, false));
    assert_granted(&request(&mut s, "b", 2, false));
    assert_eq!(blocked_by(request(&mut s, "c", 3, false)).limit, "at most 2 relay of zone east");
    assert_granted(&request(&mut s, "e", 4, false));
    assert_eq!(blocked_by(request(&mut s, "f", 5, false)).limit, "at most 1 relay of zone west");
    let mut s = fleet(vec![half, budget(Scope::Fleet, Some(3), Some(250_000))]);
    assert_granted(&request(&mut s, "a", 1, false));
    assert_eq!(blocked_by(request(&mut s, "e", 2, false)).limit, "at most 1 relay of the fleet");
}

#[test]
fn unplanned_outage_counts_against_budget() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    observe(&mut s, "f", "west", HealthState::Down);
    assert_eq!(blocked_by(request(&mut s, "a", 1, false)).unavailable, vec!["relay f (not up)".to_string()]);
    observe(&mut s, "e", "west", HealthState::Down);
    observe(&mut s, "f", "west", HealthState::Up);
    assert_eq!(lease_state(&s, "a"), LeaseState::Waiting, "relay e is down instead of f");
    observe(&mut s, "e", "west", HealthState::Up);
    assert_eq!(lease_state(&s, "a"), LeaseState::Granted);
    // A target that is removed while it is out counts until it is observed to be up or a person reclaims it.
    s.apply(&Command::Begin { target: relay("a"), lease_id: 1 });
    observe(&mut s, "a", "east", HealthState::Removed);
    blocked_by(request(&mut s, "b", 2, false));
    assert_eq!(
        s.apply(&Command::Reclaim { target: relay("a"), requested_by: "bo".to_string() }),
        Outcome::Done
    );
    assert_eq!(lease_state(&s, "b"), LeaseState::Waiting, "relay a is reclaimed but still not up");
    observe(&mut s, "a", "east", HealthState::Up);
    assert_eq!(lease_state(&s, "b"), LeaseState::Granted);
}

#[test]
fn force_ignores_budget_and_lowered_budget_keeps_grants() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(0), None)]);
    blocked_by(request(&mut s, "a", 1, false));
    assert_eq!(request(&mut s, "b", 2, true), Outcome::Granted { lease_id: 1 }, "a forced request");
    assert!(s.lease(&relay("b")).expect("look up the lease of relay b").forced, "relay b: lease not forced");
    assert_eq!(s.apply(&Command::Withdraw { target: relay("a"), request_id: 1 }), Outcome::Done);
    assert_eq!(lease_state(&s, "a"), LeaseState::InService);
    assert_eq!(request(&mut s, "unknown", 3, false), Outcome::Rejected(CommandError::UnknownTarget));
    // After the budget is lowered below the number of grants, the grants stay and none is added.
    let mut s = fleet(vec![budget(Scope::Fleet, Some(2), None)]);
    request(&mut s, "a", 1, false);
    request(&mut s, "b", 2, false);
    s.apply(&Command::SetBudgets(vec![budget(Scope::Fleet, Some(1), None)]));
    s.apply(&Command::Expire { target: relay("a"), lease_id: 1 });
    blocked_by(request(&mut s, "c", 3, false));
    assert_eq!((lease_state(&s, "b"), State::decode(&s.encode())), (LeaseState::Granted, Ok(s.clone())));
}

#[test]
fn decoding_rejects_malformed_commands() {
    let long = Command::Return { target: relay(&"x".repeat(65)) };
    assert_eq!(Command::decode(&long.encode()), Err(CommandError::LimitExceeded));
    assert_eq!(Command::decode(&[2, 0]), Err(CommandError::UnsupportedVersion));
    assert_eq!(Command::decode(&[]), Err(CommandError::UnsupportedVersion));
    let mut bytes = Command::Return { target: relay("a") }.encode();
    assert_eq!(Command::decode(&bytes), Ok(Command::Return { target: relay("a") }));
    bytes.truncate(2);
    assert_eq!(Command::decode(&bytes), Err(CommandError::UnsupportedVersion));
}
