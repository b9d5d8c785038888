//! Tests of what a relay recovers from its store.
use hallrelay_balancer::types::{Micros, Phase};
use hallrelay_config::list::{Instance, List};
use hallrelay_recovery::recover::ObsoleteRecord;
use hallrelay_recovery::{
    recover, PhaseInput, Record, RecordKind, RecoverInput, Recovered, RecoveryPhase, SlowStartSlot,
    StoredState,
};

const SECOND: Micros = 1_000_000;
const NOW: Micros = 1_800_000_000 * SECOND;
const SLOW_START: Micros = 20 * SECOND;
const DISCOVERY: &str = "10.0.0.1:8500";

fn server(id: &str, phase: Phase, started_at: Micros) -> Instance {
    Instance {
        id: id.to_string(),
        addr: "10.0.0.9:80".parse().expect("parse the address"),
        zone: "east".to_string(),
        cell: 2,
        phase,
        started_at,
    }
}

fn list(generation: u64, instances: Vec<Instance>) -> List {
    List { generation, is_complete: true, instances, ..List::default() }
}

/// The decoded form of records that relay `r` stored some seconds ago.
fn stored(records: &[Record]) -> StoredState {
    let mut stored = StoredState::default();
    for record in records {
        let bytes = record.bytes.as_deref().expect("the record must have content");
        stored.add(record.kind.number(), 1, record.name.as_bytes(), bytes);
    }
    assert_eq!(stored.unreadable, 0);
    stored
}

fn recovered(configured: &List, records: &[Record]) -> Recovered {
    recover_from(configured, &stored(records))
}

fn recover_from(configured: &List, stored: &StoredState) -> Recovered {
    recover(&RecoverInput {
        now: NOW,
        relay_name: "r",
        discovery: DISCOVERY,
        slow_start: SLOW_START,
        configured,
        stored,
    })
}

fn identity() -> Record {
    Record::relay_identity("r", 41, NOW - 9 * SECOND)
}

fn server_record(generation: u64, phase: Phase, started_at: Micros) -> Record {
    Record::server(generation, NOW - 5 * SECOND, &server("s", phase, started_at))
}

fn obsolete(kind: RecordKind) -> ObsoleteRecord {
    ObsoleteRecord { kind, name: "s".to_string() }
}

fn phase(r: &Recovered) -> Option<Phase> {
    r.list.instances.iter().find(|server| server.id == "s").map(|server| server.phase)
}

#[test]
fn stored_drain_lasts_until_later_version_or_restart() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let list_version = || Record::list_version(DISCOVERY, 9);
    for stored_phase in [Phase::Draining, Phase::Gone] {
        let r = recovered(
            &known,
            &[identity(), Record::list_version("10.0.0.2:1", 9), server_record(9, stored_phase, 100)],
        );
        assert_eq!(phase(&r), Some(stored_phase), "a version of another source must not change the state");
        // The configured list is a later version of the stored list, so that its state of the server holds.
        let later = list(12, vec![server("s", Phase::Ready, 100)]);
        assert_eq!(
            phase(&recovered(&later, &[identity(), list_version(), server_record(9, stored_phase, 100)])),
            Some(Phase::Ready)
        );
        // The server has restarted since its state was stored.
        let restarted = list(7, vec![server("s", Phase::Ready, 200)]);
        let r = recovered(
            &restarted,
            &[identity(), Record::list_version("10.0.0.2:1", 9), server_record(9, stored_phase, 100)],
        );
        assert_eq!(phase(&r), Some(Phase::Ready));
    }
    // The stored list is a later version from the same source. It is used without its removed servers.
    let r = recovered(&known, &[identity(), list_version(), server_record(9, Phase::Draining, 100)]);
    assert_eq!((r.list.generation, phase(&r)), (9, Some(Phase::Draining)));
    let r = recovered(&known, &[identity(), list_version(), server_record(9, Phase::Gone, 100)]);
    assert_eq!((r.list.generation, phase(&r)), (9, None));
    let older =
        recovered(&list(10, vec![]), &[identity(), list_version(), server_record(9, Phase::Ready, 100)]);
    assert_eq!((older.list.generation, phase(&older)), (10, None), "an older stored list must add no server");
}

#[test]
fn slow_start_slots_of_unknown_age_count_as_just_used() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let slot = |ago: i64| Record::slow_start_slot("s", NOW.saturating_add_signed(-ago * SECOND as i64));
    let slots = |records: &[Record]| recovered(&known, records).slow_start_slots;
    let used = |age| vec![SlowStartSlot { server: "s".to_string(), age }];
    assert_eq!(slots(&[identity(), slot(3)]), used(3 * SECOND));
    assert_eq!(slots(&[identity(), slot(21)]), [], "the server is warm after 20 s");
    // The slot was used in the future: the clock has gone back.
    assert_eq!(slots(&[identity(), slot(-60)]), used(0));
    // The clock is before the time of another record, so that even a plausible age is unknown.
    let r = recovered(&known, &[Record::relay_identity("r", 1, NOW + SECOND), slot(3)]);
    assert_eq!(r.slow_start_slots, used(0));
    assert!(r.messages.iter().any(|text| text.contains("ages are unknown")), "messages: {:?}", r.messages);
    assert_eq!(recovered(&known, &[identity(), slot(21)]).obsolete, [obsolete(RecordKind::SlowStartSlot)]);
}

#[test]
fn start_numbers_rise_and_foreign_stores_are_ignored() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    assert_eq!(recovered(&known, &[identity()]).min_start_number, 42);
    let future = Record::relay_identity("r", NOW + 500, NOW);
    assert_eq!(
        recovered(&known, &[future]).min_start_number,
        NOW + 501,
        "the start number must rise although the clock went back"
    );
    let foreign = [
        Record::relay_identity("other", 41, NOW),
        Record::list_version(DISCOVERY, 99),
        server_record(99, Phase::Gone, 100),
    ];
    let r = recovered(&known, &foreign);
    assert_eq!((phase(&r), r.min_start_number, r.slow_start_slots.len()), (Some(Phase::Ready), 0, 0));
    assert!(r.messages[0].contains("belongs to relay other;"), "messages: {:?}", r.messages);
    // The records of the other relay are removed, and the configured servers are stored. Removed are the
    // server and the four records without a name: list version, vote, snapshot and exclusions.
    assert_eq!((r.obsolete.len(), &r.unstored), (5, &known.instances));
    let empty = recovered(&known, &[]);
    assert_eq!((&empty.list, &empty.unstored), (&known, &known.instances));
    let r = recovered(
        &list(7, vec![server("s", Phase::Ready, 1), server("t", Phase::Ready, 1)]),
        &[identity(), server_record(3, Phase::Ready, 1)],
    );
    assert_eq!(r.unstored, [server("t", Phase::Ready, 1)]);
}

#[test]
fn unreadable_records_are_counted() {
    let mut s = stored(&[identity(), server_record(9, Phase::Draining, 1)]);
    s.add(3, 9, b"s", b"{}");
    s.add(77, 1, b"x", b"{}");
    s.add(4, 1, b"x", b"not json");
    let removed = server_record(9, Phase::Gone, 1);
    s.add(3, 1, b"another name", removed.bytes.as_deref().expect("the record must have content"));
    assert_eq!((s.unreadable, s.servers.len(), s.slow_start_slots.len()), (4, 1, 0));
    let known = list(7, vec![server("s", Phase::Ready, 1)]);
    let r = recover_from(&known, &s);
    assert!(
        r.messages.iter().any(|text| text.contains("4 records of the store")),
        "messages: {:?}",
        r.messages
    );
    assert_eq!(phase(&r), Some(Phase::Draining));
}

/// A removal stored more than a week ago is discarded, but one of unknown age is kept.
#[test]
fn old_removals_are_discarded() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let gone = |written_at| Record::server(9, written_at, &server("s", Phase::Gone, 100));
    let week = 7 * 86_400 * SECOND;
    let r = recovered(&known, &[identity(), gone(NOW - week - 1)]);
    assert_eq!((phase(&r), r.obsolete), (Some(Phase::Ready), vec![obsolete(RecordKind::Server)]));
    assert_eq!(phase(&recovered(&known, &[identity(), gone(NOW + week)])), Some(Phase::Gone));
}

/// Guards a drain of over a week ago against a configuration of another source: discovery does not repeat an
/// entry that has not changed.
#[test]
fn old_drain_is_kept() {
    let week = 7 * 86_400 * SECOND;
    let drained = Record::server(9, NOW - 2 * week, &server("s", Phase::Draining, 100));
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    for source in [DISCOVERY, "10.0.0.2:1"] {
        let r = recovered(&known, &[identity(), Record::list_version(source, 20), drained.clone()]);
        assert_eq!(phase(&r), Some(Phase::Draining), "{source}");
    }
}

/// Guards a drain in a store that a hot restart created, which has no name: it belongs to this relay.
#[test]
fn store_without_name_is_used() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let r = recovered(&known, &[Record::list_version(DISCOVERY, 9), server_record(9, Phase::Draining, 100)]);
    assert_eq!((r.list.generation, phase(&r)), (9, Some(Phase::Draining)));
    assert_eq!(r.obsolete, []);
}

/// Guards a relay against a start without any server, after discovery has moved and all configured servers
/// have been removed: it uses the servers that it was told last.
#[test]
fn stored_servers_are_used_if_no_configured_server_is_ready() {
    let known = list(7, vec![server("s", Phase::Ready, 100)]);
    let other = Record::server(9, NOW, &server("t", Phase::Ready, 100));
    let ids = |s_phase| {
        let records = [
            identity(),
            Record::list_version("10.0.0.2:1", 9),
            server_record(9, s_phase, 100),
            other.clone(),
        ];
        let r = recovered(&known, &records);
        let ready = r.list.instances.into_iter().filter(|server| server.phase == Phase::Ready);
        ready.map(|server| server.id).collect::<Vec<String>>()
    };
    assert_eq!(ids(Phase::Gone), ["t"]);
    assert_eq!(ids(Phase::Draining), ["t"]);
    // The configured list takes precedence as long as it has a ready server.
    assert_eq!(ids(Phase::Ready), ["s"]);
}

/// Guards a drain that came with no new version (of another relay, or of an entry that cannot be read)
/// against a configured list of the same version as the stored one.
#[test]
fn stored_drain_holds_against_configured_list_of_same_version() {
    let known = list(9, vec![server("s", Phase::Ready, 100)]);
    let records = [identity(), Record::list_version(DISCOVERY, 9), server_record(8, Phase::Draining, 100)];
    assert_eq!(phase(&recovered(&known, &records)), Some(Phase::Draining));
}

#[test]
fn recovery_phases_follow_servers_and_list_sources() {
    let input = |servers, servers_in_slow_start, discovery_contacted, list_from_peer| PhaseInput {
        servers,
        servers_in_slow_start,
        discovery_contacted,
        list_from_peer,
    };
    let cases = [
        (input(0, 0, true, true), "dark"),
        (input(3, 0, false, false), "remembering"),
        (input(3, 0, false, true), "asking"),
        (input(3, 2, false, true), "trickle"),
        (input(4, 2, true, false), "open"),
        (input(3, 0, true, true), "open"),
    ];
    for (input, label) in cases {
        assert_eq!(RecoveryPhase::of(&input).label(), label, "{input:?}");
    }
}
