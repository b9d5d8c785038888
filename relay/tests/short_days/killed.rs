//! A relay is killed right after it accepted a connection, and restarted: it dials for no session of the
//! previous process, and serves new ones.
use crate::backend::{Backend, Behaviour};
use crate::common::{unique_id, wait_until, Client, RelayConfig, RelayProcess, SessionError};
use crate::scripted_discovery::{endpoint, full_list};
use crate::sockets::all_bytes_read_by;
use serde_json::json;
use std::time::Duration;

/// How far a connection had progressed when the relay was killed.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ConnectionStage {
    /// It is accepted, and half of its first line is read.
    PartialLine,
    /// Its first line was received by a backend that has not answered.
    Dialled,
    /// Its session is established.
    Open,
}

fn kill(mut relay: RelayProcess) {
    relay.child.kill().expect("it lives");
    relay.child.wait().expect("it ends");
}

fn kill_and_restart(stage: ConnectionStage, with_store: bool) {
    let first = if stage == ConnectionStage::Open { Behaviour::Serve } else { Behaviour::Hang };
    let backend = Backend::start(first);
    let mut config = RelayConfig::new(&format!("short-killed-{stage:?}-{with_store}"));
    config.json["known"] = full_list(1, &[endpoint("s-0", backend.address, "up")]);
    if with_store {
        config.json["state"] = json!(config.directory.join("state"));
    }
    let relay = config.start();
    relay.wait_until_ready();
    let id = unique_id();
    let line = format!("OPEN {id:016x} {id:016x} c=once,d=1900");
    let mut client = Client::connect(config.listen_address).expect("it listens");
    match stage {
        ConnectionStage::PartialLine => {
            client.send_partial(&line[..line.len() / 2]);
            wait_until("the half line is read", || all_bytes_read_by(config.listen_address));
        }
        ConnectionStage::Dialled => {
            client.send_line(&line);
            wait_until("its line is at the backend", || backend.attempts_of(id) == 1);
        }
        ConnectionStage::Open => {
            client.send_line(&line);
            assert_eq!(client.receive(), Ok("UP r1".to_string()));
        }
    }
    let attempts = backend.attempts_of(id);
    kill(relay);
    assert!(matches!(client.receive(), Err(SessionError::Closed | SessionError::Reset)));
    backend.set_behaviour(Behaviour::Serve);
    let relay = config.start();
    relay.wait_until_ready();
    let mut next = Client::open(config.listen_address, "once").expect("it serves");
    assert!(next.echoes());
    // Any dial of its own accord would have been made by now.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(backend.attempts_of(id), attempts, "a line of the life before is dialled again");
    assert_eq!(backend.first_lines().len(), attempts + 1, "{:?}", backend.first_lines());
    // The same session can be requested again.
    let mut again = Client::connect(config.listen_address).expect("it listens");
    again.send_line(&line);
    assert_eq!(again.receive(), Ok("UP r1".to_string()));
    assert_eq!(backend.attempts_of(id), attempts + 1);
}

#[test]
fn a_session_with_half_a_first_line_before_a_kill_is_not_dialled() {
    [false, true]
        .into_iter()
        .for_each(|with_store| kill_and_restart(ConnectionStage::PartialLine, with_store));
}

#[test]
fn a_session_dialled_before_a_kill_is_not_dialled_again() {
    [false, true].into_iter().for_each(|with_store| kill_and_restart(ConnectionStage::Dialled, with_store));
}

#[test]
fn a_session_open_before_a_kill_is_not_dialled_again() {
    [false, true].into_iter().for_each(|with_store| kill_and_restart(ConnectionStage::Open, with_store));
}
