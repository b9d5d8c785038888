//! A discovery service that publishes the endpoint lists that a test sets. A watch is a request whose
//! response stays open and sends each new list.
use super::{bind_listening_socket, CountingBackend};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A discovery service, which answers no request while it has no list.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<PublishedList>>,
}

/// Generation and full endpoint list; none while the service is unavailable.
type PublishedList = Option<(u64, Vec<Value>)>;

impl Discovery {
    /// Starts the service with a list of generation 1.
    pub fn start(instances: Vec<Value>) -> Discovery {
        let listening_socket = bind_listening_socket();
        let address = listening_socket.local_addr().expect("read the local address");
        let list = Arc::new(Mutex::new(Some((1, instances))));
        let published = list.clone();
        std::thread::spawn(move || {
            for stream in listening_socket.incoming().flatten() {
                let published = published.clone();
                std::thread::spawn(move || answer(stream, &published));
            }
        });
        Discovery { address, list }
    }

    /// Replaces the list and increments its generation.
    pub fn publish(&self, instances: Vec<Value>) {
        let mut list = self.list.lock().expect("the mutex is not poisoned");
        let generation = list.as_ref().map_or(1, |list| list.0) + 1;
        *list = Some((generation, instances));
    }

    /// Resumes answering, with an empty list of the given generation.
    pub fn restart_at(&self, generation: u64) {
        *self.list.lock().expect("the mutex is not poisoned") = Some((generation, vec![]));
    }

    /// Stops answering: open watches are closed, and new requests get no response.
    pub fn stop_answering(&self) {
        *self.list.lock().expect("the mutex is not poisoned") = None;
    }
}

fn answer(mut stream: TcpStream, list: &Mutex<PublishedList>) {
    let mut request = Vec::new();
    let mut chunk = [0; 1024];
    while !request.ends_with(b"\r\n\r\n") {
        match stream.read(&mut chunk) {
            Ok(n @ 1..) => request.extend_from_slice(&chunk[..n]),
            _ => return,
        }
    }
    let current = || list.lock().expect("the mutex is not poisoned").clone();
    let text = |(generation, instances): (u64, Vec<Value>)| {
        json!({"generation": generation, "reset": false, "instances": instances}).to_string() + "\n"
    };
    let Some(first) = current() else { return };
    let is_watch = String::from_utf8_lossy(&request).contains("follow=1");
    let mut last_sent = if is_watch { 0 } else { first.0 };
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let initial = if is_watch { String::new() } else { text(first) };
    if stream.write_all((head.to_string() + &initial).as_bytes()).is_err() || !is_watch {
        return;
    }
    while let Some(list) = current() {
        let line = if list.0 > last_sent { text(list.clone()) } else { "\n".to_string() };
        last_sent = list.0;
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Entry of a backend in the endpoint list; `started_ms` is the backend's start in ms since the Unix epoch.
pub fn endpoint(id: &str, backend: &CountingBackend, lifecycle: &str, started_ms: u64) -> Value {
    let address = backend.address.to_string();
    json!({"instanceId": id, "hostPort": address, "lifecycle": lifecycle, "startedAtMs": started_ms})
}
