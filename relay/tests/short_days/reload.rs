//! A new place of discovery (SIGHUP) with a drain right behind it: whichever place tells of the drain, no new
//! session goes to the draining backend later than the grace after that.
use crate::backend::{fill, narrow, Backend, Behaviour};
use crate::common::{load::Load, until, within, Client, Relay, Site};
use crate::list_service::{changes, entry, whole, Asks, Call, ListService};
use crate::sockets::is_connecting_to;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Long, since a busy machine has to take in the list within it.
const GRACE: Duration = Duration::from_millis(2_000);
const SESSIONS_AFTER_GRACE: usize = 40;

/// A relay that watches an old place, and is to be moved to a new one.
struct Moving {
    site: Site,
    relay: Relay,
    old: ListService,
    old_watch: Call,
    new: ListService,
}

fn moving(name: &str, known: &[Value], grace: Duration) -> Moving {
    // Long, so that the grace alone bounds a connect.
    const CONNECT_TIMEOUT_MS: u64 = 4_000;
    let (old, new) = (ListService::begin(), ListService::begin());
    let mut site = Site::new(&format!("short-{name}"));
    site.text["discovery"] = json!(old.address().to_string());
    site.text["known"] = whole(1, known);
    site.text["settings"]["Rules"]["DrainGrace"] = json!(grace.as_millis() as u64);
    site.text["settings"]["Ceilings"]["ConnectTimeout"] = json!(CONNECT_TIMEOUT_MS);
    let relay = site.start();
    let mut old_watch = old.next_call();
    assert_eq!(old_watch.asks, Asks::ChangesSince(1));
    old_watch.begin_answer();
    old_watch.send_empty_line();
    relay.until_ready();
    Moving { site, relay, old, old_watch, new }
}

impl Moving {
    /// Stands still with SIGHUP pending, so that what the test does before `goes_on` lies there with it.
    fn is_told_to_reload(&self) {
        let mut text = self.site.text.clone();
        text["discovery"] = json!(self.new.address().to_string());
        std::fs::write(&self.relay.path, text.to_string()).expect("a configuration");
        self.relay.signal("STOP");
        let stat = format!("/proc/{}/stat", self.relay.child.id());
        until("it stands still", || {
            let stat = std::fs::read_to_string(&stat).expect("it is there");
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        });
        self.relay.signal("HUP");
    }

    fn goes_on(&self) {
        self.relay.signal("CONT");
    }

    /// The drain comes with a backend more, whose count shows that it was taken in.
    fn until_taken_in(&self, told: Instant, backends: u64) {
        let grace = GRACE.saturating_sub(told.elapsed());
        within(grace, "the drain is taken in", || self.relay.figure("known_backends") == Some(backends));
    }
}

/// Three backends: the one that is to drain, one that stays, and one that joins with the drain.
struct Backends([Backend; 3]);

impl Backends {
    fn begin() -> Backends {
        Backends(std::array::from_fn(|_| Backend::begin(Behaviour::Serves)))
    }

    fn entry(&self, at: usize, lifecycle: &str) -> Value {
        entry(&format!("s-{at}"), self.0[at].place, lifecycle)
    }

    fn before(&self) -> [Value; 2] {
        [self.entry(0, "up"), self.entry(1, "up")]
    }

    fn drained(&self) -> [Value; 3] {
        [self.entry(0, "draining"), self.entry(1, "up"), self.entry(2, "up")]
    }
}

/// Who tells of the drain.
#[derive(Clone, Copy, PartialEq)]
enum Teller {
    /// The old place, while the new one says nothing.
    OldPlace,
    /// The new place, in its whole list.
    NewPlaceAtOnce,
    /// The new place, as the first change after its whole list.
    NewPlaceNext,
}

fn a_drain_right_behind_a_reload(name: &str, teller: Teller) {
    let backends = Backends::begin();
    let mut m = moving(name, &backends.before(), GRACE);
    let load = Load::begin(vec![m.site.listen]);
    until("the backend that is to drain is used", || !backends.0[0].lines().is_empty());
    m.is_told_to_reload();
    if teller == Teller::OldPlace {
        m.old_watch.send_list(&changes(2, &backends.drained()));
    }
    let mut told = Instant::now();
    m.goes_on();
    // Calls of the new place, kept open till the end.
    let mut calls = vec![m.new.next_call()];
    assert_eq!(calls[0].asks, Asks::WholeList);
    if teller != Teller::OldPlace {
        calls[0].begin_answer();
        let drained_already = teller == Teller::NewPlaceAtOnce;
        told = Instant::now();
        match drained_already {
            true => calls[0].send_list(&whole(7, &backends.drained())),
            false => calls[0].send_list(&whole(7, &backends.before())),
        }
        calls.remove(0);
        let mut watch = m.new.next_call();
        assert_eq!(watch.asks, Asks::ChangesSince(7));
        watch.begin_answer();
        if drained_already {
            watch.send_empty_line();
        } else {
            told = Instant::now();
            watch.send_list(&changes(8, &backends.drained()));
        }
        calls.push(watch);
    }
    m.until_taken_in(told, 3);
    std::thread::sleep(GRACE.saturating_sub(told.elapsed()));
    let [draining, staying, joining] = &backends.0;
    let (before_draining, before_staying) = (draining.lines().len(), staying.lines().len());
    let before_both = before_staying + joining.lines().len();
    let opened = load.opened.load(std::sync::atomic::Ordering::SeqCst);
    for _ in 0..SESSIONS_AFTER_GRACE {
        assert!(Client::open(m.site.listen, "low").is_ok(), "it serves all the while");
    }
    let taken = staying.lines().len() + joining.lines().len() - before_both;
    assert!(taken >= SESSIONS_AFTER_GRACE, "the others take them all: {taken}");
    // Which of the two takes how many is up to the placement: it may prefer the one that joined for long.
    until("the one that stays takes sessions, too", || {
        assert!(Client::open(m.site.listen, "low").is_ok(), "it serves all the while");
        staying.lines().len() > before_staying
    });
    drop(load);
    assert_eq!(
        draining.lines().len(),
        before_draining,
        "new sessions after the grace; {opened} opened before"
    );
    drop(calls);
    drop(m.old);
}

#[test]
fn a_drain_that_the_old_place_tells_behind_a_reload_holds() {
    a_drain_right_behind_a_reload("old", Teller::OldPlace);
}

#[test]
fn a_drain_in_the_new_places_whole_list_holds() {
    a_drain_right_behind_a_reload("new-whole", Teller::NewPlaceAtOnce);
}

#[test]
fn a_drain_that_the_new_place_tells_first_of_all_changes_holds() {
    a_drain_right_behind_a_reload("new-change", Teller::NewPlaceNext);
}

/// How long a connect to a full backend may come up after all: the system tries again after 1 s and 3 s.
const RETRIED: Duration = Duration::from_millis(3_300);

/// A dial's connect is out as the drain is told, and could come up only after the grace: it carries no line.
#[test]
fn a_connect_that_is_out_as_the_drain_is_told_brings_no_session_after_the_grace() {
    const SHORT_GRACE: Duration = Duration::from_millis(500);
    let (draining, sound) = (narrow(), Backend::begin(Behaviour::Serves));
    let place: SocketAddr = draining.local_addr().expect("its address");
    let filling = fill(place);
    let mut m = moving("connect", &[entry("s-0", place, "up")], SHORT_GRACE);
    m.is_told_to_reload();
    m.goes_on();
    let whole_list_call = m.new.next_call();
    let mut client = Client::connect(m.site.listen).expect("it listens");
    // Its dial may take all the time that is left, whatever the handshake target.
    client.say("OPEN 00000000000000a1 00000000000000a1 c=once,d=1900");
    until("its dial's connect is out", || is_connecting_to(place));
    let told = Instant::now();
    let drained = [entry("s-0", place, "draining"), entry("s-1", sound.place, "up")];
    m.old_watch.send_list(&changes(2, &drained));
    m.until_taken_in(told, 2);
    std::thread::sleep(SHORT_GRACE.saturating_sub(told.elapsed()));
    // Now there is room.
    draining.set_nonblocking(true).expect("an option");
    let mut late = Vec::new();
    while told.elapsed() < SHORT_GRACE + RETRIED {
        late.extend(draining.accept().map(|(stream, _)| stream));
        std::thread::sleep(Duration::from_millis(5));
    }
    drop(filling);
    for stream in late {
        stream.set_nonblocking(false).expect("an option");
        stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout");
        let mut line = String::new();
        _ = BufReader::new(stream).read_line(&mut line);
        assert_eq!(line, "", "a session after the grace");
    }
    assert_eq!(client.hear(), Ok("UP r1".to_string()), "the other backend has it");
    assert_eq!(sound.came(0xa1), 1);
    drop(whole_list_call);
}
