//! Leases under budgets: which requests are granted, and which wait.
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

/// What a waiting request is blocked by.
fn blocked_by(outcome: Outcome) -> BlockedBy {
    match outcome {
        Outcome::Waiting { blocked_by, unavailable } => BlockedBy { limit: blocked_by, unavailable },
        other => panic!("{other:?}"),
    }
}

fn lease_state(state: &State, name: &str) -> LeaseState {
    state.lease(&relay(name)).expect("it was observed").state
}

#[test]
fn one_at_a_time_then_the_oldest_request() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    assert_eq!(request(&mut s, "a", 1, false), Outcome::Granted { lease_id: 1 });
    assert_eq!(
        request(&mut s, "a", 1, false),
        Outcome::Granted { lease_id: 1 },
        "the same request once more"
    );
    let other_request =
        Outcome::RequestedByAnother { requested_by: "ann".to_string(), reason: "new disks".to_string() };
    assert_eq!(request(&mut s, "a", 9, false), other_request, "another request for the same");
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
        "warming up is not in service"
    );
    observe(&mut s, "a", "east", HealthState::Up);
    assert_eq!(
        (lease_state(&s, "a"), lease_state(&s, "c"), lease_state(&s, "b")),
        (LeaseState::InService, LeaseState::Granted, LeaseState::Waiting)
    );
    // Not begun in time: the next request is granted, under a lease id of its own.
    assert_eq!(s.apply(&Command::Expire { target: relay("c"), lease_id: 2 }), Outcome::Done);
    assert_eq!(request(&mut s, "b", 3, false), Outcome::Granted { lease_id: 3 });
}

#[test]
fn the_lowest_of_all_budgets_holds_and_a_share_is_rounded_down() {
    // A quarter of six is one; a half of a zone of two is one, of four two.
    let half = budget(Scope::Zone, None, Some(500_000));
    let mut s = fleet(vec![half.clone()]);
    assert!(matches!(request(&mut s, "a", 1, false), Outcome::Granted { .. }));
    assert!(matches!(request(&mut s, "b", 2, false), Outcome::Granted { .. }));
    assert_eq!(blocked_by(request(&mut s, "c", 3, false)).limit, "at most 2 relay of zone east");
    assert!(matches!(request(&mut s, "e", 4, false), Outcome::Granted { .. }));
    assert_eq!(blocked_by(request(&mut s, "f", 5, false)).limit, "at most 1 relay of zone west");
    let mut s = fleet(vec![half, budget(Scope::Fleet, Some(3), Some(250_000))]);
    assert!(matches!(request(&mut s, "a", 1, false), Outcome::Granted { .. }));
    assert_eq!(blocked_by(request(&mut s, "e", 2, false)).limit, "at most 1 relay of the fleet");
}

#[test]
fn an_unplanned_outage_counts_against_the_budget() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    observe(&mut s, "f", "west", HealthState::Down);
    assert_eq!(blocked_by(request(&mut s, "a", 1, false)).unavailable, vec!["relay f (not up)".to_string()]);
    observe(&mut s, "e", "west", HealthState::Down);
    observe(&mut s, "f", "west", HealthState::Up);
    assert_eq!(lease_state(&s, "a"), LeaseState::Waiting, "another is down by now");
    observe(&mut s, "e", "west", HealthState::Up);
    assert_eq!(lease_state(&s, "a"), LeaseState::Granted);
    // Removed while it is out: it counts until it is observed to be up, or a person reclaims it.
    s.apply(&Command::Begin { target: relay("a"), lease_id: 1 });
    observe(&mut s, "a", "east", HealthState::Removed);
    blocked_by(request(&mut s, "b", 2, false));
    assert_eq!(
        s.apply(&Command::Reclaim { target: relay("a"), requested_by: "bo".to_string() }),
        Outcome::Done
    );
    assert_eq!(lease_state(&s, "b"), LeaseState::Waiting, "reclaimed, and still not up");
    observe(&mut s, "a", "east", HealthState::Up);
    assert_eq!(lease_state(&s, "b"), LeaseState::Granted);
}

#[test]
fn a_budget_of_none_force_and_a_lowered_budget() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(0), None)]);
    blocked_by(request(&mut s, "a", 1, false));
    assert_eq!(request(&mut s, "b", 2, true), Outcome::Granted { lease_id: 1 }, "forced");
    assert!(s.lease(&relay("b")).expect("it was observed").forced);
    assert_eq!(s.apply(&Command::Withdraw { target: relay("a"), request_id: 1 }), Outcome::Done);
    assert_eq!(lease_state(&s, "a"), LeaseState::InService);
    assert_eq!(request(&mut s, "nobody", 3, false), Outcome::Rejected(CommandError::UnknownTarget));
    // Lowered below what is granted: nothing new is granted, and the grants stay.
    let mut s = fleet(vec![budget(Scope::Fleet, Some(2), None)]);
    request(&mut s, "a", 1, false);
    request(&mut s, "b", 2, false);
    s.apply(&Command::SetBudgets(vec![budget(Scope::Fleet, Some(1), None)]));
    s.apply(&Command::Expire { target: relay("a"), lease_id: 1 });
    blocked_by(request(&mut s, "c", 3, false));
    assert_eq!((lease_state(&s, "b"), State::decode(&s.encode())), (LeaseState::Granted, Ok(s.clone())));
}

#[test]
fn malformed_bytes_are_rejected() {
    let long = Command::Return { target: relay(&"x".repeat(65)) };
    assert_eq!(Command::decode(&long.encode()), Err(CommandError::LimitExceeded));
    assert_eq!(Command::decode(&[2, 0]), Err(CommandError::UnsupportedVersion));
    assert_eq!(Command::decode(&[]), Err(CommandError::UnsupportedVersion));
    let mut bytes = Command::Return { target: relay("a") }.encode();
    assert!(Command::decode(&bytes).is_ok());
    bytes.truncate(2);
    assert_eq!(Command::decode(&bytes), Err(CommandError::UnsupportedVersion));
}
