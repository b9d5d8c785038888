//! Handles signals: SIGTERM and SIGINT request a graceful stop, SIGHUP a reload of the configuration.
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
    /// Installs the handlers. From now on these signals no longer end the process by default.
    ///
    /// # Errors
    /// The system refuses a handler.
    pub fn install() -> std::io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

fn handled_signals() -> Option<libc::sigset_t> {
    // SAFETY: the set is a plain struct that the first call initializes; the other calls change only the set.
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
        // SAFETY: the call reads the set and changes only this thread's mask.
        unsafe { libc::pthread_sigmask(how, &raw const set, std::ptr::null_mut()) };
    }
}

/// Blocks the handled signals until `unblock` is called. Otherwise a reload request in the first milliseconds
/// of a start, before the handlers are installed, would end the process.
pub fn block() {
    change_mask(libc::SIG_BLOCK);
}

/// Unblocks the handled signals; those that arrived meanwhile are delivered.
pub fn unblock() {
    change_mask(libc::SIG_UNBLOCK);
}

/// Reports signals to the reducer until the process ends.
pub(super) async fn run<E: Display>(
    signals: Signals,
    read_configuration: impl Fn() -> Result<Node, E>,
    hub: Hub,
) {
    let Signals { mut terminate, mut interrupt, mut reload } = signals;
    loop {
        tokio::select! {
            biased;
            // A stop comes before a pending reload, so that reading a file does not delay it.
            _ = terminate.recv() => stop(&hub).await,
            _ = interrupt.recv() => stop(&hub).await,
            _ = reload.recv() => reload_configuration(&read_configuration, &hub).await,
        }
    }
}

async fn stop(hub: &Hub) {
    slog::info!(hub.log, "stop requested by SIGTERM or SIGINT");
    hub.notify(Event::StopRequested).await;
}

async fn reload_configuration<E: Display>(read_configuration: impl Fn() -> Result<Node, E>, hub: &Hub) {
    match read_configuration() {
        Ok(node) => {
            slog::info!(hub.log, "configuration reloaded"; "discovery" => %node.discovery);
            hub.notify(Event::ConfigurationReloaded(Box::new(node))).await;
        }
        Err(error) => {
            slog::error!(hub.log, "reload failed; the previous configuration stays in use"; "why" => %error);
            hub.notify(Event::ConfigurationRejected).await;
        }
    }
}
