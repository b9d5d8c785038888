//! How late the machine runs the harness' own threads.
//!
//! The oracle's margins allow for threads that are late by `HARNESS_MARGIN`. Where they were later, an
//! observed time tells nothing of a relay.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// Measures, until it is stopped, how much later than requested a thread of its own wakes up.
pub struct LatenessMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl LatenessMonitor {
    /// Begins to measure.
    pub fn start() -> LatenessMonitor {
        let stop = Arc::<AtomicBool>::default();
        let requested = stop.clone();
        let thread = thread::spawn(move || longest_lateness(&requested));
        LatenessMonitor { stop, thread }
    }

    /// Ends the measurement. Returns the longest lateness.
    pub fn stop(self) -> Duration {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("measuring does not panic")
    }
}

fn longest_lateness(stop: &AtomicBool) -> Duration {
    let mut longest = Duration::ZERO;
    while !stop.load(Ordering::Relaxed) {
        let asleep_at = Instant::now();
        thread::sleep(SAMPLE_INTERVAL);
        longest = longest.max(asleep_at.elapsed().saturating_sub(SAMPLE_INTERVAL));
    }
    longest
}
