//! Times that follow from the settings, over the whole range of what settings may say.
use hallrelay_config::limits::Limits;
use hallrelay_config::node::{self, Overrides};
use serde_json::{json, Value};

const MS: u64 = 1000;

fn limits(tune: impl FnOnce(&mut Value)) -> Limits {
    let text = include_str!("../../deploy/example/relay.json");
    let mut text: Value = serde_json::from_str(text).expect("the example is JSON");
    tune(&mut text["settings"]);
    node::parse(text.to_string().as_bytes(), &Overrides::default()).expect("it is sound").limits
}

/// SIGKILL comes no sooner than the longest dial timeout, 3 s at most, and 0.7 s after SIGTERM: by then all
/// is over.
#[test]
fn a_stop_is_over_before_it_may_be_killed_whatever_the_dial_timeouts() {
    for timeout in [1, 20, 50, 100, 150, 450, 500, 1_200, 1_800, 3_000, 3_001, 4_800, 30_000, 600_000] {
        let l = limits(|settings| settings["Listeners"][1]["DialTimeout"] = json!(timeout));
        // The other listener's is 1.8 s.
        let kill = timeout.clamp(1_800, 3_000) * MS + 700 * MS;
        let short = limits(|settings| {
            settings["Listeners"][0]["DialTimeout"] = json!(timeout);
            settings["Listeners"][1]["DialTimeout"] = json!(timeout);
        });
        for (l, kill) in [(l, kill), (short, timeout.min(3_000) * MS + 700 * MS)] {
            // Clients come for 0.4 s; moves are spread over some ticks of 50 ms, and the last ones have time
            // to go.
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

/// The sessions of a tenth of a large fleet, stopped together, must not come to the others as one burst; whom
/// the only relay moves waits for its next start, so they go late.
#[test]
fn a_stop_among_many_relays_takes_all_the_time_there_is() {
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

/// The time for asking is for relays without a watch: one that is open is not doubted before an empty line is
/// due, and a call has time to be answered, however short it is.
#[test]
fn a_watch_outlives_any_time_for_asking() {
    for within in [0, 10, 1_000, 3_000, 10_000, 600_000] {
        let l = limits(|settings| settings["Rules"]["AskWithin"] = json!(within));
        assert!(l.discovery_watch_timeout > 2_000 * MS, "{within}: {l:?}");
        assert!((500 * MS..=4_000 * MS).contains(&l.discovery_answer_timeout), "{within}: {l:?}");
    }
}

/// A grace of nothing leaves the 50 ms that sockets have beyond all time limits; a connect is never given
/// less time than it can come up in.
#[test]
fn a_connect_has_time_within_any_grace() {
    for (grace, connect, wanted) in
        [(0, 250, 40), (20, 250, 40), (100, 60, 60), (250, 250, 200), (2_000, 900, 900)]
    {
        let l = limits(|settings| {
            settings["Rules"]["DrainGrace"] = json!(grace);
            settings["Ceilings"]["ConnectTimeout"] = json!(connect);
        });
        assert_eq!(l.connect_timeout, wanted * MS, "a grace of {grace} ms");
        assert!(l.connect_timeout <= grace * MS + 50 * MS);
    }
}
