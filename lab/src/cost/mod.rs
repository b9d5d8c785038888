//! Measures the cost of one relay at several numbers of open sessions: the CPU time for opening a session,
//! the CPU time for a line and its answer, the CPU time when idle, and the memory per session. One relay
//! process runs with emulated servers and simple clients on loopback. Only the usage of the relay process is
//! counted.
mod sessions;
mod usage;

use crate::error::LabError;
use crate::relay_process::{Process, Program};
use crate::sockets::{raise_descriptor_limit, relay_placement, serve_fleet, write_config, START_TIMEOUT};
use hallrelay_config::scenario::{self, Scenario};
use hallrelay_emulator::day::Day;
use hallrelay_emulator::net::{client, endpoint_addresses, free_port, Clock, Host};
use serde::Serialize;
use sessions::{open_all, send_lines, CONCURRENCY};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::{Duration, Instant};
use usage::{cpu_ns, resident_kb};

/// The reason why a cost measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum CostError {
    /// A client can't connect to the relay.
    #[error("a client cannot connect to the relay: {0}")]
    Connect(#[source] std::io::Error),
    /// The OPEN line can't be written.
    #[error("cannot write the OPEN line: the relay closed the connection")]
    OpenNotWritten,
    /// The relay's answer to an OPEN line is not `UP`.
    #[error("expected UP in answer to an OPEN line, got {answer}")]
    NotEstablished {
        /// The answer, or the reason why there is none.
        answer: String,
    },
    /// A session ended during the measurement.
    #[error("a session ended while lines were sent on it, so the cost per line is unknown")]
    SessionEnded,
    /// A client panicked.
    #[error(transparent)]
    Client(#[from] tokio::task::JoinError),
    /// The CPU time or memory of the relay process can't be read.
    #[error("cannot read the usage of the relay process from /proc: {0}")]
    Usage(#[source] std::io::Error),
    /// The system reports no CPU time for the relay process.
    #[error("/proc reports no CPU time for the relay process")]
    NoCpuTime,
    /// The system reports no resident memory for the relay process.
    #[error("/proc reports no resident memory (VmRSS) for the relay process")]
    NoMemory,
    /// The relay does not serve in time.
    #[error("the relay process ended or did not answer PING within {} s", START_TIMEOUT.as_secs())]
    Unresponsive,
}

/// Costs at one number of open sessions. The keys of its JSON are fixed.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Sessions that stay open.
    pub sessions: usize,
    /// Relay CPU time in microseconds for opening and closing one more session.
    pub open_us: f64,
    /// Milliseconds from connecting to `UP` for these additional sessions: median and 99th percentile.
    pub wait_ms: [f64; 2],
    /// Relay CPU time in microseconds for a line and its answer.
    pub line_us: f64,
    /// Fraction of a core that the relay uses while the sessions are open and no lines are sent.
    pub idle: f64,
    /// Kilobytes of resident memory per session, in addition to the memory of a relay without sessions.
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

/// Number of the first client of each set of clients: those whose sessions stay open, those that only warm up
/// the relay, and those whose sessions are closed immediately. The sets do not overlap, so that all marks
/// differ.
const FIRST_LASTING_CLIENT: u64 = 1;
const FIRST_WARM_UP_CLIENT: u64 = 1 << 40;
const FIRST_SHORT_CLIENT: u64 = 1 << 41;

/// Sessions that are opened and closed before the measurement begins.
const WARM_UP_SESSIONS: usize = 100;
/// Approximate number of lines sent on all sessions together.
const LINES: usize = 20_000;
/// Delay before the usage is read, in which the relay finishes pending work.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Longer delay after the opening of all sessions that stay open.
const SETTLE_TIME_OF_ALL: Duration = Duration::from_millis(500);
/// Time for which the idle relay is measured.
const IDLE_TIME: Duration = Duration::from_secs(2);

/// Measures a new relay process with `sessions` sessions that stay open, and at least `opens` more that are
/// opened and closed.
///
/// # Errors
/// If no port or too few descriptors are available, the relay does not serve, or its usage can't be read.
pub async fn measure(sessions: usize, opens: usize, program: &Program, out: &Path) -> Result<Row, LabError> {
    let scenario = scenario(sessions, opens)?;
    std::fs::create_dir_all(out).map_err(LabError::file(out))?;
    let listen = free_port(Ipv4Addr::new(127, 8, 0, 1)).map_err(LabError::emulator)?;
    let clock = Clock::anchored();
    let day = Day::new(&scenario, scenario.seed, clock.now());
    let addresses = endpoint_addresses(1, scenario.server_count()).map_err(LabError::emulator)?;
    let host = Host::new(day, clock, addresses, vec![listen]);
    host.accepts_foreign_clients.set(true);
    serve_fleet(&host).await?;
    let config = out.join("cost.json");
    write_config(&scenario, &relay_placement(0, scenario.seed, &host), &host, &config)?;
    let models = tokio::task::spawn_local(host.clone().run());
    let mut relay = Process::start(program, &config, &out.join("cost.log"), None)?;
    wait_until_serving(&mut relay, listen).await?;
    let row = measure_relay(&relay, listen, sessions, opens).await?;
    relay.kill().await;
    models.abort();
    Ok(row)
}

/// The scenario of all measurements. Raises the limit of file descriptors as needed.
fn scenario(sessions: usize, opens: usize) -> Result<Scenario, LabError> {
    let mut scenario = scenario::parse("cost", DAY)?;
    // The relay can't use all of its sockets for sessions, because its own limits subtract some.
    scenario.relays.sockets = ((sessions + opens.min(2 * CONCURRENCY) + 64) * 5 / 2).max(1024);
    (scenario.load.standing, scenario.load.rate.0) = (sessions, 0.0);
    // Two descriptors per session, without a reserve for returning clients, because this load is constant.
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
    // Warm-up: costs that only the first sessions of a process cause are not counted.
    drop(open_all(listen, FIRST_WARM_UP_CLIENT, WARM_UP_SESSIONS).await?);
    tokio::time::sleep(SETTLE_TIME).await;
    let empty_kb = resident_kb(relay.pid)?;
    let lasting = open_all(listen, FIRST_LASTING_CLIENT, sessions).await?;
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
        let first = FIRST_SHORT_CLIENT + (batch * CONCURRENCY) as u64;
        let opened = open_all(listen, first, CONCURRENCY).await?;
        waits_ms.extend(opened.iter().map(|session| session.wait.as_secs_f64() * 1e3));
        drop(opened);
    }
    tokio::time::sleep(SETTLE_TIME).await;
    // This includes the CPU time of the idle relay, which is small.
    let open_us = (cpu_ns(relay.pid)? - before) / 1e3 / waits_ms.len() as f64;
    waits_ms.sort_by(f64::total_cmp);
    let wait_ms = [0.5, 0.99].map(|fraction| waits_ms[((waits_ms.len() - 1) as f64 * fraction) as usize]);
    drop(lasting);
    Ok(Row { sessions, open_us, wait_ms, line_us, idle, memory_kb })
}
