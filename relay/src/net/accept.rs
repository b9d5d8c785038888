//! Takes connections from clients. The reducer sheds some where there are more than places.
use super::{first_line, Hub};
use crate::reducer::Event;
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Semaphore};

/// `on` tells whether connections are this process's to take, or wait for another one at the same socket.
pub async fn run(listener: Rc<TcpListener>, mut on: watch::Receiver<bool>, hub: Hub) {
    // Those over the limit wait no longer than it takes to shed the ones before them.
    let room = Arc::new(Semaphore::new(hub.limits().clients + hub.limits().shedding));
    loop {
        if on.wait_for(|on| *on).await.is_err() {
            return;
        }
        let Ok(permit) = room.clone().acquire_owned().await else { return };
        let stream = tokio::select! {
            biased;
            _ = on.changed() => continue,
            stream = next(&listener, "a connection", &hub) => stream,
        };
        let (hub, log) = (hub.clone(), hub.log.clone());
        let task = async move {
            let (conn, commands) = hub.register();
            first_line::run(conn, stream, commands, &hub).await;
            hub.conns.borrow_mut().remove(&conn);
            hub.tell(Event::ClientDisconnected { sess: conn }).await;
            drop(permit);
        };
        slog::debug!(log, "a connection is taken"; "bytes" => size_of_val(&task));
        tokio::task::spawn_local(task);
        // Guards a line that comes with its connection: it is read before the next crowd is let in.
        tokio::task::yield_now().await;
    }
}

/// After an accept that failed: long enough not to spin while descriptors are short, short against every dial
/// timeout and the second in which an operator is owed an answer.
pub const REST: Duration = Duration::from_millis(20);

/// The next connection; one that can't be accepted is logged as what it is.
pub async fn next(listener: &TcpListener, what: &str, hub: &Hub) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Lines are short and wait for nothing.
                _ = stream.set_nodelay(true);
                return stream;
            }
            // A client that left before it was taken, or a signal: the next one is there at once.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {
                slog::debug!(hub.log, "{} was not accepted", what; "error" => %e);
                tokio::task::yield_now().await;
            }
            Err(e) => {
                slog::warn!(hub.log, "{} could not be accepted", what; "error" => %e);
                tokio::time::sleep(REST).await;
            }
        }
    }
}
