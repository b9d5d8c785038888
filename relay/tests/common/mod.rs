#![allow(dead_code)] // each test takes of it what it uses
//! A relay's process on free ports of 127.0.0.1, with backends that take every session and echo its lines.
//! Nothing outlives the test: processes are killed as they are dropped, and every wait is bounded.
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

/// How long is waited for what must come.
pub const SOON: Duration = Duration::from_secs(10);

static LAST_ID: AtomicU64 = AtomicU64::new(1);

/// A number that no other session of this process has.
pub fn number() -> u64 {
    LAST_ID.fetch_add(1, Ordering::Relaxed)
}

pub struct Site {
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub text: Value,
}

impl Site {
    pub fn new(name: &str) -> Site {
        let folder = std::env::temp_dir().join(format!("hallrelay-{}-{name}", std::process::id()));
        _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        let listen = free();
        let server = |i: i32| {
            let place = backend().to_string();
            json!({"instanceId": format!("s-{i}"), "hostPort": place, "lifecycle": "up"})
        };
        // The project's own example, with what differs here.
        let text = include_str!("../../../deploy/example/relay.json");
        let mut text: Value = serde_json::from_str(text).expect("the example is JSON");
        text["listen"] = json!(listen.to_string());
        text["discovery"] = json!(free().to_string());
        text["limits"]["sockets"] = json!(256);
        text["known"]["instances"] = json!([server(0), server(1)]);
        text["settings"]["Listeners"] =
            json!([listener("low", 1.0, "retryable"), listener("once", 5.0, "fragile")]);
        // Backends here answer no probes.
        text["settings"]["Ceilings"]["MayProbe"] = json!(false);
        Site { folder, listen, text }
    }

    /// A relay that is ready, and the site that it serves.
    pub fn served(name: &str) -> (Site, Relay) {
        let mut site = Site::new(name);
        let relay = site.start();
        relay.until_ready();
        (site, relay)
    }

    /// Starts a process with a second address of its own, beside those that run; it reads the same file again
    /// at SIGHUP.
    pub fn start(&mut self) -> Relay {
        let operator = free();
        self.text["operator"] = json!(operator.to_string());
        let path = self.folder.join(format!("{}.json", LAST_ID.fetch_add(1, Ordering::Relaxed)));
        std::fs::write(&path, self.text.to_string()).expect("a configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallrelay"));
        command.arg("serve").arg("--config").arg(&path).env("TMPDIR", &self.folder);
        let log = std::fs::File::create(path.with_extension("log")).expect("a log");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        for name in ["NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"] {
            command.env_remove(name);
        }
        let child = spawned(&mut command);
        Relay { child, path, operator }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn listener(name: &str, utility: f64, kind: &str) -> Value {
    json!({"Name": name, "Utility": utility, "Effect": kind, "Group": "all", "Window": 1000,
        "HandshakeTarget": 300, "DialTimeout": 2000})
}

pub struct Relay {
    pub child: Child,
    pub path: PathBuf,
    pub operator: SocketAddr,
}

impl Relay {
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(output(Command::new("sh").args(["-c", &kill])).status.success());
    }

    /// A call's status and body; the bytes are sent as they are.
    pub fn say(&self, text: &[u8]) -> (u16, String) {
        say(self.operator, text)
    }

    pub fn call(&self, method: &str, path: &str) -> (u16, String) {
        self.say(format!("{method} {path} HTTP/1.1\r\nhost: relay\r\n\r\n").as_bytes())
    }

    pub fn ready(&self) -> bool {
        TcpStream::connect(self.operator).is_ok() && self.call("GET", "/v1/readyz").0 == 200
    }

    pub fn until_ready(&self) {
        let started = Instant::now();
        while !self.ready() {
            let log = || std::fs::read_to_string(self.path.with_extension("log")).unwrap_or_default();
            assert!(started.elapsed() < SOON, "waited in vain: the relay is ready; it says: {}", log());
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// One figure, by its whole name; none where it is not told.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (_, text) = self.call("GET", "/v1/metrics");
        let start = format!("node.{name}:");
        let line = text.lines().find(|line| line.starts_with(&start))?;
        line[start.len()..].split('|').next()?.parse().ok()
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_some()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// A call at a relay's second address.
pub fn say(operator: SocketAddr, text: &[u8]) -> (u16, String) {
    let mut stream = TcpStream::connect(operator).expect("the second address listens");
    stream.set_read_timeout(Some(SOON)).expect("a timeout");
    _ = stream.write_all(text);
    let mut bytes = Vec::new();
    _ = stream.read_to_end(&mut bytes);
    let answer = String::from_utf8_lossy(&bytes);
    let status = answer.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, answer.to_string())
}

pub fn until(what: &str, holds: impl FnMut() -> bool) {
    within(SOON, what, holds);
}

pub fn within(time: Duration, what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < time, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Held while a program is begun, and while a port is found. Guards a port that was let go: a child that
/// another thread begins just then holds the socket too, till it runs its own program, and the address is in
/// use still.
static FORK: Mutex<()> = Mutex::new(());

/// Begins a program.
pub fn spawned(command: &mut Command) -> Child {
    let _held = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the program starts")
}

/// What a program says, and how it ends.
pub fn output(command: &mut Command) -> Output {
    let child = spawned(command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped()));
    child.wait_with_output().expect("it ends")
}

/// At an address of its own, so that no connection of another test's takes the port meanwhile.
pub fn free() -> SocketAddr {
    let _held = FORK.lock().unwrap_or_else(PoisonError::into_inner);
    bound().local_addr().expect("its address")
}

/// The same, held.
pub fn bound() -> TcpListener {
    let (pid, n) = (std::process::id(), LAST_ID.fetch_add(1, Ordering::Relaxed));
    let ip = Ipv4Addr::new(127, 20 + (pid % 200) as u8, (n >> 8) as u8, n as u8);
    TcpListener::bind((ip, 0)).expect("a port")
}

/// A backend of its own thread.
fn backend() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let place = listener.local_addr().expect("its address");
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    place
}

/// A backend that counts the sessions that come to it.
pub struct Counted {
    pub place: SocketAddr,
    opened: Arc<AtomicU64>,
    /// Ends each session that comes, without a word.
    pub bad: Arc<AtomicBool>,
}

impl Counted {
    pub fn begin() -> Counted {
        let listener = bound();
        let place = listener.local_addr().expect("its address");
        let opened = Arc::new(AtomicU64::new(0));
        let bad = Arc::new(AtomicBool::new(false));
        let (count, drops) = (opened.clone(), bad.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (count, drops) = (count.clone(), drops.clone());
                std::thread::spawn(move || serve_counted(stream, &count, &drops));
            }
        });
        Counted { place, opened, bad }
    }

    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::SeqCst)
    }
}

fn serve(stream: TcpStream) {
    serve_counted(stream, &AtomicU64::new(0), &AtomicBool::new(false));
}

fn serve_counted(mut stream: TcpStream, opened: &AtomicU64, bad: &AtomicBool) {
    let mut lines = BufReader::new(stream.try_clone().expect("a handle"));
    let mut line = String::new();
    while matches!(lines.read_line(&mut line), Ok(1..)) {
        let answer = match line.split(' ').next() {
            Some("OPEN") => {
                opened.fetch_add(1, Ordering::SeqCst);
                if bad.load(Ordering::SeqCst) {
                    return;
                }
                "UP r1\r\n".to_string()
            }
            _ => line.clone(),
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}

/// A client's connection, line by line.
pub struct Client(BufReader<TcpStream>);

/// What a client saw of a connection that brought it no session.
#[derive(Debug, PartialEq)]
pub enum Miss {
    Refused,
    Reset,
    Ended,
    Said(String),
}

impl Client {
    pub fn connect(place: SocketAddr) -> Result<Client, Miss> {
        let stream = TcpStream::connect(place).map_err(|_| Miss::Refused)?;
        stream.set_read_timeout(Some(SOON)).expect("a timeout");
        stream.set_nodelay(true).expect("an option");
        Ok(Client(BufReader::new(stream)))
    }

    pub fn say_part(&mut self, text: &str) {
        _ = self.0.get_mut().write_all(text.as_bytes());
    }

    pub fn say(&mut self, line: &str) {
        _ = self.0.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    /// Leaves by a reset.
    pub fn reset(self) {
        _ = socket2::SockRef::from(self.0.get_ref()).set_linger(Some(Duration::ZERO));
    }

    /// Ends its sending, and reads on.
    pub fn shut(&self) {
        _ = self.0.get_ref().shutdown(std::net::Shutdown::Write);
    }

    /// What is there already, or comes at once.
    pub fn hears_now(&mut self) -> Option<String> {
        self.0.get_ref().set_read_timeout(Some(Duration::from_millis(20))).expect("a timeout");
        let heard = self.hear().ok();
        self.0.get_ref().set_read_timeout(Some(SOON)).expect("a timeout");
        heard
    }

    pub fn hear(&mut self) -> Result<String, Miss> {
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(0) => Err(Miss::Ended),
            Ok(_) => Ok(line.trim_end().to_string()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Err(Miss::Reset),
            Err(e) => Err(Miss::Said(e.to_string())),
        }
    }

    pub fn ping(place: SocketAddr) -> Result<String, Miss> {
        let mut client = Client::connect(place)?;
        client.say("PING");
        client.hear()
    }

    /// A session that is up.
    pub fn open(place: SocketAddr, listener: &str) -> Result<Client, Miss> {
        let mut client = Client::connect(place)?;
        let id = LAST_ID.fetch_add(1, Ordering::Relaxed);
        client.say(&format!("OPEN {id:016x} {id:016x} c={listener},d=1900"));
        match client.hear()?.as_str() {
            "UP r1" => Ok(client),
            other => Err(Miss::Said(other.to_string())),
        }
    }

    /// Whether a line comes back from the backend.
    pub fn echoes(&mut self) -> bool {
        self.say("M 1");
        self.hear() == Ok("M 1".to_string())
    }
}
