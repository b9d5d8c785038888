//! The baseline that membership is measured beside, and nothing else uses: each relay sends a beat to every
//! other in each period, and who was silent for some of them is gone.
use crate::Micros;

/// As membership's period, and the silence after which it, too, would bury at the latest.
pub const PERIOD: Micros = 400_000;
pub const SILENCE: Micros = 2_400_000;

pub struct Beats {
    heard: Vec<Micros>,
    gone: Vec<bool>,
    own: usize,
}

impl Beats {
    /// One of so many, all of them there.
    pub fn new(own: usize, count: usize, now: Micros) -> Beats {
        Beats { heard: vec![now; count], gone: vec![false; count], own }
    }

    /// Whom a beat goes to.
    pub fn others(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.heard.len()).filter(|other| *other != self.own)
    }

    /// A beat came; whether its sender was held to be gone.
    pub fn heard(&mut self, from: usize, now: Micros) -> bool {
        self.heard[from] = now;
        std::mem::replace(&mut self.gone[from], false)
    }

    /// Those that are gone since this was asked last.
    pub fn gone(&mut self, now: Micros) -> Vec<usize> {
        let late = |other: usize| now.saturating_sub(self.heard[other]) > SILENCE && !self.gone[other];
        let found: Vec<usize> = self.others().filter(|other| late(*other)).collect();
        found.iter().for_each(|other| self.gone[*other] = true);
        found
    }
}
