//! What is trusted of a store, case by case.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};
use hallrelay_recovery::{recover, Fact, Kept, Recovered, Returning, Stored, Turn, View};

const SECOND: Micros = 1_000_000;
const NOW: Micros = 1_800_000_000 * SECOND;
const WARM_UP: Micros = 20 * SECOND;
const PLACE: &str = "10.0.0.1:8500";

fn server(id: &str, phase: Phase, came_up: Micros) -> Instance {
    Instance {
        id: id.to_string(),
        addr: "10.0.0.9:80".parse().expect("an address"),
        zone: "east".to_string(),
        cell: 2,
        phase,
        came_up,
    }
}

fn list(generation: u64, instances: Vec<Instance>) -> List {
    List { generation, whole: true, instances, ..List::default() }
}

/// As a relay `r` would have kept it some seconds ago.
fn stored(kept: &[Kept]) -> Stored {
    let mut stored = Stored::default();
    for one in kept {
        let bytes = one.bytes.as_deref().expect("a value");
        stored.take(one.fact as u8, 1, one.name.as_bytes(), bytes);
    }
    assert_eq!(stored.odd, 0);
    stored
}

fn with(known: &List, kept: &[Kept]) -> Recovered {
    recover(NOW, "r", PLACE, WARM_UP, known, &stored(kept))
}

fn own() -> Kept {
    Kept::own("r", 41, NOW - 9 * SECOND)
}

fn told(generation: u64, phase: Phase, came_up: Micros) -> Kept {
    Kept::server(generation, NOW - 5 * SECOND, &server("s", phase, came_up))
}

fn phase(r: &Recovered) -> Option<Phase> {
    r.list.instances.iter().find(|one| one.id == "s").map(|one| one.phase)
}

#[test]
fn a_drain_told_before_holds_till_a_later_word() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let head = || Kept::list(PLACE, 9);
    for shut in [Phase::Draining, Phase::Gone] {
        let r = with(&known, &[own(), Kept::list("10.0.0.2:1", 9), told(9, shut, 100)]);
        assert_eq!(phase(&r), Some(shut), "another source's version lifts nothing");
        // The configuration's list is of a later version of the same list: it says so itself.
        let later = list(12, vec![server("s", Phase::Ready, 100)]);
        assert_eq!(phase(&with(&later, &[own(), head(), told(9, shut, 100)])), Some(Phase::Ready));
        // It has started anew since.
        let anew = list(7, vec![server("s", Phase::Ready, 200)]);
        let r = with(&anew, &[own(), Kept::list("10.0.0.2:1", 9), told(9, shut, 100)]);
        assert_eq!(phase(&r), Some(Phase::Ready));
    }
    // The stored list is the later one of the same source: it holds whole, without those who are gone.
    let r = with(&known, &[own(), head(), told(9, Phase::Draining, 100)]);
    assert_eq!((r.list.generation, phase(&r)), (9, Some(Phase::Draining)));
    let r = with(&known, &[own(), head(), told(9, Phase::Gone, 100)]);
    assert_eq!((r.list.generation, phase(&r)), (9, None));
    let older = with(&list(10, vec![]), &[own(), head(), told(9, Phase::Ready, 100)]);
    assert_eq!((older.list.generation, phase(&older)), (10, None), "last week's store adds nobody");
}

#[test]
fn turns_are_spent_still_and_an_unknown_age_is_the_longest_wait() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let turn = |ago: i64| Kept::turn("s", NOW.saturating_add_signed(-ago * SECOND as i64));
    let turns = |kept: &[Kept]| with(&known, kept).turns;
    let is = |ago| vec![Turn { server: "s".to_string(), ago }];
    assert_eq!(turns(&[own(), turn(3)]), is(3 * SECOND));
    assert_eq!(turns(&[own(), turn(21)]), [], "it is warm by now");
    // Written in what is the future now: the clock has gone back.
    assert_eq!(turns(&[own(), turn(-60)]), is(0));
    // The clock stands before another record: no age is known, not even a sound looking one.
    let r = with(&known, &[Kept::own("r", 1, NOW + SECOND), turn(3)]);
    assert_eq!(r.turns, is(0));
    assert!(r.words.iter().any(|word| word.contains("ages are unknown")), "{:?}", r.words);
    assert_eq!(with(&known, &[own(), turn(21)]).forgotten, [(Fact::Turn, "s".to_string())]);
}

#[test]
fn starts_rise_and_a_foreign_or_empty_store_tells_nothing() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    assert_eq!(with(&known, &[own()]).start, 42);
    let future = Kept::own("r", NOW + 500, NOW);
    assert_eq!(with(&known, &[future]).start, NOW + 501, "the start rises though the clock went back");
    let foreign = [Kept::own("other", 41, NOW), Kept::list(PLACE, 99), told(99, Phase::Gone, 100)];
    let r = with(&known, &foreign);
    assert_eq!((phase(&r), r.start, r.turns.len()), (Some(Phase::Ready), 0, 0));
    assert!(r.words[0].contains("relay other's"), "{:?}", r.words);
    // Nothing that it held is there at the next start; what the configuration tells is.
    // The server, and what stands alone: list, vote, snapshot, what is shut.
    assert_eq!((r.forgotten.len(), &r.missing), (5, &known.instances));
    let empty = with(&known, &[]);
    assert_eq!((&empty.list, &empty.missing), (&known, &known.instances));
    let r = with(
        &list(7, vec![server("s", Phase::Ready, 1), server("t", Phase::Ready, 1)]),
        &[own(), told(3, Phase::Ready, 1)],
    );
    assert_eq!(r.missing, [server("t", Phase::Ready, 1)]);
}

#[test]
fn what_is_not_understood_is_counted() {
    let mut s = stored(&[own(), told(9, Phase::Draining, 1)]);
    s.take(3, 9, b"s", b"{}");
    s.take(77, 1, b"x", b"{}");
    s.take(4, 1, b"x", b"not json");
    s.take(3, 1, b"another name", told(9, Phase::Gone, 1).bytes.as_deref().expect("a value"));
    assert_eq!((s.odd, s.servers.len(), s.turns.len()), (4, 1, 0));
    let known = list(7, vec![server("s", Phase::Ready, 1)]);
    let r = recover(NOW, "r", PLACE, WARM_UP, &known, &s);
    assert!(r.words.iter().any(|word| word.contains("4 records")), "{:?}", r.words);
    assert_eq!(phase(&r), Some(Phase::Draining));
}

/// An end told long ago is forgotten; one of unknown age is kept.
#[test]
fn old_ends_are_forgotten() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let gone = |wall| Kept::server(9, wall, &server("s", Phase::Gone, 100));
    let week = 7 * 86_400 * SECOND;
    let r = with(&known, &[own(), gone(NOW - week - 1)]);
    assert_eq!((phase(&r), r.forgotten), (Some(Phase::Ready), vec![(Fact::Server, "s".to_string())]));
    assert_eq!(phase(&with(&known, &[own(), gone(NOW + week)])), Some(Phase::Gone));
}

#[test]
fn the_way_back_in_words() {
    let view = |servers, cold, spoken, hearsay| View { servers, cold, spoken, hearsay };
    let cases = [
        (view(0, 0, true, true), "dark"),
        (view(3, 0, false, false), "remembering"),
        (view(3, 0, false, true), "asking"),
        (view(3, 2, false, true), "trickle"),
        (view(4, 2, true, false), "open"),
        (view(3, 0, true, true), "open"),
    ];
    for (view, word) in cases {
        assert_eq!(Returning::of(&view).word(), word, "{view:?}");
    }
}
