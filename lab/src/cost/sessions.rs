//! Clients of the cost measurement. They open sessions and send lines with limited concurrency.
use super::CostError;
use hallrelay_emulator::clients::mix;
use hallrelay_emulator::net::lines::{write, Lines};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Maximum number of sessions being opened, or of lines in flight, at the same time.
pub(super) const CONCURRENCY: usize = 32;

/// A message of typical length.
const LINE: &[u8] = b"a line as long as messages of such clients are\r\n";

/// An open session. Dropping it closes the connection.
pub(super) struct OpenSession {
    stream: TcpStream,
    lines: Lines,
    /// Time from connecting to `UP`.
    pub(super) wait: Duration,
}

async fn open(addr: SocketAddr, mark: u64) -> Result<OpenSession, CostError> {
    let started_at = Instant::now();
    let stream = TcpStream::connect(addr).await.map_err(CostError::Connect)?;
    _ = stream.set_nodelay(true);
    let mut lines = Lines::default();
    let line = format!("OPEN {mark:016x} {:016x} c=one,d=10000\r\n", mix(mark));
    if !write(&stream, line.as_bytes()).await {
        return Err(CostError::OpenNotWritten);
    }
    match lines.next(&stream).await {
        Ok(answer) if answer.starts_with("UP") => {
            Ok(OpenSession { stream, lines, wait: started_at.elapsed() })
        }
        other => Err(CostError::NotEstablished { answer: format!("{other:?}") }),
    }
}

/// Opens `count` sessions of clients with consecutive numbers from `first`, [`CONCURRENCY`] at a time.
pub(super) async fn open_all(
    addr: SocketAddr,
    first: u64,
    count: usize,
) -> Result<Vec<OpenSession>, CostError> {
    let next = Rc::new(Cell::new(0usize));
    let mut tasks = Vec::new();
    for _ in 0..CONCURRENCY.min(count) {
        let next = next.clone();
        tasks.push(tokio::task::spawn_local(async move {
            let mut opened = Vec::new();
            while next.get() < count {
                let i = next.get();
                next.set(i + 1);
                opened.push(open(addr, mix(first + i as u64) | 1).await?);
            }
            Ok::<_, CostError>(opened)
        }));
    }
    let mut all = Vec::with_capacity(count);
    for task in tasks {
        all.extend(task.await??);
    }
    Ok(all)
}

/// Sends a line on each session and waits for its answer, `rounds` times, with [`CONCURRENCY`] tasks.
pub(super) async fn send_lines(
    sessions: Vec<OpenSession>,
    rounds: usize,
) -> Result<Vec<OpenSession>, CostError> {
    let mut batches: Vec<Vec<OpenSession>> = (0..CONCURRENCY).map(|_| Vec::new()).collect();
    for (i, session) in sessions.into_iter().enumerate() {
        batches[i % CONCURRENCY].push(session);
    }
    let mut tasks = Vec::new();
    for mut batch in batches {
        tasks.push(tokio::task::spawn_local(async move {
            for _ in 0..rounds {
                for session in &mut batch {
                    let is_sent = write(&session.stream, LINE).await;
                    let answer = session.lines.next(&session.stream).await;
                    if !is_sent || answer.is_err() {
                        return Err(CostError::SessionEnded);
                    }
                }
            }
            Ok(batch)
        }));
    }
    let mut all = Vec::new();
    for task in tasks {
        all.extend(task.await??);
    }
    Ok(all)
}
