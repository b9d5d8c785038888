//! Measures the scheduling delay of the harness' own threads.
//!
//! The threads of the harness record the times that the oracle checks. The oracle allows for threads that
//! run late by at most `HARNESS_MARGIN`. If a thread was later than that, the recorded times prove nothing
//! about a relay.
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);

/// A thread that repeatedly sleeps for `SAMPLE_INTERVAL`, and measures how much later than requested it
/// wakes up.
pub struct LatenessMonitor {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl LatenessMonitor {
    /// Starts the measurement.
    pub fn start() -> LatenessMonitor {
        let stop = Arc::<AtomicBool>::default();
        let thread_stop = stop.clone();
        let thread = thread::spawn(move || longest_lateness(&thread_stop));
        LatenessMonitor { stop, thread }
    }

    /// Ends the measurement, and returns the longest measured delay.
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
