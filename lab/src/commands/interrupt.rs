//! Handles SIGINT and SIGTERM.
use hallrelay_lab::error::LabError;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// Interval at which the flag is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A flag that is set by the first SIGINT or SIGTERM.
pub struct Interrupt {
    is_set: Arc<AtomicBool>,
}

impl Interrupt {
    /// Starts a thread that waits for SIGINT and SIGTERM.
    pub fn listen() -> Result<Interrupt, LabError> {
        let is_set = Arc::new(AtomicBool::new(false));
        let flag = is_set.clone();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(LabError::Signals)?;
        std::thread::spawn(move || {
            runtime.block_on(async {
                let Ok(mut terminate) = signal(SignalKind::terminate()) else { return };
                tokio::select! {
                    _ = tokio::signal::ctrl_c() => {}
                    _ = terminate.recv() => {}
                }
                flag.store(true, Ordering::Relaxed);
            });
        });
        Ok(Interrupt { is_set })
    }

    /// Whether one of the signals was received.
    pub fn is_set(&self) -> bool {
        self.is_set.load(Ordering::Relaxed)
    }

    /// Completes when the flag is set.
    pub async fn wait(&self) {
        while !self.is_set() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
