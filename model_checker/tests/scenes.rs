//! Scenes that are small enough are searched whole, with the same counts every time; planted faults are
//! found.
use hallrelay_model_checker::releases::{self, Releases};
use hallrelay_model_checker::scenes::ALL;
use hallrelay_model_checker::search::{search, Bounds, Found};
use hallrelay_model_checker::voters::Planted;
use std::sync::{Mutex, PoisonError};

/// One search at a time: each takes all cores, and up to a gigabyte.
static ONE: Mutex<()> = Mutex::new(());

fn found(scene: &str, planted: Planted, states: usize, way_on: u64) -> Found {
    let scene = ALL.iter().find(|one| one.name == scene).expect("a scene");
    let _one = ONE.lock().unwrap_or_else(PoisonError::into_inner);
    search(&scene.with(planted), &Bounds { states, depth: usize::MAX, way_on })
}

#[test]
fn small_scenes_hold_in_every_state() {
    for (scene, states, steps) in [("holders", 189_285, 433_450), ("restarts", 2_478, 6_978)] {
        let found = found(scene, Planted::Nothing, 1_000_000, 64);
        assert_eq!(found.broken, None, "{scene}");
        assert!(found.whole && found.looked > 0, "{scene}");
        assert_eq!((found.states, found.steps), (states, steps), "{scene}");
    }
}

#[test]
fn the_first_states_of_the_others_hold() {
    for scene in ["elections", "crashes", "leaders", "disks", "unplanned", "snapshots"] {
        let found = found(scene, Planted::Nothing, 60_000, 64);
        assert_eq!(found.broken, None, "{scene}");
        assert!(found.states >= 60_000, "{scene}");
    }
}

#[test]
fn each_planted_fault_is_found_by_its_property() {
    let property = |planted| match planted {
        Planted::NumbersForgotten | Planted::BudgetsForgotten => "a grant number used once",
        Planted::BeginsUnagreed | Planted::LapsesWhileOut => "never more out than the budget",
        Planted::LeaderRemembers => "never more out than the budget",
        Planted::ColdCountsIn => "who is down or cold counts as out",
        _ => "same log, same state",
    };
    let mut all = Vec::new();
    for scene in &ALL {
        // These two show after 9 and 15 steps, and want 1 and 2 GB till there: by the command alone.
        let large = [Planted::VoteNotSynced, Planted::AnswersAhead];
        for planted in scene.finds.iter().filter(|one| !large.contains(one)) {
            let found = found(scene.name, *planted, 1_500_000, 0);
            let (what, way) = found.broken.unwrap_or_else(|| panic!("{}: {planted:?} is missed", scene.name));
            assert_eq!((what, way.is_empty()), (property(*planted), false), "{planted:?}");
            all.push(*planted);
        }
    }
    assert_eq!(all.len() + 2, Planted::ALL.len(), "each has a scene: {all:?}");
}

/// A release, by every order of what deployers, leaders and people say; each state can be brought back.
#[test]
fn a_release_can_always_be_halted_and_brought_back() {
    let model = |planted| Releases { planted, failures: 1, words: 2 };
    let bounds = Bounds { states: 2_000_000, depth: usize::MAX, way_on: 1 };
    let found = search(&model(releases::Planted::Nothing), &bounds);
    assert_eq!(found.broken, None);
    assert!(found.whole && found.looked == found.states);
    assert_eq!((found.states, found.steps), (8_140, 17_732));
    let broken = |planted| search(&model(planted), &bounds).broken.map(|broken| broken.0);
    assert_eq!(broken(releases::Planted::HaltForgotten), Some("no step begins after a halt"));
    assert_eq!(broken(releases::Planted::WayBackResumes), Some("a way on once links heal"));
}
