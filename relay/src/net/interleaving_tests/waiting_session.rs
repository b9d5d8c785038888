//! A session that waits for its final answer: each two events of its client, its dial and the reducer that
//! can occur together, in both orders. `Shed` closes a connection, unless it has become a session.
use super::{
    accept_dial, assert_nothing_sent, bind_local, run_test, Command, Peer, Unread, LINE, LONG_START_LIMIT,
    SERVER,
};
use crate::reducer::Event;
use hallrelay_balancer::types::DialEnd;
use std::time::Duration;
use tokio::net::TcpStream;

/// Repetitions of a test whose outcome could depend on the runtime's random order of tasks.
const ROUNDS: usize = 30;

/// The reducer ends the session while the backend's `UP` is read: the client gets the reducer's final answer.
#[test]
fn final_answer_after_up_is_sent() {
    run_test(|mut harness| async move {
        let (connection_id, mut client, mut server) = harness.dialed_session().await;
        server.send("UP r1\r\n").await;
        let event = harness.next_event().await;
        assert!(matches!(event, Event::SessionEstablished { dial: 0, .. }), "unexpected event {event:?}");
        harness.send_final_answer(connection_id, "FAIL\r\n");
        assert_eq!(client.read_line().await, "FAIL\r\n");
        assert_eq!(server.read_line().await, "");
    });
}

/// The reducer's final answer and the backend's `UP` arrive together: the client gets only the reducer's.
#[test]
fn final_answer_together_with_up_is_sent_alone() {
    for _ in 0..ROUNDS {
        run_test(|mut harness| async move {
            let (connection_id, mut client, mut server) = harness.dialed_session().await;
            server.send("UP r1\r\n").await;
            harness.send_final_answer(connection_id, "FAIL\r\n");
            assert_eq!(client.read_line().await, "FAIL\r\n");
            assert_eq!(client.read_line().await, "");
        });
    }
}

/// `Shed` and `Pong` were commanded before the connection became a session: neither ends the session.
#[test]
fn earlier_commands_do_not_end_waiting_session() {
    run_test(|mut harness| async move {
        let mut client = harness.client_with("PING\r\n").await;
        let connection_id = match harness.next_event().await {
            Event::Ping { connection_id } => connection_id,
            other => panic!("{other:?}, expected Ping"),
        };
        client.send(LINE).await;
        assert_eq!(harness.next_session().await, connection_id);
        harness.command(connection_id, Command::Shed);
        harness.command(connection_id, Command::Pong(b"PONG\r\n"));
        harness.send_final_answer(connection_id, "BUSY\r\n");
        assert_eq!(client.read_line().await, "PONG\r\n");
        assert_eq!(client.read_line().await, "BUSY\r\n");
    });
}

/// `Shed` and `Pong` that were commanded before the connection became a session do not end a dial either.
#[test]
fn earlier_commands_do_not_end_dial() {
    run_test(|mut harness| async move {
        let (connection_id, mut client, mut server) = harness.dialed_session().await;
        for earlier in [Command::Shed, Command::Pong(b"PONG\r\n")] {
            harness.command(connection_id, earlier);
        }
        assert_eq!(client.read_line().await, "PONG\r\n");
        server.send("UP r1\r\n").await;
        let event = harness.next_event().await;
        assert!(matches!(event, Event::SessionEstablished { .. }), "unexpected event {event:?}");
        harness.command(connection_id, Command::Shed);
        harness.command(connection_id, Command::StartProxying);
        assert_eq!(client.read_line().await, "UP r1\r\n");
    });
}

/// Guards against a lost final answer, after which the connection would stay open forever: a client sends
/// more `PING`s than its task can queue commands, then an invalid line. Each is answered.
#[test]
fn final_answer_is_sent_after_any_number_of_pings() {
    const PINGS: usize = 100;
    run_test(|mut harness| async move {
        let mut client = harness.client_with(&("PING\r\n".repeat(PINGS) + "invalid\r\n")).await;
        let mut unanswered = 0;
        let connection_id = loop {
            match harness.next_event().await {
                // Answers in batches, like a busy reducer.
                Event::Ping { connection_id } => {
                    unanswered += 1;
                    if unanswered == harness.hub.limits().max_queued_commands / 2 {
                        (0..std::mem::take(&mut unanswered))
                            .for_each(|_| harness.command(connection_id, Command::Pong(b"PONG\r\n")));
                    }
                }
                Event::ProtocolViolation { connection_id } => break connection_id,
                other => panic!("unexpected event {other:?}"),
            }
        };
        (0..unanswered).for_each(|_| harness.command(connection_id, Command::Pong(b"PONG\r\n")));
        harness.send_final_answer(connection_id, "ERR\r\n");
        let mut lines = Vec::new();
        while lines.last().is_none_or(|line: &String| line == "PONG\r\n") {
            lines.push(client.read_line().await);
        }
        assert_eq!(lines.last().map(String::as_str), Some("ERR\r\n"));
    });
}

/// Closes a client's sending side or resets its connection, and waits until the close or reset has arrived at
/// the program's end. Returns the client if it can still read.
fn disconnect(client: Peer, how: Unread) -> Option<Peer> {
    match how {
        Unread::End => {
            client.shutdown_write();
            client.wait_for_unread(how);
            Some(client)
        }
        _ => {
            let program_end = client.program_end.as_ref().expect("a handle to the program's end");
            let program_end = program_end.try_clone().expect("duplicate the socket");
            client.reset();
            // After a reset the socket has no peer address.
            let started = std::time::Instant::now();
            while program_end.peer_addr().is_ok() {
                assert!(
                    started.elapsed() < super::EVENT_TIMEOUT,
                    "no reset received within {:?}",
                    super::EVENT_TIMEOUT
                );
                std::thread::sleep(Duration::from_millis(1));
            }
            None
        }
    }
}

/// A dial is commanded after the client has left, but before the runtime notices that: nothing is forwarded.
/// A client that only closed its sending side still gets the final answer.
#[test]
fn client_gone_before_dial_is_not_forwarded() {
    for how in [Unread::End, Unread::Reset] {
        for _ in 0..ROUNDS {
            run_test(|mut harness| async move {
                let (backend, client) = (bind_local().await, harness.client_with(LINE).await);
                let connection_id = harness.next_session().await;
                harness.run_tasks().await;
                let client = disconnect(client, how);
                harness.dial(connection_id, 0, &backend, LONG_START_LIMIT);
                assert_eq!(harness.next_event().await, Event::ClientHalfClosed { session_id: connection_id });
                harness.send_final_answer(connection_id, "BUSY\r\n");
                if let Some(mut client) = client {
                    assert_eq!(client.read_line().await, "BUSY\r\n");
                }
                assert_nothing_sent(&backend).await;
            });
        }
    }
}

/// The reducer delays a dial until a record is durable, and commands it after the client has left: nothing is
/// forwarded.
#[test]
fn dial_after_client_close_is_skipped() {
    run_test(|mut harness| async move {
        let (backend, client) = (bind_local().await, harness.client_with(LINE).await);
        let connection_id = harness.next_session().await;
        let mut client = disconnect(client, Unread::End).expect("a client that still reads");
        assert_eq!(harness.next_event().await, Event::ClientHalfClosed { session_id: connection_id });
        harness.dial(connection_id, 0, &backend, LONG_START_LIMIT);
        harness.assert_no_events().await;
        harness.send_final_answer(connection_id, "FAIL\r\n");
        assert_eq!(client.read_line().await, "FAIL\r\n");
        assert_nothing_sent(&backend).await;
    });
}

/// The first line and the client's close or reset arrive before the connection is served, as in the accept
/// queue of a process that was not scheduled.
#[test]
fn client_gone_in_accept_queue_is_not_forwarded() {
    for how in [Unread::End, Unread::Reset] {
        run_test(|mut harness| async move {
            let backend = bind_local().await;
            let (stream, client) = harness.connect_unserved(LINE).await;
            let mut unserved = match how {
                Unread::End => {
                    client.shutdown_write();
                    (stream, client)
                }
                _ => {
                    disconnect(client, how);
                    // The client is gone. `serve` needs a peer, so another connection takes its place.
                    let addr = backend.local_addr().expect("read the local address");
                    let stand_in = TcpStream::connect(addr).await.expect("connect to the backend");
                    (stream, Peer::new(stand_in, None))
                }
            };
            harness.serve(&mut unserved);
            match harness.next_event().await {
                Event::SessionRequested { session_id, .. } => {
                    harness.dial(session_id, 0, &backend, LONG_START_LIMIT);
                    assert_eq!(harness.next_event().await, Event::ClientHalfClosed { session_id });
                    harness.send_final_answer(session_id, "BUSY\r\n");
                }
                // A reset may discard the unread line.
                Event::ClientDisconnected { .. } if how == Unread::Reset => {}
                other => panic!("unexpected event {other:?}"),
            }
            assert_nothing_sent(&backend).await;
        });
    }
}

/// A dial's connect is delayed by the backend's full accept queue until the client has left: nothing is
/// forwarded.
#[test]
fn client_gone_during_connect_is_not_forwarded() {
    run_test(|mut harness| async move {
        let socket = tokio::net::TcpSocket::new_v4().expect("create a socket");
        socket.bind("127.0.0.1:0".parse().expect("parse an address")).expect("bind a free port");
        let backend = socket.listen(1).expect("listen on the socket");
        let addr = backend.local_addr().expect("read the local address");
        let mut filling = Vec::new();
        while let Ok(Ok(connection)) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(addr)).await
        {
            filling.push(connection);
        }
        let client = harness.client_with(LINE).await;
        let connection_id = harness.next_session().await;
        harness.dial(connection_id, 0, &backend, LONG_START_LIMIT);
        harness.assert_no_events().await;
        let mut client = disconnect(client, Unread::End).expect("a client that still reads");
        assert_eq!(harness.next_event().await, Event::ClientHalfClosed { session_id: connection_id });
        harness.send_final_answer(connection_id, "FAIL\r\n");
        assert_eq!(client.read_line().await, "FAIL\r\n");
        assert_nothing_sent(&backend).await;
    });
}

/// A connect succeeds, and the client's close is received before the runtime polls both sockets.
#[test]
fn client_gone_as_connect_succeeds_is_not_forwarded() {
    for _ in 0..ROUNDS {
        run_test(|mut harness| async move {
            let (backend, client) = (bind_local().await, harness.client_with(LINE).await);
            let connection_id = harness.next_session().await;
            harness.dial(connection_id, 0, &backend, LONG_START_LIMIT);
            // The task starts to connect, and the client closes before the task runs again.
            tokio::task::yield_now().await;
            let mut client = disconnect(client, Unread::End).expect("a client that still reads");
            match harness.next_event().await {
                Event::ClientHalfClosed { session_id } => assert_eq!(session_id, connection_id),
                other => panic!("unexpected event {other:?}"),
            }
            harness.send_final_answer(connection_id, "FAIL\r\n");
            assert_eq!(client.read_line().await, "FAIL\r\n");
            assert_nothing_sent(&backend).await;
        });
    }
}

/// The process is not scheduled between the decision and the dial, or between the connect and the first byte:
/// the dial is not started, and does not count against the backend.
#[test]
fn late_dial_is_not_started() {
    run_test(|mut harness| async move {
        let (backend, _client) = (bind_local().await, harness.client_with(LINE).await);
        let connection_id = harness.next_session().await;
        harness.dial(connection_id, 0, &backend, 0);
        std::thread::sleep(Duration::from_millis(2));
        let not_sent =
            |dial| Event::DialEnded { session_id: connection_id, dial, end: DialEnd::NotSent, report: None };
        assert_eq!(harness.next_event().await, not_sent(0));
        harness.dial(connection_id, 1, &backend, 20_000);
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(30));
        assert_eq!(harness.next_event().await, not_sent(1));
        assert_nothing_sent(&backend).await;
    });
}

/// A backend starts to drain between the decision and the first byte of a dial: nothing is sent to it, even
/// if the connect succeeded.
#[test]
fn backend_that_drains_during_connect_gets_no_line() {
    run_test(|mut harness| async move {
        let (backend, _client) = (bind_local().await, harness.client_with(LINE).await);
        let connection_id = harness.next_session().await;
        harness.hub.draining.borrow_mut().insert(SERVER);
        harness.dial(connection_id, 0, &backend, LONG_START_LIMIT);
        assert_eq!(harness.next_event().await, Event::DialNotStarted { session_id: connection_id, dial: 0 });
        harness.hub.draining.borrow_mut().clear();
        harness.dial(connection_id, 0, &backend, LONG_START_LIMIT);
        // The task starts to connect, and the drain starts before the task runs again.
        tokio::task::yield_now().await;
        harness.hub.draining.borrow_mut().insert(SERVER);
        assert_eq!(harness.next_event().await, Event::DialNotStarted { session_id: connection_id, dial: 0 });
        assert_nothing_sent(&backend).await;
        assert_eq!(harness.hub.denials.counts().draining, 2);
    });
}

/// The first line was written completely in all these dials, so the backend's answer decides whether the
/// request may have run.
#[test]
fn backend_answer_decides_dial_end() {
    let answers: [(&str, DialEnd); 11] = [
        ("BUSY\r\n", DialEnd::Full),
        ("BUSY 20\r\n", DialEnd::Full),
        ("BUSY inflight=3,x0=0.5\r\nUP r1\r\n", DialEnd::Full),
        ("BUSY ?\r\n", DialEnd::Error),
        ("BUSYUP r1\r\n", DialEnd::Error),
        ("BUS", DialEnd::Reset),
        ("UP r", DialEnd::Reset),
        ("", DialEnd::Reset),
        ("\r\n", DialEnd::Error),
        ("ERR\r\nBUSY\r\n", DialEnd::Error),
        ("MOVE\r\n", DialEnd::Cancelled),
    ];
    run_test(|mut harness| async move {
        let (backend, _client) = (bind_local().await, harness.client_with(LINE).await);
        let connection_id = harness.next_session().await;
        for (dial, (text, expected)) in answers.into_iter().enumerate() {
            harness.dial(connection_id, dial as u32, &backend, LONG_START_LIMIT);
            let mut server = accept_dial(&backend).await;
            server.read_line().await;
            server.send(text).await;
            server.shutdown_write();
            match harness.next_event().await {
                Event::DialEnded { end, .. } => assert_eq!(end, expected, "{text:?}"),
                other => panic!("unexpected event {other:?} after {text:?}"),
            }
        }
        // An answer without a line ending is cut off at the maximum length of a line.
        harness.dial(connection_id, 20, &backend, LONG_START_LIMIT);
        let mut server = accept_dial(&backend).await;
        server.send(&"x".repeat(5000)).await;
        let event = harness.next_event().await;
        assert!(matches!(event, Event::DialEnded { end: DialEnd::Reset, .. }), "unexpected event {event:?}");
    });
}

/// A first line is received unread when the connection is to be shed: it becomes a session.
#[test]
fn unread_first_line_takes_precedence_over_shed() {
    for _ in 0..ROUNDS {
        run_test(|mut harness| async move {
            let mut client = harness.client().await;
            let connection_id = match harness.events.recv().await {
                Some(Event::ClientConnected { connection_id }) => connection_id,
                other => panic!("{other:?}, expected ClientConnected"),
            };
            harness.run_tasks().await;
            client.send(LINE).await;
            client.wait_for_unread(Unread::Bytes);
            harness.command(connection_id, Command::Shed);
            assert_eq!(harness.next_session().await, connection_id);
            harness.send_final_answer(connection_id, "BUSY\r\n");
            assert_eq!(client.read_line().await, "BUSY\r\n");
        });
    }
}

/// A long first line that takes more than one read also becomes a session when the connection is to be shed.
#[test]
fn unread_long_first_line_takes_precedence_over_shed() {
    for _ in 0..ROUNDS {
        run_test(|mut harness| async move {
            let long = format!(
                "OPEN 0000000000000001 0000000000000002 c=nomination,d=2000,h={}\r\n",
                "1".repeat(3000)
            );
            let mut client = harness.client().await;
            let connection_id = match harness.events.recv().await {
                Some(Event::ClientConnected { connection_id }) => connection_id,
                other => panic!("{other:?}, expected ClientConnected"),
            };
            harness.run_tasks().await;
            client.send(&long).await;
            client.wait_for_unread(Unread::Bytes);
            harness.command(connection_id, Command::Shed);
            assert_eq!(harness.next_session().await, connection_id);
        });
    }
}
