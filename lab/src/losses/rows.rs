//! The result: the counts for each second and their sum, as printed and written as JSON.
use super::attempt::{AttemptOutcome, End, Gap, LastDial};
use hallrelay_balancer::types::DialEnd;
use serde::Serialize;
use std::collections::BTreeMap;

/// Defines a struct of counts that can be added to another one of the same type.
macro_rules! counts {
    ($(#[$about:meta])* $name:ident { $($(#[$field_about:meta])* $field:ident,)* }) => {
        $(#[$about])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct $name { $($(#[$field_about])* pub $field: u64,)* }

        impl $name {
            /// Adds the counts of `other`.
            pub fn add(&mut self, other: &$name) {
                $(self.$field += other.$field;)*
            }

            /// Sum of all counts.
            pub fn total(&self) -> u64 {
                0 $(+ self.$field)*
            }
        }
    };
}

/// Generates everything that lists all ends of a dial, from one list with their names in JSON: the structs
/// with a count for each end, and the names themselves.
macro_rules! dial_ends {
    ($($(#[$about:meta])* $end:ident => $field:ident,)*) => {
        counts! {
            /// Number of dials by end.
            DialEnds { $($(#[$about])* $field,)* }
        }

        counts! {
            /// Attempts that the relay answered after at least one dial, by the state of the last dial.
            AfterDials {
                $($(#[$about])* $field,)*
                /// The dial was in flight.
                #[serde(rename = "out")]
                in_flight,
            }
        }

        impl DialEnds {
            /// The count of dials with this end.
            pub fn of(&mut self, end: DialEnd) -> &mut u64 {
                match end { $(DialEnd::$end => &mut self.$field,)* }
            }
        }

        impl AfterDials {
            /// The count of dials with this end.
            pub fn of(&mut self, end: DialEnd) -> &mut u64 {
                match end { $(DialEnd::$end => &mut self.$field,)* }
            }
        }

        /// The name of an end in JSON, where it is the key of its count.
        pub fn dial_end_name(end: DialEnd) -> &'static str {
            match end { $(DialEnd::$end => stringify!($field),)* }
        }
    };
}

dial_ends! {
    /// The backend sent `BYE`.
    Ok => ok,
    /// The backend sent `ERR`.
    Error => error,
    /// The backend sent `BUSY`.
    Full => full,
    /// The backend did not answer in time.
    Timeout => timeout,
    /// The backend could not be connected to.
    Unconnected => unconnected,
    /// The connection was reset.
    Reset => reset,
    /// The backend sent `MOVE`, or the relay cancelled the dial.
    Cancelled => recalled,
    /// The relay did not send the request: the deadline had passed, or this machine could not start the dial.
    NotSent => moot,
}

counts! {
    /// Attempts of clients by outcome.
    OutcomeCounts {
        /// Placed: the session was established on a backend.
        placed,
        /// Answered `BYE` immediately by the backend.
        served_at_once,
        /// Answered `BUSY` without any dial.
        #[serde(rename = "refused_undialled")]
        rejected_undialled,
        /// Answered `FAIL` without any dial.
        failed_undialled,
        /// Answered `ERR`: the first line violated the protocol, named an unknown listener, or repeated the
        /// id of an open session.
        not_protocol,
        /// The client disconnected before it was answered.
        client_left,
        /// Closed without an answer, long after the client's deadline.
        too_late,
        /// The relay process ended before the attempt was answered.
        relay_ended,
        /// Not answered yet at the end of the day.
        still_waiting,
        /// The outcome is unknown, because the log lacks it.
        unaccounted,
    }
}

counts! {
    /// Sessions that started in this second.
    Sessions {
        /// Placed on a backend for a client.
        #[serde(rename = "came_up")]
        established,
        /// Adopted from another process of the relay.
        #[serde(rename = "taken_over")]
        adopted,
    }
}

counts! {
    /// How placed sessions ended.
    Ends {
        /// The client ended it.
        client,
        /// The backend sent `BYE`: the session was complete.
        #[serde(rename = "done")]
        complete,
        /// The backend sent `MOVE`.
        #[serde(rename = "sent_away")]
        migrated_by_backend,
        /// The backend reset the connection.
        reset,
        /// The backend became silent, or a line violated the protocol.
        #[serde(rename = "otherwise")]
        other,
        /// The relay migrated it.
        #[serde(rename = "moved")]
        migrated,
        /// The relay itself drained, stopped or was replaced.
        relay_stop,
        /// Another process of the relay adopted it.
        #[serde(rename = "passed_on")]
        handed_over,
        /// The relay process ended without a request to stop.
        relay_died,
        /// Unknown.
        unaccounted,
    }
}

/// Attempts opened in a second, regardless of when they were answered. `opened` is the sum of all `outcomes`
/// and all `after_dials`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Attempts {
    /// First lines of clients.
    pub opened: u64,
    /// Clients that returned after an interruption or a migration.
    pub returned: u64,
    /// Attempts by outcome, except those in `after_dials`.
    #[serde(rename = "fates")]
    pub outcomes: OutcomeCounts,
    /// Attempts that were rejected or failed after dials.
    pub after_dials: AfterDials,
    /// Number of dials made for these attempts.
    pub dials: u64,
    /// Number of these dials that ended without an established session, by end.
    pub dial_ends: DialEnds,
}

impl Attempts {
    /// Counts the outcome of an attempt.
    pub fn count(&mut self, outcome: &AttemptOutcome) {
        let outcomes = &mut self.outcomes;
        let count = match outcome {
            AttemptOutcome::Placed => &mut outcomes.placed,
            AttemptOutcome::ServedAtOnce => &mut outcomes.served_at_once,
            AttemptOutcome::Rejected(LastDial::None) => &mut outcomes.rejected_undialled,
            AttemptOutcome::Failed(LastDial::None) => &mut outcomes.failed_undialled,
            AttemptOutcome::Rejected(LastDial::InFlight) | AttemptOutcome::Failed(LastDial::InFlight) => {
                &mut self.after_dials.in_flight
            }
            AttemptOutcome::Rejected(LastDial::Ended(end)) | AttemptOutcome::Failed(LastDial::Ended(end)) => {
                self.after_dials.of(*end)
            }
            AttemptOutcome::NotProtocol => &mut outcomes.not_protocol,
            AttemptOutcome::ClientLeft => &mut outcomes.client_left,
            AttemptOutcome::TooLate => &mut outcomes.too_late,
            AttemptOutcome::RelayEnded => &mut outcomes.relay_ended,
            AttemptOutcome::StillWaiting => &mut outcomes.still_waiting,
            AttemptOutcome::Unaccounted(_) => &mut outcomes.unaccounted,
        };
        *count += 1;
    }

    /// Adds the counts of another second.
    pub fn add(&mut self, other: &Attempts) {
        self.opened += other.opened;
        self.returned += other.returned;
        self.dials += other.dials;
        self.outcomes.add(&other.outcomes);
        self.after_dials.add(&other.after_dials);
        self.dial_ends.add(&other.dial_ends);
    }
}

impl Ends {
    /// Counts an end. Sessions that are open at the end of the day have none.
    pub fn count(&mut self, end: End) {
        let count = match end {
            End::Client => &mut self.client,
            End::Complete => &mut self.complete,
            End::MigratedByBackend => &mut self.migrated_by_backend,
            End::Reset => &mut self.reset,
            End::Other => &mut self.other,
            End::Migrated => &mut self.migrated,
            End::RelayStop => &mut self.relay_stop,
            End::HandedOver => &mut self.handed_over,
            End::RelayDied => &mut self.relay_died,
            End::Unaccounted(_) => &mut self.unaccounted,
            End::StillOpen => return,
        };
        *count += 1;
    }
}

/// Time from the client's first line until the session was established, for the sessions placed in a second;
/// `None` if no session was placed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Wait {
    /// Median, in milliseconds.
    pub median_ms: Option<u32>,
    /// Maximum, in milliseconds.
    pub worst_ms: Option<u32>,
}

/// Results of health checks in a second, with the load reports in their answers.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Probes {
    /// Checks that were answered.
    pub answered: u64,
    /// Checks that failed.
    pub failed: u64,
    /// Median of the reported load, as a fraction of the backend's capacity.
    pub load_median: Option<f64>,
    /// 90th percentile of the reported load.
    pub load_p90: Option<f64>,
    /// Fraction of the reported queue delays that exceed 0.1 s.
    #[serde(rename = "piled_part")]
    pub queued_part: Option<f64>,
}

/// The fleet at the end of a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fleet {
    /// Open sessions.
    pub open: u64,
    /// Open sessions on backends that started during the day.
    pub open_on_started: u64,
    /// Backends in service.
    pub ready: u64,
    /// Backends that are draining.
    pub draining: u64,
    /// Ready or draining backends that started during the day.
    pub started: u64,
    /// Groups with an open session.
    pub groups: u64,
    /// Distinct pairs of a group and a backend with at least one open session of the group.
    pub pairs: u64,
    /// Mean number of backends per group.
    pub pairs_per_group: Option<f64>,
}

/// One second of the day, or the sum of all seconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Index of the second, starting at 0; in the sum, the index of the last second.
    pub second: u32,
    /// Attempts opened in this second.
    pub attempts: Attempts,
    /// Sessions placed in this second.
    pub sessions: Sessions,
    /// Time from the first lines of these sessions' clients until the sessions were established.
    pub wait: Wait,
    /// Sessions that ended in this second.
    pub ends: Ends,
    /// Health checks that ended in this second.
    pub probes: Probes,
    /// State at the end of the second; in the sum, at the end of the day.
    pub fleet: Fleet,
}

/// Statistics about the logs that were read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Read {
    /// Relays with an event or effect in their log.
    pub relays: u64,
    /// Processes of these relays during the day.
    pub processes: u64,
    /// Lines of all logs.
    pub lines: u64,
    /// Lines with an event or effect.
    pub entries: u64,
    /// Skipped lines that do not have the format of a relay's log, or are too long for it.
    pub unknown: u64,
    /// Skipped lines that are truncated.
    pub cut: u64,
    /// Lines that relays dropped, as reported by the relays.
    pub dropped: u64,
}

/// What happened to the offered sessions of a day.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// Statistics about the logs that were read.
    pub read: Read,
    /// The seconds of the day.
    pub seconds: Vec<Second>,
    /// The sum of all seconds.
    pub sum: Second,
    /// Number of attempts with an unknown outcome, by reason.
    pub unaccounted: BTreeMap<Gap, u64>,
}

impl Losses {
    /// Number of attempts that are unaccounted for.
    pub fn unaccounted_total(&self) -> u64 {
        self.unaccounted.values().sum()
    }

    /// Fraction of all attempts (0 to 1) that are unaccounted for.
    pub fn unaccounted_fraction(&self) -> f64 {
        let unopened = self.unaccounted.get(&Gap::NeverOpened).copied().unwrap_or(0);
        let all = self.sum.attempts.opened + unopened;
        self.unaccounted_total() as f64 / all.max(1) as f64
    }
}
