//! The cost of one relay: CPU for opening a session, for a line and its answer, at rest, and memory a
//! session, at some numbers of open sessions. One relay process, emulated servers and plain clients on
//! loopback; only the relay's own CPU time is counted.
mod sessions;
mod usage;

use crate::error::LabError;
use crate::relay_process::{Process, Program};
use crate::sockets::{raise_descriptor_limit, relay_place, serve_fleet, write_config, START_TIMEOUT};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::{client, free_port, places, Clock, Host};
use serde::Serialize;
use sessions::{open_all, send_lines, CONCURRENCY};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};
use usage::{cpu_ns, resident_kb};

/// Why a measurement of costs failed.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// A client can't connect to the relay.
    #[error("a client cannot connect: {0}")]
    Connect(#[source] std::io::Error),
    /// The relay does not read a client's first line.
    #[error("the relay does not take a line")]
    LineNotTaken,
    /// The relay's answer is not `UP`.
    #[error("a session is not taken: {answer}")]
    NotEstablished {
        /// The answer.
        answer: String,
    },
    /// An open session ended.
    #[error("an open session ended")]
    SessionEnded,
    /// A client panicked.
    #[error(transparent)]
    Client(#[from] tokio::task::JoinError),
    /// What the system counts of the relay can't be read.
    #[error(transparent)]
    Usage(std::io::Error),
    /// The system counts no CPU time of the relay.
    #[error("no CPU time is told")]
    NoCpuTime,
    /// The system counts no memory of the relay.
    #[error("no memory is told")]
    NoMemory,
    /// The relay does not serve in time.
    #[error("the relay does not answer PING")]
    Unresponsive,
}

/// Costs at one number of open sessions. Keys of its JSON are fixed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Sessions that stay open.
    pub sessions: usize,
    /// Microseconds of relay CPU for a session's opening and end, beside those that stay.
    pub open_us: f64,
    /// Milliseconds from the first line to `UP` of these, median and 99th percentile.
    pub wait_ms: [f64; 2],
    /// Microseconds of relay CPU for a line there and its answer back.
    pub line_us: f64,
    /// Part of a core that the relay uses while nothing happens.
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

/// Numbers of the first client of each set, so that no two have the same mark.
const LASTING: u64 = 1;
const WARM_UP: u64 = 1 << 40;
const SHORT: u64 = 1 << 41;

/// Sessions that are opened and closed before anything is counted.
const WARM_UP_SESSIONS: usize = 100;
/// Lines sent over all sessions together, about.
const LINES: usize = 20_000;
/// Time for what was begun to end, before a count.
const SETTLE_TIME: Duration = Duration::from_millis(300);
const SETTLE_TIME_OF_ALL: Duration = Duration::from_millis(500);
/// Time over which the relay is observed at rest.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Measures one number of open sessions, with a relay of its own; `opens` more are opened and closed.
///
/// # Errors
/// Where a port, descriptors or the relay's counts can't be had, or the relay does not serve.
pub async fn measure(sessions: usize, opens: usize, program: &Program, out: &Path) -> Result<Row, LabError> {
    let scenario = scenario(sessions, opens)?;
    std::fs::create_dir_all(out).map_err(LabError::file(out))?;
    let listen = free_port(Ipv4Addr::new(127, 8, 0, 1)).map_err(LabError::emulator)?;
    let clock = Clock::anchored();
    let day = Day::new(&scenario, scenario.seed, clock.now());
    let addresses = places(1, scenario.server_count()).map_err(LabError::emulator)?;
    let host = Host::new(day, clock, addresses, vec![listen]);
    host.open_house.set(true);
    serve_fleet(&host).await?;
    let config = out.join("cost.json");
    write_config(&scenario, &relay_place(0, scenario.seed, &host), &host, &config)?;
    let models = tokio::task::spawn_local(host.clone().run());
    let mut relay = Process::start(program, &config, &out.join("cost.log"), None)?;
    wait_until_serving(&mut relay, listen).await?;
    let row = measure_relay(&relay, listen, sessions, opens).await?;
    relay.kill().await;
    models.abort();
    Ok(row)
}

/// The scenario of all measurements; raises the limit of descriptors for it.
fn scenario(sessions: usize, opens: usize) -> Result<Scenario, LabError> {
    let mut scenario = scenario::parse("cost", DAY)?;
    // What is needed, and as much again as the relay's own limits take off.
    scenario.relays.sockets = ((sessions + opens.min(2 * CONCURRENCY) + 64) * 5 / 2).max(1024);
    (scenario.load.standing, scenario.load.rate.0) = (sessions, 0.0);
    // Two a session and none to spare for returns: this load is even.
    raise_descriptor_limit(&scenario, 2 * (sessions + CONCURRENCY) as u64 + 400)?;
    scenario.load.standing = 0;
    Ok(scenario)
}

async fn wait_until_serving(relay: &mut Process, listen: SocketAddr) -> Result<(), CostError> {
    let started_at = Instant::now();
    while !client::ping(listen).await {
        if started_at.elapsed() > START_TIMEOUT || relay.exit_status().is_some() {
            return Err(CostError::Unresponsive);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

async fn measure_relay(
    relay: &Process,
    listen: SocketAddr,
    sessions: usize,
    opens: usize,
) -> Result<Row, CostError> {
    // What only the first sessions cost is not counted.
    drop(open_all(listen, WARM_UP, WARM_UP_SESSIONS).await?);
    tokio::time::sleep(SETTLE_TIME).await;
    let empty_kb = resident_kb(relay.pid)?;
    let lasting = open_all(listen, LASTING, sessions).await?;
    tokio::time::sleep(SETTLE_TIME_OF_ALL).await;
    let memory_kb = (resident_kb(relay.pid)? - empty_kb) / sessions as f64;

    let before = cpu_ns(relay.pid)?;
    tokio::time::sleep(IDLE_TIME).await;
    let idle = (cpu_ns(relay.pid)? - before) / IDLE_TIME.as_nanos() as f64;

    let rounds = (LINES / sessions).max(2);
    let before = cpu_ns(relay.pid)?;
    let lasting = send_lines(lasting, rounds).await?;
    let line_us = (cpu_ns(relay.pid)? - before) / 1e3 / (rounds * sessions) as f64;

    let mut waits_ms = Vec::with_capacity(opens);
    let before = cpu_ns(relay.pid)?;
    for batch in 0..opens.div_ceil(CONCURRENCY) {
        let opened = open_all(listen, SHORT + (batch * CONCURRENCY) as u64, CONCURRENCY).await?;
        waits_ms.extend(opened.iter().map(|session| session.wait.as_secs_f64() * 1e3));
        drop(opened);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    // With what it uses at rest, which is little.
    let open_us = (cpu_ns(relay.pid)? - before) / 1e3 / waits_ms.len() as f64;
    waits_ms.sort_by(f64::total_cmp);
    let wait_ms = [0.5, 0.99].map(|part| waits_ms[((waits_ms.len() - 1) as f64 * part) as usize]);
    drop(lasting);
    Ok(Row { sessions, open_us, wait_ms, line_us, idle, memory_kb })
}
