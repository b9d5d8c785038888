//! The watch of the endpoint list: silent calls, incomplete values, indented and fragmented lists, closed
//! calls, and entries that cannot be parsed. A call is one request of the watch to discovery, whose response
//! stays open and sends lists; each list is one JSON value with a generation, the number of its version.
use super::{await_soon, bind_local, hub, run_test, Peer};
use crate::net::discovery;
use crate::reducer::Event;
use hallrelay_config::list::List;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Silence after which a second call is opened, in microseconds.
const WATCH_TIMEOUT: u64 = 200_000;
const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn line(generation: u64) -> String {
    format!("{{\"generation\":{generation},\"reset\":false,\"instances\":[]}}\n")
}

/// Starts a watch at generation 3 and accepts its first call.
async fn watch(service: &TcpListener) -> (mpsc::Receiver<Event>, Peer) {
    let (hub, events) = hub(|limits| {
        (limits.discovery_watch_timeout, limits.discovery_answer_timeout) = (WATCH_TIMEOUT, 4_000_000)
    });
    let addr = service.local_addr().expect("read the local address");
    tokio::task::spawn_local(discovery::run(1, addr, Some(3), hub));
    let mut call = accept_call(service, 3).await;
    call.send(HEAD).await;
    (events, call)
}

/// Accepts the next call and checks that it requests the changes since a generation.
async fn accept_call(service: &TcpListener, since: u64) -> Peer {
    let mut call = Peer::new(await_soon("call", service.accept()).await.expect("accept a call").0, None);
    let request = call.read_line().await;
    assert!(request.contains(&format!("follow=1&since={since} ")), "{request}");
    while call.read_line().await != "\r\n" {}
    call
}

async fn next_list(events: &mut mpsc::Receiver<Event>) -> List {
    match await_soon("list", events.recv()).await {
        Some(Event::EndpointListReceived { list, .. }) => list,
        other => panic!("expected EndpointListReceived, got {other:?}"),
    }
}

/// Sends a blank line as a call's first data, which shows that the known list is discovery's. This is
/// reported once.
async fn send_first_blank_line(call: &mut Peer, events: &mut mpsc::Receiver<Event>) {
    call.send(&chunk("\n")).await;
    let event = await_soon("event of an unchanged list", events.recv()).await;
    assert!(matches!(event, Some(Event::EndpointListUnchanged { watch: 1 })), "{event:?}");
}

const INDENTED: &str =
    "{\n  \"generation\": 4,\n  \"reset\": false,\n  \"instances\": [\n    {\n      \"instanceId\": \
    \"s-1\",\n\n      \"hostPort\": \"127.0.0.1:9\",\n      \"lifecycle\": \"draining\"\n    }\n  ]\n}\n";

/// Guards against a parser that depends on where reads split: lists span many lines, and arrive in fragments
/// from one byte each to two lists at once.
#[test]
fn indented_lists_are_parsed_in_fragments_of_any_size() {
    for size in [1, 7, 64, 10_000] {
        run_test(|_| async move {
            let service = bind_local().await;
            let (mut events, mut call) = watch(&service).await;
            let text = format!("{INDENTED}\n{}", line(5));
            for piece in text.as_bytes().chunks(size) {
                call.send(&chunk(std::str::from_utf8(piece).expect("the text is ASCII"))).await;
            }
            let list = next_list(&mut events).await;
            assert_eq!((list.generation, list.instances.len()), (4, 1));
            assert_eq!(next_list(&mut events).await.generation, 5);
        });
    }
}

/// Guards against missed changes on a watch that becomes silent: a second call is opened from the last
/// generation received, and the first call is dropped only when the second returns data.
#[test]
fn silent_watch_opens_second_call_from_last_version() {
    run_test(|_| async {
        let service = bind_local().await;
        let (mut events, mut first) = watch(&service).await;
        first.send(&chunk(&line(7))).await;
        assert_eq!(next_list(&mut events).await.generation, 7);
        let mut second = accept_call(&service, 7).await;
        assert!(timeout(Duration::from_millis(50), events.recv()).await.is_err(), "the watch ended");
        second.send(HEAD).await;
        second.send(&chunk(&line(8))).await;
        assert_eq!(next_list(&mut events).await.generation, 8);
        // The first call has been dropped.
        assert_eq!(first.read_line().await, "", "the first call is still open");
        // The second call becomes silent too, so a third one is opened.
        accept_call(&service, 8).await;
    });
}

/// The first call returns data after the second is opened: the first is kept, and the second is dropped.
#[test]
fn late_data_keeps_first_call_and_drops_second() {
    run_test(|_| async {
        let service = bind_local().await;
        let (mut events, mut first) = watch(&service).await;
        send_first_blank_line(&mut first, &mut events).await;
        let mut second = accept_call(&service, 3).await;
        first.send(&chunk(&line(4))).await;
        assert_eq!(next_list(&mut events).await.generation, 4);
        assert_eq!(second.read_line().await, "");
    });
}

/// Parts of a value that is never completed do not end a call's silence, while blank lines between values do.
#[test]
fn only_complete_values_and_blank_lines_end_silence() {
    run_test(|_| async {
        let service = bind_local().await;
        let (_events, mut first) = watch(&service).await;
        // Blank lines for twice the watch timeout.
        for _ in 0..8 {
            first.send(&chunk("\n")).await;
            assert!(
                timeout(Duration::from_micros(WATCH_TIMEOUT / 4), service.accept()).await.is_err(),
                "a second call was opened although blank lines arrived"
            );
        }
        first.send(&chunk("{\"generation\": 4, ")).await;
        let send_spaces = async {
            loop {
                if first.stream.get_mut().try_write(chunk(" ").as_bytes()).is_err() {
                    return std::future::pending::<()>().await;
                }
                tokio::time::sleep(Duration::from_micros(WATCH_TIMEOUT / 8)).await;
            }
        };
        tokio::select! {
            biased;
            _ = accept_call(&service, 3) => {}
            () = send_spaces => {}
        }
    });
}

/// The service closes the first call while the second is being opened: the watch continues on the second.
#[test]
fn closing_silent_call_keeps_watch_until_second_ends() {
    run_test(|_| async {
        let service = bind_local().await;
        let (mut events, mut first) = watch(&service).await;
        send_first_blank_line(&mut first, &mut events).await;
        let mut second = accept_call(&service, 3).await;
        drop(first);
        assert!(timeout(Duration::from_millis(50), events.recv()).await.is_err(), "the watch ended");
        second.send(&format!("{HEAD}{}", chunk(&line(9)))).await;
        assert_eq!(next_list(&mut events).await.generation, 9);
        drop(second);
        let failure = await_soon("failure", events.recv()).await;
        assert!(matches!(failure, Some(Event::EndpointWatchFailed { watch: 1, .. })), "{failure:?}");
    });
}

/// An entry that cannot be parsed does not affect the others, and is reported by its id if it has one.
#[test]
fn invalid_entries_are_reported_and_others_kept() {
    run_test(|_| async {
        let service = bind_local().await;
        let (mut events, mut call) = watch(&service).await;
        let entry = |id: &str, addr: &str, phase: &str| {
            format!("{{\"instanceId\":\"{id}\",\"hostPort\":\"{addr}\",\"lifecycle\":\"{phase}\"}}")
        };
        let entries = [
            entry("s-1", "127.0.0.1:9", "melting"),
            entry("s-2", "nowhere", "draining"),
            entry("s-3", "127.0.0.1:9", "up"),
            "7".to_string(),
        ];
        let text = format!("{{\"generation\":4,\"instances\":[{}]}}\n", entries.join(","));
        call.send(&chunk(&text)).await;
        let list = next_list(&mut events).await;
        assert_eq!(list.instances.iter().map(|instance| instance.id.as_str()).collect::<Vec<_>>(), ["s-3"]);
        assert_eq!(list.unreadable, [Some("s-1".to_string()), Some("s-2".to_string()), None]);
    });
}

/// A value that is not a list ends the watch, but not the process.
#[test]
fn invalid_list_ends_watch() {
    for invalid in ["OK\n", "{\"generation\":\n}\n", "{} {}\n", "{\"generation\":4,\"instances\":3}\n"] {
        run_test(|_| async move {
            let service = bind_local().await;
            let (mut events, mut call) = watch(&service).await;
            call.send(&chunk(invalid)).await;
            let failure = await_soon("failure", events.recv()).await;
            assert!(
                matches!(failure, Some(Event::EndpointWatchFailed { .. })),
                "after {invalid:?}: {failure:?}"
            );
        });
    }
}
