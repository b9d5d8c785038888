//! Orders of two things that meet, forced on the program itself: it is stopped by SIGSTOP while bytes, ends
//! and signals queue up, and goes on with all of them ready at once. And its first milliseconds, held by a
//! pipe in place of its configuration.
mod common;

use common::{bound, until, Client, Counted, Miss, Relay, Site};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// What may end the program after SIGTERM comes no sooner than the longest dial timeout, 3 s at most, and
/// this.
const KILL: Duration = Duration::from_millis(700);

/// A relay before one backend that the test plays.
fn before(name: &str, backend: &TcpListener, dial_timeout: u64) -> (Site, Relay) {
    let mut site = Site::new(name);
    let place = backend.local_addr().expect("its address").to_string();
    site.text["known"]["instances"] = json!([{"instanceId": "s-0", "hostPort": place, "lifecycle": "up"}]);
    for listener in site.text["settings"]["Listeners"].as_array_mut().expect("listeners") {
        listener["DialTimeout"] = json!(dial_timeout);
    }
    let relay = site.start();
    relay.until_ready();
    (site, relay)
}

/// Nothing of it runs till it is let go on.
fn halt(relay: &Relay) {
    relay.signal("STOP");
    let stat = format!("/proc/{}/stat", relay.child.id());
    until("it stands still", || {
        let stat = std::fs::read_to_string(&stat).expect("it is there");
        stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
    });
}

fn open_line(id: u64, listener: &str, wait: u64) -> String {
    format!("OPEN {id:016x} {id:016x} c={listener},d={wait}")
}

/// The backend's end of a dial whose line has come.
fn dialled(backend: &TcpListener) -> (BufReader<TcpStream>, String) {
    let (stream, _) = backend.accept().expect("a dial");
    stream.set_read_timeout(Some(common::SOON)).expect("a timeout");
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    lines.read_line(&mut line).expect("a line");
    (lines, line)
}

/// The client's time passes while the relay stands still, with its backend's answer unread: it gets one
/// answer still, and the backend's session is given up.
#[test]
fn an_answer_is_owed_after_a_standstill() {
    let backend = bound();
    let (site, relay) = before("standstill", &backend, 300);
    let mut client = Client::connect(site.listen).expect("it listens");
    client.say(&open_line(1, "once", 300));
    let (mut server, line) = dialled(&backend);
    assert!(line.starts_with("OPEN "));
    halt(&relay);
    server.get_mut().write_all(b"UP r1\r\n").expect("it goes");
    std::thread::sleep(Duration::from_millis(330));
    relay.signal("CONT");
    assert_eq!(client.hear(), Ok("FAIL".to_string()));
    assert_eq!(client.hear(), Err(Miss::Ended));
    let mut rest = Vec::new();
    _ = server.read_to_end(&mut rest);
    assert!(rest.is_empty());
}

/// Lines and ends lie in the accept queue together, beside one that waits: only who waits is sent on.
#[test]
fn who_left_during_a_standstill_is_not_sent_on() {
    let backend = Counted::begin();
    let mut site = Site::new("left");
    site.text["known"]["instances"] =
        json!([{"instanceId": "s-0", "hostPort": backend.place.to_string(), "lifecycle": "up"}]);
    let relay = site.start();
    relay.until_ready();
    halt(&relay);
    let left: Vec<Client> = (0..20)
        .map(|i| {
            let mut client = Client::connect(site.listen).expect("it listens");
            client.say(&open_line(100 + i, if i % 2 == 0 { "low" } else { "once" }, 1900));
            client.shut();
            client
        })
        .collect();
    relay.signal("CONT");
    // Who merely ended its sending hears what it is owed.
    for mut client in left {
        assert!(matches!(client.hear().as_deref(), Ok("BUSY" | "FAIL")));
    }
    assert!(Client::open(site.listen, "low").is_ok());
    assert_eq!(backend.opened(), 1);
}

/// How a relay is told to end, and what lies there with it.
fn stopped_with(name: &str, dial_timeout: u64, with: &[&str]) {
    let backend = Counted::begin();
    let silent = bound();
    let mut site = Site::new(name);
    let instance =
        |id: &str, at: SocketAddr| json!({"instanceId": id, "hostPort": at.to_string(), "lifecycle": "up"});
    let quiet = silent.local_addr().expect("its address");
    site.text["known"]["instances"] = json!([instance("s-0", backend.place), instance("s-1", quiet)]);
    for listener in site.text["settings"]["Listeners"].as_array_mut().expect("listeners") {
        listener["DialTimeout"] = json!(dial_timeout);
    }
    let mut relay = site.start();
    relay.until_ready();
    let mut open = Vec::new();
    let mut waits = Vec::new();
    // Some stand, some wait for a backend that takes their line and says nothing.
    until("some stand and some wait", || {
        let mut client = Client::connect(site.listen).expect("it listens");
        client.say(&open_line(1000 + (open.len() + waits.len()) as u64, "once", dial_timeout));
        match client.hears_now().as_deref() {
            Some("UP r1") => open.push(client),
            None => waits.push(client),
            Some(other) => panic!("{other}"),
        }
        open.len() >= 3 && waits.len() >= 2
    });
    halt(&relay);
    let mut late = Client::connect(site.listen).expect("it listens");
    late.say(&open_line(2000, "low", dial_timeout));
    let mut half = Client::connect(site.listen).expect("it listens");
    half.say_part("OPEN 00000000000007d1 ");
    with.iter().for_each(|signal| relay.signal(signal));
    relay.signal("CONT");
    let told = Instant::now();
    let end = told + Duration::from_millis(dial_timeout.min(3000)) + KILL;
    for client in &mut open {
        assert_eq!(client.hear(), Ok("MOVE".to_string()));
        assert_eq!(client.hear(), Err(Miss::Ended));
        client.shut();
    }
    for client in &mut waits {
        assert_eq!(client.hear(), Ok("FAIL".to_string()));
        client.shut();
    }
    match late.hear().as_deref() {
        Ok("UP r1") => assert_eq!(late.hear(), Ok("MOVE".to_string())),
        Ok("FAIL" | "BUSY") => {}
        other => panic!("{other:?}"),
    }
    late.shut();
    // An answer, whatever it is: it was not served, and it was not cut off.
    assert!(matches!(half.hear(), Ok(ref line) if line == "BUSY" || line == "ERR"), "who was half way");
    until("it ends", || relay.has_ended());
    assert!(Instant::now() < end, "it would have been killed: {:?} too late", Instant::now() - end);
    assert!(relay.child.wait().expect("a child").success());
}

#[test]
fn a_stop_is_over_in_time_with_long_dial_timeouts() {
    stopped_with("long", 4800, &["TERM"]);
}

#[test]
fn a_stop_is_over_in_time_with_short_dial_timeouts() {
    stopped_with("short", 150, &["TERM"]);
}

#[test]
fn a_stop_beside_a_reload_and_another_stop_is_over_in_time() {
    stopped_with("reloaded", 900, &["HUP", "TERM", "TERM", "INT"]);
}

/// A pipe in place of the configuration holds the program in its first milliseconds, before it has caught
/// signals.
fn begun(name: &str, signal: &str) -> (Site, Relay) {
    let mut site = Site::new(name);
    let relay = site.start();
    relay.until_ready();
    drop(relay);
    let pipe = site.folder.join("pipe");
    assert!(common::output(Command::new("mkfifo").arg(&pipe)).status.success());
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
    command.arg("serve").arg("--config").arg(&pipe).env("TMPDIR", &site.folder);
    command.stderr(std::process::Stdio::null());
    let child = common::spawned(&mut command);
    let operator = site.text["operator"].as_str().and_then(|at| at.parse().ok()).expect("an address");
    let relay = Relay { child, path: pipe.clone(), operator };
    // Opens only as the program reads there: its own start is behind it by then, and signals are not caught
    // yet.
    let mut write = std::fs::OpenOptions::new().write(true).open(&pipe).expect("a pipe");
    relay.signal(signal);
    // As it is read again it is a file.
    let text = site.text.to_string();
    let file = site.folder.join("text");
    std::fs::write(&file, &text).expect("a file");
    std::fs::rename(&file, &pipe).expect("in its place");
    write.write_all(text.as_bytes()).expect("it is read");
    (site, relay)
}

#[test]
fn a_reload_in_the_first_milliseconds_ends_nothing() {
    let (site, relay) = begun("early-reload", "HUP");
    relay.until_ready();
    until("the reload is seen", || relay.figure("config.reloads").unwrap_or(1) > 0);
    assert!(Client::open(site.listen, "low").is_ok());
}

#[test]
fn a_stop_in_the_first_milliseconds_is_an_ordered_one() {
    let (_site, mut relay) = begun("early-stop", "TERM");
    until("it ends", || relay.has_ended());
    assert!(relay.child.wait().expect("a child").success());
}
