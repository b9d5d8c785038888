//! `hallrelay-lab serve-fleet`: the emulated servers and discovery service alone.
use super::interrupt::Interrupt;
use super::{load, runtime, Status};
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::{places, Clock, Host};
use hallrelay_lab::error::LabError;
use hallrelay_lab::sockets;
use std::net::SocketAddr;
use std::path::Path;
use tokio::task::LocalSet;

/// Serves the servers of a scenario until interrupted, and writes the configuration of a relay for them.
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
        let addresses = places(1, servers).map_err(LabError::emulator)?;
        let host = Host::new(day, clock, addresses, vec![listen]);
        host.open_house.set(true);
        sockets::serve_fleet(&host).await?;
        sockets::write_config(&scenario, &sockets::relay_place(0, seed, &host), &host, config)?;
        println!("{servers} servers, list at {}", host.list_at.borrow()[0]);
        println!("start a relay with: hallrelay serve --config {}", config.display());
        println!("its clients connect to {listen}; interrupt to end");
        tokio::select! {
            () = host.clone().run() => {
                println!("the day is over; the servers go on as they are");
                interrupt.wait().await;
            }
            () = interrupt.wait() => {}
        }
        Ok(Status::Success)
    })
}
