//! A list service whose calls the test answers itself, one by one.
use crate::common::{bound, SOON};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

const POLL: Duration = Duration::from_millis(2);

pub struct ListService {
    listener: TcpListener,
}

/// What a call asks for.
#[derive(Debug, PartialEq)]
pub enum Asks {
    WholeList,
    /// All changes after a version.
    ChangesSince(u64),
}

/// A call that waits for its answer, or for more of it.
pub struct Call {
    stream: TcpStream,
    pub asks: Asks,
}

impl ListService {
    pub fn begin() -> ListService {
        let listener = bound();
        listener.set_nonblocking(true).expect("an option");
        ListService { listener }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("its address")
    }

    /// The next call, which must come soon.
    pub fn next_call(&self) -> Call {
        self.call_within(SOON).expect("waited in vain: a call for the list")
    }

    pub fn call_within(&self, time: Duration) -> Option<Call> {
        let started = Instant::now();
        loop {
            if let Ok((stream, _)) = self.listener.accept() {
                return Some(Call::read(stream));
            }
            if started.elapsed() >= time {
                return None;
            }
            std::thread::sleep(POLL);
        }
    }
}

impl Call {
    fn read(mut stream: TcpStream) -> Call {
        stream.set_nonblocking(false).expect("an option");
        stream.set_read_timeout(Some(SOON)).expect("a timeout");
        stream.set_nodelay(true).expect("an option");
        let mut head = Vec::new();
        let mut byte = [0; 1];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a whole head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text");
        let path = head.split(' ').nth(1).expect("a path");
        let since = path.split_once("since=").map(|(_, tail)| tail.split('&').next().unwrap_or(tail));
        let asks = match since {
            None => Asks::WholeList,
            Some(version) => Asks::ChangesSince(version.parse().expect("a version")),
        };
        Call { stream, asks }
    }

    /// Begins the answer, whose body ends with the connection.
    pub fn begin_answer(&mut self) {
        self.send("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n");
    }

    pub fn send(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("it goes");
    }

    /// The line of an idle watch.
    pub fn send_empty_line(&mut self) {
        self.send("\n");
    }

    pub fn send_list(&mut self, list: &Value) {
        self.send(&format!("{list}\n"));
    }
}

/// A backend's entry.
pub fn entry(id: &str, at: SocketAddr, lifecycle: &str) -> Value {
    json!({"instanceId": id, "hostPort": at.to_string(), "lifecycle": lifecycle})
}

pub fn changes(generation: u64, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": false, "instances": entries})
}

pub fn whole(generation: u64, entries: &[Value]) -> Value {
    json!({"generation": generation, "reset": true, "instances": entries})
}
