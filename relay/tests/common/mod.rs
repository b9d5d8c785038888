#![allow(dead_code)] // Each test binary uses only a part of these helpers.
//! Shared helpers: relay processes on free loopback ports, backends that accept every session and echo its
//! lines, and clients. A process is killed when its handle is dropped, and every wait has a time limit.
pub mod coordination;
pub mod discovery;
pub mod load;

use serde_json::{json, Value};
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Default time limit of a wait.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

static LAST_ID: AtomicU64 = AtomicU64::new(1);

/// A number that is unique within this test process, such as a session's identifier.
pub fn unique_id() -> u64 {
    LAST_ID.fetch_add(1, Ordering::Relaxed)
}

/// A relay's configuration in a temporary directory, from which any number of processes can be started. The
/// directory is removed on drop.
pub struct RelayConfig {
    /// Contains the configuration files, the logs and, if one is configured, the store.
    pub directory: PathBuf,
    pub listen_address: SocketAddr,
    /// Configuration of the next process that is started. Its key `known` is the endpoint list that the relay
    /// uses until discovery answers, `state` is the path of the relay's store.
    pub json: Value,
}

impl RelayConfig {
    pub fn new(name: &str) -> RelayConfig {
        let directory = std::env::temp_dir().join(format!("hallrelay-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&directory);
        std::fs::create_dir_all(&directory).expect("create the relay's directory");
        let listen_address = free_address();
        let server = |i: i32| {
            let address = start_echo_backend().to_string();
            json!({"instanceId": format!("s-{i}"), "hostPort": address, "lifecycle": "up"})
        };
        // The project's example configuration, adapted to the test.
        let example = include_str!("../../../deploy/example/relay.json");
        let mut json: Value = serde_json::from_str(example).expect("parse the example as JSON");
        json["listen"] = json!(listen_address.to_string());
        json["discovery"] = json!(free_address().to_string());
        json["limits"]["sockets"] = json!(256);
        json["known"]["instances"] = json!([server(0), server(1)]);
        json["settings"]["Listeners"] =
            json!([listener_settings("low", 1.0, "retryable"), listener_settings("once", 5.0, "fragile")]);
        // These backends answer no health checks.
        json["settings"]["Ceilings"]["MayProbe"] = json!(false);
        RelayConfig { directory, listen_address, json }
    }

    /// Starts a relay with the default configuration and waits until it is ready.
    pub fn start_ready(name: &str) -> (RelayConfig, RelayProcess) {
        let mut config = RelayConfig::new(name);
        let relay = config.start();
        relay.wait_until_ready();
        (config, relay)
    }

    /// Starts a process in addition to those already running, with its own operator address and its own
    /// configuration file, which the process reads again on SIGHUP.
    pub fn start(&mut self) -> RelayProcess {
        let operator_address = free_address();
        self.json["operator"] = json!(operator_address.to_string());
        let config_path = self.directory.join(format!("{}.json", LAST_ID.fetch_add(1, Ordering::Relaxed)));
        std::fs::write(&config_path, self.json.to_string()).expect("write the configuration file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        command.arg("serve").arg("--config").arg(&config_path).env("TMPDIR", &self.directory);
        let log = std::fs::File::create(config_path.with_extension("log")).expect("create the log file");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        for name in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"] {
            command.env_remove(name);
        }
        let child = spawn_process(&mut command);
        RelayProcess { child, config_path, operator_address }
    }
}

impl Drop for RelayConfig {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The settings of one listener; `kind` is its effect: `retryable` (idempotent requests), `dedup` (requests
/// with an idempotency key) or `fragile` (a request that may have run must not be repeated). Times are in ms.
pub fn listener_settings(name: &str, utility: f64, kind: &str) -> Value {
    json!({"Name": name, "Utility": utility, "Effect": kind, "Group": "all", "Window": 1000,
        "HandshakeTarget": 300, "DialTimeout": 2000})
}

/// A running relay process, killed on drop.
pub struct RelayProcess {
    pub child: Child,
    pub config_path: PathBuf,
    /// The address of the relay's HTTP interface for operators.
    pub operator_address: SocketAddr,
}

impl RelayProcess {
    /// Sends the signal with this name, given without `SIG`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = run_to_end(Command::new("sh").args(["-c", &kill])).status;
        assert!(status.success(), "`{kill}` failed: {status}");
    }

    /// Sends raw bytes to the operator address; returns the status code and the complete response.
    pub fn send_request(&self, text: &[u8]) -> (u16, String) {
        send_request(self.operator_address, text)
    }

    /// Sends a request without a body; returns the status code and the complete response.
    pub fn request(&self, method: &str, path: &str) -> (u16, String) {
        self.send_request(format!("{method} {path} HTTP/1.1\r\nhost: relay\r\n\r\n").as_bytes())
    }

    pub fn is_ready(&self) -> bool {
        TcpStream::connect(self.operator_address).is_ok() && self.request("GET", "/v1/readyz").0 == 200
    }

    pub fn wait_until_ready(&self) {
        let started = Instant::now();
        while !self.is_ready() {
            let log = || std::fs::read_to_string(self.config_path.with_extension("log")).unwrap_or_default();
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "the relay is not ready after {WAIT_TIMEOUT:?}; its log: {}",
                log()
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Value of the metric with this name, given without the `node.` prefix; none if it is not reported.
    pub fn metric(&self, name: &str) -> Option<u64> {
        let (_, text) = self.request("GET", "/v1/metrics");
        let start = format!("node.{name}:");
        let line = text.lines().find(|line| line.starts_with(&start))?;
        line[start.len()..].split('|').next()?.parse().ok()
    }

    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("query the relay process").is_some()
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Sends raw bytes to a relay's operator address; returns the status code (0 if the response has none) and
/// the complete response.
pub fn send_request(operator_address: SocketAddr, text: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(operator_address).expect("connect to the operator address");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the read timeout");
    _ = stream.write_all(text);
    let mut bytes = Vec::new();
    _ = stream.read_to_end(&mut bytes);
    let reply = String::from_utf8_lossy(&bytes);
    let status = reply.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    (status, reply.to_string())
}

/// Polls a condition for at most `WAIT_TIMEOUT`; panics with its name if it does not hold by then.
pub fn wait_until(condition_name: &str, condition: impl FnMut() -> bool) {
    wait_until_within(WAIT_TIMEOUT, condition_name, condition);
}

/// Polls a condition for at most `time`; panics with its name if it does not hold by then.
pub fn wait_until_within(time: Duration, condition_name: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < time, "condition does not hold after {time:?}: {condition_name}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Held while a process is spawned and while a free port is chosen. Otherwise a child that another thread
/// forks while the port is bound would inherit the socket until it calls `exec`, and the released port would
/// still be in use.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Spawns a process under `SPAWN_LOCK`.
pub fn spawn_process(command: &mut Command) -> Child {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("spawn the process")
}

/// Runs a command until it exits; returns its exit status and output.
pub fn run_to_end(command: &mut Command) -> Output {
    let child = spawn_process(command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("wait for the command's output")
}

/// Returns an unused loopback address. No other test uses its IP address, so no connection of another test
/// takes the port.
pub fn free_address() -> SocketAddr {
    let _guard = SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    bind_listening_socket().local_addr().expect("read the local address")
}

/// Binds a listening socket at a loopback address that no other test uses.
pub fn bind_listening_socket() -> TcpListener {
    let (pid, n) = (std::process::id(), LAST_ID.fetch_add(1, Ordering::Relaxed));
    let ip = Ipv4Addr::new(127, 20 + (pid % 200) as u8, (n >> 8) as u8, n as u8);
    TcpListener::bind((ip, 0)).expect("bind a free port")
}

/// Starts a backend that accepts every session and echoes its lines.
fn start_echo_backend() -> SocketAddr {
    let listening_socket = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let address = listening_socket.local_addr().expect("read the local address");
    std::thread::spawn(move || {
        for stream in listening_socket.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    address
}

/// A backend that echoes the lines of its sessions and counts the sessions that were requested.
pub struct CountingBackend {
    pub address: SocketAddr,
    opened: Arc<AtomicU64>,
    /// While this is set, the connection of each new session is closed without a reply.
    pub failing: Arc<AtomicBool>,
}

impl CountingBackend {
    pub fn start() -> CountingBackend {
        let listening_socket = bind_listening_socket();
        let address = listening_socket.local_addr().expect("read the local address");
        let opened = Arc::new(AtomicU64::new(0));
        let failing = Arc::new(AtomicBool::new(false));
        let (count, failing_flag) = (opened.clone(), failing.clone());
        std::thread::spawn(move || {
            for stream in listening_socket.incoming().flatten() {
                let (count, failing_flag) = (count.clone(), failing_flag.clone());
                std::thread::spawn(move || serve_counting(stream, &count, &failing_flag));
            }
        });
        CountingBackend { address, opened, failing }
    }

    /// Number of sessions requested so far.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

fn serve(stream: TcpStream) {
    serve_counting(stream, &AtomicU64::new(0), &AtomicBool::new(false));
}

fn serve_counting(mut stream: TcpStream, opened: &AtomicU64, failing: &AtomicBool) {
    let mut lines = BufReader::new(stream.try_clone().expect("clone the stream handle"));
    let mut line = String::new();
    while matches!(lines.read_line(&mut line), Ok(1..)) {
        let reply = match line.split(' ').next() {
            Some("OPEN") => {
                opened.fetch_add(1, Ordering::SeqCst);
                if failing.load(Ordering::SeqCst) {
                    return;
                }
                "UP r1\r\n".to_string()
            }
            _ => line.clone(),
        };
        if stream.write_all(reply.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

/// A client connection that sends and receives lines.
pub struct Client(BufReader<TcpStream>);

/// How a connection ended, or what was received in place of the expected reply.
#[derive(Debug, PartialEq)]
pub enum SessionError {
    Refused,
    Reset,
    Closed,
    /// Another reply, or another socket error.
    Unexpected(String),
}

impl Client {
    pub fn connect(address: SocketAddr) -> Result<Client, SessionError> {
        let stream = TcpStream::connect(address).map_err(|_| SessionError::Refused)?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the read timeout");
        stream.set_nodelay(true).expect("set TCP_NODELAY");
        Ok(Client(BufReader::new(stream)))
    }

    /// Sends text without a line end.
    pub fn send_partial(&mut self, text: &str) {
        _ = self.0.get_mut().write_all(text.as_bytes());
    }

    /// Sends text and a line end.
    pub fn send_line(&mut self, line: &str) {
        _ = self.0.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    /// Closes the connection with a reset.
    pub fn reset(self) {
        _ = socket2::SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Closes only the sending direction.
    pub fn shutdown_write(&self) {
        _ = self.0.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// Receives a line that has already arrived or arrives within 20 ms.
    pub fn receive_now(&mut self) -> Option<String> {
        self.0.get_ref().set_read_timeout(Some(Duration::from_millis(20))).expect("set the read timeout");
        let received = self.receive().ok();
        self.0.get_ref().set_read_timeout(Some(WAIT_TIMEOUT)).expect("set the read timeout");
        received
    }

    /// Receives the next line, and returns it without its line end.
    pub fn receive(&mut self) -> Result<String, SessionError> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => Err(SessionError::Closed),
            Ok(_) => Ok(line.trim_end().to_string()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Err(SessionError::Reset),
            Err(e) => Err(SessionError::Unexpected(e.to_string())),
        }
    }

    /// Connects, sends `PING` and returns the reply.
    pub fn ping(address: SocketAddr) -> Result<String, SessionError> {
        let mut client = Client::connect(address)?;
        client.send_line("PING");
        client.receive()
    }

    /// Connects and opens a session of the given listener (class of sessions). In the first line, `c` is the
    /// listener and `d` the client's deadline in ms.
    pub fn open(address: SocketAddr, listener: &str) -> Result<Client, SessionError> {
        let mut client = Client::connect(address)?;
        let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
        client.send_line(&format!("OPEN {id:016x} {id:016x} c={listener},d=1900"));
        match client.receive()?.as_str() {
            "UP r1" => Ok(client),
            other => Err(SessionError::Unexpected(other.to_string())),
        }
    }

    /// Returns whether the backend echoes a line.
    pub fn echoes(&mut self) -> bool {
        self.send_line("M 1");
        self.receive() == Ok("M 1".to_string())
    }
}
