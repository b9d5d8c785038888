//! Scenarios that are small enough are searched whole, with the same counts each time; every mutation is
//! found.
use hallrelay_model_checker::cluster::Mutation;
use hallrelay_model_checker::rollout::{self, RolloutModel};
use hallrelay_model_checker::scenarios::ALL;
use hallrelay_model_checker::search::{search, Bounds, SearchReport};
use std::sync::{Mutex, PoisonError};

/// One search at a time: each takes all cores and up to a gigabyte.
static SEARCHING: Mutex<()> = Mutex::new(());

fn search_scenario(
    name: &str,
    mutation: Mutation,
    max_states: usize,
    recovery_sampling: u64,
) -> SearchReport {
    let scenario = ALL.iter().find(|scenario| scenario.name == name).expect("a scenario of this name");
    let bounds = Bounds { max_states, max_depth: usize::MAX, recovery_sampling };
    let _alone = SEARCHING.lock().unwrap_or_else(PoisonError::into_inner);
    search(&scenario.with_mutation(mutation), &bounds)
}

#[test]
fn small_scenarios_hold_in_every_state() {
    for (name, states, transitions) in [("holders", 189_285, 433_450), ("restarts", 2_478, 6_978)] {
        let report = search_scenario(name, Mutation::None, 1_000_000, 64);
        assert_eq!(report.counterexample, None, "{name}");
        assert!(report.exhaustive && report.recovery_checks > 0, "{name}");
        assert_eq!((report.states, report.transitions), (states, transitions), "{name}");
    }
}

#[test]
fn the_first_states_of_the_others_hold() {
    for name in ["elections", "crashes", "leaders", "disks", "unplanned", "snapshots"] {
        let report = search_scenario(name, Mutation::None, 60_000, 64);
        assert_eq!(report.counterexample, None, "{name}");
        assert!(report.states >= 60_000, "{name}");
    }
}

#[test]
fn each_mutation_violates_its_property() {
    let property = |mutation| match mutation {
        Mutation::GrantNumbersForgotten | Mutation::BudgetsForgotten => "a grant number used once",
        Mutation::BeginsUncommitted | Mutation::ExpiresWhileOut => "never more out than the budget",
        Mutation::GrantsWithoutLog => "never more out than the budget",
        Mutation::WarmingCountsAsUp => "who is down or cold counts as out",
        _ => "same log, same state",
    };
    let mut found = Vec::new();
    for scenario in &ALL {
        // These two take 9 and 15 transitions, and 1 and 2 GB until there: by the command alone.
        let large = [Mutation::VoteNotSynced, Mutation::AcknowledgesAhead];
        for mutation in scenario.mutations.iter().filter(|mutation| !large.contains(mutation)) {
            let report = search_scenario(scenario.name, *mutation, 1_500_000, 0);
            let missed = || panic!("{}: {mutation:?} is missed", scenario.name);
            let counterexample = report.counterexample.unwrap_or_else(missed);
            assert_eq!(counterexample.property, property(*mutation), "{mutation:?}");
            assert!(!counterexample.trace.is_empty(), "{mutation:?}");
            found.push(*mutation);
        }
    }
    assert_eq!(found.len() + 2, Mutation::ALL.len(), "each has a scenario: {found:?}");
}

/// All orders of what deployers, leaders and operators do; each state can be rolled back.
#[test]
fn a_rollout_can_always_be_halted_and_rolled_back() {
    let model = |mutation| RolloutModel { mutation, failures: 1, operator_commands: 2 };
    let bounds = Bounds { max_states: 2_000_000, max_depth: usize::MAX, recovery_sampling: 1 };
    let report = search(&model(rollout::Mutation::None), &bounds);
    assert_eq!(report.counterexample, None);
    assert!(report.exhaustive && report.recovery_checks == report.states);
    assert_eq!((report.states, report.transitions), (8_140, 17_732));
    let violated = |mutation| search(&model(mutation), &bounds).counterexample.map(|found| found.property);
    assert_eq!(violated(rollout::Mutation::HaltForgotten), Some("no step begins after a halt"));
    assert_eq!(violated(rollout::Mutation::RollbackResumes), Some("a way on once links heal"));
}
