//! Adapter between the simulator and the balancer. The adapter reads batches of events for many relays from
//! standard input, and writes the balancers' effects for each batch to standard output. An *instance* is one
//! relay of the simulated fleet.
#![deny(missing_docs)]

mod error;
mod fields;
mod frame;
mod record;
mod reply;

use error::WireError;
use frame::Batch;
use hallrelay_balancer::types::{Effect, Micros};
use hallrelay_balancer::Balancer;
use hallrelay_config::facts::ReportOrder;
use record::Event;
use reply::Reply;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

/// One relay of the simulated fleet.
struct Instance {
    relay: Balancer,
    report_order: ReportOrder,
}

/// All running relays, by the numbers that the simulator assigned to them.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Instance>,
    /// Buffer for the effects of one event. It is empty between events, and kept to avoid allocations.
    effects: Vec<Effect>,
}

impl Host {
    fn reply_to(&mut self, frame: &[u8]) -> Result<Reply, WireError> {
        let batch = Batch::open(frame)?;
        let mut reply = Reply::new(batch.number);
        for index in 0..batch.count {
            let (instance, event) = batch.event(index, |number| self.report_order(number))?;
            self.handle(batch.now, instance, event, &mut reply);
        }
        Ok(reply)
    }

    fn report_order(&self, instance: u16) -> ReportOrder {
        self.instances.get(&instance).map(|instance| instance.report_order).unwrap_or_default()
    }

    fn handle(&mut self, now: Micros, number: u16, event: Event, reply: &mut Reply) {
        match event {
            Event::Start { seed, settings } => self.start(number, seed, settings, reply),
            Event::Stop => {
                self.instances.remove(&number);
            }
            Event::Unused => {}
            Event::Input(input) => {
                let Some(instance) = self.instances.get_mut(&number) else { return };
                instance.relay.step(now, input, &mut self.effects);
                for effect in self.effects.drain(..) {
                    reply.add_effect(number, &effect);
                }
            }
        }
    }

    /// Starts a relay. If its settings are invalid, adds the error to the reply instead.
    fn start(&mut self, number: u16, seed: u64, settings: &[u8], reply: &mut Reply) {
        match hallrelay_config::settings(settings) {
            Ok(site) => {
                let relay = Balancer::new(site.facts, seed);
                self.instances.insert(number, Instance { relay, report_order: site.report });
            }
            Err(error) => {
                self.instances.remove(&number);
                reply.add_failure(number, &error.to_string());
            }
        }
    }
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    let mut frame = Vec::new();
    while frame::read_frame(input, &mut frame)? {
        let reply = host.reply_to(&frame)?.into_frame();
        output.write_all(&reply).and_then(|()| output.flush()).map_err(WireError::Output)?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hallrelay-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
