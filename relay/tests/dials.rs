//! Dials whose connects stay pending because a backend's backlog is full until the test empties it.
mod common;

use common::{bind_listening_socket, Client, RelayConfig, SessionError};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Binds a listening socket with a minimal backlog.
fn bind_small_backlog() -> TcpListener {
    let address: SocketAddr = common::free_address();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a TCP socket");
    socket.bind(&address.into()).expect("bind a free address");
    socket.listen(0).expect("listen with a minimal backlog");
    socket.into()
}

/// Connects until the backlog is full.
fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut filling = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        filling.push(stream);
    }
    filling
}

/// Accepts a connection; returns none if none arrives within `timeout`.
fn accept_within(listening_socket: &TcpListener, timeout: Duration) -> Option<TcpStream> {
    listening_socket.set_nonblocking(true).expect("set the blocking mode");
    let started = Instant::now();
    while started.elapsed() < timeout {
        if let Ok((stream, _)) = listening_socket.accept() {
            stream.set_nonblocking(false).expect("set the blocking mode");
            stream.set_read_timeout(Some(Duration::from_millis(200))).expect("set the read timeout");
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}

/// Reads the first line of a connection; empty if none arrives within the read timeout.
fn first_line(stream: &TcpStream) -> String {
    let mut line = String::new();
    _ = BufReader::new(stream).read_line(&mut line);
    line
}

/// A session with an idempotency key may have run at one backend, and its retry's connect to another backend
/// succeeds only after the window, for which backends keep the key. The session is not forwarded to the other
/// backend, and its client gets a final answer.
#[test]
fn session_with_idempotency_key_is_not_forwarded_after_window() {
    let (healthy, slow) = (bind_listening_socket(), bind_small_backlog());
    let address_of = |listening_socket: &TcpListener| {
        listening_socket.local_addr().expect("read the local address").to_string()
    };
    let mut config = RelayConfig::new("window");
    config.json["known"]["instances"] = json!([
        {"instanceId": "s-0", "hostPort": address_of(&healthy), "lifecycle": "up"},
        {"instanceId": "s-1", "hostPort": address_of(&slow), "lifecycle": "up"}]);
    let settings = &mut config.json["settings"];
    settings["Listeners"][1]["Effect"] = json!("dedup");
    settings["Listeners"][1]["Window"] = json!(300);
    settings["Listeners"][1]["DialTimeout"] = json!(4000);
    settings["Ceilings"]["ConnectTimeout"] = json!(3000);
    settings["Rules"]["DrainGrace"] = json!(5000);
    let relay = config.start();
    relay.wait_until_ready();
    // Repeat until the first dial goes to the backend whose answer the test controls.
    let (mut client, mut server) = loop {
        let mut client = Client::connect(config.listen_address).expect("connect to the relay");
        let id = common::unique_id();
        client.send_line(&format!("OPEN {id:016x} {id:016x} c=once,d=4000"));
        let started_at = Instant::now();
        let found = loop {
            assert!(
                started_at.elapsed() < common::WAIT_TIMEOUT,
                "no backend was dialled within {:?}",
                common::WAIT_TIMEOUT
            );
            if let Some(stream) = accept_within(&healthy, Duration::from_millis(5)) {
                break Some(stream);
            }
            if accept_within(&slow, Duration::from_millis(5)).is_some() {
                break None;
            }
        };
        if let Some(stream) = found {
            break (client, stream);
        }
    };
    assert!(first_line(&server).starts_with("OPEN "));
    let filling = fill_backlog(slow.local_addr().expect("read the local address"));
    server.write_all(b"ERR\r\n").expect("send the backend's answer");
    // Empty the backlog after the window, but before the kernel retries the pending connect.
    std::thread::sleep(Duration::from_millis(500));
    for _ in &filling {
        accept_within(&slow, Duration::from_millis(200));
    }
    drop(filling);
    while let Some(late) = accept_within(&slow, Duration::from_millis(1500)) {
        assert_eq!(first_line(&late), "", "the session was forwarded after its window");
    }
    let received = client.receive();
    assert!(
        matches!(received, Ok(ref line) if line == "BUSY" || line == "FAIL"),
        "the client must get a final answer, got {received:?}"
    );
    assert_eq!(client.receive(), Err(SessionError::Closed));
}
