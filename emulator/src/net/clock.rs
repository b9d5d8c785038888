//! Clock of a day on sockets.
use hallrelay_balancer::types::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic Unix time in whole microseconds.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// Creates a clock that starts at the current system time and is monotonic from then on.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_micros() as Micros }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time to an instant for timers. A time before the clock's start is converted to the start.
    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(time.saturating_sub(self.unix_start))).into()
    }
}
