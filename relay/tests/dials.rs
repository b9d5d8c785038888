//! Dials whose connects stay out: a backend's own queue is full, and is emptied by the test when it says so.
mod common;

use common::{bound, Client, Miss, Site};
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A backend with room for hardly anybody.
fn narrow() -> TcpListener {
    let at: SocketAddr = common::free();
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&at.into()).expect("a port");
    socket.listen(0).expect("it listens");
    socket.into()
}

/// Connects till no more come up.
fn fill(place: SocketAddr) -> Vec<TcpStream> {
    let mut filling = Vec::new();
    while let Ok(one) = TcpStream::connect_timeout(&place, Duration::from_millis(100)) {
        filling.push(one);
    }
    filling
}

fn next(listener: &TcpListener, within: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).expect("an option");
    let started = Instant::now();
    while started.elapsed() < within {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("an option");
            stream.set_read_timeout(Some(Duration::from_millis(200))).expect("a timeout");
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    None
}

fn first_line(stream: &TcpStream) -> String {
    let mut line = String::new();
    _ = BufReader::new(stream).read_line(&mut line);
    line
}

/// A referenced session may have run at one backend, and its next dial's connect comes up only after its
/// window: it is not sent on there, and its client is answered.
#[test]
fn a_referenced_session_is_not_sent_on_after_its_window() {
    let (sound, slow) = (bound(), narrow());
    let place = |at: &TcpListener| at.local_addr().expect("its address").to_string();
    let mut site = Site::new("window");
    site.text["known"]["instances"] = json!([
        {"instanceId": "s-0", "hostPort": place(&sound), "lifecycle": "up"},
        {"instanceId": "s-1", "hostPort": place(&slow), "lifecycle": "up"}]);
    let settings = &mut site.text["settings"];
    settings["Listeners"][1]["Effect"] = json!("dedup");
    settings["Listeners"][1]["Window"] = json!(300);
    settings["Listeners"][1]["DialTimeout"] = json!(4000);
    settings["Ceilings"]["ConnectTimeout"] = json!(3000);
    settings["Rules"]["DrainGrace"] = json!(5000);
    let relay = site.start();
    relay.until_ready();
    // The first dial is to go to the one that says when it is answered.
    let (mut client, mut server) = loop {
        let mut client = Client::connect(site.listen).expect("it listens");
        let id = common::number();
        client.say(&format!("OPEN {id:016x} {id:016x} c=once,d=4000"));
        let began = Instant::now();
        let found = loop {
            assert!(began.elapsed() < common::SOON, "nobody is dialled");
            if let Some(stream) = next(&sound, Duration::from_millis(5)) {
                break Some(stream);
            }
            if next(&slow, Duration::from_millis(5)).is_some() {
                break None;
            }
        };
        if let Some(stream) = found {
            break (client, stream);
        }
    };
    assert!(first_line(&server).starts_with("OPEN "));
    let filling = fill(slow.local_addr().expect("its address"));
    server.write_all(b"ERR\r\n").expect("it goes");
    // Room is made after the window, and before the system tries that connect again.
    std::thread::sleep(Duration::from_millis(500));
    for _ in &filling {
        next(&slow, Duration::from_millis(200));
    }
    drop(filling);
    while let Some(late) = next(&slow, Duration::from_millis(1500)) {
        assert_eq!(first_line(&late), "", "sent on after its window");
    }
    let heard = client.hear();
    assert!(matches!(heard, Ok(ref line) if line == "BUSY" || line == "FAIL"));
    assert_eq!(client.hear(), Err(Miss::Ended));
}
