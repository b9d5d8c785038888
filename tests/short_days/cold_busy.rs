//! Rule 4 over all relays where more of them have a session as their turn at the cold backend comes: busier
//! ones, and such whose backends take longer to warm, so that turns are rarer.
use crate::cold::{broken, joins_beside_a_crash, joins_under_a_burst, Allowance, Case, SHORT_WARM_UP};
use crate::fleet::SECOND;

/// As in the project's example settings.
const LONG_WARM_UP: Allowance =
    Allowance { warm_up: 23 * SECOND, initial_capacity: 0.14, overload_window: 2 * SECOND };

const CASES: [Case; 5] = [
    Case(SHORT_WARM_UP, 10.0),
    Case(SHORT_WARM_UP, 30.0),
    Case(LONG_WARM_UP, 1.0),
    Case(LONG_WARM_UP, 3.0),
    Case(LONG_WARM_UP, 10.0),
];

#[test]
fn twenty_busy_relays_keep_within_what_a_cold_backend_bears_under_a_burst() {
    let broken = broken("a burst", &CASES, joins_under_a_burst);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

#[test]
fn twenty_busy_relays_keep_within_what_a_cold_backend_bears_beside_a_crash() {
    let broken = broken("a crash", &CASES, joins_beside_a_crash);
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
