//! `hallrelay-lab serve-fleet`: runs the emulated servers and discovery service without a relay.
use super::interrupt::Interrupt;
use super::{load, runtime, Status};
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::{endpoint_addresses, Clock, Host};
use hallrelay_lab::error::LabError;
use hallrelay_lab::sockets;
use std::net::SocketAddr;
use std::path::Path;
use tokio::task::LocalSet;

/// Runs the servers of a scenario until interrupted, and writes a relay configuration that uses them.
pub fn run(path: Option<&Path>, listen: SocketAddr, config: &Path) -> Result<Status, LabError> {
    let mut scenario = load(path)?;
    // One relay, and no emulated clients.
    (scenario.relays.count, scenario.load.rate.0, scenario.load.standing) = (1, 0.0, 0);
    let interrupt = Interrupt::listen()?;
    LocalSet::new().block_on(&runtime()?, async {
        let clock = Clock::anchored();
        let seed = scenario.seed;
        let day = Day::new(&scenario, seed, clock.now());
        let servers = scenario.server_count();
        let addresses = endpoint_addresses(1, servers).map_err(LabError::emulator)?;
        let host = Host::new(day, clock, addresses, vec![listen]);
        host.accepts_foreign_clients.set(true);
        sockets::serve_fleet(&host).await?;
        sockets::write_config(&scenario, &sockets::relay_placement(0, seed, &host), &host, config)?;
        println!("{servers} servers, list service at {}", host.list_addresses.borrow()[0]);
        println!("start a relay with: hallrelay serve --config {}", config.display());
        println!("clients of the relay connect to {listen}; press Ctrl-C to stop");
        tokio::select! {
            () = host.clone().run() => {
                println!("the day is over; the servers keep running in their current state");
                interrupt.wait().await;
            }
            () = interrupt.wait() => {}
        }
        Ok(Status::Success)
    })
}
