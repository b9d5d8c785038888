//! A discovery service whose requests are answered by the test, one by one.
use crate::common::{bind_listening_socket, WAIT_TIMEOUT};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The service. It accepts no connection until the test takes the next request.
pub struct ScriptedDiscovery {
    listening_socket: TcpListener,
}

/// Whether a request is for the full list or for changes.
#[derive(Debug, PartialEq)]
pub enum RequestKind {
    FullList,
    /// A watch, which gets all changes after a generation.
    ChangesSince(u64),
}

/// A request whose response is pending or still open.
pub struct ListRequest {
    stream: TcpStream,
    pub kind: RequestKind,
}

impl ScriptedDiscovery {
    pub fn start() -> ScriptedDiscovery {
        let listening_socket = bind_listening_socket();
        listening_socket.set_nonblocking(true).expect("set the blocking mode");
        ScriptedDiscovery { listening_socket }
    }

    pub fn address(&self) -> SocketAddr {
        self.listening_socket.local_addr().expect("read the local address")
    }

    /// Returns the next request, which must arrive within `WAIT_TIMEOUT`.
    pub fn next_request(&self) -> ListRequest {
        self.request_within(WAIT_TIMEOUT).expect("the relay requests the endpoint list within WAIT_TIMEOUT")
    }

    /// Returns the next request; none if no request arrives within `time`.
    pub fn request_within(&self, time: Duration) -> Option<ListRequest> {
        let started = Instant::now();
        loop {
            if let Ok((stream, _)) = self.listening_socket.accept() {
                return Some(ListRequest::read(stream));
            }
            if started.elapsed() >= time {
                return None;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

impl ListRequest {
    fn read(mut stream: TcpStream) -> ListRequest {
        stream.set_nonblocking(false).expect("set the blocking mode");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the read timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        let mut head = Vec::new();
        let mut byte = [0; 1];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("read a complete request head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("the request head is UTF-8");
        let path = head.split(' ').nth(1).expect("the request line has a path");
        let since = path.split_once("since=").map(|(_, tail)| tail.split('&').next().unwrap_or(tail));
        let kind = match since {
            None => RequestKind::FullList,
            Some(version) => RequestKind::ChangesSince(version.parse().expect("`since` is a generation")),
        };
        ListRequest { stream, kind }
    }

    /// Sends the head of a response whose body ends when the connection is closed.
    pub fn begin_response(&mut self) {
        self.send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n");
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("send to the relay");
    }

    /// Sends the keep-alive of an idle watch.
    pub fn send_empty_line(&mut self) {
        self.send("\n");
    }

    /// Sends one line with a list or with changes.
    pub fn send_list(&mut self, list: &Value) {
        self.send(&format!("{list}\n"));
    }
}

/// A backend's entry in the endpoint list.
pub fn endpoint(id: &str, address: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "lifecycle": lifecycle})
}

/// A watch event with changed entries.
pub fn list_changes(generation: u64, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": false, "instances": entries})
}

/// A full list, which replaces all known entries.
pub fn full_list(generation: u64, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": true, "instances": entries})
}
