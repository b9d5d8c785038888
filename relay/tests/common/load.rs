//! Clients that go on coming.
use super::Client;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Clients that come to all relays, one after another, till it is dropped.
pub struct Load {
    stop: Arc<AtomicBool>,
    pub opened: Arc<AtomicU64>,
    missed: Arc<AtomicU64>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Load {
    pub fn begin(places: Vec<SocketAddr>) -> Load {
        let (stop, opened, missed) = (Arc::<AtomicBool>::default(), Arc::default(), Arc::default());
        let mut load = Load { stop, opened, missed, thread: None };
        let (stop, opened, missed) = (load.stop.clone(), load.opened.clone(), load.missed.clone());
        load.thread = Some(std::thread::spawn(move || {
            let mut held: Vec<Client> = Vec::new();
            for i in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                match Client::open(places[i % places.len()], "low") {
                    Ok(client) => {
                        opened.fetch_add(1, Ordering::SeqCst);
                        held.push(client);
                    }
                    Err(_) => _ = missed.fetch_add(1, Ordering::SeqCst),
                }
                // Some stay open for a while.
                if held.len() > 20 {
                    held.remove(0);
                }
                std::thread::sleep(Duration::from_millis(10));
            }
        }));
        load
    }

    pub fn missed(&self) -> u64 {
        self.missed.load(Ordering::SeqCst)
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
