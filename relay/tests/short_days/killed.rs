//! A relay is killed while it reads a first line, dials a backend or proxies a session, and is restarted. The
//! new process must not dial for any session of the killed process, and must serve new sessions.
use crate::backend::{Backend, Behaviour};
use crate::common::{unique_id, wait_until, Client, RelayConfig, RelayProcess, SessionError};
use crate::scripted_discovery::{endpoint, full_list};
use crate::sockets::all_bytes_read_by;
use serde_json::json;
use std::time::Duration;

/// How far a connection had progressed when the relay was killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionStage {
    /// The relay has accepted the connection and read half of its first line.
    PartialLine,
    /// The backend has received the first line and has not answered.
    Dialled,
    /// The session is established.
    Open,
}

fn kill(mut relay: RelayProcess) {
    relay.child.kill().expect("kill the relay process");
    relay.child.wait().expect("wait for the relay process");
}

/// Kills a relay when a client's connection has reached `stage`, restarts it and checks what the backend
/// receives; `with_store` gives the relay a store on disk, which outlives the process.
fn kill_and_restart(stage: ConnectionStage, with_store: bool) {
    let case = format!("connection killed at stage {stage:?}, with store: {with_store}");
    let before_kill = if stage == ConnectionStage::Open { Behaviour::Serve } else { Behaviour::Hang };
    let backend = Backend::start(before_kill);
    let mut config = RelayConfig::new(&format!("short-killed-{stage:?}-{with_store}"));
    // `known` is the endpoint list that the relay uses while discovery does not answer, as in this test.
    config.json["known"] = full_list(1, &[endpoint("s-0", backend.address, "up")]);
    if with_store {
        // `state` is the path of the store.
        config.json["state"] = json!(config.directory.join("state"));
    }
    let relay = config.start();
    relay.wait_until_ready();
    let id = unique_id();
    // `c` is the listener (class of sessions), `d` the client's deadline in ms.
    let line = format!("OPEN {id:016x} {id:016x} c=once,d=1900");
    let mut client = Client::connect(config.listen_address).expect("connect to the relay");
    match stage {
        ConnectionStage::PartialLine => {
            client.send_partial(&line[..line.len() / 2]);
            wait_until("the relay has read the partial line", || all_bytes_read_by(config.listen_address));
        }
        ConnectionStage::Dialled => {
            client.send_line(&line);
            wait_until("the backend has received the first line", || backend.attempts_of(id) == 1);
        }
        ConnectionStage::Open => {
            client.send_line(&line);
            assert_eq!(client.receive(), Ok("UP r1".to_string()), "{case}: reply before the kill");
        }
    }
    let attempts = backend.attempts_of(id);
    kill(relay);
    let received = client.receive();
    assert!(
        matches!(received, Err(SessionError::Closed | SessionError::Reset)),
        "{case}: the killed relay's connection must be closed or reset, received {received:?}"
    );
    backend.set_behaviour(Behaviour::Serve);
    let relay = config.start();
    relay.wait_until_ready();
    let mut next = Client::open(config.listen_address, "once").expect("open a session");
    assert!(next.echoes(), "{case}: the backend must echo a line of the new session");
    // Allow time for a dial that the new process must not make: no client has requested it.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(
        backend.attempts_of(id),
        attempts,
        "{case}: the new process dialled for a session of the killed process"
    );
    assert_eq!(
        backend.first_lines().len(),
        attempts + 1,
        "{case}: besides the dials before the kill only the new session may be dialled: {:?}",
        backend.first_lines()
    );
    // A client can request the same session again.
    let mut again = Client::connect(config.listen_address).expect("connect to the relay");
    again.send_line(&line);
    assert_eq!(again.receive(), Ok("UP r1".to_string()), "{case}: reply to the repeated request");
    assert_eq!(backend.attempts_of(id), attempts + 1, "{case}: dials of the repeated session");
}

#[test]
fn partial_first_line_before_kill_is_not_dialled() {
    [false, true]
        .into_iter()
        .for_each(|with_store| kill_and_restart(ConnectionStage::PartialLine, with_store));
}

#[test]
fn session_dialled_before_kill_is_not_dialled_again() {
    [false, true].into_iter().for_each(|with_store| kill_and_restart(ConnectionStage::Dialled, with_store));
}

#[test]
fn session_open_before_kill_is_not_dialled_again() {
    [false, true].into_iter().for_each(|with_store| kill_and_restart(ConnectionStage::Open, with_store));
}
