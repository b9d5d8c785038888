//! Accepts clients' connections. When they exceed the limit, the reducer sheds some of them.
use super::{first_line, Hub};
use crate::reducer::Event;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// Delay after a failed `accept`. Long enough not to spin while file descriptors are short; much shorter than
/// every dial timeout and than the second within which an operator must be answered.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts connections until the process ends. `accepting` is true while this process owns the listening
/// socket, and false while another process accepts its connections.
pub async fn run(listening_socket: Rc<TcpListener>, mut accepting: watch::Receiver<bool>, hub: Hub) {
    // The connections in `max_shedding_connections` exceed the limit that the reducer enforces, so that a new
    // connection can be accepted while an earlier one is being shed for it.
    let permits =
        Arc::new(Semaphore::new(hub.limits().max_client_connections + hub.limits().max_shedding_connections));
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return;
        }
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let stream = tokio::select! {
            biased;
            _ = accepting.changed() => continue,
            stream = next(&listening_socket, "a client connection", &hub) => stream,
        };
        spawn_connection(stream, permit, hub.clone());
        // Lets the new task read a line that has already arrived before more connections are accepted.
        tokio::task::yield_now().await;
    }
}

fn spawn_connection(stream: TcpStream, permit: OwnedSemaphorePermit, hub: Hub) {
    let log = hub.log.clone();
    let task = async move {
        let (connection_id, commands) = hub.register();
        first_line::run(connection_id, stream, commands, &hub).await;
        hub.connections.borrow_mut().remove(&connection_id);
        hub.notify(Event::ClientDisconnected { session_id: connection_id }).await;
        drop(permit);
    };
    slog::debug!(log, "client connection accepted; size of its task"; "bytes" => size_of_val(&task));
    tokio::task::spawn_local(task);
}

/// Waits for the next connection. `kind` names it in log lines about failed accepts.
pub async fn next(listening_socket: &TcpListener, kind: &str, hub: &Hub) -> TcpStream {
    loop {
        match listening_socket.accept().await {
            Ok((stream, _)) => {
                // Nagle's algorithm would delay the short lines of the protocol.
                _ = stream.set_nodelay(true);
                return stream;
            }
            // The client left before its connection was accepted, or a signal interrupted the call. Another
            // connection may already wait, so there is no delay.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                slog::debug!(hub.log, "accept of {} aborted or interrupted; retrying", kind; "error" => %e);
                tokio::task::yield_now().await;
            }
            Err(e) => {
                let delay_ms = ACCEPT_BACKOFF.as_millis();
                slog::warn!(hub.log, "accept of {} failed; retrying in {} ms", kind, delay_ms; "error" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
