//! First lines that are split at each byte: the relay has read one piece before the next one is sent, so it
//! never reads two pieces together. Each line is forwarded once and complete.
use crate::backend::{Backend, Behaviour};
use crate::common::{unique_id, wait_until, Client, RelayConfig, RelayProcess};
use crate::scripted_discovery::{endpoint, full_list};
use crate::sockets::all_bytes_read_by;

struct Fixture {
    config: RelayConfig,
    backend: Backend,
    relay: RelayProcess,
}

fn start_fixture(name: &str) -> Fixture {
    let backend = Backend::start(Behaviour::Serve);
    let mut config = RelayConfig::new(&format!("short-pieces-{name}"));
    config.json["known"] = full_list(1, &[endpoint("s-0", backend.address, "up")]);
    let relay = config.start();
    relay.wait_until_ready();
    Fixture { config, backend, relay }
}

/// Returns a first line with all optional fields and the deadline as its last field.
fn format_first_line(id: u64) -> String {
    format!("OPEN {id:016x} 7f3a9c21e0b4d655 c=once,g=5c0f6e1a,again=1,d=1900\r\n")
}

impl Fixture {
    /// Sends each piece only after the relay has read all previous pieces.
    fn send_in_pieces(&self, pieces: &[&str]) -> Client {
        let mut client = Client::connect(self.config.listen_address).expect("connect to the relay");
        let (last, earlier) = pieces.split_last().expect("at least one piece is given");
        for piece in earlier {
            client.send_partial(piece);
            wait_until("the relay has read the piece", || all_bytes_read_by(self.config.listen_address));
        }
        client.send_partial(last);
        client
    }

    fn check_forwarded_once_and_complete(&self, id: u64, client: &mut Client, cut: &str) {
        assert_eq!(client.receive(), Ok("UP r1".to_string()), "cut at {cut}");
        assert!(client.echoes(), "cut at {cut}: the backend must echo a line");
        assert_eq!(self.backend.attempts_of(id), 1, "cut at {cut}: dials of the session");
        let lines = self.backend.first_lines();
        let received = lines.last().expect("the backend has received a first line");
        // The line is unchanged except for the deadline, which is reduced by the elapsed time.
        let (head, time) = received
            .trim_end_matches("\r\n")
            .rsplit_once("d=")
            .expect("the forwarded line ends with a deadline");
        let sent = format_first_line(id);
        assert_eq!(Some(head), sent.rsplit_once("d=").map(|(head, _)| head), "cut at {cut}");
        assert!((1..=1900).contains(&time.parse().unwrap_or(0)), "cut at {cut}: {received}");
    }
}

#[test]
fn split_first_line_is_forwarded_once_and_complete() {
    let fixture = start_fixture("cut");
    let line_length = format_first_line(0).len();
    for cut in 1..line_length {
        let id = unique_id();
        let line = format_first_line(id);
        let mut client = fixture.send_in_pieces(&[&line[..cut], &line[cut..]]);
        fixture.check_forwarded_once_and_complete(id, &mut client, &cut.to_string());
    }
    let lines = fixture.backend.first_lines();
    assert_eq!(lines.len(), line_length - 1, "the backend must receive each line once and no other line");
    assert_eq!(fixture.relay.metric("passed.once"), Some(line_length as u64 - 1));
}

/// Number of bytes of a line that are sent one by one. After each byte the test scans the machine's socket
/// table, which takes 0.1 s if thousands of connections have just ended. For all bytes of a line these scans
/// would exceed the relay's time limit for a first line.
const SINGLE_BYTES: usize = 8;

#[test]
fn first_line_of_single_bytes_is_forwarded_once() {
    let fixture = start_fixture("bytes");
    for start in (0..format_first_line(0).len()).step_by(SINGLE_BYTES - 1) {
        let id = unique_id();
        let line = format_first_line(id);
        let end = line.len().min(start + SINGLE_BYTES);
        let mut pieces: Vec<&str> = (start..end).map(|i| &line[i..=i]).collect();
        pieces.insert(0, &line[..start]);
        pieces.push(&line[end..]);
        pieces.retain(|piece| !piece.is_empty());
        let mut client = fixture.send_in_pieces(&pieces);
        fixture.check_forwarded_once_and_complete(
            id,
            &mut client,
            &format!("each of the {SINGLE_BYTES} bytes from {start}"),
        );
    }
}

#[test]
fn ping_split_at_any_byte_is_answered_once() {
    let fixture = start_fixture("ping");
    let text = "PING\r\n";
    for cut in 1..text.len() {
        let mut client = fixture.send_in_pieces(&[&text[..cut], &text[cut..]]);
        assert_eq!(client.receive(), Ok("PONG".to_string()), "cut at {cut}");
        // The next reply on the connection must answer the session requested now and not be a second `PONG`.
        let id = unique_id();
        client.send_partial(&format_first_line(id));
        fixture.check_forwarded_once_and_complete(id, &mut client, &cut.to_string());
    }
}
