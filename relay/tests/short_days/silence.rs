//! A watch that falls silent late, after it brought empty lines for long: what it misses is taken in within
//! 6 s of that. And a whole list in place of changes: what it leaves out is gone.
use crate::backend::{Backend, Behaviour};
use crate::common::{until, within, Client, Site};
use crate::list_service::{changes, entry, whole, Asks, Call, ListService};
use hallrelay_config::node::{self, Node, Overrides};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after a watch fell silent what it missed counts as told.
const MISSED_IS_TOLD: Duration = Duration::from_secs(6);
/// An idle watch brings an empty line so often.
const EMPTY_LINE_EVERY: Duration = Duration::from_secs(2);
/// A watch is sound for so long before it falls silent.
const SOUND_FOR: Duration = Duration::from_secs(13);
/// By this all times are shortened where a watch is sound for long, the program's own among them.
const SHORTER: u32 = 3;

/// Three backends: one that the missed list takes away, one that stays, one that joins by that list.
struct Backends([Backend; 3]);

impl Backends {
    fn begin() -> Backends {
        Backends(std::array::from_fn(|_| Backend::begin(Behaviour::Serves)))
    }

    fn entry(&self, at: usize, lifecycle: &str) -> Value {
        entry(&format!("s-{at}"), self.0[at].place, lifecycle)
    }

    fn site(&self, name: &str, service: &ListService) -> Site {
        let mut site = Site::new(&format!("short-{name}"));
        site.text["discovery"] = json!(service.address().to_string());
        site.text["known"] = whole(1, &[self.entry(0, "up"), self.entry(1, "up")]);
        site
    }

    fn first_drains(&self) -> Value {
        changes(2, &[self.entry(0, "draining"), self.entry(2, "up")])
    }

    fn first_is_left_out(&self) -> Value {
        whole(2, &[self.entry(1, "up"), self.entry(2, "up")])
    }

    /// The one that joined is used by then, and the one that was taken away is used no more.
    fn only_the_others_are_used(&self, listen: SocketAddr, time: Duration) {
        within(time, "the list that was missed is taken in", || {
            assert!(Client::open(listen, "low").is_ok(), "it serves all the while");
            !self.0[2].lines().is_empty()
        });
        let before = self.0[0].lines().len();
        for _ in 0..40 {
            assert!(Client::open(listen, "low").is_ok(), "it serves all the while");
        }
        assert_eq!(self.0[0].lines().len(), before, "new sessions to one that was taken away");
    }
}

/// The program in a thread of the test's own, with its times for the watch shortened. It ends with the
/// test's process.
fn serve_with_shorter_times(site: &Site) {
    let mut node: Node =
        node::parse(site.text.to_string().as_bytes(), &Overrides::default()).expect("it is sound");
    node.operator = None;
    node.limits.discovery_doubt /= u64::from(SHORTER);
    node.limits.discovery_first /= u64::from(SHORTER);
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let reread = || Err("nobody asks for that".to_string());
        let served = hallrelay_relay::net::serve::run(node, reread, log);
        tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), served).expect("it serves");
    });
}

/// The watch that the program opens first, answered.
fn first_watch(service: &ListService) -> Call {
    let mut watch = service.next_call();
    assert_eq!(watch.asks, Asks::ChangesSince(1));
    watch.begin_answer();
    watch
}

fn a_watch_falls_silent_late(name: &str, missed: impl Fn(&Backends) -> Value) {
    let (service, backends) = (ListService::begin(), Backends::begin());
    let site = backends.site(name, &service);
    serve_with_shorter_times(&site);
    let mut watch = first_watch(&service);
    until("it listens", || Client::ping(site.listen).is_ok());
    until("the one that is taken away is used", || {
        Client::open(site.listen, "low").is_ok() && !backends.0[0].lines().is_empty()
    });
    let begun = Instant::now();
    watch.send_empty_line();
    while begun.elapsed() < SOUND_FOR / SHORTER {
        let other = service.call_within(EMPTY_LINE_EVERY / SHORTER);
        assert!(other.is_none(), "a sound watch is doubted");
        watch.send_empty_line();
    }
    let silent = Instant::now();
    let mut next = service.call_within(MISSED_IS_TOLD / SHORTER).expect("the silent watch is opened anew");
    assert_eq!(next.asks, Asks::ChangesSince(1));
    next.begin_answer();
    next.send_list(&missed(&backends));
    let left = (MISSED_IS_TOLD / SHORTER).saturating_sub(silent.elapsed());
    backends.only_the_others_are_used(site.listen, left);
    drop(watch);
}

#[test]
fn what_a_watch_missed_that_fell_silent_late_is_taken_in_within_its_time() {
    a_watch_falls_silent_late("late", Backends::first_drains);
}

#[test]
fn a_whole_list_in_place_of_what_a_late_silent_watch_missed_leaves_nobody_behind() {
    a_watch_falls_silent_late("late-whole", Backends::first_is_left_out);
}

/// The same with the program's own times, for a watch that says nothing from the start.
#[test]
fn what_a_silent_watch_missed_is_taken_in_within_its_time_by_the_programs_own_clock() {
    let (service, backends) = (ListService::begin(), Backends::begin());
    let mut site = backends.site("silent", &service);
    let relay = site.start();
    let mut watch = first_watch(&service);
    watch.send_empty_line();
    let silent = Instant::now();
    relay.until_ready();
    let mut next = service.call_within(MISSED_IS_TOLD).expect("the silent watch is opened anew");
    next.begin_answer();
    next.send_list(&backends.first_drains());
    backends.only_the_others_are_used(site.listen, MISSED_IS_TOLD.saturating_sub(silent.elapsed()));
}

/// A sound watch brings a whole list where a change was to be expected.
#[test]
fn a_whole_list_in_place_of_changes_on_a_sound_watch_leaves_nobody_behind() {
    let (service, backends) = (ListService::begin(), Backends::begin());
    let mut site = backends.site("reset", &service);
    let relay = site.start();
    let mut watch = first_watch(&service);
    relay.until_ready();
    watch.send_list(&changes(1, &[]));
    watch.send_list(&backends.first_is_left_out());
    backends.only_the_others_are_used(site.listen, MISSED_IS_TOLD);
    assert_eq!(relay.figure("known_backends"), Some(2), "what is left out is forgotten");
    // The next change is one to that list.
    watch.send_list(&changes(3, &[backends.entry(1, "draining")]));
    until("only the last one is used", || {
        let before = backends.0[1].lines().len();
        (0..20).all(|_| Client::open(site.listen, "low").is_ok()) && backends.0[1].lines().len() == before
    });
}
