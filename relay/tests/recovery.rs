//! Processes that are killed outright and start again with what they kept, with the list service dark, with a store
//! that is damaged, another relay's, or can't be written. Verdicts by what reaches which backend, and by counts.
mod common;

use common::{bound, free, listener, until, Client, Counted, Relay, Site};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A list service: its version, and the whole list as it is now; dark where there is none.
struct Discovery {
    at: SocketAddr,
    list: Arc<Mutex<Told>>,
}

/// Its version, and the whole list; none while it is dark.
type Told = Option<(u64, Vec<Value>)>;

impl Discovery {
    fn begin(instances: Vec<Value>) -> Discovery {
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

    fn tell(&self, instances: Vec<Value>) {
        let mut list = self.list.lock().expect("nobody panics with it");
        let generation = list.as_ref().map_or(1, |list| list.0) + 1;
        *list = Some((generation, instances));
    }

    /// It answers nobody any more.
    fn goes_dark(&self) {
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
    until("it asked the other one", || first.figure("fleet_hearsay") > Some(0));
    let before = third.opened();
    sessions(f.site.listen, 30);
    assert_eq!(third.opened(), before, "whom it was told to leave nobody's word brings back");
}

/// What is wrong with the store costs no service, is said, and heals.
#[test]
fn a_store_that_is_of_no_use_stops_nobody() {
    let mut f = fixture("useless");
    // A file where the folder should be.
    std::fs::write(&f.state, "in the way").expect("a file");
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!(sessions(f.site.listen, 5), 5);
    assert_eq!(relay.figure("store_failing"), Some(1));
    std::fs::remove_file(&f.state).expect("it is there");
    until("it heals", || relay.figure("store_failing") == Some(0));
    f.discovery.tell(vec![instance("s-0", &f.servers[0], "up", 0), instance("s-1", &f.servers[1], "up", 0)]);
    until("it writes", || shelf("inspect", &f.state).1.contains("list: 1 facts"));
    killed(relay);
    // Damaged in the middle: what stands before that is used, and it goes on.
    let log = f.state.join("log");
    let mut bytes = std::fs::read(&log).expect("a log");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x55;
    std::fs::write(&log, &bytes).expect("a log");
    assert_eq!(shelf("verify", &f.state).0, Some(1));
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!((sessions(f.site.listen, 5), relay.figure("store_failing")), (5, Some(0)));
    until("it is written anew", || shelf("verify", &f.state).0 == Some(0));
    killed(relay);
    // Another relay's: nothing of it is used, and from now on it is this one's.
    f.site.text["name"] = json!("another");
    let relay = f.site.start();
    relay.until_ready();
    assert_eq!(sessions(f.site.listen, 5), 5);
    until("it is its own", || kept(&f.state, "\"name\":\"another\""));
    // A second relay with the same folder serves, and says that it keeps nothing.
    let mut second = fixture("useless-second");
    second.site.text["state"] = f.site.text["state"].clone();
    let other = second.site.start();
    other.until_ready();
    assert_eq!((sessions(second.site.listen, 5), other.figure("store_failing")), (5, Some(1)));
    assert_eq!(shelf("compact", &f.state).0, Some(2), "a relay uses it");
    killed(relay);
    until("the lock is free", || other.figure("store_failing") == Some(0));
    killed(other);
    assert_eq!(shelf("compact", &f.state).0, Some(0));
    assert_eq!(shelf("verify", &second.site.folder).0, Some(2), "no store is there");
}

/// Old and new process at one address: the store goes with the place, and comes back with it.
#[test]
fn the_store_goes_with_the_place() {
    let mut f = fixture("place");
    let old = f.site.start();
    old.until_ready();
    until("it keeps", || old.figure("store_batches") > Some(0));
    let mut new = f.site.start();
    new.until_ready();
    let draining = vec![instance("s-0", &f.servers[0], "draining", 0)];
    f.discovery.tell(draining);
    until("the new one keeps", || kept(&f.state, "\"draining\""));
    assert_eq!((new.figure("store_failing"), new.figure("store_batches") > Some(0)), (Some(0), true));
    new.child.kill().expect("it lives");
    until("the old one serves again", || old.ready());
    let again = vec![instance("s-1", &f.servers[1], "draining", 0), instance("s-0", &f.servers[0], "up", 5)];
    f.discovery.tell(again);
    until("the old one keeps again", || kept(&f.state, "\"startedAtMs\":5"));
    killed(old);
}
