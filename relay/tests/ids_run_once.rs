//! A session that must run only once does not run again when its id comes back: after its client has left, or
//! at the other process of a hot restart. Nothing is sent for a client that has left.
mod common;

use common::discovery::{endpoint, Discovery};
use common::{bind_listening_socket, listener_settings, Client, CountingBackend, RelayConfig, RelayProcess};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const IDS: usize = 60;
/// Time after which a client comes again.
const RETURN_DELAY: Duration = Duration::from_millis(10);
/// Time that the backend takes to accept a session. Some clients leave before, some after.
const ACCEPT_TIME: Duration = Duration::from_millis(10);

/// A backend that counts the sessions requested under each id, and accepts each after a moment.
#[derive(Clone)]
struct RecordingBackend {
    address: SocketAddr,
    opened: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl RecordingBackend {
    fn start() -> RecordingBackend {
        let listening_socket = bind_listening_socket();
        let address = listening_socket.local_addr().expect("read the local address");
        let backend = RecordingBackend { address, opened: Arc::default() };
        let own = backend.clone();
        std::thread::spawn(move || {
            for stream in listening_socket.incoming().flatten() {
                let own = own.clone();
                std::thread::spawn(move || own.serve(stream));
            }
        });
        backend
    }

    fn serve(&self, mut stream: TcpStream) {
        let lines = BufReader::new(stream.try_clone().expect("clone the stream handle")).lines();
        for line in lines.map_while(Result::ok) {
            let Some(rest) = line.strip_prefix("OPEN ") else { continue };
            let id = rest.split(' ').next().unwrap_or_default().to_string();
            *self.opened.lock().expect("lock the counts").entry(id).or_default() += 1;
            std::thread::sleep(ACCEPT_TIME);
            if stream.write_all(b"UP r1\r\n").is_err() {
                return;
            }
        }
    }

    /// Number of ids that came, and of those that came more than once.
    fn counts(&self) -> (usize, usize) {
        let opened = self.opened.lock().expect("lock the counts");
        (opened.len(), opened.values().filter(|count| **count > 1).count())
    }
}

fn configured(name: &str, backend: SocketAddr) -> RelayConfig {
    let mut config = RelayConfig::new(&format!("ids-{name}"));
    let entry = json!({"instanceId": "s-0", "hostPort": backend.to_string(), "lifecycle": "up"});
    config.json["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    config.json["settings"]["Listeners"] =
        json!([listener_settings("low", 1.0, "retryable"), listener_settings("once", 5.0, "fragile")]);
    config
}

fn start(config: &mut RelayConfig) -> RelayProcess {
    let relay = config.start();
    relay.wait_until_ready();
    relay
}

/// Requests a session under an id; returns the connection.
fn request(address: SocketAddr, listener: &str, id: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("connect to the relay");
    stream.set_read_timeout(Some(Duration::from_secs(3))).expect("set a timeout");
    let line = format!("OPEN {id:016x} {id:016x} c={listener},d=1500\r\n");
    stream.write_all(line.as_bytes()).expect("send the first line");
    stream
}

fn answer(mut stream: &TcpStream) -> String {
    let mut answer = [0; 64];
    let read = stream.read(&mut answer).unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).trim_end().to_string()
}

/// Guards rule 2, by which a session that must run only once never runs twice: its client leaves, at some
/// time before or after the backend has accepted it, and comes again with the same id.
#[test]
fn id_does_not_run_again_after_its_client_has_left() {
    let backend = RecordingBackend::start();
    let mut config = configured("left", backend.address);
    let _relay = start(&mut config);
    for id in 1..=IDS {
        let first = request(config.listen_address, "once", id);
        std::thread::sleep(Duration::from_millis(id as u64 % 30));
        drop(first);
        std::thread::sleep(RETURN_DELAY);
        let again = answer(&request(config.listen_address, "once", id));
        // A session that was never sent to the backend may be.
        assert!(again == "ERR" || again.starts_with("UP"), "id {id}: {again}");
    }
    let (ids, twice) = backend.counts();
    assert!(ids > IDS / 2, "only {ids} ids reached the backend");
    assert_eq!(twice, 0, "ids that reached the backend twice");
}

/// A session that may run again, by its listener's effect, is served under an id that has come before.
#[test]
fn id_of_repeatable_session_may_come_again() {
    let backend = RecordingBackend::start();
    let mut config = configured("repeatable", backend.address);
    let _relay = start(&mut config);
    for _ in 0..2 {
        assert_eq!(answer(&request(config.listen_address, "low", 7)), "UP r1");
        std::thread::sleep(RETURN_DELAY);
    }
    assert_eq!(backend.counts(), (1, 1));
}

/// Guards rule 2 at a hot restart: an id whose session has ended at one process comes to the other one,
/// either to the successor, or to the old process that serves again after the successor's death.
#[test]
fn id_does_not_run_again_at_other_process_of_hot_restart() {
    let backend = RecordingBackend::start();
    let mut config = configured("hot-restart", backend.address);
    let run = |address, id| {
        let stream = request(address, "once", id);
        assert_eq!(answer(&stream), "UP r1", "id {id}");
    };
    let refused = |address, id| {
        std::thread::sleep(RETURN_DELAY);
        assert_eq!(answer(&request(address, "once", id)), "ERR", "id {id}");
    };
    let old = start(&mut config);
    (1..=5).for_each(|id| run(config.listen_address, id));
    let open_at_restart = request(config.listen_address, "once", 6);
    assert_eq!(answer(&open_at_restart), "UP r1");
    let mut new = start(&mut config);
    drop(open_at_restart);
    (1..=6).for_each(|id| refused(config.listen_address, id));
    (11..=15).for_each(|id| run(config.listen_address, id));
    // The successor notifies its predecessor immediately.
    std::thread::sleep(Duration::from_millis(100));
    new.child.kill().expect("kill the relay process");
    new.child.wait().expect("wait for the relay process");
    common::wait_until("the old process serves again", || old.is_ready());
    (1..=6).chain(11..=15).for_each(|id| refused(config.listen_address, id));
    assert_eq!(backend.counts(), (11, 0));
}

/// Guards a backend against the sessions of clients that have left while they waited, with much unread behind
/// their first line: the end of such a connection is behind bytes that the relay does not read.
#[test]
fn nothing_is_sent_for_client_that_left_with_much_unread() {
    let backend = CountingBackend::start();
    let mut config = configured("unread", backend.address);
    let up = vec![endpoint("s-0", &backend, "up", 0)];
    let discovery = Discovery::start(up.clone());
    discovery.stop_answering();
    // Sessions wait for discovery's first answer.
    config.json["discovery"] = json!(discovery.address.to_string());
    config.json["settings"]["Discovery"] = json!("automatic");
    let relay = config.start();
    common::wait_until("the relay accepts connections", || Client::connect(config.listen_address).is_ok());
    for id in 1..=IDS {
        let stream = request(config.listen_address, if id % 2 == 0 { "low" } else { "once" }, id);
        stream.set_nonblocking(true).expect("set the client non-blocking");
        for _ in 0..20 {
            _ = (&stream).write(&[b'x'; 16_384]);
        }
    }
    std::thread::sleep(Duration::from_millis(200));
    discovery.publish(up);
    relay.wait_until_ready();
    assert!(Client::open(config.listen_address, "low").is_ok(), "the relay must serve others");
    assert_eq!(backend.opened(), 1, "sessions sent to the backend");
}
