//! A first line in pieces, cut at each byte: the program has read one piece before the next one goes, so it
//! never sees them together. The line is taken once and whole.
use crate::backend::{Backend, Behaviour};
use crate::common::{number, until, Client, Relay, Site};
use crate::list_service::{entry, whole};
use crate::sockets::all_is_read_by;

struct Fixture {
    site: Site,
    backend: Backend,
    relay: Relay,
}

fn served(name: &str) -> Fixture {
    let backend = Backend::begin(Behaviour::Serves);
    let mut site = Site::new(&format!("short-pieces-{name}"));
    site.text["known"] = whole(1, &[entry("s-0", backend.place, "up")]);
    let relay = site.start();
    relay.until_ready();
    Fixture { site, backend, relay }
}

/// A first line with a part of each kind, the client's time last.
fn line(mark: u64) -> String {
    format!("OPEN {mark:016x} 7f3a9c21e0b4d655 c=once,g=5c0f6e1a,again=1,d=1900\r\n")
}

impl Fixture {
    /// Sends each piece only as all before it are read.
    fn send_in_pieces(&self, pieces: &[&str]) -> Client {
        let mut client = Client::connect(self.site.listen).expect("it listens");
        let (last, first) = pieces.split_last().expect("some pieces");
        for piece in first {
            client.say_part(piece);
            until("the piece is read", || all_is_read_by(self.site.listen));
        }
        client.say_part(last);
        client
    }

    fn is_taken_once_and_whole(&self, mark: u64, client: &mut Client, cut: &str) {
        assert_eq!(client.hear(), Ok("UP r1".to_string()), "cut at {cut}");
        assert!(client.echoes(), "cut at {cut}");
        assert_eq!(self.backend.came(mark), 1, "cut at {cut}");
        let lines = self.backend.lines();
        let came = lines.last().expect("it came");
        // Unchanged but for the client's time, of which some is gone.
        let (head, time) = came.trim_end_matches("\r\n").rsplit_once("d=").expect("a time");
        let sent = line(mark);
        assert_eq!(Some(head), sent.rsplit_once("d=").map(|(head, _)| head), "cut at {cut}");
        assert!((1..=1900).contains(&time.parse().unwrap_or(0)), "cut at {cut}: {came}");
    }
}

#[test]
fn a_first_line_cut_at_any_byte_is_taken_once_and_whole() {
    let fixture = served("cut");
    let cuts = line(0).len();
    for cut in 1..cuts {
        let mark = number();
        let line = line(mark);
        let mut client = fixture.send_in_pieces(&[&line[..cut], &line[cut..]]);
        fixture.is_taken_once_and_whole(mark, &mut client, &cut.to_string());
    }
    let lines = fixture.backend.lines();
    assert_eq!(lines.len(), cuts - 1, "each line came once, and nothing else");
    assert_eq!(fixture.relay.figure("passed.once"), Some(cuts as u64 - 1));
}

/// Bytes that go one by one in a line: each waits for a look at all sockets of the machine, which takes 0.1 s
/// where some thousand connections have just ended. A whole line of them takes longer than a relay waits for
/// a first line.
const SINGLE_BYTES: usize = 8;

#[test]
fn a_first_line_of_single_bytes_is_taken_once_and_whole() {
    let fixture = served("bytes");
    for first in (0..line(0).len()).step_by(SINGLE_BYTES - 1) {
        let mark = number();
        let line = line(mark);
        let after = line.len().min(first + SINGLE_BYTES);
        let mut pieces: Vec<&str> = (first..after).map(|at| &line[at..=at]).collect();
        pieces.insert(0, &line[..first]);
        pieces.push(&line[after..]);
        pieces.retain(|piece| !piece.is_empty());
        let mut client = fixture.send_in_pieces(&pieces);
        fixture.is_taken_once_and_whole(mark, &mut client, &format!("each byte from {first} on"));
    }
}

#[test]
fn a_ping_cut_at_any_byte_is_answered_once() {
    let fixture = served("ping");
    let text = "PING\r\n";
    for cut in 1..text.len() {
        let mut client = fixture.send_in_pieces(&[&text[..cut], &text[cut..]]);
        assert_eq!(client.hear(), Ok("PONG".to_string()), "cut at {cut}");
        // A session behind it on the same connection: what comes next is its answer, and no second `PONG`.
        let mark = number();
        client.say_part(&line(mark));
        fixture.is_taken_once_and_whole(mark, &mut client, &cut.to_string());
    }
}
