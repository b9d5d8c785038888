//! Who is granted what, case by case.
use hallrelay_disruption::{
    Budget, Command, Condition, Fault, Kind, Outcome, Place, Scope, Stage, State, Thing,
};

fn relay(name: &str) -> Thing {
    Thing::Relay(name.to_string())
}

fn budget(scope: Scope, count: Option<u32>, part: Option<u32>) -> Budget {
    Budget { of: Kind::Relay, scope, count, part }
}

fn seen(state: &mut State, name: &str, zone: &str, condition: Condition) {
    let place = Place { zone: zone.to_string(), ..Place::default() };
    state.apply(&Command::Seen { thing: relay(name), place, condition });
}

/// `a` to `d` in east, `e` and `f` in west, all up.
fn fleet(budgets: Vec<Budget>) -> State {
    let mut state = State::default();
    state.apply(&Command::Budgets(budgets));
    for name in ["a", "b", "c", "d"] {
        seen(&mut state, name, "east", Condition::Up);
    }
    for name in ["e", "f"] {
        seen(&mut state, name, "west", Condition::Up);
    }
    state
}

fn ask(state: &mut State, name: &str, call: u64, force: bool) -> Outcome {
    let (by, why) = ("ann".to_string(), "new disks".to_string());
    state.apply(&Command::Ask { thing: relay(name), call, by, why, force })
}

fn waits(outcome: Outcome) -> (String, Vec<String>) {
    match outcome {
        Outcome::Waits { why, out } => (why, out),
        other => panic!("{other:?}"),
    }
}

fn stage(state: &State, name: &str) -> Stage {
    state.get(&relay(name)).expect("it is seen").stage
}

#[test]
fn one_at_a_time_then_the_oldest_wish() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    assert_eq!(ask(&mut s, "a", 1, false), Outcome::Granted { grant: 1 });
    assert_eq!(ask(&mut s, "a", 1, false), Outcome::Granted { grant: 1 }, "the same wish once more");
    let taken = Outcome::Taken { by: "ann".to_string(), why: "new disks".to_string() };
    assert_eq!(ask(&mut s, "a", 9, false), taken, "another's wish for the same");
    let (why, out) = waits(ask(&mut s, "c", 2, false));
    assert_eq!((why.as_str(), out), ("at most 1 relay of the fleet", vec!["relay a (granted)".to_string()]));
    waits(ask(&mut s, "b", 3, false));
    assert_eq!(s.apply(&Command::Begin { thing: relay("a"), grant: 2 }), Outcome::Not(Fault::Stale));
    assert_eq!(s.apply(&Command::Begin { thing: relay("a"), grant: 1 }), Outcome::Done);
    assert_eq!(s.apply(&Command::Lapse { thing: relay("a"), grant: 1 }), Outcome::Not(Fault::Stale));
    seen(&mut s, "a", "east", Condition::Down);
    s.apply(&Command::Back { thing: relay("a") });
    seen(&mut s, "a", "east", Condition::Cold);
    assert_eq!((stage(&s, "a"), stage(&s, "c")), (Stage::Returning, Stage::Waiting), "cold is not in");
    seen(&mut s, "a", "east", Condition::Up);
    assert_eq!((stage(&s, "a"), stage(&s, "c"), stage(&s, "b")), (Stage::In, Stage::Granted, Stage::Waiting));
    // Not begun in time: the next one's turn, under a number of its own.
    assert_eq!(s.apply(&Command::Lapse { thing: relay("c"), grant: 2 }), Outcome::Done);
    assert_eq!(ask(&mut s, "b", 3, false), Outcome::Granted { grant: 3 });
}

#[test]
fn the_least_of_all_budgets_holds_and_a_part_is_rounded_down() {
    // A quarter of six is one; a half of a zone of two is one, of four two.
    let half = budget(Scope::Zone, None, Some(500_000));
    let mut s = fleet(vec![half.clone()]);
    assert!(matches!(ask(&mut s, "a", 1, false), Outcome::Granted { .. }));
    assert!(matches!(ask(&mut s, "b", 2, false), Outcome::Granted { .. }));
    assert_eq!(waits(ask(&mut s, "c", 3, false)).0, "at most 2 relay of zone east");
    assert!(matches!(ask(&mut s, "e", 4, false), Outcome::Granted { .. }));
    assert_eq!(waits(ask(&mut s, "f", 5, false)).0, "at most 1 relay of zone west");
    let mut s = fleet(vec![half, budget(Scope::Fleet, Some(3), Some(250_000))]);
    assert!(matches!(ask(&mut s, "a", 1, false), Outcome::Granted { .. }));
    assert_eq!(waits(ask(&mut s, "e", 2, false)).0, "at most 1 relay of the fleet");
}

#[test]
fn the_unplanned_takes_room_and_is_never_refused() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(1), None)]);
    seen(&mut s, "f", "west", Condition::Down);
    assert_eq!(waits(ask(&mut s, "a", 1, false)).1, vec!["relay f (not up)".to_string()]);
    seen(&mut s, "e", "west", Condition::Down);
    seen(&mut s, "f", "west", Condition::Up);
    assert_eq!(stage(&s, "a"), Stage::Waiting, "another is down by now");
    seen(&mut s, "e", "west", Condition::Up);
    assert_eq!(stage(&s, "a"), Stage::Granted);
    // It dies while it may be out: it stays counted till it is seen in, or a person says so.
    s.apply(&Command::Begin { thing: relay("a"), grant: 1 });
    seen(&mut s, "a", "east", Condition::Gone);
    waits(ask(&mut s, "b", 2, false));
    assert_eq!(s.apply(&Command::Free { thing: relay("a"), by: "bo".to_string() }), Outcome::Done);
    assert_eq!(stage(&s, "b"), Stage::Waiting, "freed, and still not up");
    seen(&mut s, "a", "east", Condition::Up);
    assert_eq!(stage(&s, "b"), Stage::Granted);
}

#[test]
fn odd_budgets_and_force() {
    let mut s = fleet(vec![budget(Scope::Fleet, Some(0), None)]);
    waits(ask(&mut s, "a", 1, false));
    assert_eq!(ask(&mut s, "b", 2, true), Outcome::Granted { grant: 1 }, "forced");
    assert!(s.get(&relay("b")).expect("seen").forced);
    assert_eq!(s.apply(&Command::Drop { thing: relay("a"), call: 1 }), Outcome::Done);
    assert_eq!(stage(&s, "a"), Stage::In);
    assert_eq!(ask(&mut s, "nobody", 3, false), Outcome::Not(Fault::Unknown));
    // Smaller than what is out: nothing new, and what is out stays.
    let mut s = fleet(vec![budget(Scope::Fleet, Some(2), None)]);
    ask(&mut s, "a", 1, false);
    ask(&mut s, "b", 2, false);
    s.apply(&Command::Budgets(vec![budget(Scope::Fleet, Some(1), None)]));
    s.apply(&Command::Lapse { thing: relay("a"), grant: 1 });
    waits(ask(&mut s, "c", 3, false));
    assert_eq!((stage(&s, "b"), State::decode(&s.encode())), (Stage::Granted, Ok(s.clone())));
}

#[test]
fn odd_bytes_change_nothing() {
    let long = Command::Back { thing: relay(&"x".repeat(65)) };
    assert_eq!(Command::decode(&long.encode()), Err(Fault::Bound));
    assert_eq!(Command::decode(&[2, 0]), Err(Fault::Version));
    assert_eq!(Command::decode(&[]), Err(Fault::Version));
    let mut whole = Command::Back { thing: relay("a") }.encode();
    assert!(Command::decode(&whole).is_ok());
    whole.truncate(2);
    assert_eq!(Command::decode(&whole), Err(Fault::Version));
}
