//! `hallrelay-lab serve-fleet`: emulated servers and a list service alone.
use super::{interrupts, load, End};
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::{endpoint_addresses, Clock, Host};
use hallrelay_lab::sockets;
use std::path::Path;
use std::sync::atomic::Ordering;

/// Serves the servers of a scenario until interrupted, and writes the configuration of a relay for them.
pub fn run(path: Option<&Path>, listen: std::net::SocketAddr, config: &Path) -> Result<End, String> {
    let mut s = load(path)?;
    // One relay, and no clients of ours.
    (s.relays.count, s.load.rate.0, s.load.standing) = (1, 0.0, 0);
    let stop = interrupts()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let clock = Clock::anchored();
        let seed = s.seed;
        let day = Day::new(&s, seed, clock.now());
        let host = Host::new(day, clock, endpoint_addresses(1, s.server_count())?, vec![listen]);
        host.accepts_foreign_clients.set(true);
        sockets::serve_fleet(&host).await?;
        sockets::write_config(&s, &sockets::place(0, seed, &host), &host, config)?;
        println!("{} servers, list at {}", s.server_count(), host.list_addresses.borrow()[0]);
        println!("start a relay with: hallrelay serve --config {}", config.display());
        println!("its clients connect to {listen}; interrupt to end");
        let interrupted = async {
            while !stop.load(Ordering::Relaxed) {
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            }
        };
        tokio::select! {
            () = host.clone().run() => {
                println!("the day is over; the servers go on as they are");
                while !stop.load(Ordering::Relaxed) {
                    tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                }
            }
            () = interrupted => {}
        }
        Ok(End::Well)
    })
}
