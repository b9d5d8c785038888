//! One server: what it can do, what is asked of it, what piled up. Loads are whole millionths of a core of
//! speed 1, work is such a load times microseconds, so that sums are exact.
use hallrelay_balancer::types::Micros;

/// Millionths of a core of speed 1.
pub type Cores = u64;
/// `Cores` times microseconds.
pub type Work = u64;

pub const CORE: Cores = 1_000_000;

/// What a machine is, whatever happens to it.
#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: u32,
    /// Of one core.
    pub speed: Cores,
    pub cold_from: f64,
    pub cold: Micros,
    /// Warm all at once when the time is over, or bit by bit till then.
    pub at_the_end: bool,
    pub fall_multiple: f64,
    pub fall: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    Up,
    /// The process is dead: connections are reset and refused.
    Down,
    /// The machine says nothing any more.
    Silent,
    /// Sent too much while it was cold; stays down.
    Fallen,
}

/// Work that came in a window of time, in buckets that are used again in a ring.
#[derive(Clone, Debug)]
struct Window {
    width: Micros,
    /// The bucket that is filled now, counted from the start.
    last: u64,
    slots: [Work; Window::SLOTS],
}

impl Window {
    /// A hundredth of the window is the step in which old work leaves it.
    const SLOTS: usize = 100;

    fn new(length: Micros) -> Window {
        Window { width: (length / Window::SLOTS as Micros).max(1), last: 0, slots: [0; Window::SLOTS] }
    }

    /// `since` is the time since the window's own beginning.
    fn add(&mut self, since: Micros, work: Work) {
        let bucket = since / self.width;
        let first = self.last.max(bucket.saturating_sub(Window::SLOTS as u64));
        for b in first + 1..=bucket {
            self.slots[b as usize % Window::SLOTS] = 0;
        }
        self.last = self.last.max(bucket);
        self.slots[bucket as usize % Window::SLOTS] += work;
    }

    fn sum(&self) -> Work {
        self.slots.iter().sum()
    }
}

#[derive(Clone, Debug)]
pub struct Server {
    pub machine: Machine,
    pub life: Life,
    pub draining: bool,
    /// When it started last; 0 is long ago.
    pub came_up: Micros,
    /// Millionths by which it is slower than it should be: 1,000,000 is not at all.
    pub slower: u64,
    /// Since when it stands still.
    pub stands: Option<Micros>,
    /// All work that ever came.
    pub came: Work,
    demand: Cores,
    pile: Work,
    at: Micros,
    sent: Window,
    /// The part of it that came through relays that knew of the start, and what they ask now.
    sent_told: Window,
    demand_told: Cores,
}

impl Server {
    /// More work than this, in time at full strength, is thrown away: queues are bounded.
    const PILE: Micros = 4_000_000;

    pub fn new(machine: Machine, now: Micros) -> Server {
        let window = Window::new(machine.fall);
        Server {
            machine,
            life: Life::Up,
            draining: false,
            came_up: 0,
            slower: CORE,
            stands: None,
            came: 0,
            demand: 0,
            pile: 0,
            at: now,
            sent: window.clone(),
            sent_told: window,
            demand_told: 0,
        }
    }

    pub fn cold(&self, now: Micros) -> bool {
        self.came_up > 0 && now < self.came_up + self.machine.cold
    }

    fn warmth(&self, now: Micros) -> f64 {
        if !self.cold(now) {
            return 1.0;
        }
        let age = now.saturating_sub(self.came_up) as f64 / self.machine.cold as f64;
        let grown = if self.machine.at_the_end { 0.0 } else { age };
        self.machine.cold_from + (1.0 - self.machine.cold_from) * grown
    }

    /// What all its cores can do now, if it does not stand.
    pub fn can(&self, now: Micros) -> Cores {
        let full = Cores::from(self.machine.cores) * self.machine.speed;
        let slowed = full as u128 * u128::from(CORE) / u128::from(self.slower.max(CORE));
        ((slowed as f64 * self.warmth(now)) as Cores).max(1)
    }

    pub fn demand(&self) -> Cores {
        self.demand
    }

    /// Load asked over what it can do.
    pub fn load(&self, now: Micros) -> f64 {
        self.demand as f64 / self.can(now) as f64
    }

    /// Starts anew, cold, with nothing.
    pub fn start(&mut self, now: Micros) {
        let window = Window::new(self.machine.fall);
        (self.life, self.draining, self.came_up, self.at) = (Life::Up, false, now.max(1), now);
        (self.demand, self.demand_told, self.pile) = (0, 0, 0);
        (self.sent, self.sent_told) = (window.clone(), window);
    }

    /// Brings the work up to now; true where the server falls over by it.
    pub fn advance(&mut self, now: Micros) -> bool {
        // Warmth and the window of a cold server are read in steps of a bucket, all else is even in between.
        while self.at < now {
            let cold = self.cold(self.at) && self.life == Life::Up;
            let until = if cold {
                let since = self.at - self.came_up;
                (self.at - since % self.sent.width + self.sent.width).min(now)
            } else {
                now
            };
            if self.advance_to(until, cold) {
                return true;
            }
        }
        false
    }

    fn advance_to(&mut self, until: Micros, cold: bool) -> bool {
        let (from, time) = (self.at, until - self.at);
        self.at = until;
        if self.life != Life::Up {
            self.pile = 0;
            return false;
        }
        let came = self.demand * time;
        self.came += came;
        let done = if self.stands.is_some() { 0 } else { self.can(from) * time };
        let most = Cores::from(self.machine.cores) * self.machine.speed * Server::PILE;
        self.pile = (self.pile + came).saturating_sub(done).min(most);
        if !cold {
            return false;
        }
        let since = from - self.came_up;
        self.sent.add(since, came);
        self.sent_told.add(since, self.demand_told * time);
        self.falls(from)
    }

    /// The budget is one for any window of the length: multiple times what it can do times the window.
    fn falls(&mut self, now: Micros) -> bool {
        let budget = self.machine.fall_multiple * self.can(now) as f64 * self.machine.fall as f64;
        let over = self.cold(now) && self.sent.sum() as f64 >= budget;
        if over {
            self.life = Life::Fallen;
        }
        over
    }

    /// Whether the relays that knew are to blame: two thirds of the work came through them.
    pub fn blames_the_told(&self) -> bool {
        self.sent_told.sum() * 3 >= self.sent.sum() * 2
    }

    /// Work that comes at once; true where the server falls over by it. Advance first.
    pub fn burst(&mut self, now: Micros, work: Work, told: bool) -> bool {
        if self.life != Life::Up {
            return false;
        }
        self.pile += work;
        self.came += work;
        if !self.cold(now) {
            return false;
        }
        let since = now - self.came_up;
        self.sent.add(since, work);
        self.sent_told.add(since, if told { work } else { 0 });
        self.falls(now)
    }

    /// Load that is asked from now on, more or less. Advance first.
    pub fn ask(&mut self, more: Cores, less: Cores, told: bool) {
        self.demand = (self.demand + more).saturating_sub(less);
        if told {
            self.demand_told = (self.demand_told + more).saturating_sub(less);
        }
    }

    /// A relay has now been told of the start: what it asks counts as such from here on.
    pub fn told(&mut self, of: Cores) {
        self.demand_told = (self.demand_told + of).min(self.demand);
    }

    /// Seconds of work piled up.
    pub fn piled(&self, now: Micros) -> f64 {
        self.pile as f64 / self.can(now) as f64 / 1e6
    }

    /// How long a message takes now.
    pub fn delay(&self, now: Micros) -> Micros {
        let stood = self.stands.map_or(0, |since| now.saturating_sub(since));
        stood + self.pile / self.can(now)
    }

    /// When work that comes now is done: what is there goes first, and one core does it.
    pub fn done(&self, now: Micros, work: Work) -> Micros {
        let speed =
            (self.machine.speed as u128 * u128::from(CORE) / u128::from(self.slower.max(CORE))).max(1);
        now + self.pile / self.can(now) + (u128::from(work) / speed) as Micros
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn machine() -> Machine {
        Machine {
            cores: 2,
            speed: CORE,
            cold_from: 0.25,
            cold: 20_000_000,
            at_the_end: true,
            fall_multiple: 3.0,
            fall: 2_000_000,
        }
    }

    fn started() -> Server {
        let mut s = Server::new(machine(), 0);
        s.start(1_000_000);
        s
    }

    /// Can do half a core while it is cold, so 1.5 cores for two seconds are what it does not bear.
    #[test]
    fn falls_at_multiple_and_time_and_not_one_step_below() {
        for (asked, until, falls) in [
            (1_500_000, 3_000_000, true),
            (1_500_000, 2_999_999, false),
            (1_499_999, 20_000_000, false),
            (1_500_000, 2_980_000, false),
        ] {
            let mut s = started();
            s.ask(asked, 0, true);
            assert_eq!(s.advance(until), falls, "{asked} asked until {until}");
            assert_eq!(s.life == Life::Fallen, falls);
        }
    }

    #[test]
    fn falls_by_one_burst_of_the_whole_budget() {
        let budget = 1_500_000 * 2_000_000;
        let mut s = started();
        assert!(!s.burst(1_000_000, budget - 1, true));
        assert!(s.burst(1_000_000, 1, true));
        assert!(s.blames_the_told());
        let mut untold = started();
        assert!(untold.burst(1_000_000, budget, false));
        assert!(!untold.blames_the_told());
    }

    /// What is older than the window counts no more; a warm server bears anything.
    #[test]
    fn old_work_leaves_the_window_and_warm_servers_stand() {
        let mut s = started();
        s.burst(1_000_000, 1_500_000 * 1_900_000, true);
        assert!(!s.advance(3_100_000));
        assert!(!s.burst(3_100_000, 1_500_000 * 1_900_000, true));
        let mut warm = Server::new(machine(), 0);
        warm.ask(90_000_000, 0, true);
        assert!(!warm.advance(60_000_000));
    }

    #[test]
    fn work_piles_up_and_is_worked_off() {
        let mut s = Server::new(machine(), 0);
        s.ask(3_000_000, 0, true);
        s.advance(1_000_000);
        assert_eq!(s.delay(1_000_000), 500_000);
        s.ask(0, 3_000_000, true);
        s.advance(1_250_000);
        assert_eq!(s.delay(1_250_000), 250_000);
        s.slower = 2 * CORE;
        assert_eq!(s.delay(1_250_000), 500_000);
        s.stands = Some(1_250_000);
        s.advance(1_350_000);
        assert_eq!(s.delay(1_350_000), 600_000);
    }

    #[test]
    fn warms_bit_by_bit() {
        let mut s = Server::new(Machine { at_the_end: false, ..machine() }, 0);
        s.start(1_000_000);
        assert_eq!(s.can(1_000_000), 500_000);
        assert_eq!(s.can(11_000_000), 1_250_000);
        assert_eq!(s.can(21_000_000), 2_000_000);
    }
}
