//! Signals, told to the reducer: an ordered stop is SIGTERM, or an interrupt from the keyboard; SIGHUP asks
//! for the configuration to be read anew.
use super::Hub;
use crate::reducer::Event;
use hallrelay_config::node::Node;
use tokio::signal::unix::{signal, Signal, SignalKind};

pub struct Signals {
    stops: [Signal; 2],
    reload: Signal,
}

impl Signals {
    /// From here on none of them ends the program by itself.
    pub fn caught() -> std::io::Result<Signals> {
        let stops = [signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?];
        Ok(Signals { stops, reload: signal(SignalKind::hangup())? })
    }
}

pub async fn run(signals: Signals, reread: impl Fn() -> Result<Node, String>, hub: Hub) {
    let Signals { stops: [mut term, mut interrupt], mut reload } = signals;
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
            _ = reload.recv() => {
                match reread() {
                    Ok(node) => {
                        slog::info!(hub.log, "the configuration is new"; "discovery" => %node.discovery);
                        hub.tell(Event::Reload(Box::new(node))).await;
                    }
                    Err(what) => {
                        slog::error!(hub.log, "the new configuration is not used"; "why" => what);
                        hub.tell(Event::Unfit).await;
                    }
                }
                continue;
            }
        }
        slog::info!(hub.log, "told to stop");
        hub.tell(Event::Stop).await;
    }
}
