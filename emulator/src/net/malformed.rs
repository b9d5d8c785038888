//! Clients that send malformed input. Each of them reads what the relay sends, and must get an error or the
//! end of the connection in time.
use super::lines::{self, Lines};
use super::Shared;
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::BadSort;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time within which such a client must get an error or the end of the connection. Twice this time for
/// clients that send megabytes first.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Time before the end of the day from which no such client starts, since its answer might come too late.
const LAST_BEFORE_END: Micros = 7_000_000;
/// Random stream of these clients.
const RANDOM_STREAM: u64 = 6;
/// Number of further connections on which a client of the kind `Again` repeats its rejected line.
const REPEATS: usize = 5;

/// Starts these clients at the scenario's rate until the end of the day.
pub async fn run(host: Shared) {
    let (rate, kinds, begin, end, seed) = {
        let day = host.day.borrow();
        (day.scenario.bad.rate.0, day.scenario.bad.sorts.clone(), day.begin, day.end, day.seed)
    };
    if rate <= 0.0 || kinds.is_empty() {
        return;
    }
    let mut random = Random::new(seed, RANDOM_STREAM);
    let mut at = begin;
    while at + LAST_BEFORE_END < end {
        at += random.exponential(1e6 / rate) as Micros;
        tokio::time::sleep_until(host.clock.at(at)).await;
        let kind = kinds[random.below(kinds.len())];
        let relay = random.below(host.relays.borrow().len());
        tokio::task::spawn_local(run_client(kind, relay, random.bits(), host.clone()));
    }
}

async fn run_client(kind: BadSort, relay: usize, draw: u64, host: Shared) {
    let addr = host.relays.borrow()[relay];
    // A relay that is down does not have to answer.
    let Ok(Ok(stream)) = timeout(ANSWER_TIMEOUT, TcpStream::connect(addr)).await else { return };
    host.malformed_clients.borrow_mut().connected += 1;
    let limit = if kind == BadSort::Huge { ANSWER_TIMEOUT * 2 } else { ANSWER_TIMEOUT };
    let is_answered = timeout(limit, await_answer(kind, draw, &stream, &host)).await.is_ok();
    let mut counts = host.malformed_clients.borrow_mut();
    if is_answered {
        counts.answered += 1;
    } else {
        counts.unanswered += 1;
    }
}

fn first_line(mark: u64, listener: &str, timeout_ms: &str) -> String {
    format!("OPEN {mark:016x} {:016x} c={listener},d={timeout_ms}\r\n", mark | 1)
}

/// Input sent by a client of this kind.
fn bytes_to_send(kind: BadSort, draw: u64, host: &Shared) -> Vec<u8> {
    let listener = host.day.borrow().scenario.listeners[0].name.clone();
    let valid = first_line(draw, &listener, "1000");
    match kind {
        BadSort::Noise => vec![0xff, 0x00, 0x80, b'\n', b'\r', b'\n', 0xfe, b'\r', b'\n'],
        BadSort::Endless => vec![b'x'; 64 << 10],
        BadSort::Huge => format!("OPEN {draw:016x} 0000000000000001 c={}", "y".repeat(4 << 20)).into_bytes(),
        BadSort::NoListener | BadSort::Again => first_line(draw, "no-such-listener", "1000").into_bytes(),
        BadSort::OddTime => {
            let timeout_ms = ["soon", "-5", "99999999999999999999", "1e9"][draw as usize % 4];
            first_line(draw, &listener, timeout_ms).into_bytes()
        }
        BadSort::NoMark => format!("OPEN c={listener},d=1000\r\n").into_bytes(),
        BadSort::OpenMark => {
            let open = host.requests.borrow().keys().next().copied().unwrap_or(draw);
            first_line(open, "no-such-listener", "1000").into_bytes()
        }
        BadSort::Half => valid.as_bytes()[..valid.len() / 2].to_vec(),
        BadSort::Crowd => valid.repeat(300).into_bytes(),
        BadSort::Mute => Vec::new(),
    }
}

/// Returns when the relay has answered or has ended the connection.
async fn await_answer(kind: BadSort, draw: u64, stream: &TcpStream, host: &Shared) {
    let bytes = bytes_to_send(kind, draw, host);
    if kind == BadSort::Half {
        // This client closes the connection itself and expects no answer.
        _ = lines::write(stream, &bytes).await;
        return;
    }
    let mut lines = Lines::default();
    tokio::select! {
        biased;
        _ = lines.next(stream) => {}
        () = async {
            if lines::write(stream, &bytes).await {
                std::future::pending::<()>().await;
            }
        } => {}
    }
    if kind == BadSort::Again {
        repeat_rejected(stream, &bytes).await;
    }
}

/// Sends a rejected line again on new connections, each of which the relay must end as well.
async fn repeat_rejected(stream: &TcpStream, bytes: &[u8]) {
    for _ in 0..REPEATS {
        let Ok(addr) = stream.peer_addr() else { return };
        let Ok(next) = TcpStream::connect(addr).await else { return };
        _ = lines::write(&next, bytes).await;
        _ = Lines::default().next(&next).await;
    }
}
