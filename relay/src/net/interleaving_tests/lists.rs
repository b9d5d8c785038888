//! The watch on the list: silent, trickling, indented, cut, in pieces, with entries that can't be read.
use super::{bound, hub, play, soon, Peer};
use crate::net::discovery;
use crate::reducer::Event;
use hallrelay_config::list::List;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

const DOUBT: u64 = 200_000;
const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn line(generation: u64) -> String {
    format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[]}}\n")
}

/// A watch that has begun at version 3, and its call.
async fn watch(service: &TcpListener) -> (mpsc::Receiver<Event>, Peer) {
    let (hub, events) =
        hub(|limits| (limits.discovery_watch_timeout, limits.discovery_answer_timeout) = (DOUBT, 4_000_000));
    let addr = service.local_addr().expect("its address");
    tokio::task::spawn_local(discovery::run(1, addr, Some(3), hub));
    let mut call = called(service, 3).await;
    call.says(HEAD).await;
    (events, call)
}

/// The next call, which follows from a version.
async fn called(service: &TcpListener, since: u64) -> Peer {
    let mut call = Peer::new(soon("a call", service.accept()).await.expect("it came").0, None);
    let asked = call.hears().await;
    assert!(asked.contains(&format!("follow=1&since={since} ")), "{asked}");
    while call.hears().await != "\r\n" {}
    call
}

async fn told(events: &mut mpsc::Receiver<Event>) -> List {
    match soon("a list", events.recv()).await {
        Some(Event::EndpointListReceived { list, .. }) => list,
        other => panic!("{other:?} in place of a list"),
    }
}

const INDENTED: &str =
    "{\n  \"generation\": 4,\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": \
    \"s-1\",\n\n      \"hostPort\": \"127.0.0.1:9\",\n      \"lifecycle\": \"draining\"\n    }\n  ]\n}\n";

/// Lists come indented, each over many lines; in pieces of one byte; two at once.
#[test]
fn an_indented_list_is_read_however_it_is_cut() {
    for size in [1, 7, 64, 10_000] {
        play(|_| async move {
            let service = bound().await;
            let (mut events, mut call) = watch(&service).await;
            let text = format!("{INDENTED}\n{}", line(5));
            for piece in text.as_bytes().chunks(size) {
                call.says(&chunk(std::str::from_utf8(piece).expect("ASCII"))).await;
            }
            let list = told(&mut events).await;
            assert_eq!((list.generation, list.instances.len()), (4, 1));
            assert_eq!(told(&mut events).await.generation, 5);
        });
    }
}

/// Guards a relay whose watch falls silent: the next one is asked for from the version that was heard last,
/// and the first is let go only as that one speaks.
#[test]
fn a_silent_watch_is_opened_anew_beside_itself() {
    play(|_| async {
        let service = bound().await;
        let (mut events, mut first) = watch(&service).await;
        first.says(&chunk(&line(7))).await;
        assert_eq!(told(&mut events).await.generation, 7);
        let mut second = called(&service, 7).await;
        assert!(timeout(Duration::from_millis(50), events.recv()).await.is_err(), "it is not over");
        second.says(HEAD).await;
        second.says(&chunk(&line(8))).await;
        assert_eq!(told(&mut events).await.generation, 8);
        // The first is of no use any more.
        assert_eq!(first.hears().await, "");
        // And so on, while the service has nothing to say but that.
        called(&service, 8).await;
    });
}

/// One that speaks after all goes on, and the call beside it is given up.
#[test]
fn a_watch_that_speaks_late_goes_on() {
    play(|_| async {
        let service = bound().await;
        let (mut events, mut first) = watch(&service).await;
        first.says(&chunk("\n")).await;
        let mut second = called(&service, 3).await;
        first.says(&chunk(&line(4))).await;
        assert_eq!(told(&mut events).await.generation, 4);
        assert_eq!(second.hears().await, "");
    });
}

/// Bytes that trickle and make no whole value are no sign of life; the lines of nothing between values are.
#[test]
fn a_trickle_is_silence_and_an_empty_line_is_none() {
    play(|_| async {
        let service = bound().await;
        let (_events, mut first) = watch(&service).await;
        // Empty lines for twice as long as it would take to doubt.
        for _ in 0..8 {
            first.says(&chunk("\n")).await;
            assert!(timeout(Duration::from_micros(DOUBT / 4), service.accept()).await.is_err(), "doubted");
        }
        first.says(&chunk("{\"generation\": 4, ")).await;
        let trickle = async {
            loop {
                if first.stream.get_mut().try_write(chunk(" ").as_bytes()).is_err() {
                    return std::future::pending::<()>().await;
                }
                tokio::time::sleep(Duration::from_micros(DOUBT / 8)).await;
            }
        };
        tokio::select! {
            biased;
            _ = called(&service, 3) => {}
            () = trickle => {}
        }
    });
}

/// The service ends the first while the second is out: the second decides.
#[test]
fn an_end_of_the_doubted_one_ends_no_watch() {
    play(|_| async {
        let service = bound().await;
        let (mut events, mut first) = watch(&service).await;
        first.says(&chunk("\n")).await;
        let mut second = called(&service, 3).await;
        drop(first);
        assert!(timeout(Duration::from_millis(50), events.recv()).await.is_err(), "it is not over");
        second.says(&format!("{HEAD}{}", chunk(&line(9)))).await;
        assert_eq!(told(&mut events).await.generation, 9);
        drop(second);
        assert!(matches!(soon("an end", events.recv()).await, Some(Event::EndpointWatchFailed { watch: 1 })));
    });
}

/// One entry that can't be read spoils no other, and is told of by its name.
#[test]
fn one_bad_entry_spoils_no_list() {
    play(|_| async {
        let service = bound().await;
        let (mut events, mut call) = watch(&service).await;
        let entry = |id: &str, place: &str, phase: &str| {
            format!("{{\"instanceId\":\"{id}\",\"hostPort\":\"{place}\",\"lifecycle\":\"{phase}\"}}")
        };
        let entries = [
            entry("s-1", "127.0.0.1:9", "melting"),
            entry("s-2", "nowhere", "draining"),
            entry("s-3", "127.0.0.1:9", "up"),
            "7".to_string(),
        ];
        let text = format!("{{\"generation\":4,\"instances\":[{}]}}\n", entries.join(","));
        call.says(&chunk(&text)).await;
        let list = told(&mut events).await;
        assert_eq!(list.instances.iter().map(|one| one.id.as_str()).collect::<Vec<_>>(), ["s-3"]);
        assert_eq!(list.unreadable, [Some("s-1".to_string()), Some("s-2".to_string()), None]);
    });
}

/// What is no list ends the watch, and the process not.
#[test]
fn what_is_no_list_ends_the_watch() {
    for odd in ["OK\n", "{\"generation\":\n}\n", "{} {}\n", "{\"generation\":4,\"instances\":3}\n"] {
        play(|_| async move {
            let service = bound().await;
            let (mut events, mut call) = watch(&service).await;
            call.says(&chunk(odd)).await;
            assert!(
                matches!(soon("an end", events.recv()).await, Some(Event::EndpointWatchFailed { .. })),
                "{odd}"
            );
        });
    }
}
