//! The settings of the simulated sites. Each site has different values.
use super::{MILLISECOND, SECOND};
use hallrelay_balancer::types::*;

/// Returns the settings of the site with this number.
pub fn config(number: u32) -> SiteConfig {
    let listener = |priority_weight, idempotency, handshake_ms: Micros, message_ms: Micros| Listener {
        priority_weight,
        idempotency,
        handshake_target: handshake_ms * MILLISECOND,
        message_target: message_ms * MILLISECOND,
    };
    let keyed = |scope, window_ms| Idempotency::Keyed { scope, window: window_ms * MILLISECOND };
    let probe_costs = [0.002, 0.0005, 0.008, 0.02, 0.002, 0.002, 0.001, 0.004, 0.002, 0.0];
    let index = number as usize;
    SiteConfig {
        listeners: vec![
            listener(1.0, Idempotency::Idempotent, 300, 60),
            listener(5.0, Idempotency::Idempotent, 200, 80),
            listener(4.0, Idempotency::NonIdempotent, 300, 60),
            listener(2.0, keyed(KeyScope::All, 1_000), 400, 90),
            listener(5.0, keyed(KeyScope::Zone, 800), 300, 60),
            listener(1.5, keyed(KeyScope::Cell, 1_500), 300, 70),
        ],
        relay_count: [1, 2, 6, 20, 300, 100, 3, 900, 12, 40][index],
        relay_index: [0, 1, 3, 7, 120, 99, 2, 850, 11, 0][index],
        zone: number as u8 % 3,
        must_watch: number.is_multiple_of(2),
        may_probe: number != 5,
        groups_enabled: number % 3 != 1,
        max_dials: [4, 3, 2, 4, 4, 3, 1, 4, 5, 4][index],
        max_sessions: [1000, 30, 400, 1000, 1000, 500, 60, 200, 1000, 1000][index],
        max_retry_after: (!number.is_multiple_of(4)).then_some(u64::from(number) * 300 * MILLISECOND),
        warm_up: (8 + 2 * u64::from(number)) * SECOND,
        initial_capacity: 0.1 + 0.02 * f64::from(number),
        overload_multiple: 2.0 + 0.3 * f64::from(number),
        overload_window: (800 + 150 * u64::from(number)) * MILLISECOND,
        cross_zone_cost: [0.0, 0.05, 0.02, 0.0, 0.1, 0.01, 0.0, 0.0, 0.3, 0.02][index],
        migration_cost: [0.0, 0.05, 0.01, 0.0, 0.02, 0.0, 0.1, 0.0, 0.01, 0.02][index],
        probe_cost: probe_costs[index],
    }
}
