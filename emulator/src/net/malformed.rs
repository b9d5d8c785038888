//! Clients that speak no protocol. Each is owed an error or an end within 3 s; it reads what it is sent.
use super::lines::{self, Lines};
use super::Shared;
use crate::random::Random;
use hallrelay_balancer::types::Micros;
use hallrelay_config::scenario::BadSort;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Within this they are owed an end; those that send megabytes first have twice as long.
const OWED: Duration = Duration::from_secs(3);

/// Sends them as the scenario says, till the day is over.
pub async fn run(host: Shared) {
    let (rate, sorts, begin, end, seed) = {
        let day = host.day.borrow();
        (day.scenario.bad.rate.0, day.scenario.bad.sorts.clone(), day.begin, day.end, day.seed)
    };
    if rate <= 0.0 || sorts.is_empty() {
        return;
    }
    let mut rng = Random::new(seed, 6);
    let mut at = begin;
    // Those that come in the last moments would not be seen to their end.
    while at + 7_000_000 < end {
        at += rng.exponential(1e6 / rate) as Micros;
        tokio::time::sleep_until(host.clock.at(at)).await;
        let sort = sorts[rng.below(sorts.len())];
        let relay = rng.below(host.relays.borrow().len());
        tokio::task::spawn_local(one(sort, relay, rng.bits(), host.clone()));
    }
}

async fn one(sort: BadSort, relay: usize, draw: u64, host: Shared) {
    let addr = host.relays.borrow()[relay];
    // A relay that is down owes nothing.
    let Ok(Ok(stream)) = timeout(OWED, TcpStream::connect(addr)).await else { return };
    host.malformed_clients.borrow_mut().came += 1;
    let owed = if sort == BadSort::Huge { OWED * 2 } else { OWED };
    let ended = timeout(owed, play(sort, draw, &stream, &host)).await.is_ok();
    let mut figures = host.malformed_clients.borrow_mut();
    if ended {
        figures.answered += 1;
    } else {
        figures.left_waiting += 1;
    }
}

fn line(mark: u64, listener: &str, wait: &str) -> String {
    format!("OPEN {mark:016x} {:016x} c={listener},d={wait}\r\n", mark | 1)
}

/// Returns as the relay has answered or ended it.
async fn play(sort: BadSort, draw: u64, stream: &TcpStream, host: &Shared) {
    let listener = host.day.borrow().scenario.listeners[0].name.clone();
    let good = line(draw, &listener, "1000");
    let sent = match sort {
        BadSort::Noise => vec![0xff, 0x00, 0x80, b'\n', b'\r', b'\n', 0xfe, b'\r', b'\n'],
        BadSort::Endless => vec![b'x'; 64 << 10],
        BadSort::Huge => format!("OPEN {draw:016x} 0000000000000001 c={}", "y".repeat(4 << 20)).into_bytes(),
        BadSort::NoListener => line(draw, "no-such-listener", "1000").into_bytes(),
        BadSort::OddTime => {
            let wait = ["soon", "-5", "99999999999999999999", "1e9"][draw as usize % 4];
            line(draw, &listener, wait).into_bytes()
        }
        BadSort::NoMark => format!("OPEN c={listener},d=1000\r\n").into_bytes(),
        BadSort::OpenMark => {
            let open = host.asks.borrow().keys().next().copied().unwrap_or(draw);
            line(open, "no-such-listener", "1000").into_bytes()
        }
        BadSort::Half => good.as_bytes()[..good.len() / 2].to_vec(),
        BadSort::Crowd => good.repeat(300).into_bytes(),
        BadSort::Again => line(draw, "no-such-listener", "1000").into_bytes(),
        BadSort::Mute => Vec::new(),
    };
    if sort == BadSort::Half {
        // It closes itself: nothing is owed.
        _ = lines::write(stream, &sent).await;
        return;
    }
    let mut read = Lines::default();
    tokio::select! {
        biased;
        _ = read.next(stream) => {}
        () = async {
            if lines::write(stream, &sent).await {
                std::future::pending::<()>().await;
            }
        } => {}
    }
    if sort == BadSort::Again {
        // The same again, as soon as it is turned away; each of these is owed its end as well.
        for _ in 0..5 {
            let addr = stream.peer_addr();
            let Ok(addr) = addr else { return };
            let Ok(next) = TcpStream::connect(addr).await else { return };
            _ = lines::write(&next, &sent).await;
            _ = Lines::default().next(&next).await;
        }
    }
}
