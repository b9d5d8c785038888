//! Backends that hang, backends whose connections come up late, and backends that reset, all at once: each
//! session has an answer when its time is up.
use crate::backend::{fill, narrow, Backend, Behaviour};
use crate::common::{listener, number, until, Client, Miss, Site};
use crate::list_service::{entry, whole};
use serde_json::json;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What a client allows. The system tries a dropped connect again after 1 s: it comes up late within this.
const TIME: Duration = Duration::from_millis(1_900);
/// An answer that is later than this behind that is none.
const LATE: Duration = Duration::from_millis(500);
const CLIENTS: u32 = 300;
/// One comes after the other so fast.
const EVERY: Duration = Duration::from_millis(10);
/// The backend with no room takes up one connection so often: others come up late, or not at all.
const ROOM_EVERY: Duration = Duration::from_millis(150);
const LISTENERS: [&str; 3] = ["low", "once", "referenced"];

/// What became of a session, and when, counted from its line.
type Outcome = (Result<String, Miss>, Duration);

fn session(listen: SocketAddr, name: &str) -> Outcome {
    let mark = number();
    let mut client = Client::connect(listen).expect("it listens");
    let sent = Instant::now();
    client.say(&format!("OPEN {mark:016x} {mark:016x} c={name},d={}", TIME.as_millis()));
    let heard = client.hear();
    (heard, sent.elapsed())
}

fn site(name: &str, backends: &[SocketAddr]) -> Site {
    let mut site = Site::new(&format!("short-answers-{name}"));
    let entries: Vec<_> =
        backends.iter().enumerate().map(|(i, at)| entry(&format!("s-{i}"), *at, "up")).collect();
    site.text["known"] = whole(1, &entries);
    site.text["limits"]["sockets"] = json!(4096);
    let settings = &mut site.text["settings"];
    settings["Listeners"] = json!([
        listener("low", 1.0, "retryable"),
        listener("once", 5.0, "fragile"),
        listener("referenced", 5.0, "dedup")
    ]);
    settings["FamilyInfo"]["MessageAim"] = json!([60, 60, 60]);
    for one in settings["Listeners"].as_array_mut().expect("listeners") {
        one["DialTimeout"] = json!(TIME.as_millis() as u64);
        one["Window"] = json!(1_500);
    }
    // Connects are waited for nearly as long as clients wait.
    settings["Ceilings"]["ConnectTimeout"] = json!(1_800);
    settings["Rules"]["DrainGrace"] = json!(3_000);
    site
}

/// A backend whose connections come up late: it takes up one now and then, and hangs.
struct Late {
    place: SocketAddr,
    ended: Arc<AtomicBool>,
    taken: Arc<AtomicUsize>,
}

impl Late {
    fn begin() -> Late {
        let listener = narrow();
        let place = listener.local_addr().expect("its address");
        let filling = fill(place);
        let (ended, taken) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (done, count) = (ended.clone(), taken.clone());
        std::thread::spawn(move || {
            let mut held: Vec<TcpStream> = Vec::new();
            while !done.load(Ordering::SeqCst) {
                std::thread::sleep(ROOM_EVERY);
                held.extend(listener.accept().map(|(stream, _)| stream));
                // Those that filled it are no dials.
                count.store(held.len().saturating_sub(filling.len()), Ordering::SeqCst);
            }
        });
        Late { place, ended, taken }
    }
}

impl Drop for Late {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

fn every_session_is_answered(name: &str, one_serves: bool) {
    let (hanging, resetting) = (Backend::begin(Behaviour::Hangs), Backend::begin(Behaviour::Resets));
    let (late, serving) = (Late::begin(), Backend::begin(Behaviour::Serves));
    let mut places = vec![hanging.place, resetting.place, late.place];
    places.extend(one_serves.then_some(serving.place));
    let mut site = site(name, &places);
    let relay = site.start();
    relay.until_ready();
    let listen = site.listen;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|i| {
            std::thread::sleep(EVERY);
            std::thread::spawn(move || session(listen, LISTENERS[i as usize % LISTENERS.len()]))
        })
        .collect();
    let outcomes: Vec<Outcome> = clients.into_iter().map(|one| one.join().expect("it ends")).collect();
    let (mut words, mut without, mut latest) = (BTreeMap::new(), Vec::new(), Duration::ZERO);
    for (heard, after) in outcomes {
        latest = latest.max(after);
        match heard {
            Ok(line) if after <= TIME + LATE => *words.entry(line).or_insert(0) += 1,
            other => without.push((other, after)),
        }
    }
    let dialled = [hanging.lines().len(), resetting.lines().len(), late.taken.load(Ordering::SeqCst)];
    println!("{name}: {words:?}, the latest after {latest:?}; {} without an answer", without.len());
    println!("{name}: dials that hung, were reset, came up late: {dialled:?}");
    assert!(without.is_empty(), "of {CLIENTS}: {without:?}");
    assert!(words.keys().all(|word| ["UP r1", "BUSY", "FAIL"].contains(&word.as_str())), "{words:?}");
    assert_eq!(words.contains_key("UP r1"), one_serves, "{words:?}");
    assert!(dialled.iter().all(|count| *count > 0), "each of them was dialled, or this tests nothing");
    // The relay's own count: each that was taken has one outcome.
    let count = |outcome: &str| -> u64 {
        LISTENERS.iter().filter_map(|name| relay.figure(&format!("{outcome}.{name}"))).sum()
    };
    until("none waits", || {
        ["passed", "dropped", "bad_gateway"].map(count).iter().sum::<u64>() == u64::from(CLIENTS)
    });
}

#[test]
fn every_session_has_an_answer_in_time_beside_backends_that_hang_come_late_and_reset() {
    every_session_is_answered("beside", true);
}

#[test]
fn every_session_has_an_answer_in_time_where_all_backends_hang_come_late_or_reset() {
    every_session_is_answered("alone", false);
}
