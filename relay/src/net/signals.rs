//! Signals: SIGTERM and SIGINT request a graceful stop, SIGHUP a reload of the configuration.
use super::Hub;
use crate::reducer::Event;
use hallrelay_config::node::Node;
use std::fmt::Display;
use tokio::signal::unix::{signal, Signal, SignalKind};

/// The signals that a serving relay handles.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

impl Signals {
    /// Installs the handlers: from here on none of the signals ends the process by itself.
    ///
    /// # Errors
    /// A handler that the system refuses.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

fn handled_signals() -> Option<libc::sigset_t> {
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

fn change_mask(how: libc::c_int) {
    if let Some(set) = handled_signals() {
        // SAFETY: it reads the set and changes this thread's mask alone.
        unsafe { libc::pthread_sigmask(how, &raw const set, std::ptr::null_mut()) };
    }
}

/// Blocks the handled signals until the handlers are installed: a reload in the first milliseconds of a start
/// would end the process.
pub fn block() {
    change_mask(libc::SIG_BLOCK);
}

/// Delivers signals that were blocked.
pub fn unblock() {
    change_mask(libc::SIG_UNBLOCK);
}

/// Reports signals to the reducer for as long as the process runs.
pub(super) async fn run<E: Display>(
    signals: Signals,
    read_configuration: impl Fn() -> Result<Node, E>,
    hub: Hub,
) {
    let Signals { mut terminate, mut interrupt, mut reload } = signals;
    loop {
        tokio::select! {
            biased;
            // A stop goes before a reload that is pending too: reading a file must not delay it.
            _ = terminate.recv() => stop(&hub).await,
            _ = interrupt.recv() => stop(&hub).await,
            _ = reload.recv() => reload_configuration(&read_configuration, &hub).await,
        }
    }
}

async fn stop(hub: &Hub) {
    slog::info!(hub.log, "stop requested by a signal");
    hub.notify(Event::StopRequested).await;
}

async fn reload_configuration<E: Display>(read_configuration: impl Fn() -> Result<Node, E>, hub: &Hub) {
    match read_configuration() {
        Ok(node) => {
            slog::info!(hub.log, "configuration reloaded"; "discovery" => %node.discovery);
            hub.notify(Event::ConfigurationReloaded(Box::new(node))).await;
        }
        Err(error) => {
            slog::error!(hub.log, "the new configuration is not used"; "why" => %error);
            hub.notify(Event::ConfigurationRejected).await;
        }
    }
}
