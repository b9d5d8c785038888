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

counts! {
    /// Dials by how they ended.
    DialEnds { ok, error, full, timeout, unconnected, reset, recalled, moot, }
}

counts! {
    /// Attempts that the relay answered after at least one dial, by how the last of them stood.
    AfterDials {
        ok,
        error,
        full,
        timeout,
        unconnected,
        reset,
        recalled,
        moot,
        /// The dial was still out.
        out,
    }
}

counts! {
    /// Attempts that clients opened, by what became of them.
    Fates {
        placed,
        /// The backend's first word was its last: `BYE`.
        served_at_once,
        /// Answered `BUSY` without any dial.
        refused_undialled,
        /// Answered `FAIL` without any dial.
        failed_undialled,
        /// Answered `ERR`: not of the protocol, an unknown listener, a mark that is open.
        not_protocol,
        client_left,
        /// Closed without an answer, long after the client's time was up.
        too_late,
        /// The relay's process ended first.
        relay_ended,
        /// Undecided as the day ended.
        still_waiting,
        unaccounted,
    }
}

counts! {
    /// Sessions that this second brought.
    Sessions {
        came_up,
        /// Taken over from another process of the relay.
        taken_over,
    }
}

counts! {
    /// How placed sessions ended.
    Ends {
        /// The client ended it.
        client,
        /// The backend said `BYE`: the session had run its time.
        done,
        /// The backend said `MOVE`.
        sent_away,
        /// The backend ended it without a word.
        reset,
        /// A silent backend, or a line that was not of the protocol.
        otherwise,
        /// The relay moved it.
        moved,
        /// The relay itself drained, stopped or was replaced.
        relay_stop,
        /// Another process of the relay goes on with it.
        passed_on,
        /// The relay's process ended without being told to.
        relay_died,
        unaccounted,
    }
}

/// Attempts that were opened in a second, whenever they were answered. `opened` is the sum of all fates and
/// of all `after_dials`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Attempts {
    pub opened: u64,
    /// Clients that are back after an interruption or a move.
    pub returned: u64,
    pub fates: Fates,
    /// Refused or failed after dials.
    pub after_dials: AfterDials,
    /// All dials for them.
    pub dials: u64,
    /// Those dials that ended without coming up.
    pub dial_ends: DialEnds,
}

impl Attempts {
    pub fn count(&mut self, fate: &Fate) {
        let fates = &mut self.fates;
        let count = match fate {
            Fate::Placed => &mut fates.placed,
            Fate::ServedAtOnce => &mut fates.served_at_once,
            Fate::Refused(LastDial::None) => &mut fates.refused_undialled,
            Fate::Failed(LastDial::None) => &mut fates.failed_undialled,
            Fate::Refused(LastDial::Out) | Fate::Failed(LastDial::Out) => &mut self.after_dials.out,
            Fate::Refused(LastDial::Ended(end)) | Fate::Failed(LastDial::Ended(end)) => {
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

    pub fn add(&mut self, other: &Attempts) {
        self.opened += other.opened;
        self.returned += other.returned;
        self.dials += other.dials;
        self.fates.add(&other.fates);
        self.after_dials.add(&other.after_dials);
        self.dial_ends.add(&other.dial_ends);
    }
}

/// Finds the count of an end, for structs of counts that have one for each.
macro_rules! counts_by_dial_end {
    ($($name:ident),*) => {
        $(impl $name {
            pub fn of(&mut self, end: DialEnd) -> &mut u64 {
                match end {
                    DialEnd::Ok => &mut self.ok,
                    DialEnd::Error => &mut self.error,
                    DialEnd::Full => &mut self.full,
                    DialEnd::Timeout => &mut self.timeout,
                    DialEnd::Unconnected => &mut self.unconnected,
                    DialEnd::Reset => &mut self.reset,
                    DialEnd::Cancelled => &mut self.recalled,
                    DialEnd::NotSent => &mut self.moot,
                }
            }
        })*
    };
}

counts_by_dial_end!(AfterDials, DialEnds);

impl Ends {
    /// Counts an end; what is open as the day ends has none.
    pub fn count(&mut self, end: End) {
        let count = match end {
            End::Client => &mut self.client,
            End::Done => &mut self.done,
            End::SentAway => &mut self.sent_away,
            End::Reset => &mut self.reset,
            End::Otherwise => &mut self.otherwise,
            End::Moved => &mut self.moved,
            End::RelayStop => &mut self.relay_stop,
            End::PassedOn => &mut self.passed_on,
            End::RelayDied => &mut self.relay_died,
            End::Unaccounted(_) => &mut self.unaccounted,
            End::StillOpen => return,
        };
        *count += 1;
    }
}

/// The time from a client's first line to its placing, of sessions that came up in a second, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Wait {
    pub median_ms: Option<u32>,
    pub worst_ms: Option<u32>,
}

/// Answers to probes in a second, with what backends reported.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Probes {
    pub answered: u64,
    pub failed: u64,
    /// Load asked over what the backend can do.
    pub load_median: Option<f64>,
    pub load_p90: Option<f64>,
    /// Part of the answers with work piled up for longer than 0.1 s, of those that report it.
    pub piled_part: Option<f64>,
}

/// The fleet at the end of a second.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Fleet {
    pub open: u64,
    /// Open sessions on backends that started during the day.
    pub open_on_started: u64,
    /// Backends by state, and those of both that started during the day.
    pub ready: u64,
    pub draining: u64,
    pub started: u64,
    /// Groups with an open session.
    pub groups: u64,
    /// Distinct pairs of a group and a backend that holds at least one open session of it.
    pub pairs: u64,
    /// Backends a group, in the mean.
    pub pairs_per_group: Option<f64>,
}

/// One second of the day, or the sum of all.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    pub second: u32,
    pub attempts: Attempts,
    pub sessions: Sessions,
    pub wait: Wait,
    pub ends: Ends,
    pub probes: Probes,
    /// At the end of the second; in the sum, at the end of the day.
    pub fleet: Fleet,
}

/// What was read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Read {
    pub relays: u64,
    /// Processes of these relays, over the day.
    pub processes: u64,
    pub lines: u64,
    /// Events and effects among them.
    pub entries: u64,
    /// Lines that are not of a relay's log, or are longer than any of it; skipped.
    pub unknown: u64,
    /// Lines that end in the middle; skipped.
    pub cut: u64,
    /// Lines that the relays say they dropped.
    pub dropped: u64,
}

/// Where a day's offered sessions went.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Losses {
    pub read: Read,
    pub seconds: Vec<Second>,
    pub sum: Second,
    /// Attempts of which it is not known what became, by why.
    pub unaccounted: BTreeMap<Gap, u64>,
}

impl Losses {
    pub fn unaccounted_in_all(&self) -> u64 {
        self.unaccounted.values().sum()
    }

    /// Attempts that are unaccounted for, as a part of all (0 to 1).
    pub fn unaccounted_part(&self) -> f64 {
        let unopened = self.unaccounted.get(&Gap::NeverOpened).copied().unwrap_or(0);
        let all = self.sum.attempts.opened + unopened;
        self.unaccounted_in_all() as f64 / all.max(1) as f64
    }
}
