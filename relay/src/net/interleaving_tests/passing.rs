//! An open session: both its ends and the reducer's word, in each order in which two of them can meet.
use super::{play, Command, Lies, Peer, Play};
use crate::reducer::Event;
use hallrelay_balancer::types::{DialEnd, SessionId};

const PLAYS: usize = 30;

/// A session that stands: its number, its client and its backend.
async fn open(play: &mut Play) -> (SessionId, Peer, Peer) {
    let (connection_id, mut client, mut server) = play.dialled().await;
    server.says("UP r1\r\n").await;
    assert!(matches!(play.event().await, Event::SessionEstablished { .. }));
    play.says(connection_id, Command::StartProxying);
    assert_eq!(client.hears().await, "UP r1\r\n");
    (connection_id, client, server)
}

/// What was told to its connection before it was a session cuts no session off.
#[test]
fn late_words_end_no_open_session() {
    play(|mut play| async move {
        let (connection_id, mut client, mut server) = open(&mut play).await;
        play.says(connection_id, Command::Pong(b"PONG\r\n"));
        play.says(connection_id, Command::Shed);
        client.says("M 1\r\n").await;
        assert_eq!(server.hears().await, "M 1\r\n");
    });
}

/// It is told to move as its backend has ended it: its last word is out, and its end goes on politely, till
/// the client has closed too.
#[test]
fn a_move_that_crosses_the_end_cuts_nobody_off() {
    play(|mut play| async move {
        let (connection_id, mut client, mut server) = open(&mut play).await;
        server.says("BYE\r\n").await;
        drop(server);
        assert!(matches!(play.event().await, Event::SessionEnded { end: DialEnd::Ok, .. }));
        play.says(connection_id, Command::Migrate);
        assert_eq!(client.hears().await, "BYE\r\n");
        play.quiet().await;
        client.says("M 1\r\n").await;
        assert_eq!(client.hears().await, "");
        drop(client);
        assert_eq!(play.event().await, Event::ClientDisconnected { session_id: connection_id });
    });
}

/// The same word lets it go where it is meant so.
#[test]
fn a_place_that_is_wanted_ends_a_polite_end() {
    play(|mut play| async move {
        let (connection_id, mut client, mut server) = open(&mut play).await;
        server.says("BYE\r\n").await;
        drop(server);
        assert!(matches!(play.event().await, Event::SessionEnded { end: DialEnd::Ok, .. }));
        play.says(connection_id, Command::Shed);
        assert_eq!(play.event().await, Event::ClientDisconnected { session_id: connection_id });
        assert_eq!(client.hears().await, "BYE\r\n");
    });
}

/// The client's line and its end lie there at once, beside a line of the backend's: what it said goes on,
/// whole.
#[test]
fn a_last_line_goes_on_before_the_end() {
    for _ in 0..PLAYS {
        play(|mut play| async move {
            let (connection_id, mut client, mut server) = open(&mut play).await;
            server.says("LOAD 2\r\nM 0\r\n").await;
            client.says("M 1\r\nM 2\r\n").await;
            client.lies(Lies::Bytes);
            client.shuts();
            assert_eq!(server.hears().await, "M 1\r\n");
            assert_eq!(server.hears().await, "M 2\r\n");
            assert_eq!(server.hears().await, "");
            drop(server);
            loop {
                match play.event().await {
                    Event::ClientDisconnected { session_id } => break assert_eq!(session_id, connection_id),
                    Event::LoadReported { .. } | Event::MessageLatency { .. } => {}
                    other => panic!("{other:?}"),
                }
            }
        });
    }
}

/// The backend's last word and its end lie there as the silence of a message counts: it has ended, and was
/// not silent.
#[test]
fn what_lies_there_is_read_before_a_silence_counts() {
    for _ in 0..PLAYS {
        play(|mut play| async move {
            let (connection_id, mut client, mut server) = open(&mut play).await;
            play.says(connection_id, Command::SetSuspect(true));
            client.says("M 1\r\n").await;
            assert_eq!(server.hears().await, "M 1\r\n");
            server.says("M 1\r\nBYE\r\n").await;
            drop(server);
            // Twice what a connect may take, while nothing of the program runs.
            std::thread::sleep(std::time::Duration::from_micros(
                play.hub.limits().probe_timeout.min(100_000),
            ));
            loop {
                match play.event().await {
                    Event::SessionEnded { end, .. } => break assert_eq!(end, DialEnd::Ok),
                    Event::MessageLatency { .. } => {}
                    other => panic!("{other:?}"),
                }
            }
            assert_eq!(client.hears().await, "M 1\r\n");
            assert_eq!(client.hears().await, "BYE\r\n");
        });
    }
}

/// A client that takes nothing for a moment while its session is moved hears its lines, and the word behind
/// them.
#[test]
fn a_move_goes_behind_the_lines_that_wait() {
    play(|mut play| async move {
        let (connection_id, mut client, mut server) = open(&mut play).await;
        server.says("M 1\r\nM 2\r\nhalf").await;
        play.turns().await;
        play.says(connection_id, Command::Migrate);
        assert!(matches!(play.event().await, Event::SessionEnded { end: DialEnd::Cancelled, .. }));
        for wanted in ["M 1\r\n", "M 2\r\n", "MOVE\r\n", ""] {
            assert_eq!(client.hears().await, wanted);
        }
        assert_ne!(server.hears().await, "M 3\r\n");
    });
}
