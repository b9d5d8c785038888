//! Rule 4 of the balancer, as in `cold.rs`, in cases in which more relays have a session when their slot at
//! the cold backend opens: the relays are busier, or the backend warms up longer, so that slots are rarer.
use crate::cold::{cases_over_bound, start_beside_crash, start_under_burst, Case, SlowStart, SHORT_WARM_UP};
use crate::fleet::SECOND;

/// The settings of the project's example configuration.
const LONG_WARM_UP: SlowStart =
    SlowStart { warm_up: 23 * SECOND, initial_capacity: 0.14, overload_window: 2 * SECOND };

const CASES: [Case; 5] = [
    Case(SHORT_WARM_UP, 10.0),
    Case(SHORT_WARM_UP, 30.0),
    Case(LONG_WARM_UP, 1.0),
    Case(LONG_WARM_UP, 3.0),
    Case(LONG_WARM_UP, 10.0),
];

#[test]
fn cold_backend_budget_holds_for_busy_relays_under_burst() {
    let exceeded = cases_over_bound("burst", &CASES, start_under_burst);
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}

#[test]
fn cold_backend_budget_holds_for_busy_relays_beside_crash() {
    let exceeded = cases_over_bound("crash", &CASES, start_beside_crash);
    assert!(exceeded.is_empty(), "{}", exceeded.join("\n"));
}
