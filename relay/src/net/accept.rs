//! Accepts clients' connections. The reducer sheds some where there are more than there are places.
use super::{first_line, Hub};
use crate::reducer::Event;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, OwnedSemaphorePermit, Semaphore};

/// Wait after an `accept` that failed: long enough not to spin while descriptors are short, short against
/// every dial timeout and the second within which an operator is answered.
pub const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Accepts for as long as the process runs. `accepting` is whether this process owns the listening socket, or
/// leaves its connections to another process.
pub async fn run(listening_socket: Rc<TcpListener>, mut accepting: watch::Receiver<bool>, hub: Hub) {
    // A connection over the limit waits no longer than it takes to shed one before it.
    let places =
        Arc::new(Semaphore::new(hub.limits().max_client_connections + hub.limits().max_shedding_connections));
    loop {
        if accepting.wait_for(|accepting| *accepting).await.is_err() {
            return;
        }
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let stream = tokio::select! {
            biased;
            _ = accepting.changed() => continue,
            stream = next(&listening_socket, "a connection", &hub) => stream,
        };
        spawn_connection(stream, place, hub.clone());
        // A line that arrived with its connection is read before more connections are accepted.
        tokio::task::yield_now().await;
    }
}

fn spawn_connection(stream: TcpStream, place: OwnedSemaphorePermit, hub: Hub) {
    let log = hub.log.clone();
    let task = async move {
        let (connection_id, commands) = hub.register();
        first_line::run(connection_id, stream, commands, &hub).await;
        hub.connections.borrow_mut().remove(&connection_id);
        hub.notify(Event::ClientDisconnected { session_id: connection_id }).await;
        drop(place);
    };
    slog::debug!(log, "connection accepted"; "bytes" => size_of_val(&task));
    tokio::task::spawn_local(task);
}

/// Waits for the next connection; `kind` names it in the log where it can't be accepted.
pub async fn next(listening_socket: &TcpListener, kind: &str, hub: &Hub) -> TcpStream {
    loop {
        match listening_socket.accept().await {
            Ok((stream, _)) => {
                // Lines are short and must not be delayed.
                _ = stream.set_nodelay(true);
                return stream;
            }
            // A client that left before it was accepted, or a signal: the next one may be there at once.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                slog::debug!(hub.log, "{} was not accepted", kind; "error" => %e);
                tokio::task::yield_now().await;
            }
            Err(e) => {
                slog::warn!(hub.log, "{} could not be accepted", kind; "error" => %e);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
