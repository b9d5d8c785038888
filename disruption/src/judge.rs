//! Whether a wave is good, by what became of sessions at the new build and at the old one beside it.
use crate::Judge;

/// Sessions, and those among them that went badly: refused, failed, or cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub sessions: u64,
    pub bad: u64,
}

impl Tally {
    pub fn add(&mut self, other: Tally) {
        self.sessions += other.sessions;
        self.bad += other.bad;
    }

    pub fn less(self, before: Tally) -> Tally {
        Tally {
            sessions: self.sessions.saturating_sub(before.sessions),
            bad: self.bad.saturating_sub(before.bad),
        }
    }

    fn part(self) -> f64 {
        self.bad as f64 / self.sessions.max(1) as f64
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Verdict {
    pub good: bool,
    pub why: String,
}

/// None while there is too little to say. A build that is bad beyond chance (three standard errors) is told
/// from a quarter of the sessions on: waiting for the rest would only give it more clients. Where the time is
/// over without enough sessions it is not good: a person may go on.
pub fn judge(judge: &Judge, new: Tally, old: Tally, waited_s: u64) -> Option<Verdict> {
    let margin = f64::from(judge.worse) / 1e6;
    let (here, there) = (new.part(), old.part());
    let over = here - there - margin;
    let p = here.clamp(0.01, 0.99);
    let error = (p * (1.0 - p) / new.sessions.max(1) as f64).sqrt();
    let told = || {
        let of = |t: Tally| format!("{} of {}", t.bad, t.sessions);
        format!("bad at the new build {}, at the old {}", of(new), of(old))
    };
    let enough = new.sessions >= u64::from(judge.sessions);
    let surely = new.sessions * 4 >= u64::from(judge.sessions) && over > 3.0 * error;
    match (enough, over > 0.0) {
        (true, bad) => Some(Verdict { good: !bad, why: told() }),
        (false, _) if surely => Some(Verdict { good: false, why: told() }),
        (false, _) if waited_s >= u64::from(judge.within_s) => {
            let why = format!("{} sessions in {waited_s} s, too few to judge: {}", new.sessions, told());
            Some(Verdict { good: false, why })
        }
        _ => None,
    }
}
