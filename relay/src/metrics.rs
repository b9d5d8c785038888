//! The text of `/v1/metrics`: one line `NAME:VALUE|KIND` per metric, where the kind is `c` for counters and
//! `g` for gauges.
use crate::lines::sanitize;
use crate::reducer::Metrics;
use hallrelay_membership::MemberState;
use std::fmt::Write;

/// All metrics as text. Their names keep older terms, because operators' tools read them.
pub fn text(metrics: &Metrics) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: char| _ = writeln!(text, "node.{name}:{value}|{kind}");
    for (listener, n) in &metrics.listeners {
        let listener = sanitize(listener);
        let counts = [("passed", n.established), ("dropped", n.rejected), ("bad_gateway", n.failed)];
        counts.iter().for_each(|(name, value)| line(&format!("{name}.{listener}"), *value, 'c'));
    }
    line("upstream_tries", metrics.dials, 'c');
    let denials = metrics.denials;
    let denied = [("client", denials.client), ("late", denials.late), ("leaving", denials.draining)];
    denied.iter().for_each(|(why, value)| line(&format!("denied_dials.{why}"), *value, 'c'));
    line("loads", metrics.reloads, 'c');
    line("load_errors", metrics.reload_errors, 'c');
    line("in_progress", metrics.in_progress as u64, 'g');
    line("known_backends", metrics.known_backends as u64, 'g');
    line("skipped_backends", metrics.avoided_backends as u64, 'g');
    if let Some(store) = &metrics.store {
        line("store_failing", u64::from(store.last_error.is_some()), 'g');
        line("store_bytes", store.file_bytes, 'g');
        let counts = [("batches", store.batches), ("failures", store.failures), ("refused", store.rejected)];
        counts.iter().for_each(|(name, value)| line(&format!("store_{name}"), *value, 'c'));
    }
    if let Some(membership) = &metrics.membership {
        let c = &membership.counters;
        for (state, n) in MemberState::ALL.iter().zip(membership.members_by_state) {
            line(&format!("fleet_{}", state.as_str()), n as u64, 'g');
        }
        line("fleet_heard_relays", membership.reachable_relays as u64, 'g');
        let counts = [
            ("sent", c.datagrams_sent),
            ("sent_bytes", c.bytes_sent),
            ("heard", c.packets_received),
            ("probes", c.probes),
            ("accused", c.suspicions),
            ("buried", c.declared_dead),
            ("refuted", c.refutations),
            ("late", c.stalls),
            ("hearsay", membership.peer_lists_accepted),
        ];
        counts.iter().for_each(|(name, value)| line(&format!("fleet_{name}"), *value, 'c'));
        for (reason, n) in &c.dropped {
            line(&format!("fleet_dropped.{}", reason.as_str()), *n, 'c');
        }
    }
    text
}
