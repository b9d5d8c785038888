//! A relay has three faulty backends at the same time: one hangs, one accepts connections late and one resets
//! them. Each session gets its final answer by its deadline.
use crate::backend::{bind_small_backlog, fill_backlog, Backend, Behaviour};
use crate::common::{listener_settings, unique_id, wait_until, Client, RelayConfig, SessionError};
use crate::scripted_discovery::{endpoint, full_list};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Deadline of each session. The kernel retries a dropped SYN after 1 s, so a late connect can still succeed
/// before this deadline.
const CLIENT_DEADLINE: Duration = Duration::from_millis(1_900);
/// An answer that arrives more than this time after the deadline counts as missing.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(500);
const CLIENTS: u32 = 300;
/// Delay between the starts of consecutive clients.
const CLIENT_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which `SlowAcceptBackend` accepts one connection. Connects beyond its backlog succeed late or
/// not at all.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(150);
/// The listeners (classes of sessions) of the relay.
const LISTENERS: [&str; 3] = ["low", "once", "referenced"];

/// Reply to a session, and the time from its first line to the reply.
struct Outcome {
    reply: Result<String, SessionError>,
    after: Duration,
}

fn open_session(listen_address: SocketAddr, name: &str) -> Outcome {
    let id = unique_id();
    let mut client = Client::connect(listen_address).expect("connect to the relay");
    let sent = Instant::now();
    client.send_line(&format!("OPEN {id:016x} {id:016x} c={name},d={}", CLIENT_DEADLINE.as_millis()));
    let received = client.receive();
    Outcome { reply: received, after: sent.elapsed() }
}

fn relay_config(name: &str, backends: &[SocketAddr]) -> RelayConfig {
    let mut config = RelayConfig::new(&format!("short-answers-{name}"));
    let entries: Vec<_> =
        backends.iter().enumerate().map(|(i, address)| endpoint(&format!("s-{i}"), *address, "up")).collect();
    config.json["known"] = full_list(1, &entries);
    config.json["limits"]["sockets"] = json!(4096);
    let settings = &mut config.json["settings"];
    settings["Listeners"] = json!([
        listener_settings("low", 1.0, "retryable"),
        listener_settings("once", 5.0, "fragile"),
        listener_settings("referenced", 5.0, "dedup")
    ]);
    settings["FamilyInfo"]["MessageAim"] = json!([60, 60, 60]);
    for listener in settings["Listeners"].as_array_mut().expect("Listeners is an array") {
        listener["DialTimeout"] = json!(CLIENT_DEADLINE.as_millis() as u64);
        listener["Window"] = json!(1_500);
    }
    // A connect may take nearly as long as a client waits.
    settings["Ceilings"]["ConnectTimeout"] = json!(1_800);
    settings["Rules"]["DrainGrace"] = json!(3_000);
    config
}

/// A backend with a full backlog, which accepts one connection per `ACCEPT_INTERVAL` and never answers.
struct SlowAcceptBackend {
    address: SocketAddr,
    stopped: Arc<AtomicBool>,
    accepted: Arc<AtomicUsize>,
}

impl SlowAcceptBackend {
    fn start() -> SlowAcceptBackend {
        let listening_socket = bind_small_backlog();
        let address = listening_socket.local_addr().expect("read the local address");
        let filling = fill_backlog(address);
        let (stopped, accepted) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (stop_requested, count) = (stopped.clone(), accepted.clone());
        std::thread::spawn(move || {
            let mut streams: Vec<TcpStream> = Vec::new();
            while !stop_requested.load(Ordering::SeqCst) {
                std::thread::sleep(ACCEPT_INTERVAL);
                streams.extend(listening_socket.accept().map(|(stream, _)| stream));
                // The connections that fill the backlog are not dials of the relay.
                count.store(streams.len().saturating_sub(filling.len()), Ordering::SeqCst);
            }
        });
        SlowAcceptBackend { address, stopped, accepted }
    }
}

impl Drop for SlowAcceptBackend {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

fn check_every_session_is_answered(name: &str, one_serves: bool) {
    let (hanging, resetting) = (Backend::start(Behaviour::Hang), Backend::start(Behaviour::Reset));
    let (slow, serving) = (SlowAcceptBackend::start(), Backend::start(Behaviour::Serve));
    let mut addresses = vec![hanging.address, resetting.address, slow.address];
    addresses.extend(one_serves.then_some(serving.address));
    let mut config = relay_config(name, &addresses);
    let relay = config.start();
    relay.wait_until_ready();
    let listen_address = config.listen_address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            std::thread::sleep(CLIENT_INTERVAL);
            std::thread::spawn(move || open_session(listen_address, LISTENERS[i as usize % LISTENERS.len()]))
        })
        .collect();
    let outcomes: Vec<Outcome> =
        clients.into_iter().map(|client| client.join().expect("join the client's thread")).collect();
    let (mut replies, mut unanswered, mut slowest) = (BTreeMap::new(), Vec::new(), Duration::ZERO);
    for Outcome { reply, after } in outcomes {
        slowest = slowest.max(after);
        match reply {
            Ok(line) if after <= CLIENT_DEADLINE + DEADLINE_TOLERANCE => {
                *replies.entry(line).or_insert(0) += 1
            }
            other => unanswered.push((other, after)),
        }
    }
    let dialled =
        [hanging.first_lines().len(), resetting.first_lines().len(), slow.accepted.load(Ordering::SeqCst)];
    println!(
        "{name}: replies {replies:?}, the slowest after {slowest:?}; {} sessions without an answer",
        unanswered.len()
    );
    println!("{name}: dials that hung, that were reset, that were accepted late: {dialled:?}");
    assert!(
        unanswered.is_empty(),
        "{} of {CLIENTS} sessions unanswered or late: {unanswered:?}",
        unanswered.len()
    );
    assert!(
        replies.keys().all(|reply| ["UP r1", "BUSY", "FAIL"].contains(&reply.as_str())),
        "unexpected reply: {replies:?}"
    );
    assert_eq!(
        replies.contains_key("UP r1"),
        one_serves,
        "sessions must be established only if a backend serves: {replies:?}"
    );
    assert!(
        dialled.iter().all(|count| *count > 0),
        "each faulty backend must be dialled at least once: {dialled:?}"
    );
    // According to the relay's metrics, each accepted session has exactly one outcome.
    let count = |outcome: &str| -> u64 {
        LISTENERS.iter().filter_map(|name| relay.metric(&format!("{outcome}.{name}"))).sum()
    };
    wait_until("each session has an outcome", || {
        ["passed", "dropped", "bad_gateway"].map(count).iter().sum::<u64>() == u64::from(CLIENTS)
    });
}

#[test]
fn sessions_beside_faulty_backends_are_answered_in_time() {
    check_every_session_is_answered("beside", true);
}

#[test]
fn sessions_with_only_faulty_backends_are_answered_in_time() {
    check_every_session_is_answered("alone", false);
}
