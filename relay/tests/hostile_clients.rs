//! Hundreds of clients that stall, and one that floods the relay: the process stays within its memory and
//! descriptors, and other clients get their answers in time.
mod common;

use common::{listener_settings, Client, CountingBackend, RelayConfig, RelayProcess};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Memory of a relay at the smallest site, in kB.
const MEMORY_KB: u64 = 48 << 10;
/// Descriptors of the relay.
const SOCKETS: u64 = 512;
const STALLED_CLIENTS: usize = 400;
/// How long each kind of client is at work. Longer than a first line may take (2.7 s).
const STALL_TIME: Duration = Duration::from_millis(3_500);
const FLOOD_TIME: Duration = Duration::from_secs(3);
/// Handshake objective of the listener, which the 99th percentile of the other clients must meet.
const HANDSHAKE_TARGET: Duration = Duration::from_millis(300);
/// Longest growth of memory in the second half of a flood, in kB: noise of the allocator.
const MAX_GROWTH_KB: u64 = 2 << 10;

fn start(name: &str) -> (RelayConfig, RelayProcess, CountingBackend) {
    let mut config = RelayConfig::new(&format!("hostile-{name}"));
    let backend = CountingBackend::start();
    let entry = common::discovery::endpoint("s-0", &backend, "up", 0);
    config.json["known"] = json!({"generation": 1, "reset": true, "instances": [entry]});
    config.json["limits"]["sockets"] = json!(SOCKETS);
    config.json["limits"]["memory_mb"] = json!(MEMORY_KB >> 10);
    config.json["settings"]["Listeners"] =
        json!([listener_settings("low", 1.0, "retryable"), listener_settings("once", 5.0, "fragile")]);
    let relay = config.start();
    relay.wait_until_ready();
    (config, relay, backend)
}

/// A line of `/proc/PID/status`, in kB.
fn status_kb(relay: &RelayProcess, key: &str) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", relay.child.id())).expect("read the status");
    let line = status.lines().find(|line| line.starts_with(key)).expect("the status has the line");
    line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("the line has a number")
}

fn descriptors(relay: &RelayProcess) -> u64 {
    std::fs::read_dir(format!("/proc/{}/fd", relay.child.id())).expect("list the descriptors").count() as u64
}

/// A first line of nearly the longest length, made of very many short fields.
fn line_of_short_fields(id: usize) -> String {
    let mut line = format!("OPEN {id:016x} {id:016x} c=low,d=1900");
    while line.len() < 4_080 {
        line.push_str(",a=1");
    }
    line + "\r\n"
}

/// What each of the stalled clients sends at once, and then every 50 ms.
struct Stall {
    name: &'static str,
    to_operator: bool,
    first: fn(usize) -> String,
    then: &'static str,
}

const STALLS: [Stall; 6] = [
    Stall { name: "slow first line", to_operator: false, first: |_| "OPEN ".to_string(), then: "0" },
    Stall {
        name: "half of a long first line",
        to_operator: false,
        first: |id| line_of_short_fields(id)[..2_000].to_string(),
        then: "",
    },
    Stall { name: "very many short fields", to_operator: false, first: line_of_short_fields, then: "" },
    Stall {
        name: "half of a long message of a session",
        to_operator: false,
        first: |id| format!("OPEN {id:016x} {id:016x} c=low,d=1900\r\n{}", "x".repeat(4_000)),
        then: "",
    },
    Stall {
        name: "messages whose answers are not read",
        to_operator: false,
        first: |id| format!("OPEN {id:016x} {id:016x} c=low,d=1900\r\n{}", "message\r\n".repeat(20_000)),
        then: "message\r\n",
    },
    Stall {
        name: "operator's call with very many short fields",
        to_operator: true,
        first: |_| format!("GET /v1/readyz HTTP/1.1\r\n{}", "a:\r\n".repeat(1_500)),
        then: "a:\r\n",
    },
];

/// Connects, or reconnects after an end of the connection, and sends what the system takes.
fn advance_stalled(slot: &mut Option<TcpStream>, address: SocketAddr, stall: &Stall, id: usize) {
    if slot.is_none() {
        let Ok(stream) = TcpStream::connect(address) else { return };
        stream.set_nonblocking(true).expect("set the client non-blocking");
        let mut stream = stream;
        _ = stream.write((stall.first)(id).as_bytes());
        *slot = Some(stream);
        return;
    }
    let Some(stream) = slot else { return };
    let is_ended = match stream.write(stall.then.as_bytes()) {
        Ok(_) => matches!(stream.peek(&mut [0; 1]), Ok(0)),
        Err(e) => e.kind() != ErrorKind::WouldBlock,
    };
    if is_ended {
        *slot = None;
    }
}

/// Guards the process's memory and descriptors against hundreds of clients that write slowly, stop half way
/// through a large request, or send very many short fields.
#[test]
fn stalled_clients_do_not_exhaust_memory_or_descriptors() {
    for stall in &STALLS {
        let (config, relay, _backend) = start("stalled");
        let address = if stall.to_operator { relay.operator_address } else { config.listen_address };
        let mut clients: Vec<Option<TcpStream>> = (0..STALLED_CLIENTS).map(|_| None).collect();
        let (mut most_descriptors, mut next_id) = (0, 1 << 20);
        let started_at = Instant::now();
        while started_at.elapsed() < STALL_TIME {
            for client in &mut clients {
                next_id += 1;
                advance_stalled(client, address, stall, next_id);
            }
            most_descriptors = most_descriptors.max(descriptors(&relay));
            std::thread::sleep(Duration::from_millis(50));
        }
        let peak = status_kb(&relay, "VmHWM:");
        println!("{}: peak memory {peak} kB, {most_descriptors} descriptors", stall.name);
        assert!(peak < MEMORY_KB, "{}: peak memory {peak} kB", stall.name);
        assert!(most_descriptors <= SOCKETS, "{}: {most_descriptors} descriptors", stall.name);
        drop(clients);
        let served = (0..20).filter(|_| Client::open(config.listen_address, "low").is_ok()).count();
        assert_eq!(served, 20, "{}: the relay must serve afterwards", stall.name);
    }
}

/// What a flooding client sends without pause, on one connection for as long as the relay keeps that open.
struct Flood {
    name: &'static str,
    to_operator: bool,
    /// The bytes of one burst, by its number.
    burst: fn(usize) -> String,
    /// Whether the client reads what comes back.
    reads: bool,
}

fn lines(count: usize, line: impl Fn(usize) -> String) -> String {
    (0..count).map(line).collect()
}

const FLOODS: [Flood; 8] = [
    Flood { name: "pings", to_operator: false, burst: |_| "PING\r\n".repeat(500), reads: true },
    Flood { name: "pings, unread", to_operator: false, burst: |_| "PING\r\n".repeat(500), reads: false },
    Flood {
        name: "unsound lines",
        to_operator: false,
        burst: |n| lines(50, |i| format!("NAME{n:x}-{i} x\r\n")),
        reads: true,
    },
    Flood {
        name: "unknown listeners",
        to_operator: false,
        burst: |n| format!("OPEN {n:016x} {n:016x} c=name-{n:x},d=1900\r\n"),
        reads: true,
    },
    Flood {
        name: "ever new fields",
        to_operator: false,
        burst: |n| format!("OPEN {n:016x} {n:016x} c=low,d=1,g={n:016x},name-{n:x}=1\r\n"),
        reads: true,
    },
    Flood {
        name: "messages of a session",
        to_operator: false,
        burst: |n| match n {
            0 => "OPEN 00000000000f0001 00000000000f0001 c=low,d=1900\r\n".to_string(),
            _ => "m\r\n".repeat(2_000),
        },
        reads: true,
    },
    Flood {
        name: "messages of a session, unread",
        to_operator: false,
        burst: |n| match n {
            0 => "OPEN 00000000000f0002 00000000000f0002 c=low,d=1900\r\n".to_string(),
            _ => "m\r\n".repeat(2_000),
        },
        reads: false,
    },
    Flood {
        name: "operator's calls of ever new paths",
        to_operator: true,
        burst: |n| format!("GET /v1/name-{n:x} HTTP/1.1\r\nhost: relay\r\nname-{n:x}: 1\r\n\r\n"),
        reads: true,
    },
];

/// Sends bursts until `stop`; returns their number.
fn flood(address: SocketAddr, flood: &Flood, stop: &AtomicBool) -> usize {
    let (mut count, mut stream, mut on_connection) = (0, None::<TcpStream>, 0);
    let mut answer = [0; 65_536];
    while !stop.load(Ordering::Relaxed) {
        let Some(open) = &mut stream else {
            stream = TcpStream::connect(address).ok();
            if let Some(stream) = &stream {
                stream.set_write_timeout(Some(Duration::from_millis(50))).expect("set a timeout");
                stream.set_read_timeout(Some(Duration::from_millis(5))).expect("set a timeout");
            }
            on_connection = 0;
            continue;
        };
        // A session's first line starts each connection; the other floods only count.
        let burst = (flood.burst)(if flood.name.starts_with("messages") { on_connection } else { count });
        let is_sent = match open.write_all(burst.as_bytes()) {
            Ok(()) => true,
            Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        (count, on_connection) = (count + 1, on_connection + 1);
        let is_open = !flood.reads
            || match open.read(&mut answer) {
                Ok(read) => read > 0,
                Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
            };
        if !is_sent || !is_open {
            stream = None;
        }
    }
    count
}

/// Guards other clients against one that sends small or unsound requests at full speed, also under ever new
/// names: they get their answers in time, and the memory does not grow.
#[test]
fn flood_of_one_client_does_not_delay_others() {
    for kind in &FLOODS {
        let (config, relay, _backend) = start("flood");
        let address = if kind.to_operator { relay.operator_address } else { config.listen_address };
        let stop = AtomicBool::new(false);
        let (mut times, mut failed, mut half_memory, mut bursts) = (Vec::new(), 0, 0, 0);
        std::thread::scope(|scope| {
            let flooding = scope.spawn(|| flood(address, kind, &stop));
            let started_at = Instant::now();
            while started_at.elapsed() < FLOOD_TIME {
                if half_memory == 0 && started_at.elapsed() > FLOOD_TIME / 2 {
                    half_memory = status_kb(&relay, "VmRSS:");
                }
                let asked_at = Instant::now();
                let mut client = Client::open(config.listen_address, "low");
                match client.as_mut().is_ok_and(Client::echoes) {
                    true => times.push(asked_at.elapsed()),
                    false => failed += 1,
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            stop.store(true, Ordering::Relaxed);
            bursts = flooding.join().expect("join the flooding client");
        });
        times.sort();
        let p99 = times[times.len() * 99 / 100];
        let (memory, peak) = (status_kb(&relay, "VmRSS:"), status_kb(&relay, "VmHWM:"));
        println!(
            "{}: {bursts} bursts; others: {} answered, {failed} failed, p99 {p99:?}; memory {half_memory} kB \
             at half, {memory} kB at the end, peak {peak} kB",
            kind.name,
            times.len()
        );
        assert_eq!(failed, 0, "{}: clients without an answer", kind.name);
        assert!(p99 < HANDSHAKE_TARGET, "{}: p99 of other clients {p99:?}", kind.name);
        assert!(peak < MEMORY_KB, "{}: peak memory {peak} kB", kind.name);
        assert!(memory <= half_memory + MAX_GROWTH_KB, "{}: {half_memory} kB, then {memory} kB", kind.name);
    }
}
