//! Times that are derived from the settings, over the range of accepted settings.
use hallrelay_config::limits::Limits;
use hallrelay_config::node::{self, Overrides};
use serde_json::{json, Value};

const MS: u64 = 1000;

fn limits(change: impl FnOnce(&mut Value)) -> Limits {
    let text = include_str!("../../deploy/example/relay.json");
    let mut text: Value = serde_json::from_str(text).expect("parse the example configuration");
    change(&mut text["settings"]);
    node::parse(text.to_string().as_bytes(), &Overrides::default())
        .expect("the changed configuration must be valid")
        .limits
}

/// SIGKILL follows SIGTERM after at least the longest dial timeout (limited to 3 s) and 0.7 s. The stop must
/// be complete by then.
#[test]
fn stop_ends_before_sigkill_for_every_dial_timeout() {
    for timeout in [1, 20, 50, 100, 150, 450, 500, 1_200, 1_800, 3_000, 3_001, 4_800, 30_000, 600_000] {
        let l = limits(|settings| settings["Listeners"][1]["DialTimeout"] = json!(timeout));
        // The dial timeout of the other listener is 1.8 s.
        let kill = timeout.clamp(1_800, 3_000) * MS + 700 * MS;
        let short = limits(|settings| {
            settings["Listeners"][0]["DialTimeout"] = json!(timeout);
            settings["Listeners"][1]["DialTimeout"] = json!(timeout);
        });
        for (l, kill) in [(l, kill), (short, timeout.min(3_000) * MS + 700 * MS)] {
            // Clients still arrive for 0.4 s. Migrations are spread over several ticks of 50 ms, and the
            // last migrated clients have time to leave.
            assert!(
                l.stop_first_migration_delay >= 250 * MS
                    && l.stop_first_migration_delay + 100 * MS <= l.stop_last_migration_delay,
                "{timeout}: {l:?}"
            );
            assert!(
                l.stop_last_migration_delay + 200 * MS <= l.stop_end_delay
                    && l.stop_end_delay + 100 * MS <= kill,
                "{timeout}: {l:?}"
            );
            assert!(l.min_stop_delay >= 400 * MS && l.min_stop_delay <= l.stop_end_delay, "{timeout}: {l:?}");
            assert!(
                l.leave_first_migration_delay < l.leave_last_migration_delay
                    && l.leave_last_migration_delay + 300 * MS <= kill,
                "{timeout}: {l:?}"
            );
        }
    }
}

/// The sessions of a tenth of a large fleet that stops together must not reach the other relays in one
/// burst. Sessions that the only relay migrates wait for its next start, so it migrates them late.
#[test]
fn stop_beside_other_relays_spreads_migrations_over_available_time() {
    let of = |relays: u32| limits(|settings| settings["Instances"] = json!(relays));
    for (relays, wanted) in [(1, 3_000), (2, 3_000), (3, 400), (300, 400)] {
        let l = of(relays);
        assert_eq!(
            (l.stop_first_migration_delay, l.stop_last_migration_delay),
            (wanted * MS, 3_350 * MS),
            "{relays} relays"
        );
    }
}

/// `AskWithin` applies to relays without a watch. An open watch must not time out before an empty line is
/// due, and a call must have time for its answer, however short `AskWithin` is.
#[test]
fn watch_and_answer_timeouts_hold_for_every_poll_interval() {
    for within in [0, 10, 1_000, 3_000, 10_000, 600_000] {
        let l = limits(|settings| settings["Rules"]["AskWithin"] = json!(within));
        assert!(l.discovery_watch_timeout > 2_000 * MS, "{within}: {l:?}");
        assert!((500 * MS..=4_000 * MS).contains(&l.discovery_answer_timeout), "{within}: {l:?}");
    }
}

/// With a drain grace of 0, the 50 ms that sockets have beyond all time limits remain. A connect must always
/// have enough time to be established.
#[test]
fn connect_timeout_fits_into_every_drain_grace() {
    for (grace, connect, wanted) in
        [(0, 250, 40), (20, 250, 40), (100, 60, 60), (250, 250, 200), (2_000, 900, 900)]
    {
        let l = limits(|settings| {
            settings["Rules"]["DrainGrace"] = json!(grace);
            settings["Ceilings"]["ConnectTimeout"] = json!(connect);
        });
        assert_eq!(l.connect_timeout, wanted * MS, "drain grace of {grace} ms");
        assert!(l.connect_timeout <= grace * MS + 50 * MS, "drain grace of {grace} ms: {l:?}");
    }
}
