//! Backends that keep every first line that comes to them, and do with its session as the test says.
use crate::common::{bound, free};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Takes the session, and echoes its lines.
    Serves,
    /// Reads, and says nothing.
    Hangs,
    /// Resets the connection as the line has come.
    Resets,
}

pub struct Backend {
    pub place: SocketAddr,
    lines: Arc<Mutex<Vec<String>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Backend {
    pub fn begin(behaviour: Behaviour) -> Backend {
        Backend::at(bound(), behaviour)
    }

    /// One that takes up its connections from a listening socket of the test's.
    pub fn at(listener: TcpListener, behaviour: Behaviour) -> Backend {
        let place = listener.local_addr().expect("its address");
        let lines = Arc::<Mutex<Vec<String>>>::default();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (kept, does) = (lines.clone(), behaviour.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (kept, does) = (kept.clone(), does.clone());
                std::thread::spawn(move || serve(stream, &kept, &does));
            }
        });
        Backend { place, lines, behaviour }
    }

    pub fn behave(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("nobody panics with it") = behaviour;
    }

    /// All first lines that came, in order.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().expect("nobody panics with it").clone()
    }

    /// How often a session's line came, by its mark.
    pub fn came(&self, mark: u64) -> usize {
        let start = format!("OPEN {mark:016x} ");
        self.lines().iter().filter(|line| line.starts_with(&start)).count()
    }
}

fn serve(mut stream: TcpStream, kept: &Mutex<Vec<String>>, does: &Mutex<Behaviour>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
    let mut line = String::new();
    if !matches!(reader.read_line(&mut line), Ok(1..)) {
        return;
    }
    kept.lock().expect("nobody panics with it").push(line.clone());
    let behaviour = *does.lock().expect("nobody panics with it");
    let mut answer = match behaviour {
        Behaviour::Serves => "UP r1\r\n".to_string(),
        Behaviour::Hangs => String::new(),
        Behaviour::Resets => {
            _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
    };
    while stream.write_all(answer.as_bytes()).is_ok() {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        answer = if behaviour == Behaviour::Serves { line.clone() } else { String::new() };
    }
}

/// A listening socket with room for hardly anybody, so that connects to it stay out till it is emptied.
pub fn narrow() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&free().into()).expect("a port");
    socket.listen(0).expect("it listens");
    socket.into()
}

/// Connects till no more come up: from then on the system drops what asks for a connection there.
pub fn fill(place: SocketAddr) -> Vec<TcpStream> {
    let mut filling = Vec::new();
    while let Ok(one) = TcpStream::connect_timeout(&place, Duration::from_millis(100)) {
        filling.push(one);
    }
    filling
}
