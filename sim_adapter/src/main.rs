//! Hosts many instances of the decision module on the simulator's wire: standard input to standard output.
mod wire;

use hallrelay_balancer::Relay;
use hallrelay_config::facts::ReportOrder;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;

use wire::{Event, Reply};

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut relays: BTreeMap<u16, (Relay, ReportOrder)> = BTreeMap::new();
    let mut effects = Vec::new();
    let mut frame = Vec::new();
    while wire::read_frame(input, &mut frame)? {
        let batch = wire::Batch::open(&frame)?;
        let mut reply = Reply::new(batch.number);
        for index in 0..batch.count {
            let (instance, event) =
                batch.event(index, |i| relays.get(&i).map(|(_, order)| *order).unwrap_or_default())?;
            match event {
                Event::Start { seed, settings } => match hallrelay_config::settings(settings) {
                    Ok(site) => {
                        relays.insert(instance, (Relay::new(site.facts, seed), site.report));
                    }
                    Err(what) => {
                        relays.remove(&instance);
                        reply.fault(instance, &what);
                    }
                },
                Event::Stop => {
                    relays.remove(&instance);
                }
                Event::Unused => {}
                Event::Input(one) => {
                    if let Some((relay, _)) = relays.get_mut(&instance) {
                        relay.step(batch.now, one, &mut effects);
                        effects.drain(..).for_each(|effect| reply.effect(instance, &effect));
                    }
                }
            }
        }
        output.write_all(&reply.close()).and_then(|()| output.flush()).map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut input = io::BufReader::with_capacity(1 << 16, io::stdin().lock());
    match serve(&mut input, &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("hallrelay-simhost: {what}");
            ExitCode::FAILURE
        }
    }
}
