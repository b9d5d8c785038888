//! Backends that record the first line of each connection and handle each session as the test specifies.
use crate::common::{bind_listening_socket, free_address};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How a backend handles a new session.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behaviour {
    /// Accepts the session and echoes its lines.
    Serve,
    /// Reads and never replies.
    Hang,
    /// Receives the first line, then resets the connection.
    Reset,
}

/// A backend with the list of first lines that it received.
pub struct Backend {
    pub address: SocketAddr,
    first_lines: Arc<Mutex<Vec<String>>>,
    behaviour: Arc<Mutex<Behaviour>>,
}

impl Backend {
    /// Starts a backend at a free address.
    pub fn start(behaviour: Behaviour) -> Backend {
        Backend::start_on(bind_listening_socket(), behaviour)
    }

    /// Starts a backend that accepts connections from the given listening socket.
    pub fn start_on(listening_socket: TcpListener, behaviour: Behaviour) -> Backend {
        let address = listening_socket.local_addr().expect("read the local address");
        let first_lines = Arc::<Mutex<Vec<String>>>::default();
        let behaviour = Arc::new(Mutex::new(behaviour));
        let (received, current) = (first_lines.clone(), behaviour.clone());
        std::thread::spawn(move || {
            for stream in listening_socket.incoming().flatten() {
                let (received, current) = (received.clone(), current.clone());
                std::thread::spawn(move || serve(stream, &received, &current));
            }
        });
        Backend { address, first_lines, behaviour }
    }

    /// Sets the behaviour for connections whose first line is received from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        *self.behaviour.lock().expect("the mutex is not poisoned") = behaviour;
    }

    /// All first lines received, in order of arrival.
    pub fn first_lines(&self) -> Vec<String> {
        self.first_lines.lock().expect("the mutex is not poisoned").clone()
    }

    /// Number of times that the first line of the session with this identifier was received.
    pub fn attempts_of(&self, id: u64) -> usize {
        let start = format!("OPEN {id:016x} ");
        self.first_lines().iter().filter(|line| line.starts_with(&start)).count()
    }
}

fn serve(mut stream: TcpStream, first_lines: &Mutex<Vec<String>>, behaviour: &Mutex<Behaviour>) {
    let mut reader = BufReader::new(stream.try_clone().expect("clone the stream handle"));
    let mut line = String::new();
    if !matches!(reader.read_line(&mut line), Ok(1..)) {
        return;
    }
    first_lines.lock().expect("the mutex is not poisoned").push(line.clone());
    let current = *behaviour.lock().expect("the mutex is not poisoned");
    let mut answer = match current {
        Behaviour::Serve => "UP r1\r\n".to_string(),
        Behaviour::Hang => String::new(),
        Behaviour::Reset => {
            _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
    };
    while stream.write_all(answer.as_bytes()).is_ok() {
        line.clear();
        if !matches!(reader.read_line(&mut line), Ok(1..)) {
            return;
        }
        answer = if current == Behaviour::Serve { line.clone() } else { String::new() };
    }
}

/// Binds a listening socket with a minimal backlog, so that further connects stay pending until
/// the test accepts connections.
pub fn bind_small_backlog() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a TCP socket");
    socket.bind(&free_address().into()).expect("bind a free address");
    socket.listen(0).expect("listen with a minimal backlog");
    socket.into()
}

/// Opens connections to this address until its backlog is full; the kernel drops further SYNs while the
/// returned streams exist.
pub fn fill_backlog(address: SocketAddr) -> Vec<TcpStream> {
    let mut filling = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_millis(100)) {
        filling.push(stream);
    }
    filling
}
