//! How far a relay is on its way back, in a word for staff. Nothing is decided by it.

/// What a relay knows of itself and its servers just now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Servers that it could place sessions on, and those of them that are cold.
    pub servers: usize,
    pub cold: usize,
    /// Whether discovery spoke since the start, and whether another relay did instead.
    pub spoken: bool,
    pub hearsay: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Returning {
    /// It knows no server to place a session on: all are refused.
    Dark,
    /// It goes by what it kept, or by its configuration.
    Remembering,
    /// It goes by another relay's word.
    Asking,
    /// Most servers are cold: sessions go there as fast as these bear it.
    Trickle,
    Open,
}

type Holds = fn(&View) -> bool;

/// The first row that holds.
const TABLE: [(Holds, Returning); 5] = [
    (|v| v.servers == 0, Returning::Dark),
    (|v| v.cold * 2 > v.servers, Returning::Trickle),
    (|v| v.spoken, Returning::Open),
    (|v| v.hearsay, Returning::Asking),
    (|_| true, Returning::Remembering),
];

impl Returning {
    pub fn of(view: &View) -> Returning {
        TABLE.iter().find(|row| row.0(view)).map_or(Returning::Remembering, |row| row.1)
    }

    pub fn word(self) -> &'static str {
        match self {
            Returning::Dark => "dark",
            Returning::Remembering => "remembering",
            Returning::Asking => "asking",
            Returning::Trickle => "trickle",
            Returning::Open => "open",
        }
    }
}
