//! One server: its capacity, the demand on it, and its queued work. Loads are integer millionths of a core
//! of speed 1, and work is such a load multiplied by microseconds, so that sums are exact.
use hallrelay_balancer::types::Micros;

/// Millionths of a core of speed 1.
pub type Cores = u64;
/// `Cores` times microseconds.
pub type Work = u64;

/// One core of speed 1.
pub const CORE: Cores = 1_000_000;

/// Fixed properties of a machine.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Number of cores.
    pub cores: u32,
    /// Speed of one core.
    pub speed: Cores,
    /// Fraction of its capacity that is available at its start, from 0 to 1.
    pub initial_capacity: f64,
    /// Duration of the warm-up after a start, in microseconds.
    pub warm_up: Micros,
    /// Whether its full capacity becomes available only at the end of the warm-up; otherwise capacity grows
    /// linearly until then.
    pub warms_at_end: bool,
    /// Work that overloads it during the warm-up, as a multiple of its capacity over the overload window.
    pub overload_multiple: f64,
    /// Overload window, in microseconds.
    pub overload_window: Micros,
}

/// Whether a server serves, and how connections to it fail otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerState {
    /// It serves.
    Up,
    /// The process has exited: connections are reset and refused.
    Down,
    /// The machine sends nothing, not even resets.
    Silent,
    /// It was overloaded while it warmed up, and stays down.
    Overloaded,
}

/// Work received in a time window, as a ring of buckets.
#[derive(Clone, Debug)]
struct WorkWindow {
    bucket_width: Micros,
    /// Bucket that is being filled, counted from the server's start.
    last_bucket: u64,
    buckets: [Work; WorkWindow::BUCKETS],
}

impl WorkWindow {
    /// Work leaves the window in steps of one bucket.
    const BUCKETS: usize = 100;

    fn new(length: Micros) -> WorkWindow {
        let bucket_width = (length / WorkWindow::BUCKETS as Micros).max(1);
        WorkWindow { bucket_width, last_bucket: 0, buckets: [0; WorkWindow::BUCKETS] }
    }

    /// Adds work; `since` is the time since the server's start.
    fn add(&mut self, since: Micros, work: Work) {
        let bucket = since / self.bucket_width;
        let first_to_clear = self.last_bucket.max(bucket.saturating_sub(WorkWindow::BUCKETS as u64)) + 1;
        for cleared in first_to_clear..=bucket {
            self.buckets[cleared as usize % WorkWindow::BUCKETS] = 0;
        }
        self.last_bucket = self.last_bucket.max(bucket);
        self.buckets[bucket as usize % WorkWindow::BUCKETS] += work;
    }

    fn sum(&self) -> Work {
        self.buckets.iter().sum()
    }
}

/// One server. Calls are made in chronological order, and `advance` precedes calls that change the demand.
#[derive(Clone, Debug)]
pub struct Server {
    /// The machine it runs on.
    pub machine: Machine,
    /// Whether it serves.
    pub state: ServerState,
    /// Whether it drains.
    pub is_draining: bool,
    /// Time of its last start; 0 means long ago.
    pub started_at: Micros,
    /// Slowdown factor in millionths; 1,000,000 is the usual speed.
    pub slowdown: u64,
    /// Since when it processes no work; none if it is not stalled.
    pub stalled_since: Option<Micros>,
    /// Total work received since it was created.
    pub total_work: Work,
    demand: Cores,
    queued_work: Work,
    advanced_to: Micros,
    recent_work: WorkWindow,
    /// Part of the recent work that came through relays notified of the start.
    recent_notified_work: WorkWindow,
    /// Part of the demand that comes through these relays.
    notified_demand: Cores,
}

impl Server {
    /// Maximum queued work, as time at full capacity; work beyond it is dropped.
    const MAX_QUEUE_DELAY: Micros = 4_000_000;

    /// Creates a server that is up, started long ago and has no demand.
    pub fn new(machine: Machine, now: Micros) -> Server {
        let window = WorkWindow::new(machine.overload_window);
        Server {
            machine,
            state: ServerState::Up,
            is_draining: false,
            started_at: 0,
            slowdown: CORE,
            stalled_since: None,
            total_work: 0,
            demand: 0,
            queued_work: 0,
            advanced_to: now,
            recent_work: window.clone(),
            recent_notified_work: window,
            notified_demand: 0,
        }
    }

    /// Whether it is warming up.
    pub fn is_warming_up(&self, now: Micros) -> bool {
        self.started_at > 0 && now < self.started_at + self.machine.warm_up
    }

    /// Fraction of its full capacity that is available now, from 0 to 1.
    fn warm_up_fraction(&self, now: Micros) -> f64 {
        if !self.is_warming_up(now) {
            return 1.0;
        }
        let elapsed = now.saturating_sub(self.started_at) as f64 / self.machine.warm_up as f64;
        let gained = if self.machine.warms_at_end { 0.0 } else { elapsed };
        self.machine.initial_capacity + (1.0 - self.machine.initial_capacity) * gained
    }

    /// Current capacity of all cores, as if not stalled; at least 1.
    pub fn capacity(&self, now: Micros) -> Cores {
        let full = Cores::from(self.machine.cores) * self.machine.speed;
        let slowed = full as u128 * u128::from(CORE) / u128::from(self.slowdown.max(CORE));
        ((slowed as f64 * self.warm_up_fraction(now)) as Cores).max(1)
    }

    /// Demand of its sessions.
    pub fn demand(&self) -> Cores {
        self.demand
    }

    /// Demand over capacity.
    pub fn load(&self, now: Micros) -> f64 {
        self.demand as f64 / self.capacity(now) as f64
    }

    /// Restarts the server: it warms up, without demand or queued work.
    pub fn restart(&mut self, now: Micros) {
        let window = WorkWindow::new(self.machine.overload_window);
        self.state = ServerState::Up;
        self.is_draining = false;
        self.started_at = now.max(1);
        self.advanced_to = now;
        self.demand = 0;
        self.notified_demand = 0;
        self.queued_work = 0;
        self.recent_work = window.clone();
        self.recent_notified_work = window;
    }

    /// Advances the work to `now`. Returns whether this overloads the server.
    pub fn advance(&mut self, now: Micros) -> bool {
        // While the server warms up, capacity and window are evaluated once per bucket. Everything else is
        // constant between calls.
        while self.advanced_to < now {
            let warming_up = self.is_warming_up(self.advanced_to) && self.state == ServerState::Up;
            let until = if warming_up { self.next_bucket_at().min(now) } else { now };
            if self.advance_step(until, warming_up) {
                return true;
            }
        }
        false
    }

    fn next_bucket_at(&self) -> Micros {
        let since_start = self.advanced_to - self.started_at;
        let width = self.recent_work.bucket_width;
        self.advanced_to - since_start % width + width
    }

    fn advance_step(&mut self, until: Micros, warming_up: bool) -> bool {
        let from = self.advanced_to;
        let elapsed = until - from;
        self.advanced_to = until;
        if self.state != ServerState::Up {
            self.queued_work = 0;
            return false;
        }
        let added = self.demand * elapsed;
        self.total_work += added;
        let done = if self.stalled_since.is_some() { 0 } else { self.capacity(from) * elapsed };
        let max_queue = Cores::from(self.machine.cores) * self.machine.speed * Server::MAX_QUEUE_DELAY;
        self.queued_work = (self.queued_work + added).saturating_sub(done).min(max_queue);
        if !warming_up {
            return false;
        }
        let since_start = from - self.started_at;
        self.recent_work.add(since_start, added);
        self.recent_notified_work.add(since_start, self.notified_demand * elapsed);
        self.check_overload(from)
    }

    /// The budget applies to every window of that length: a multiple of the capacity over the window.
    fn check_overload(&mut self, now: Micros) -> bool {
        let window = self.machine.overload_window as f64;
        let budget = self.machine.overload_multiple * self.capacity(now) as f64 * window;
        let is_overloaded = self.is_warming_up(now) && self.recent_work.sum() as f64 >= budget;
        if is_overloaded {
            self.state = ServerState::Overloaded;
        }
        is_overloaded
    }

    /// Whether relays that were notified of the start caused an overload, that is, if at least two thirds of
    /// the work came through them.
    pub fn is_overload_by_notified(&self) -> bool {
        self.recent_notified_work.sum() * 3 >= self.recent_work.sum() * 2
    }

    /// Queues work that arrives at one moment. Returns whether this overloads the server.
    pub fn add_work(&mut self, now: Micros, work: Work, is_notified: bool) -> bool {
        if self.state != ServerState::Up {
            return false;
        }
        self.queued_work += work;
        self.total_work += work;
        if !self.is_warming_up(now) {
            return false;
        }
        let since_start = now - self.started_at;
        self.recent_work.add(since_start, work);
        self.recent_notified_work.add(since_start, if is_notified { work } else { 0 });
        self.check_overload(now)
    }

    /// Changes the demand. `is_notified` means that it comes through a relay notified of the start.
    pub fn change_demand(&mut self, added: Cores, removed: Cores, is_notified: bool) {
        self.demand = (self.demand + added).saturating_sub(removed);
        if is_notified {
            self.notified_demand = (self.notified_demand + added).saturating_sub(removed);
        }
    }

    /// A relay has been notified of the start: its demand counts as notified from now on.
    pub fn relay_notified(&mut self, demand: Cores) {
        self.notified_demand = (self.notified_demand + demand).min(self.demand);
    }

    /// Queue delay in seconds.
    pub fn queue_delay_s(&self, now: Micros) -> f64 {
        self.queued_work as f64 / self.capacity(now) as f64 / 1e6
    }

    /// Latency of a message that arrives now, in microseconds.
    pub fn message_delay(&self, now: Micros) -> Micros {
        let stalled_for = self.stalled_since.map_or(0, |since| now.saturating_sub(since));
        stalled_for + self.queued_work / self.capacity(now)
    }

    /// Completion time of work that arrives now: one core processes it after all queued work.
    pub fn completion_time(&self, now: Micros, work: Work) -> Micros {
        let core_speed =
            (self.machine.speed as u128 * u128::from(CORE) / u128::from(self.slowdown.max(CORE))).max(1);
        now + self.queued_work / self.capacity(now) + (u128::from(work) / core_speed) as Micros
    }
}
