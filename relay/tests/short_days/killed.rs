//! A relay is killed right after it took a connection, and starts again: it begins from nothing, dials
//! nothing of the life before, and serves.
use crate::backend::{Backend, Behaviour};
use crate::common::{number, until, Client, Miss, Relay, Site};
use crate::list_service::{entry, whole};
use crate::sockets::all_is_read_by;
use serde_json::json;
use std::time::Duration;

/// How far a connection had come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reached {
    /// It is taken, and half of its first line is read.
    HalfALine,
    /// Its line has come to a backend, which has not answered.
    Dialled,
    /// It is open.
    Open,
}

fn kill(mut relay: Relay) {
    relay.child.kill().expect("it lives");
    relay.child.wait().expect("it ends");
}

fn killed_and_started_again(reached: Reached, keeps_a_store: bool) {
    let first = if reached == Reached::Open { Behaviour::Serves } else { Behaviour::Hangs };
    let backend = Backend::begin(first);
    let mut site = Site::new(&format!("short-killed-{reached:?}-{keeps_a_store}"));
    site.text["known"] = whole(1, &[entry("s-0", backend.place, "up")]);
    if keeps_a_store {
        site.text["state"] = json!(site.folder.join("state"));
    }
    let relay = site.start();
    relay.until_ready();
    let mark = number();
    let line = format!("OPEN {mark:016x} {mark:016x} c=once,d=1900");
    let mut client = Client::connect(site.listen).expect("it listens");
    match reached {
        Reached::HalfALine => {
            client.say_part(&line[..line.len() / 2]);
            until("the half line is read", || all_is_read_by(site.listen));
        }
        Reached::Dialled => {
            client.say(&line);
            until("its line is at the backend", || backend.came(mark) == 1);
        }
        Reached::Open => {
            client.say(&line);
            assert_eq!(client.hear(), Ok("UP r1".to_string()));
        }
    }
    let came = backend.came(mark);
    kill(relay);
    assert!(matches!(client.hear(), Err(Miss::Ended | Miss::Reset)));
    backend.behave(Behaviour::Serves);
    let relay = site.start();
    relay.until_ready();
    let mut next = Client::open(site.listen, "once").expect("it serves");
    assert!(next.echoes());
    // Whatever it would dial by itself it has dialled long before.
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(backend.came(mark), came, "a line of the life before is dialled again");
    assert_eq!(backend.lines().len(), came + 1, "{:?}", backend.lines());
    // Nothing of that life stands in its client's way.
    let mut again = Client::connect(site.listen).expect("it listens");
    again.say(&line);
    assert_eq!(again.hear(), Ok("UP r1".to_string()));
    assert_eq!(backend.came(mark), came + 1);
}

#[test]
fn who_was_half_way_through_a_line_as_the_relay_was_killed_is_not_dialled() {
    [false, true].into_iter().for_each(|keeps| killed_and_started_again(Reached::HalfALine, keeps));
}

#[test]
fn who_was_dialled_as_the_relay_was_killed_is_not_dialled_twice() {
    [false, true].into_iter().for_each(|keeps| killed_and_started_again(Reached::Dialled, keeps));
}

#[test]
fn who_was_served_as_the_relay_was_killed_is_not_dialled_twice() {
    [false, true].into_iter().for_each(|keeps| killed_and_started_again(Reached::Open, keeps));
}
