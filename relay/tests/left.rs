//! Clients that leave while they wait, at a relay that stands still again and again: how many of their
//! sessions were sent on after they had left, and how much later.
mod common;

use common::{bound, Client, Site};
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const CLIENTS: u64 = 240;
const STILL: Duration = Duration::from_millis(450);

/// When each session's line came, by its mark. It answers none, so that sessions wait and are dialled again.
type Came = Arc<Mutex<BTreeMap<u64, Vec<Instant>>>>;

fn silent(listener: TcpListener, came: Came) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let came = came.clone();
            std::thread::spawn(move || {
                let mut lines = BufReader::new(stream);
                let mut line = String::new();
                if matches!(lines.read_line(&mut line), Ok(1..)) {
                    let mark = line.get(5..21).and_then(|mark| u64::from_str_radix(mark, 16).ok());
                    let now = Instant::now();
                    came.lock().expect("no panic").entry(mark.unwrap_or(0)).or_default().push(now);
                }
                line.clear();
                while matches!(lines.read_line(&mut line), Ok(1..)) {}
            });
        }
    });
}

#[test]
fn nobody_who_left_is_sent_on_late() {
    let came = Came::default();
    let backends = [bound(), bound()];
    let places: Vec<String> =
        backends.iter().map(|b| b.local_addr().expect("its address").to_string()).collect();
    backends.into_iter().for_each(|backend| silent(backend, came.clone()));
    let mut site = Site::new("left-late");
    site.text["known"]["instances"] = json!([
        {"instanceId": "s-0", "hostPort": places[0], "lifecycle": "up"},
        {"instanceId": "s-1", "hostPort": places[1], "lifecycle": "up"}]);
    site.text["limits"]["sockets"] = json!(4096);
    let relay = site.start();
    relay.until_ready();
    let ended = Arc::new(Mutex::new(false));
    let (pid, done) = (relay.child.id(), ended.clone());
    let stalls = std::thread::spawn(move || {
        let kill = |signal: &str| {
            let kill = format!("kill -{signal} {pid}");
            common::output(std::process::Command::new("sh").args(["-c", &kill]));
        };
        while !*done.lock().expect("no panic") {
            kill("STOP");
            std::thread::sleep(STILL);
            kill("CONT");
            std::thread::sleep(STILL / 6);
        }
    });
    // Some leave at once, some after their first dial is given up, some by a reset, some half way.
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|mark| {
            std::thread::sleep(Duration::from_millis(8));
            let listen = site.listen;
            std::thread::spawn(move || {
                let mut client = Client::connect(listen).expect("it listens");
                let listener = if mark % 3 == 0 { "once" } else { "low" };
                client.say(&format!("OPEN {mark:016x} {mark:016x} c={listener},d=1900"));
                std::thread::sleep(Duration::from_millis(mark * 7 % 900));
                match mark % 4 {
                    0 => client.shut(),
                    1 => client.reset(),
                    _ => drop(client),
                }
                (mark, Instant::now())
            })
        })
        .collect();
    let left: Vec<(u64, Instant)> = clients.into_iter().map(|one| one.join().expect("it left")).collect();
    *ended.lock().expect("no panic") = true;
    stalls.join().expect("it ends");
    // What is on its way still is there by now, or never.
    std::thread::sleep(Duration::from_millis(300));
    let came = came.lock().expect("no panic");
    let after = |(mark, left): &(u64, Instant)| {
        let last = came.get(mark).and_then(|all| all.iter().max().copied())?;
        last.checked_duration_since(*left).filter(|late| *late > Duration::from_millis(2))
    };
    let late: Vec<Duration> = left.iter().filter_map(after).collect();
    let most = late.iter().max().copied().unwrap_or_default();
    let over = late.iter().filter(|late| **late > Duration::from_millis(300)).count();
    println!(
        "of {CLIENTS} that left {} were sent on later, {over} of them over 0.3 s, {most:?} at most",
        late.len()
    );
    assert!(over == 0, "of {CLIENTS} that left {over} were sent on over 0.3 s later, {most:?} at most");
}
