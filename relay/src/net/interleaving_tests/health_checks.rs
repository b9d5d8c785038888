//! Health checks on a connection that is kept open between checks, while the backend closes this connection
//! or loses its state.
use super::{accept_dial, await_soon, bind_local, hub, run_test, SERVER};
use crate::net::health_check;
use crate::reducer::Event;
use hallrelay_balancer::types::DialEnd;
use tokio::sync::mpsc;

/// The health checks of these tests keep their connection open between checks.
const KEEP_CONNECTION: bool = true;

/// Guards against a false failure: the backend closes the idle connection right after it read the request, or
/// right before the request is sent, when the runtime has not noticed the close. The check is repeated on a
/// new connection, and fails only if the new connection closes too.
#[test]
fn check_on_closed_idle_connection_is_repeated() {
    for read_first in [true, false] {
        run_test(|mut harness| async move {
            let backend = bind_local().await;
            let addr = backend.local_addr().expect("read the local address");
            let (requests, receiver) = mpsc::channel(1);
            tokio::task::spawn_local(health_check::run(
                SERVER,
                KEEP_CONNECTION,
                receiver,
                harness.hub.clone(),
            ));
            requests.send(addr).await.expect("request a health check");
            let mut first = accept_dial(&backend).await;
            assert_eq!(first.read_line().await, "STATS\r\n");
            first.send("PONG x0=0.5\r\n").await;
            let event = harness.next_event().await;
            assert!(
                matches!(event, Event::HealthCheckEnded { end: DialEnd::Ok, .. }),
                "unexpected event {event:?}"
            );
            if read_first {
                requests.send(addr).await.expect("request a health check");
                assert_eq!(first.read_line().await, "STATS\r\n");
                drop(first);
            } else {
                drop(first);
                requests.send(addr).await.expect("request a health check");
            }
            let mut second = accept_dial(&backend).await;
            assert_eq!(second.read_line().await, "STATS\r\n");
            second.send("PONG x0=0.5\r\n").await;
            let event = harness.next_event().await;
            assert!(
                matches!(event, Event::HealthCheckEnded { end: DialEnd::Ok, .. }),
                "unexpected event {event:?}"
            );
            requests.send(addr).await.expect("request a health check");
            second.read_line().await;
            drop(second);
            drop(accept_dial(&backend).await);
            let event = harness.next_event().await;
            assert!(
                matches!(event, Event::HealthCheckEnded { end: DialEnd::Reset, .. }),
                "unexpected event {event:?}"
            );
        });
    }
}

/// Guards against a false failure: the backend, or a device on the path, has lost the state of the idle
/// connection, so not even a reset returns. The check is repeated on a new connection within its timeout.
#[test]
fn check_on_silent_idle_connection_is_repeated() {
    run_test(|mut harness| async move {
        let backend = bind_local().await;
        let addr = backend.local_addr().expect("read the local address");
        let (requests, receiver) = mpsc::channel(1);
        tokio::task::spawn_local(health_check::run(SERVER, KEEP_CONNECTION, receiver, harness.hub.clone()));
        requests.send(addr).await.expect("request a health check");
        let mut first = accept_dial(&backend).await;
        first.read_line().await;
        first.send("PONG x0=0.5\r\n").await;
        let event = harness.next_event().await;
        assert!(
            matches!(event, Event::HealthCheckEnded { end: DialEnd::Ok, .. }),
            "unexpected event {event:?}"
        );
        requests.send(addr).await.expect("request a health check");
        // The backend no longer answers on the first connection.
        let mut second = accept_dial(&backend).await;
        assert_eq!(second.read_line().await, "STATS\r\n");
        second.send("PONG x0=0.5\r\n").await;
        let event = harness.next_event().await;
        assert!(
            matches!(event, Event::HealthCheckEnded { end: DialEnd::Ok, .. }),
            "unexpected event {event:?}"
        );
        // The next check gets no answer on the second connection, nor on a third: it has timed out.
        requests.send(addr).await.expect("request a health check");
        let _third = accept_dial(&backend).await;
        let event = harness.next_event().await;
        assert!(
            matches!(event, Event::HealthCheckEnded { end: DialEnd::Timeout, .. }),
            "unexpected event {event:?}"
        );
    });
}

/// A connection without checks for `probe_idle_timeout` is closed.
#[test]
fn idle_connection_is_closed_after_timeout() {
    run_test(|_| async {
        let (hub, mut events) = hub(|limits| limits.probe_idle_timeout = 20_000);
        let backend = bind_local().await;
        let (requests, receiver) = mpsc::channel(1);
        tokio::task::spawn_local(health_check::run(SERVER, KEEP_CONNECTION, receiver, hub));
        let addr = backend.local_addr().expect("read the local address");
        requests.send(addr).await.expect("request a health check");
        let mut server = accept_dial(&backend).await;
        server.read_line().await;
        server.send("PONG\r\n").await;
        let event = await_soon("health check", events.recv()).await;
        assert!(
            matches!(event, Some(Event::HealthCheckEnded { end: DialEnd::Ok, .. })),
            "unexpected event {event:?}"
        );
        assert_eq!(server.read_line().await, "");
    });
}
