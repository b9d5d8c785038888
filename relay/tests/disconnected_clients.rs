//! Clients disconnect while they wait for a relay that stalls repeatedly. The test counts the sessions that
//! were forwarded after their client's disconnect, and measures how long after it.
mod common;

use common::{bind_listening_socket, Client, RelayConfig};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 240;
/// Duration of each stall; the relay runs for a sixth of it until the next one.
const STALL: Duration = Duration::from_millis(450);

/// Times at which the first lines of each session were received, by session identifier.
type Arrivals = Arc<Mutex<BTreeMap<u64, Vec<Instant>>>>;

/// Starts a backend that never answers, so that sessions wait and are retried.
fn start_silent_backend(listening_socket: TcpListener, arrivals: Arrivals) {
    std::thread::spawn(move || {
        for stream in listening_socket.incoming().flatten() {
            let arrivals = arrivals.clone();
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stream);
                let mut line = String::new();
                if matches!(lines.read_line(&mut line), Ok(1..)) {
                    // The identifier: 16 hexadecimal digits after `OPEN `.
                    let id = line.get(5..21).and_then(|id| u64::from_str_radix(id, 16).ok());
                    let now = Instant::now();
                    arrivals
                        .lock()
                        .expect("the mutex is not poisoned")
                        .entry(id.unwrap_or(0))
                        .or_default()
                        .push(now);
                }
                line.clear();
                while matches!(lines.read_line(&mut line), Ok(1..)) {}
            });
        }
    });
}

#[test]
fn no_session_is_forwarded_long_after_its_client_disconnected() {
    let arrivals = Arrivals::default();
    let backends = [bind_listening_socket(), bind_listening_socket()];
    let addresses: Vec<String> =
        backends.iter().map(|b| b.local_addr().expect("read the local address").to_string()).collect();
    backends.into_iter().for_each(|backend| start_silent_backend(backend, arrivals.clone()));
    let mut config = RelayConfig::new("disconnected-clients");
    config.json["known"]["instances"] = json!([
        {"instanceId": "s-0", "hostPort": addresses[0], "lifecycle": "up"},
        {"instanceId": "s-1", "hostPort": addresses[1], "lifecycle": "up"}]);
    config.json["limits"]["sockets"] = json!(4096);
    let relay = config.start();
    relay.wait_until_ready();
    let stop_requested = Arc::new(Mutex::new(false));
    let (pid, stop) = (relay.child.id(), stop_requested.clone());
    let stalls = std::thread::spawn(move || {
        let kill = |signal: &str| {
            let kill = format!("kill -{signal} {pid}");
            common::run_to_end(std::process::Command::new("sh").args(["-c", &kill]));
        };
        while !*stop.lock().expect("the mutex is not poisoned") {
            kill("STOP");
            std::thread::sleep(STALL);
            kill("CONT");
            std::thread::sleep(STALL / 6);
        }
    });
    // Some clients disconnect immediately, some after their first attempt has timed out. Some close their
    // connection, some reset it, and some close only its sending direction.
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|id| {
            std::thread::sleep(Duration::from_millis(8));
            let listen_address = config.listen_address;
            std::thread::spawn(move || {
                let mut client = Client::connect(listen_address).expect("connect to the relay");
                let listener = if id % 3 == 0 { "once" } else { "low" };
                client.send_line(&format!("OPEN {id:016x} {id:016x} c={listener},d=1900"));
                std::thread::sleep(Duration::from_millis(id * 7 % 900));
                match id % 4 {
                    0 => client.shutdown_write(),
                    1 => client.reset(),
                    _ => drop(client),
                }
                (id, Instant::now())
            })
        })
        .collect();
    let disconnects: Vec<(u64, Instant)> =
        clients.into_iter().map(|client| client.join().expect("join the client's thread")).collect();
    *stop_requested.lock().expect("the mutex is not poisoned") = true;
    stalls.join().expect("join the thread that stalls the relay");
    // Wait until lines that are still in transit have arrived.
    std::thread::sleep(Duration::from_millis(300));
    let arrivals = arrivals.lock().expect("the mutex is not poisoned");
    let delay_after_disconnect = |(id, disconnected_at): &(u64, Instant)| {
        let last = arrivals.get(id).and_then(|all| all.iter().max().copied())?;
        last.checked_duration_since(*disconnected_at).filter(|late| *late > Duration::from_millis(2))
    };
    let late: Vec<Duration> = disconnects.iter().filter_map(delay_after_disconnect).collect();
    let longest = late.iter().max().copied().unwrap_or_default();
    let over = late.iter().filter(|late| **late > Duration::from_millis(300)).count();
    println!(
        "{} of {CLIENTS} sessions were forwarded after the disconnect, \
         {over} of them over 0.3 s later, at most {longest:?}",
        late.len()
    );
    assert!(
        over == 0,
        "{over} of {CLIENTS} sessions were forwarded over 0.3 s after the disconnect, at most {longest:?}"
    );
}
