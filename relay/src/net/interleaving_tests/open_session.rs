//! An open session: each two events of its client, its backend and the reducer that can occur together, in
//! both orders.
use super::{run_test, Command, Harness, Peer, Unread};
use crate::reducer::Event;
use hallrelay_balancer::types::{DialEnd, SessionId};

/// Repetitions of a test whose outcome could depend on the runtime's random order of tasks.
const ROUNDS: usize = 30;

/// Opens a session; returns its id, its client and its backend.
async fn open(harness: &mut Harness) -> (SessionId, Peer, Peer) {
    let (connection_id, mut client, mut server) = harness.dialed_session().await;
    server.send("UP r1\r\n").await;
    let event = harness.next_event().await;
    assert!(matches!(event, Event::SessionEstablished { .. }), "unexpected event {event:?}");
    harness.command(connection_id, Command::StartProxying);
    assert_eq!(client.read_line().await, "UP r1\r\n");
    (connection_id, client, server)
}

/// Commands that were sent before the connection became a session do not end the open session.
#[test]
fn earlier_commands_do_not_end_open_session() {
    run_test(|mut harness| async move {
        let (connection_id, mut client, mut server) = open(&mut harness).await;
        harness.command(connection_id, Command::Pong(b"PONG\r\n"));
        harness.command(connection_id, Command::Shed);
        client.send("M 1\r\n").await;
        assert_eq!(server.read_line().await, "M 1\r\n");
    });
}

/// `Migrate` arrives after the backend has ended the session: the last line is written, and the graceful
/// close continues until the client closes too.
#[test]
fn migrate_after_backend_end_keeps_graceful_close() {
    run_test(|mut harness| async move {
        let (connection_id, mut client, mut server) = open(&mut harness).await;
        server.send("BYE\r\n").await;
        drop(server);
        let event = harness.next_event().await;
        assert!(matches!(event, Event::SessionEnded { end: DialEnd::Ok, .. }), "unexpected event {event:?}");
        harness.command(connection_id, Command::Migrate);
        assert_eq!(client.read_line().await, "BYE\r\n");
        harness.assert_no_events().await;
        client.send("M 1\r\n").await;
        assert_eq!(client.read_line().await, "");
        drop(client);
        assert_eq!(harness.next_event().await, Event::ClientDisconnected { session_id: connection_id });
    });
}

/// Unlike `Migrate`, `Shed` ends the graceful close, because the connection still counts against the limit of
/// connections.
#[test]
fn shed_ends_graceful_close() {
    run_test(|mut harness| async move {
        let (connection_id, mut client, mut server) = open(&mut harness).await;
        server.send("BYE\r\n").await;
        drop(server);
        let event = harness.next_event().await;
        assert!(matches!(event, Event::SessionEnded { end: DialEnd::Ok, .. }), "unexpected event {event:?}");
        harness.command(connection_id, Command::Shed);
        assert_eq!(harness.next_event().await, Event::ClientDisconnected { session_id: connection_id });
        assert_eq!(client.read_line().await, "BYE\r\n");
    });
}

/// The client's last lines and its close are received together, along with lines of the backend: the lines
/// are forwarded completely before the close.
#[test]
fn last_client_lines_are_forwarded_before_close() {
    for _ in 0..ROUNDS {
        run_test(|mut harness| async move {
            let (connection_id, mut client, mut server) = open(&mut harness).await;
            server.send("LOAD 2\r\nM 0\r\n").await;
            client.send("M 1\r\nM 2\r\n").await;
            client.wait_for_unread(Unread::Bytes);
            client.shutdown_write();
            assert_eq!(server.read_line().await, "M 1\r\n");
            assert_eq!(server.read_line().await, "M 2\r\n");
            assert_eq!(server.read_line().await, "");
            drop(server);
            loop {
                match harness.next_event().await {
                    Event::ClientDisconnected { session_id } => break assert_eq!(session_id, connection_id),
                    Event::LoadReported { .. } | Event::MessageLatency { .. } => {}
                    other => panic!("unexpected event {other:?}"),
                }
            }
        });
    }
}

/// The backend's last line and its close are received unread when a message's answer is overdue: the session
/// has ended normally, and the message does not count as lost.
#[test]
fn unread_lines_are_read_before_answer_deadline_counts() {
    for _ in 0..ROUNDS {
        run_test(|mut harness| async move {
            let (connection_id, mut client, mut server) = open(&mut harness).await;
            harness.command(connection_id, Command::SetSuspect(true));
            client.send("M 1\r\n").await;
            assert_eq!(server.read_line().await, "M 1\r\n");
            server.send("M 1\r\nBYE\r\n").await;
            drop(server);
            // Blocks all tasks for the probe timeout, at most 100 ms. The answer is overdue after that time,
            // because the backend is suspect.
            std::thread::sleep(std::time::Duration::from_micros(
                harness.hub.limits().probe_timeout.min(100_000),
            ));
            loop {
                match harness.next_event().await {
                    Event::SessionEnded { end, .. } => break assert_eq!(end, DialEnd::Ok),
                    Event::MessageLatency { .. } => {}
                    other => panic!("unexpected event {other:?}"),
                }
            }
            assert_eq!(client.read_line().await, "M 1\r\n");
            assert_eq!(client.read_line().await, "BYE\r\n");
        });
    }
}

/// The session migrates while lines for its client are still buffered: the client gets the complete lines,
/// then `MOVE`.
#[test]
fn move_follows_buffered_lines() {
    run_test(|mut harness| async move {
        let (connection_id, mut client, mut server) = open(&mut harness).await;
        server.send("M 1\r\nM 2\r\nhalf").await;
        harness.run_tasks().await;
        harness.command(connection_id, Command::Migrate);
        let event = harness.next_event().await;
        assert!(
            matches!(event, Event::SessionEnded { end: DialEnd::Cancelled, .. }),
            "unexpected event {event:?}"
        );
        for expected in ["M 1\r\n", "M 2\r\n", "MOVE\r\n", ""] {
            assert_eq!(client.read_line().await, expected);
        }
        assert_ne!(server.read_line().await, "M 3\r\n");
    });
}
