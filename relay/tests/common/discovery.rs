//! A list service of the tests' own.
use super::{bound, Counted};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A list service: its version, and the whole list as it is now; dark where there is none.
pub struct Discovery {
    pub at: SocketAddr,
    list: Arc<Mutex<Told>>,
}

/// Its version, and the whole list; none while it is dark.
type Told = Option<(u64, Vec<Value>)>;

impl Discovery {
    pub fn begin(instances: Vec<Value>) -> Discovery {
        let listener = bound();
        let at = listener.local_addr().expect("its address");
        let list = Arc::new(Mutex::new(Some((1, instances))));
        let told = list.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let told = told.clone();
                std::thread::spawn(move || answer(stream, &told));
            }
        });
        Discovery { at, list }
    }

    pub fn tell(&self, instances: Vec<Value>) {
        let mut list = self.list.lock().expect("nobody panics with it");
        let generation = list.as_ref().map_or(1, |list| list.0) + 1;
        *list = Some((generation, instances));
    }

    /// It answers again, from a version on, and knows nobody yet.
    pub fn begins_anew(&self, generation: u64) {
        *self.list.lock().expect("nobody panics with it") = Some((generation, vec![]));
    }

    /// It answers nobody any more.
    pub fn goes_dark(&self) {
        *self.list.lock().expect("nobody panics with it") = None;
    }
}

fn answer(mut stream: TcpStream, list: &Mutex<Told>) {
    let mut asked = Vec::new();
    let mut part = [0; 1024];
    while !asked.ends_with(b"\r\n\r\n") {
        match stream.read(&mut part) {
            Ok(n @ 1..) => asked.extend_from_slice(&part[..n]),
            _ => return,
        }
    }
    let now = || list.lock().expect("nobody panics with it").clone();
    let text = |(generation, instances): (u64, Vec<Value>)| {
        json!({"generation": generation, "reset": false, "instances": instances}).to_string() + "\n"
    };
    let Some(first) = now() else { return };
    let follows = String::from_utf8_lossy(&asked).contains("follow=1");
    let mut last = if follows { 0 } else { first.0 };
    let head = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";
    let whole = if follows { String::new() } else { text(first) };
    if stream.write_all((head.to_string() + &whole).as_bytes()).is_err() || !follows {
        return;
    }
    while let Some(list) = now() {
        let line = if list.0 > last { text(list.clone()) } else { "\n".to_string() };
        last = list.0;
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
}

pub fn instance(id: &str, at: &Counted, lifecycle: &str, started_ms: u64) -> Value {
    let place = at.place.to_string();
    json!({"instanceId": id, "hostPort": place, "lifecycle": lifecycle, "startedAtMs": started_ms})
}
