//! Unix time in microseconds that only advances: the system's clock is read once, at the start.
use hallrelay_balancer::types::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that is anchored at the system's time of its creation; steps of that one do not change it.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`.
    unix: Micros,
}

impl Clock {
    /// A clock that starts at the system's time.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    /// Unix time now.
    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    /// The runtime's instant of a Unix time; the clock's start for earlier ones.
    pub fn at(&self, then: Micros) -> tokio::time::Instant {
        let since = then.saturating_sub(self.unix);
        (self.start + Duration::from_micros(since)).into()
    }
}

/// A count of microseconds as a duration.
pub fn span(time: Micros) -> Duration {
    Duration::from_micros(time)
}
