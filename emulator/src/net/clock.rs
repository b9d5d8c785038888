//! The clock of a day on sockets.
use hallrelay_balancer::types::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in whole microseconds that only advances.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix_start: Micros,
}

impl Clock {
    /// A clock that shows the system's time now, and is steady from then on.
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_start: unix.as_micros() as Micros }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.unix_start + self.start.elapsed().as_micros() as Micros
    }

    /// A time as timers have it; the clock's start where the time is before that.
    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        (self.start + Duration::from_micros(time.saturating_sub(self.unix_start))).into()
    }
}
