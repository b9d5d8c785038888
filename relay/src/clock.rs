//! Unix time in microseconds that never goes back: the system clock is read only once, at the start.
use hallrelay_balancer::types::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock, anchored at the system time of its creation. Later steps of the system clock do not
/// change it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`.
    unix: Micros,
}

impl Clock {
    /// A clock that starts at the system time.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// Unix time now.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The runtime's instant for a Unix time. A time before the clock's start gives the start.
    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        let since = time.saturating_sub(self.unix);
        (self.start + Duration::from_micros(since)).into()
    }
}

/// A count of microseconds as a duration.
pub fn span(time: Micros) -> Duration {
    Duration::from_micros(time)
}
