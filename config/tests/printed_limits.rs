//! `hallrelay check` prints the limits and operators' tools parse the text, so it must not change when fields
//! are renamed.
use hallrelay_config::node::{self, Overrides};

const EXAMPLE_LIMITS: &str = "\
Limits {
    line: 4096,
    buffer_first: 256,
    buffer_most: 8192,
    clients: 468,
    shedding: 8,
    sessions: 421,
    probes: 64,
    list: 2097152,
    events: 1024,
    commands: 8,
    unanswered: 8,
    log_lines: 1024,
    connect: 200000,
    first_line: 2000000,
    first_line_most: 2700000,
    first_line_pause: 700000,
    wait: 30000000,
    answer_margin: 10000,
    answer_late: 510000,
    probe: 500000,
    probe_idle: 30000000,
    silence: 2000000,
    stuck: 30000000,
    end: 500000,
    discovery_first: 4000000,
    discovery_again: None,
    discovery_doubt: 2500000,
    stop_from: 3000000,
    stop_by: 3350000,
    stop_end: 3550000,
    stop_least: 1000000,
    standing: 40000000,
    callers: 16,
    call: 2000000,
    call_head: 8192,
    call_body: 4096,
    drain_from: 500000,
    drain_by: 3300000,
    drain_takes: 1000000,
    leave_from: 100000,
    leave_by: 3000000,
    visitors: 3,
    offer: 2000000,
    passing: 64,
    fleet_streams: 8,
    fleet_stream: 2000000,
    fleet_datagrams: 5000,
    state_bytes: 67108864,
    state_open: 2000000,
    state_wait: 20000,
}";

#[test]
fn printed_limits_keep_their_names_and_order() {
    let limits = node::parse(include_bytes!("../../deploy/example/relay.json"), &Overrides::default())
        .expect("parse the example configuration")
        .limits;
    assert_eq!(format!("{limits:#?}"), EXAMPLE_LIMITS);
}
