//! The result: what is counted in each second and in sum, as it is printed and written as JSON.
use super::attempt::{End, Fate, Gap, LastDial};
use hallrelay_balancer::types::DialEnd;
use serde::Serialize;
use std::collections::BTreeMap;

/// A struct of counts that can be added to another one of its kind.
macro_rules! counts {
    ($(#[$about:meta])* $name:ident { $($(#[$field_about:meta])* $field:ident,)* }) => {
        $(#[$about])*
        #[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
        pub struct $name { $($(#[$field_about])* pub $field: u64,)* }

        impl $name {
            /// Adds the counts of another one.
            pub fn add(&mut self, other: &$name) {
                $(self.$field += other.$field;)*
            }

            /// All of them together.
            pub fn total(&self) -> u64 {
                0 $(+ self.$field)*
            }
        }
    };
}

/// Defines what depends on the ends of a dial, from one list of them with their outer names: the counts of
/// each, and the names themselves.
macro_rules! dial_ends {
    ($($(#[$about:meta])* $end:ident => $field:ident,)*) => {
        counts! {
            /// Dials by how they ended.
            DialEnds { $($(#[$about])* $field,)* }
        }

        counts! {
            /// Attempts that the relay answered after at least one dial, by the state of the last of them.
            AfterDials {
                $($(#[$about])* $field,)*
                /// The dial was in flight.
                #[serde(rename = "out")]
                in_flight,
            }
        }

        impl DialEnds {
            /// The count of an end.
            pub fn of(&mut self, end: DialEnd) -> &mut u64 {
                match end { $(DialEnd::$end => &mut self.$field,)* }
            }
        }

        impl AfterDials {
            /// The count of an end.
            pub fn of(&mut self, end: DialEnd) -> &mut u64 {
                match end { $(DialEnd::$end => &mut self.$field,)* }
            }
        }

        /// The outer name of an end: the key of its count in JSON.
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
    /// No answer in time.
    Timeout => timeout,
    /// No connection.
    Unconnected => unconnected,
    /// The connection was reset.
    Reset => reset,
    /// The backend sent `MOVE`.
    Cancelled => recalled,
    /// The relay needed it no more.
    NotSent => moot,
}

counts! {
    /// Attempts that clients opened, by what became of them.
    Fates {
        /// Established on a backend.
        placed,
        /// Answered `BYE` at once by the backend.
        served_at_once,
        /// Answered `BUSY` without any dial.
        #[serde(rename = "refused_undialled")]
        rejected_undialled,
        /// Answered `FAIL` without any dial.
        failed_undialled,
        /// Answered `ERR`: not of the protocol, an unknown listener, the id of an open session.
        not_protocol,
        /// The client left before any answer.
        client_left,
        /// Closed without an answer, long after the client's deadline.
        too_late,
        /// The relay's process ended first.
        relay_ended,
        /// Undecided as the day ended.
        still_waiting,
        /// Not known.
        unaccounted,
    }
}

counts! {
    /// Sessions that began in this second.
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
        /// A silent backend, or a line that was not of the protocol.
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
        /// The relay's process ended without a request to stop.
        relay_died,
        /// Not known.
        unaccounted,
    }
}

/// Attempts that were opened in a second, whenever they were answered. `opened` is the sum of all fates and
/// of all `after_dials`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Attempts {
    /// First lines of clients.
    pub opened: u64,
    /// Clients that are back after an interruption or a move.
    pub returned: u64,
    /// By what became of them, but for those in `after_dials`.
    pub fates: Fates,
    /// Rejected or failed after dials.
    pub after_dials: AfterDials,
    /// All dials for them.
    pub dials: u64,
    /// Those dials that ended without an established session.
    pub dial_ends: DialEnds,
}

impl Attempts {
    /// Counts what became of an attempt.
    pub fn count(&mut self, fate: &Fate) {
        let fates = &mut self.fates;
        let count = match fate {
            Fate::Placed => &mut fates.placed,
            Fate::ServedAtOnce => &mut fates.served_at_once,
            Fate::Rejected(LastDial::None) => &mut fates.rejected_undialled,
            Fate::Failed(LastDial::None) => &mut fates.failed_undialled,
            Fate::Rejected(LastDial::InFlight) | Fate::Failed(LastDial::InFlight) => {
                &mut self.after_dials.in_flight
            }
            Fate::Rejected(LastDial::Ended(end)) | Fate::Failed(LastDial::Ended(end)) => {
                self.after_dials.of(*end)
            }
            Fate::NotProtocol => &mut fates.not_protocol,
            Fate::ClientLeft => &mut fates.client_left,
            Fate::TooLate => &mut fates.too_late,
            Fate::RelayEnded => &mut fates.relay_ended,
            Fate::StillWaiting => &mut fates.still_waiting,
            Fate::Unaccounted(_) => &mut fates.unaccounted,
        };
        *count += 1;
    }

    /// Adds the counts of another second.
    pub fn add(&mut self, other: &Attempts) {
        self.opened += other.opened;
        self.returned += other.returned;
        self.dials += other.dials;
        self.fates.add(&other.fates);
        self.after_dials.add(&other.after_dials);
        self.dial_ends.add(&other.dial_ends);
    }
}

impl Ends {
    /// Counts an end; what is open as the day ends has none.
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

/// Time from a client's first line to the established session, of sessions placed in a second; none without
/// such a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Wait {
    /// Median, in milliseconds.
    pub median_ms: Option<u32>,
    /// The longest, in milliseconds.
    pub worst_ms: Option<u32>,
}

/// Answers to health checks in a second, with the load reports in them.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Probes {
    /// Checks that were answered.
    pub answered: u64,
    /// Checks that failed.
    pub failed: u64,
    /// Median of the load over the backend's capacity.
    pub load_median: Option<f64>,
    /// Its 90th percentile.
    pub load_p90: Option<f64>,
    /// Part of the answers with a queue delay beyond 0.1 s, of those that report one.
    #[serde(rename = "piled_part")]
    pub queued_part: Option<f64>,
}

/// The fleet at the end of a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fleet {
    /// Open sessions.
    pub open: u64,
    /// Those on backends that started during the day.
    pub open_on_started: u64,
    /// Backends in service.
    pub ready: u64,
    /// Backends that drain.
    pub draining: u64,
    /// Backends of both kinds that started during the day.
    pub started: u64,
    /// Groups with an open session.
    pub groups: u64,
    /// Distinct pairs of a group and a backend with at least one open session of it.
    pub pairs: u64,
    /// Backends a group, in the mean.
    pub pairs_per_group: Option<f64>,
}

/// One second of the day, or the sum of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Which second, from 0; in the sum the last one.
    pub second: u32,
    /// Attempts opened in it.
    pub attempts: Attempts,
    /// Sessions placed in it.
    pub sessions: Sessions,
    /// How long these had waited.
    pub wait: Wait,
    /// Sessions that ended in it.
    pub ends: Ends,
    /// Health checks that ended in it.
    pub probes: Probes,
    /// At the end of the second; in the sum, at the end of the day.
    pub fleet: Fleet,
}

/// What of the logs was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Read {
    /// Relays with an event or effect in their log.
    pub relays: u64,
    /// Processes of these relays, over the day.
    pub processes: u64,
    /// Lines of all logs.
    pub lines: u64,
    /// Events and effects among them.
    pub entries: u64,
    /// Lines that are not of a relay's log, or are longer than any of it; skipped.
    pub unknown: u64,
    /// Lines that end in the middle; skipped.
    pub cut: u64,
    /// Lines that relays dropped, by their own count.
    pub dropped: u64,
}

/// Where a day's offered sessions went.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    /// What of the logs was read.
    pub read: Read,
    /// Each second of the day.
    pub seconds: Vec<Second>,
    /// All of them together.
    pub sum: Second,
    /// Attempts of which it is not known what became, by reason.
    pub unaccounted: BTreeMap<Gap, u64>,
}

impl Losses {
    /// Attempts that are unaccounted for.
    pub fn unaccounted_total(&self) -> u64 {
        self.unaccounted.values().sum()
    }

    /// Attempts that are unaccounted for, as a part of all (0 to 1).
    pub fn unaccounted_part(&self) -> f64 {
        let unopened = self.unaccounted.get(&Gap::NeverOpened).copied().unwrap_or(0);
        let all = self.sum.attempts.opened + unopened;
        self.unaccounted_total() as f64 / all.max(1) as f64
    }
}
