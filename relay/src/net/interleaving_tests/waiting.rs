//! A session that waits: its client, its dial and the reducer's word, in each order in which two of them can
//! meet.
use super::{bound, play, taken, untouched, Command, Lies, Peer, LINE, LONG, SERVER};
use crate::reducer::Event;
use hallrelay_balancer::types::DialEnd;
use std::time::Duration;
use tokio::net::TcpStream;

/// How often orders are played that the runtime used to draw by chance.
const PLAYS: usize = 30;

/// The session is over for the reducer as its backend's `UP` is read: what waits is its answer.
#[test]
fn an_answer_that_crosses_up_is_said() {
    play(|mut play| async move {
        let (connection_id, mut client, mut server) = play.dialled().await;
        server.says("UP r1\r\n").await;
        assert!(matches!(play.event().await, Event::SessionEstablished { dial: 0, .. }));
        play.answers(connection_id, "FAIL\r\n");
        assert_eq!(client.hears().await, "FAIL\r\n");
        assert_eq!(server.hears().await, "");
    });
}

/// The same where the order to give up and `UP` lie there at once: one answer goes out, and it is the
/// reducer's.
#[test]
fn an_answer_beside_up_is_said_once() {
    for _ in 0..PLAYS {
        play(|mut play| async move {
            let (connection_id, mut client, mut server) = play.dialled().await;
            server.says("UP r1\r\n").await;
            play.answers(connection_id, "FAIL\r\n");
            assert_eq!(client.hears().await, "FAIL\r\n");
            assert_eq!(client.hears().await, "");
        });
    }
}

/// Its place was wanted before it was a session, or its `PING` is answered: neither is its final answer.
#[test]
fn words_from_before_it_was_a_session_end_nothing() {
    play(|mut play| async move {
        let mut client = play.client_with("PING\r\n").await;
        let Event::Ping { connection_id } = play.event().await else { panic!("no PING") };
        client.says(LINE).await;
        assert_eq!(play.opened().await, connection_id);
        play.says(connection_id, Command::Shed);
        play.says(connection_id, Command::Pong(b"PONG\r\n"));
        play.answers(connection_id, "BUSY\r\n");
        assert_eq!(client.hears().await, "PONG\r\n");
        assert_eq!(client.hears().await, "BUSY\r\n");
    });
}

#[test]
fn words_from_before_it_was_a_session_end_no_dial() {
    play(|mut play| async move {
        let (connection_id, mut client, mut server) = play.dialled().await;
        for late in [Command::Shed, Command::Pong(b"PONG\r\n")] {
            play.says(connection_id, late);
        }
        assert_eq!(client.hears().await, "PONG\r\n");
        server.says("UP r1\r\n").await;
        assert!(matches!(play.event().await, Event::SessionEstablished { .. }));
        play.says(connection_id, Command::Shed);
        play.says(connection_id, Command::StartProxying);
        assert_eq!(client.hears().await, "UP r1\r\n");
    });
}

/// One that asks more often than its task has places for answers, and then sends what is no line of the
/// protocol: each `PING` is answered, and so is the rest, or it would hold its place for ever.
#[test]
fn an_answer_finds_a_place_behind_any_number_of_pings() {
    const PINGS: usize = 100;
    play(|mut play| async move {
        let mut client = play.client_with(&("PING\r\n".repeat(PINGS) + "what\r\n")).await;
        let mut waiting = 0;
        let connection_id = loop {
            match play.event().await {
                // As a reducer that has much else to do: it answers some at a time.
                Event::Ping { connection_id } => {
                    waiting += 1;
                    if waiting == play.hub.limits().max_queued_commands / 2 {
                        (0..std::mem::take(&mut waiting))
                            .for_each(|_| play.says(connection_id, Command::Pong(b"PONG\r\n")));
                    }
                }
                Event::ProtocolViolation { connection_id } => break connection_id,
                other => panic!("{other:?}"),
            }
        };
        (0..waiting).for_each(|_| play.says(connection_id, Command::Pong(b"PONG\r\n")));
        play.answers(connection_id, "ERR\r\n");
        let mut heard = Vec::new();
        while heard.last().is_none_or(|line: &String| line == "PONG\r\n") {
            heard.push(client.hears().await);
        }
        assert_eq!(heard.last().map(String::as_str), Some("ERR\r\n"));
    });
}

/// How a client leaves.
fn leaves(client: Peer, how: Lies) -> Option<Peer> {
    match how {
        Lies::End => {
            client.shuts();
            client.lies(how);
            Some(client)
        }
        _ => {
            let eye = client.eye.as_ref().expect("known").try_clone().expect("a handle");
            client.resets();
            // A reset is seen as the end of a connection that is no more.
            let started = std::time::Instant::now();
            while eye.peer_addr().is_ok() {
                assert!(started.elapsed() < super::SOON, "no reset came");
                std::thread::sleep(Duration::from_millis(1));
            }
            None
        }
    }
}

/// Its client has left, and the runtime has not looked by then, as a dial comes that was decided before:
/// nothing is sent on. Who only ended its sending still hears the answer.
#[test]
fn who_left_before_a_dial_is_not_sent_on() {
    for how in [Lies::End, Lies::Reset] {
        for _ in 0..PLAYS {
            play(|mut play| async move {
                let (backend, client) = (bound().await, play.client_with(LINE).await);
                let connection_id = play.opened().await;
                play.turns().await;
                let client = leaves(client, how);
                play.dials(connection_id, 0, &backend, LONG);
                assert_eq!(play.event().await, Event::ClientHalfClosed { session_id: connection_id });
                play.answers(connection_id, "BUSY\r\n");
                if let Some(mut client) = client {
                    assert_eq!(client.hears().await, "BUSY\r\n");
                }
                untouched(&backend).await;
            });
        }
    }
}

/// A dial that was held back, as its fact was to be written first, and is let go after its client has left.
#[test]
fn a_dial_that_comes_behind_the_end_goes_nowhere() {
    play(|mut play| async move {
        let (backend, client) = (bound().await, play.client_with(LINE).await);
        let connection_id = play.opened().await;
        let mut client = leaves(client, Lies::End).expect("it reads on");
        assert_eq!(play.event().await, Event::ClientHalfClosed { session_id: connection_id });
        play.dials(connection_id, 0, &backend, LONG);
        play.quiet().await;
        play.answers(connection_id, "FAIL\r\n");
        assert_eq!(client.hears().await, "FAIL\r\n");
        untouched(&backend).await;
    });
}

/// Line and end lie there together, as in an accept queue after a standstill.
#[test]
fn who_left_in_the_accept_queue_is_not_sent_on() {
    for how in [Lies::End, Lies::Reset] {
        play(|mut play| async move {
            let backend = bound().await;
            let (stream, client) = play.queued(LINE).await;
            let mut queued = match how {
                Lies::End => {
                    client.shuts();
                    (stream, client)
                }
                _ => {
                    leaves(client, how);
                    (
                        stream,
                        Peer::new(
                            TcpStream::connect(backend.local_addr().expect("known")).await.expect("up"),
                            None,
                        ),
                    )
                }
            };
            play.taken(&mut queued);
            match play.event().await {
                Event::SessionRequested { session_id, .. } => {
                    play.dials(session_id, 0, &backend, LONG);
                    assert_eq!(play.event().await, Event::ClientHalfClosed { session_id });
                    play.answers(session_id, "BUSY\r\n");
                }
                // A reset may take the line with it.
                Event::ClientDisconnected { .. } if how == Lies::Reset => {}
                other => panic!("{other:?}"),
            }
            untouched(&backend).await;
        });
    }
}

/// A connect that stays out, as the backend's own queue is full, and comes up after its client has left.
#[test]
fn who_left_during_a_connect_is_not_sent_on() {
    play(|mut play| async move {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let backend = socket.listen(1).expect("it listens");
        let place = backend.local_addr().expect("its address");
        let mut filling = Vec::new();
        while let Ok(Ok(one)) =
            tokio::time::timeout(Duration::from_millis(100), TcpStream::connect(place)).await
        {
            filling.push(one);
        }
        let client = play.client_with(LINE).await;
        let connection_id = play.opened().await;
        play.dials(connection_id, 0, &backend, LONG);
        play.quiet().await;
        let mut client = leaves(client, Lies::End).expect("it reads on");
        assert_eq!(play.event().await, Event::ClientHalfClosed { session_id: connection_id });
        play.answers(connection_id, "FAIL\r\n");
        assert_eq!(client.hears().await, "FAIL\r\n");
        untouched(&backend).await;
    });
}

/// A connect came up, and its client's end lies there as the runtime looks at both.
#[test]
fn who_left_as_a_connect_came_up_is_not_sent_on() {
    for _ in 0..PLAYS {
        play(|mut play| async move {
            let (backend, client) = (bound().await, play.client_with(LINE).await);
            let connection_id = play.opened().await;
            play.dials(connection_id, 0, &backend, LONG);
            // The task begins to connect, and the end comes before its next turn.
            tokio::task::yield_now().await;
            let mut client = leaves(client, Lies::End).expect("it reads on");
            match play.event().await {
                Event::ClientHalfClosed { session_id } => assert_eq!(session_id, connection_id),
                other => panic!("{other:?}"),
            }
            play.answers(connection_id, "FAIL\r\n");
            assert_eq!(client.hears().await, "FAIL\r\n");
            untouched(&backend).await;
        });
    }
}

/// A standstill between the decision and the dial, and between the connect and the first byte: what was
/// decided then is not begun, and is no fault of the backend's.
#[test]
fn a_dial_of_long_ago_is_not_begun() {
    play(|mut play| async move {
        let (backend, _client) = (bound().await, play.client_with(LINE).await);
        let connection_id = play.opened().await;
        play.dials(connection_id, 0, &backend, 0);
        std::thread::sleep(Duration::from_millis(2));
        let moot =
            |dial| Event::DialEnded { session_id: connection_id, dial, end: DialEnd::NotSent, report: None };
        assert_eq!(play.event().await, moot(0));
        play.dials(connection_id, 1, &backend, 20_000);
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(30));
        assert_eq!(play.event().await, moot(1));
        untouched(&backend).await;
    });
}

/// A backend is to be left from a moment between the decision and the first byte: nothing is sent to it,
/// though the connection is up.
#[test]
fn a_backend_that_drains_during_a_connect_gets_no_line() {
    play(|mut play| async move {
        let (backend, _client) = (bound().await, play.client_with(LINE).await);
        let connection_id = play.opened().await;
        play.hub.draining.borrow_mut().insert(SERVER);
        play.dials(connection_id, 0, &backend, LONG);
        assert_eq!(play.event().await, Event::DialNotStarted { session_id: connection_id, dial: 0 });
        play.hub.draining.borrow_mut().clear();
        play.dials(connection_id, 0, &backend, LONG);
        // The task begins to connect, and the drain is told before its next turn.
        tokio::task::yield_now().await;
        play.hub.draining.borrow_mut().insert(SERVER);
        assert_eq!(play.event().await, Event::DialNotStarted { session_id: connection_id, dial: 0 });
        untouched(&backend).await;
        assert_eq!(play.hub.denials.counts().draining, 2);
    });
}

/// What a backend said decides whether it has run: all of these dials were written whole.
#[test]
fn spoilt_answers_may_have_run() {
    let said: [(&str, DialEnd); 11] = [
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
    play(|mut play| async move {
        let (backend, _client) = (bound().await, play.client_with(LINE).await);
        let connection_id = play.opened().await;
        for (dial, (text, wanted)) in said.into_iter().enumerate() {
            play.dials(connection_id, dial as u32, &backend, LONG);
            let mut server = taken(&backend).await;
            server.hears().await;
            server.says(text).await;
            server.shuts();
            match play.event().await {
                Event::DialEnded { end, .. } => assert_eq!(end, wanted, "{text:?}"),
                other => panic!("{other:?} after {text:?}"),
            }
        }
        // One that never ends is cut off at a line's length.
        play.dials(connection_id, 20, &backend, LONG);
        let mut server = taken(&backend).await;
        server.says(&"x".repeat(5000)).await;
        assert!(matches!(play.event().await, Event::DialEnded { end: DialEnd::Reset, .. }));
    });
}

/// A line lies there as the time for it ends and as its place is wanted: it is a session.
#[test]
fn a_line_that_lies_there_goes_before_all_that_would_end_it() {
    for _ in 0..PLAYS {
        play(|mut play| async move {
            let mut client = play.client().await;
            let Some(Event::ClientConnected { connection_id }) = play.events.recv().await else {
                panic!("nobody came")
            };
            play.turns().await;
            client.says(LINE).await;
            client.lies(Lies::Bytes);
            play.says(connection_id, Command::Shed);
            assert_eq!(play.opened().await, connection_id);
            play.answers(connection_id, "BUSY\r\n");
            assert_eq!(client.hears().await, "BUSY\r\n");
        });
    }
}

/// The same for a long one, of which a first read takes a part.
#[test]
fn a_long_line_that_lies_there_is_a_session() {
    for _ in 0..PLAYS {
        play(|mut play| async move {
            let long = format!(
                "OPEN 0000000000000001 0000000000000002 c=nomination,d=2000,h={}\r\n",
                "1".repeat(3000)
            );
            let mut client = play.client().await;
            let Some(Event::ClientConnected { connection_id }) = play.events.recv().await else {
                panic!("nobody came")
            };
            play.turns().await;
            client.says(&long).await;
            client.lies(Lies::Bytes);
            play.says(connection_id, Command::Shed);
            assert_eq!(play.opened().await, connection_id);
        });
    }
}
