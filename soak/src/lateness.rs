//! Measures the scheduling delay of the harness' own threads.
//!
//! The oracle's margins allow for threads that run late by up to `HARNESS_MARGIN`. If they ran later than
//! that, the observed times are not evidence about a relay.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Measures in a separate thread, until it is stopped, how much later than requested that thread wakes up.
pub struct LatenessMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl LatenessMonitor {
    /// Starts the measurement.
    pub fn start() -> LatenessMonitor {
        let stop = Arc::<AtomicBool>::default();
        let requested = stop.clone();
        let thread = thread::spawn(move || longest_lateness(&requested));
        LatenessMonitor { stop, thread }
    }

    /// Ends the measurement and returns the longest delay.
    pub fn stop(self) -> Duration {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("join the thread that measures scheduling delays")
    }
}

fn longest_lateness(stop: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let sleep_started_at = Instant::now();
        thread::sleep(SAMPLE_INTERVAL);
        longest = longest.max(sleep_started_at.elapsed().saturating_sub(SAMPLE_INTERVAL));
    }
    longest
}
