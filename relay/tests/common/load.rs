//! A steady load of client sessions for tests.
use super::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Opens sessions at the relays in round-robin order, about one every 10 ms, until this value
/// is dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    /// Number of sessions established so far.
    pub opened: Arc<AtomicU64>,
    failed: Arc<AtomicU64>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Load {
    /// Starts the load in a separate thread.
    pub fn start(addresses: Vec<SocketAddr>) -> Load {
        let (stop, opened, failed) = (Arc::<AtomicBool>::default(), Arc::default(), Arc::default());
        let mut load = Load { stop, opened, failed, thread: None };
        let (stop, opened, failed) = (load.stop.clone(), load.opened.clone(), load.failed.clone());
        load.thread = Some(std::thread::spawn(move || {
            let mut open_sessions: Vec<Client> = Vec::new();
            for i in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                match Client::open(addresses[i % addresses.len()], "low") {
                    Ok(client) => {
                        opened.fetch_add(1, Ordering::SeqCst);
                        open_sessions.push(client);
                    }
                    Err(_) => _ = failed.fetch_add(1, Ordering::SeqCst),
                }
                // Keep the 20 latest sessions open.
                if open_sessions.len() > 20 {
                    open_sessions.remove(0);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }));
        load
    }

    /// Number of attempts so far that established no session.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::SeqCst)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            _ = thread.join();
        }
    }
}
