//! The complete response to `GET /v1/metrics` is compared with `fixtures/metrics.txt`. Each field has a
//! distinct value, so that swapped fields are detected.
use hallrelay_membership::message::DropReason;
use hallrelay_membership::Counters;
use hallrelay_relay::metrics::text;
use hallrelay_relay::net::dial_permit::Denials;
use hallrelay_relay::reducer::{MembershipMetrics, Metrics, Outcomes};
use hallrelay_store::writer::WriterHealth;
use std::collections::BTreeMap;

fn sample_metrics() -> Metrics {
    let first = Outcomes { requested: 101, established: 102, rejected: 103, failed: 104, abandoned: 105 };
    let second = Outcomes { requested: 201, established: 202, rejected: 203, failed: 204, abandoned: 205 };
    // A listener name with characters that are not allowed in metric names.
    let unusual = Outcomes { requested: 301, established: 302, rejected: 303, failed: 304, abandoned: 305 };
    let listeners = [("alpha", first), ("beta-2", second), ("g:h|i j\nk\u{e9}", unusual)];
    let dropped = DropReason::ALL.into_iter().zip(801..).collect();
    let counters = Counters {
        datagrams_sent: 701,
        bytes_sent: 702,
        packets_received: 703,
        probes: 704,
        suspicions: 705,
        declared_dead: 706,
        refutations: 707,
        stalls: 708,
        dropped,
    };
    let membership = MembershipMetrics {
        counters,
        members_by_state: [901, 902, 903, 904],
        reachable_relays: 905,
        peer_lists_accepted: 906,
    };
    let store = WriterHealth {
        durable_ticket: 501,
        last_error: Some("no space".to_string()),
        batches: 502,
        failures: 503,
        rejected: 504,
        file_bytes: 505,
    };
    Metrics {
        listeners: BTreeMap::from(listeners.map(|(name, outcomes)| (name.into(), outcomes))),
        dials: 401,
        reloads: 402,
        reload_errors: 403,
        denials: Denials { client: 404, late: 405, draining: 406 },
        in_progress: 407,
        waiting: 408,
        known_backends: 409,
        avoided_backends: 410,
        membership: Some(Box::new(membership)),
        store: Some(Box::new(store)),
    }
}

#[test]
fn metrics_response_is_unchanged() {
    assert_eq!(text(&sample_metrics()), include_str!("fixtures/metrics.txt"));
}

#[test]
fn metrics_without_fleet_and_store_omit_their_lines() {
    let bare = Metrics { membership: None, store: None, ..sample_metrics() };
    let all = include_str!("fixtures/metrics.txt").lines();
    let expected: Vec<&str> =
        all.filter(|line| !line.starts_with("node.store_") && !line.starts_with("node.fleet_")).collect();
    assert_eq!(text(&bare).lines().collect::<Vec<_>>(), expected);
}

#[test]
fn store_without_error_is_not_reported_as_failing() {
    let store = WriterHealth { last_error: None, ..WriterHealth::default() };
    let text = text(&Metrics { store: Some(Box::new(store)), ..sample_metrics() });
    assert!(text.contains("node.store_failing:0|g\n"), "{text}");
}
