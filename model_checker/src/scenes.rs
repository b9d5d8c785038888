//! What is searched: how many voters and holders, and how often what may happen.
use crate::voters::{Few, Planted, Voters};

pub struct Scene {
    pub name: &'static str,
    voters: usize,
    holders: usize,
    few: Few,
    led: bool,
    out: bool,
    slow_disks: bool,
    /// The faults that it is to find.
    pub finds: &'static [Planted],
}

impl Scene {
    pub fn with(&self, planted: Planted) -> Voters {
        let Scene { voters, holders, few, led, out, slow_disks, .. } = *self;
        Voters { voters, holders, few, planted, led, out, slow_disks }
    }
}

const NONE: Few = Few {
    impatient: 0,
    crashes: 0,
    disks: 0,
    doubled: 0,
    late: 0,
    beats: 0,
    asks: 0,
    lapses: 0,
    deaths: 0,
    compacts: 0,
};

/// Three voters, the first of which leads, and one holder.
const PLAIN: Scene = Scene {
    name: "",
    voters: 3,
    holders: 1,
    few: NONE,
    led: true,
    out: false,
    slow_disks: false,
    finds: &[],
};

pub const ALL: [Scene; 8] = [
    // Who leads, with messages that come late and twice.
    Scene { name: "elections", few: Few { impatient: 2, doubled: 1, late: 1, ..NONE }, led: false, ..PLAIN },
    // Processes that die between a write and the disk.
    Scene {
        name: "crashes",
        few: Few { impatient: 3, crashes: 1, ..NONE },
        led: false,
        slow_disks: true,
        finds: &[Planted::VoteNotSynced],
        ..PLAIN
    },
    // Two who want to be out where one may.
    Scene {
        name: "holders",
        holders: 2,
        few: Few { asks: 4, lapses: 1, ..NONE },
        finds: &[Planted::BeginsUnagreed, Planted::LapsesWhileOut],
        ..PLAIN
    },
    // The same, and a leader that changes meanwhile.
    Scene {
        name: "leaders",
        holders: 2,
        few: Few { impatient: 2, late: 1, asks: 2, ..NONE },
        finds: &[Planted::AnswersAhead, Planted::LogNotCompared],
        ..PLAIN
    },
    // Disks that are lost, and entries that never came to one.
    Scene {
        name: "disks",
        few: Few { impatient: 2, disks: 1, crashes: 1, beats: 1, asks: 1, ..NONE },
        finds: &[Planted::DiskLostUnsaid, Planted::LogNotSynced],
        ..PLAIN
    },
    // One who dies, and is back cold, while another asks.
    Scene {
        name: "unplanned",
        holders: 2,
        few: Few { impatient: 1, asks: 2, deaths: 1, ..NONE },
        finds: &[Planted::ColdCountsIn, Planted::LeaderRemembers],
        ..PLAIN
    },
    // Logs made short while one is out, by voters that came back with that.
    Scene {
        name: "snapshots",
        holders: 2,
        few: Few { impatient: 1, asks: 2, crashes: 1, compacts: 1, ..NONE },
        out: true,
        finds: &[Planted::NumbersForgotten, Planted::BudgetsForgotten],
        ..PLAIN
    },
    // A voter that starts anew and hears all of it again.
    Scene {
        name: "restarts",
        few: Few { asks: 1, lapses: 1, crashes: 1, beats: 3, ..NONE },
        finds: &[Planted::AppliedTwice],
        ..PLAIN
    },
];
