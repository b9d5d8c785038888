//! An ordered stop: SIGTERM, or an interrupt from the keyboard, is told to the reducer.
use super::Hub;
use crate::reducer::Event;
use tokio::signal::unix::{signal, SignalKind};

pub async fn run(hub: Hub) -> std::io::Result<()> {
    let (mut term, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
        }
        slog::info!(hub.log, "told to stop");
        hub.tell(Event::Stop).await;
    }
}
