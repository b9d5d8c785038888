//! Searches small scenarios exhaustively and compares the counts, searches a part of the others, and checks
//! that each mutation is found.
use hallrelay_model_checker::cluster::Mutation;
use hallrelay_model_checker::rollout::{self, RolloutModel};
use hallrelay_model_checker::scenarios::ALL;
use hallrelay_model_checker::search::{search, Bounds, SearchReport};
use std::sync::{Mutex, PoisonError};

/// Serializes the searches, because each uses all cores and up to 1 GB.
static SEARCH_LOCK: Mutex<()> = Mutex::new(());

fn search_scenario(
    name: &str,
    mutation: Mutation,
    max_states: usize,
    recovery_sampling: u64,
) -> SearchReport {
    let scenario = ALL.iter().find(|scenario| scenario.name == name).expect("find the scenario by name");
    let bounds = Bounds { max_states, max_depth: usize::MAX, recovery_sampling };
    let _guard = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    search(&scenario.with_mutation(mutation), &bounds)
}

#[test]
fn small_scenarios_satisfy_properties_in_all_states() {
    for (name, states, transitions) in [("holders", 189_285, 433_450), ("restarts", 2_478, 6_978)] {
        let report = search_scenario(name, Mutation::None, 1_000_000, 64);
        assert_eq!(report.counterexample, None, "{name}");
        assert!(report.exhaustive && report.recovery_checks > 0, "{name}: {report:?}");
        assert_eq!((report.states, report.transitions), (states, transitions), "{name}");
    }
}

#[test]
fn large_scenarios_satisfy_properties_in_first_states() {
    for name in ["elections", "crashes", "leaders", "disks", "unplanned", "snapshots"] {
        let report = search_scenario(name, Mutation::None, 60_000, 64);
        assert_eq!(report.counterexample, None, "{name}");
        assert!(report.states >= 60_000, "{name}: {} states", report.states);
    }
}

#[test]
fn each_mutation_violates_expected_property() {
    let property = |mutation| match mutation {
        Mutation::GrantNumbersForgotten | Mutation::BudgetsForgotten => "unique lease ids",
        Mutation::BeginsUncommitted | Mutation::ExpiresWhileOut => "disruptions within the budget",
        Mutation::GrantsWithoutLog => "disruptions within the budget",
        Mutation::WarmingCountsAsUp => "holders that are not up count as disrupted",
        _ => "equal state at equal commit index",
    };
    let mut found = Vec::new();
    for scenario in &ALL {
        // The counterexamples of these two have 9 and 15 transitions, and their searches need 1 and 2 GB.
        // Only `hallrelay-checker --planted` searches for them.
        let large = [Mutation::VoteNotSynced, Mutation::AcknowledgesAhead];
        for mutation in scenario.mutations.iter().filter(|mutation| !large.contains(mutation)) {
            let report = search_scenario(scenario.name, *mutation, 1_500_000, 0);
            let missed = || panic!("{}: the search did not find {mutation:?}", scenario.name);
            let counterexample = report.counterexample.unwrap_or_else(missed);
            assert_eq!(counterexample.property, property(*mutation), "{mutation:?}");
            assert!(!counterexample.trace.is_empty(), "{mutation:?}");
            found.push(*mutation);
        }
    }
    // The two large ones are counted without a search.
    assert_eq!(found.len() + 2, Mutation::ALL.len(), "each mutation belongs to a scenario: {found:?}");
}

/// Searches all orders of the actions of deployers, leaders and operators. Each state must allow a rollback.
#[test]
fn rollout_can_be_rolled_back_from_all_states() {
    let model = |mutation| RolloutModel { mutation, failures: 1, operator_commands: 2 };
    let bounds = Bounds { max_states: 2_000_000, max_depth: usize::MAX, recovery_sampling: 1 };
    let report = search(&model(rollout::Mutation::None), &bounds);
    assert_eq!(report.counterexample, None);
    assert!(report.exhaustive && report.recovery_checks == report.states, "all states checked: {report:?}");
    assert_eq!((report.states, report.transitions), (8_140, 17_732));
    let violated = |mutation| search(&model(mutation), &bounds).counterexample.map(|found| found.property);
    assert_eq!(violated(rollout::Mutation::HaltForgotten), Some("no disruption begins after a halt"));
    assert_eq!(violated(rollout::Mutation::RollbackResumes), Some("recovery once no fault occurs"));
}
