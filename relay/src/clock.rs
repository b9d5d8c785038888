//! Whole microseconds of Unix time that only advance: the system's clock is read once, at the start.
use hallrelay_balancer::types::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    pub fn anchored() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    pub fn at(&self, then: Micros) -> tokio::time::Instant {
        let since = then.saturating_sub(self.unix);
        (self.start + Duration::from_micros(since)).into()
    }
}

pub fn span(time: Micros) -> Duration {
    Duration::from_micros(time)
}
