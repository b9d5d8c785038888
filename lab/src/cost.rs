//! What one relay costs: CPU for an open, for a line there and back, at rest, and memory a session, at some
//! numbers of open sessions. One relay process, emulated servers and plain clients on loopback; only the
//! relay's own CPU time is counted, as the system does.
use crate::relays::{Process, Program};
use crate::sockets::{place, serve_fleet, write_config};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::clients::mix;
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::lines::{write, Lines};
use hallrelay_emulator::net::{client, endpoint_addresses, free_port, Clock, Host};
use serde::Serialize;
use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub sessions: usize,
    /// Microseconds of relay CPU for a session's opening and end, beside those that stay.
    pub open_us: f64,
    /// Milliseconds from the first line to `UP` of these, in the middle and at the 99th percentile.
    pub wait_ms: [f64; 2],
    /// Microseconds of relay CPU for a line there and its answer back.
    pub line_us: f64,
    /// Part of a core that the relay takes while nothing happens.
    pub idle: f64,
    /// Kilobytes of resident memory a session, over those of the relay with none.
    pub memory_kb: f64,
}

const DAY: &str = r#"
name = "cost"
length_s = 3600
[relays]
count = 1
[servers]
per_core = 1000
cap_per_core = 1000
setup_ms = 0.01
probe_ms = 0.01
tells_load = false
tells_delay = false
group_cost = 0
[[servers.kind]]
name = "wide"
count = 100
cores = 16
speed = 1.0
[[listener]]
name = "one"
share = 1
utility = 1
handshake_target_ms = 2000
dial_timeout_ms = 10000
message_target_ms = 200
load = 0.01
life_s = 3600
[load]
rate = 0
"#;

/// Sessions that open, and lines that are on their way, at once.
const AT_ONCE: usize = 32;

struct Open {
    stream: TcpStream,
    lines: Lines,
}

async fn open(addr: SocketAddr, mark: u64) -> Result<(Open, Duration), String> {
    let began = Instant::now();
    let told = |e: std::io::Error| format!("a client cannot connect: {e}");
    let stream = TcpStream::connect(addr).await.map_err(told)?;
    _ = stream.set_nodelay(true);
    let mut lines = Lines::default();
    let line = format!("OPEN {mark:016x} {:016x} c=one,d=10000\r\n", mix(mark));
    if !write(&stream, line.as_bytes()).await {
        return Err("the relay does not take a line".to_string());
    }
    match lines.next(&stream).await {
        Ok(answer) if answer.starts_with("UP") => Ok((Open { stream, lines }, began.elapsed())),
        other => Err(format!("a session is not taken: {other:?}")),
    }
}

/// Opens so many sessions, `AT_ONCE` at a time.
async fn open_all(addr: SocketAddr, from: u64, count: usize) -> Result<Vec<(Open, Duration)>, String> {
    let (next, mut tasks) = (Rc::new(Cell::new(0usize)), Vec::new());
    for _ in 0..AT_ONCE.min(count) {
        let next = next.clone();
        tasks.push(tokio::task::spawn_local(async move {
            let mut opened = Vec::new();
            while next.get() < count {
                let i = next.get();
                next.set(i + 1);
                opened.push(open(addr, mix(from + i as u64) | 1).await?);
            }
            Ok::<_, String>(opened)
        }));
    }
    let mut all = Vec::with_capacity(count);
    for task in tasks {
        all.extend(task.await.map_err(|e| e.to_string())??);
    }
    Ok(all)
}

async fn say_all(sessions: Vec<(Open, Duration)>, rounds: usize) -> Result<Vec<(Open, Duration)>, String> {
    let (mut parts, mut tasks): (Vec<Vec<_>>, _) = ((0..AT_ONCE).map(|_| Vec::new()).collect(), Vec::new());
    sessions.into_iter().enumerate().for_each(|(i, one)| parts[i % AT_ONCE].push(one));
    for mut part in parts {
        tasks.push(tokio::task::spawn_local(async move {
            for _ in 0..rounds {
                for (one, _) in &mut part {
                    // As long as what such a client says.
                    let said =
                        write(&one.stream, b"a line as long as messages of such clients are\r\n").await;
                    let answer = one.lines.next(&one.stream).await;
                    if !said || answer.is_err() {
                        return Err("an open session ended".to_string());
                    }
                }
            }
            Ok(part)
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await.map_err(|e| e.to_string())??);
    }
    Ok(all)
}

/// Nanoseconds that the relay was on a processor.
fn cpu(pid: u32) -> Result<f64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).map_err(|e| e.to_string())?;
    text.split_whitespace().next().and_then(|t| t.parse().ok()).ok_or("no CPU time is told".to_string())
}

fn resident_kb(pid: u32) -> Result<f64, String> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(|e| e.to_string())?;
    let line = text.lines().find(|l| l.starts_with("VmRSS:")).ok_or("no memory is told")?;
    line.split_whitespace().nth(1).and_then(|t| t.parse().ok()).ok_or("no memory is told".to_string())
}

/// Measures one number of sessions, with a relay of its own.
pub async fn measure(sessions: usize, opens: usize, program: &Program, out: &Path) -> Result<Row, String> {
    let mut s: Scenario = scenario::parse("cost", DAY).map_err(|e| e.to_string())?;
    // What is wanted, and as much again as its own limits take off.
    s.relays.sockets = ((sessions + opens.min(2 * AT_ONCE) + 64) * 5 / 2).max(1024);
    (s.load.standing, s.load.rate.0) = (sessions, 0.0);
    // Two a session here, none to spare for returns: this load is as even as can be.
    crate::sockets::enough_descriptors(&s, 2 * (sessions + AT_ONCE) as u64 + 400)?;
    s.load.standing = 0;
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let listen = free_port(Ipv4Addr::new(127, 8, 0, 1))?;
    let clock = Clock::anchored();
    let host = Host::new(
        Day::new(&s, s.seed, clock.now()),
        clock,
        endpoint_addresses(1, s.server_count())?,
        vec![listen],
    );
    host.accepts_foreign_clients.set(true);
    serve_fleet(&host).await?;
    let config = out.join("cost.json");
    write_config(&s, &place(0, s.seed, &host), &host, &config)?;
    let models = tokio::task::spawn_local(host.clone().run());
    let mut relay = Process::start(program, &config, &out.join("cost.log"), None)?;
    let began = Instant::now();
    while !client::ping(listen).await {
        if began.elapsed() > Duration::from_secs(10) || relay.ended().is_some() {
            return Err("the relay does not answer PING".to_string());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    // What first touches cost is not a session's.
    drop(open_all(listen, 1 << 40, 100).await?);
    tokio::time::sleep(Duration::from_millis(300)).await;
    let empty = resident_kb(relay.pid)?;
    let held = open_all(listen, 1, sessions).await?;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let memory_kb = (resident_kb(relay.pid)? - empty) / sessions as f64;

    const REST: Duration = Duration::from_secs(2);
    let before = cpu(relay.pid)?;
    tokio::time::sleep(REST).await;
    let idle = (cpu(relay.pid)? - before) / REST.as_nanos() as f64;

    let rounds = (20_000 / sessions).max(2);
    let before = cpu(relay.pid)?;
    let held = say_all(held, rounds).await?;
    let line_us = (cpu(relay.pid)? - before) / 1e3 / (rounds * sessions) as f64;

    let (before, mut waits) = (cpu(relay.pid)?, Vec::with_capacity(opens));
    for batch in 0..opens.div_ceil(AT_ONCE) {
        let opened = open_all(listen, (1 << 41) + (batch * AT_ONCE) as u64, AT_ONCE).await?;
        waits.extend(opened.iter().map(|(_, took)| took.as_secs_f64() * 1e3));
        drop(opened);
    }
    tokio::time::sleep(Duration::from_millis(300)).await;
    // What it does at rest is not theirs; it is little.
    let open_us = (cpu(relay.pid)? - before) / 1e3 / waits.len() as f64;
    waits.sort_by(f64::total_cmp);
    let wait_ms = [0.5, 0.99].map(|part| waits[((waits.len() - 1) as f64 * part) as usize]);
    relay.kill().await;
    models.abort();
    drop(held);
    Ok(Row { sessions, open_us, wait_ms, line_us, idle, memory_kb })
}
