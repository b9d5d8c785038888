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

/// The signals that `Signals` catches.
fn ours() -> Option<libc::sigset_t> {
    // SAFETY: the set is a plain struct that the first call fills; the others change it alone.
    unsafe {
        let mut set: libc::sigset_t = std::mem::zeroed();
        let filled = libc::sigemptyset(&raw mut set) == 0
            && [libc::SIGTERM, libc::SIGINT, libc::SIGHUP]
                .iter()
                .all(|signal| libc::sigaddset(&raw mut set, *signal) == 0);
        filled.then_some(set)
    }
}

fn mask(how: libc::c_int) {
    if let Some(set) = ours() {
        // SAFETY: it reads the set and changes this thread's mask alone.
        unsafe { libc::pthread_sigmask(how, &raw const set, std::ptr::null_mut()) };
    }
}

/// Keeps signals waiting till they are caught. Guards the first milliseconds of a start, in which a reload
/// would end the program.
pub fn hold() {
    mask(libc::SIG_BLOCK);
}

/// Lets those through that came meanwhile.
pub fn open() {
    mask(libc::SIG_UNBLOCK);
}

pub(super) async fn run(signals: Signals, reread: impl Fn() -> Result<Node, String>, hub: Hub) {
    let Signals { stops: [mut term, mut interrupt], mut reload } = signals;
    loop {
        tokio::select! {
            biased;
            // A stop before a reload that came with it: a text that is read slowly holds up no stop.
            _ = term.recv() => {}
            _ = interrupt.recv() => {}
            _ = reload.recv() => {
                match reread() {
                    Ok(node) => {
                        slog::info!(hub.log, "the configuration is new"; "discovery" => %node.discovery);
                        hub.tell(Event::ConfigurationReloaded(Box::new(node))).await;
                    }
                    Err(what) => {
                        slog::error!(hub.log, "the new configuration is not used"; "why" => what);
                        hub.tell(Event::ConfigurationRejected).await;
                    }
                }
                continue;
            }
        }
        slog::info!(hub.log, "told to stop");
        hub.tell(Event::StopRequested).await;
    }
}
