//! Stand-ins and helpers of the review's cases: a discovery service, backends, clients, and relay processes.
//! Only the standard library is used. All addresses are loopback addresses.
#![allow(dead_code)] // Each case uses a part of these helpers.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The exit status of a case: the rule was broken, it held, or the case could not run.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const NOT_RUN: i32 = 2;

/// A case ends with `NOT_RUN` after this time, whatever it waits for.
const TIME_LIMIT: Duration = Duration::from_secs(110);

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption is applied: yes, unless the environment has `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: a line for each thing that was sent, answered or run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn time(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.time());
        _ = lock(&self.file).write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// What all parts of a case share.
pub struct Case {
    pub record: Record,
    /// The temporary folder of this run.
    pub folder: PathBuf,
    /// The command of the deploy file that starts a relay.
    run_command: String,
    /// Ids of the processes that this case started and that may still run.
    processes: Arc<Mutex<Vec<u32>>>,
}

impl Case {
    /// `RECORD`, `FOLDER` and `RUN_COMMAND` come from `run.sh`.
    pub fn begin() -> Case {
        let variable = |name: &str| std::env::var(name).unwrap_or_else(|_| panic!("{name} is not set"));
        let file = File::create(variable("RECORD")).expect("create the record");
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        let processes: Arc<Mutex<Vec<u32>>> = Arc::default();
        let (for_limit, limit_record) = (processes.clone(), record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(TIME_LIMIT);
            limit_record.say("the case ran out of time");
            kill_all(&for_limit);
            std::process::exit(NOT_RUN);
        });
        let (for_panic, panic_record) = (processes.clone(), record.clone());
        std::panic::set_hook(Box::new(move |info| {
            panic_record.say(&format!("the case could not run: {info}"));
            kill_all(&for_panic);
            std::process::exit(NOT_RUN);
        }));
        let folder = PathBuf::from(variable("FOLDER"));
        record.say(if has_trouble() { "with the disruption" } else { "without the disruption" });
        Case { record, folder, run_command: variable("RUN_COMMAND"), processes }
    }

    /// Ends all processes and exits.
    pub fn end(&self, status: i32, why: &str) -> ! {
        let word = match status {
            BROKEN => "BROKEN",
            HELD => "HELD",
            _ => "NOT RUN",
        };
        self.record.say(&format!("{word}: {why}"));
        kill_all(&self.processes);
        std::process::exit(status)
    }

    /// Starts a relay with the command of the deploy file.
    pub fn start_relay(&self, settings: &RelaySettings) -> Relay {
        let starts = NEXT_START.fetch_add(1, Ordering::SeqCst);
        let path = self.folder.join(format!("{}-{starts}.json", settings.name));
        std::fs::write(&path, settings.json()).expect("write the relay's configuration");
        let log = File::create(path.with_extension("log")).expect("create the relay's log");
        let tmp = self.folder.join(format!("tmp-{}", settings.name));
        std::fs::create_dir_all(&tmp).expect("create the relay's TMPDIR");
        let child = Command::new("/bin/sh")
            .args(["-c", &self.run_command])
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", &settings.name)
            .env("NODE_LISTEN", settings.listen.to_string())
            .env("NODE_DISCOVERY", settings.discovery.to_string())
            .env_remove("NODE_OPERATOR")
            .env("TMPDIR", &tmp)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("start the relay");
        lock(&self.processes).push(child.id());
        // `run-case.sh` ends those that are left if this driver is ended from outside.
        let ids = std::fs::OpenOptions::new().create(true).append(true).open(self.folder.join("processes"));
        _ = ids.and_then(|mut ids| writeln!(ids, "{}", child.id()));
        self.record.line(&format!("relay {} started, process {}", settings.name, child.id()));
        Relay {
            name: settings.name.clone(),
            listen: settings.listen,
            operator: settings.operator,
            config: path,
            child: Some(child),
            processes: self.processes.clone(),
        }
    }

    /// Waits until a condition holds; the case cannot run if it does not within the time.
    pub fn wait_until(&self, what: &str, within: Duration, mut holds: impl FnMut() -> bool) {
        let start = Instant::now();
        while !holds() {
            if start.elapsed() > within {
                self.end(NOT_RUN, &format!("not within {within:?}: {what}"));
            }
            std::thread::sleep(ms(50));
        }
        self.record.line(&format!("holds: {what}"));
    }
}

static NEXT_START: AtomicUsize = AtomicUsize::new(0);

fn kill_all(processes: &Mutex<Vec<u32>>) {
    for id in lock(processes).drain(..) {
        signal(id, "KILL");
    }
}

fn signal(id: u32, name: &str) {
    _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {id} 2>/dev/null")]).status();
}

/// An address that was free a moment ago. Each call uses another address of 127.0.0.0/8.
pub fn free_address() -> SocketAddr {
    bind().local_addr().expect("read the local address")
}

fn bind() -> TcpListener {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let (id, n) = (std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
    let ip = [127, 20 + (id % 200) as u8, 1 + (n / 250) as u8, 1 + (n % 250) as u8];
    TcpListener::bind(SocketAddr::from((ip, 0))).expect("bind a free loopback port")
}

// ---------------------------------------------------------------------------------------------------------
// Relays

/// The configuration of one relay. The settings are those of `deploy/example/relay.json`.
pub struct RelaySettings {
    pub name: String,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub discovery: SocketAddr,
    /// The list that the relay starts with, in discovery's form.
    pub known: String,
    pub relays: usize,
    pub index: usize,
    /// Further keys of the configuration, each followed by a comma.
    pub further: String,
}

impl RelaySettings {
    pub fn json(&self) -> String {
        let RelaySettings { name, listen, operator, discovery, known, relays, index, further } = self;
        let start = NEXT_START.load(Ordering::SeqCst);
        format!(
            r#"{{"name": "{name}", "listen": "{listen}", "operator": "{operator}", "discovery": "{discovery}",
 "seed": "8c1f30d27a5b{index:02x}{start:02x}", "limits": {{"cores": 1.0, "memory_mb": 192, "sockets": 1024}},
 {further}
 "known": {known},
 "settings": {{
  "Listeners": [
   {{"Name": "schedule-view", "Utility": 2, "Effect": "retryable", "Group": "all", "Window": 5000,
     "HandshakeTarget": 300, "DialTimeout": 1800}},
   {{"Name": "nomination", "Utility": 5, "Effect": "retryable", "Group": "all", "Window": 5000,
     "HandshakeTarget": 500, "DialTimeout": 3000}}],
  "Ceilings": {{"MayProbe": true, "MostDials": 5, "MaxOpen": 1000000, "RetryAfter": false,
    "MaxRetryAfter": 1500, "ConnectTimeout": 250}},
  "Rules": {{"Cold": 23000, "ColdFrom": 0.14, "FallMultiple": 3, "Fall": 2000, "DrainGrace": 250,
    "AskWithin": 10000}},
  "Charges": {{"CrossZone": 0, "Moves": 0.021, "Probe": 0.002}},
  "FamilyInfo": {{"Mode": "proxy", "Groups": true, "TellsDelay": true, "TellsLoad": true,
    "MessageAim": [60, 100]}},
  "Report": {{"How": "on_probe", "Fields": ["inflight", "x0", "x1"]}},
  "Discovery": "subscribe", "FailureDomains": ["here"], "Zone": 0,
  "Instances": {relays}, "SlotNo": {index}}}}}
"#
        )
    }
}

/// A relay process.
pub struct Relay {
    pub name: String,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub config: PathBuf,
    child: Option<Child>,
    processes: Arc<Mutex<Vec<u32>>>,
}

impl Relay {
    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let id = child.id();
            _ = child.kill();
            _ = child.wait();
            lock(&self.processes).retain(|other| *other != id);
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let Some(child) = &mut self.child else { return true };
        if !matches!(child.try_wait(), Ok(Some(_))) {
            return false;
        }
        let id = child.id();
        lock(&self.processes).retain(|other| *other != id);
        self.child = None;
        true
    }

    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            signal(child.id(), name);
        }
    }

    /// The answer to a call of the operators' interface: status and body. `None` without an answer.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect_timeout(&self.operator, ms(500)).ok()?;
        stream.set_read_timeout(Some(ms(3000))).ok()?;
        let length = body.len();
        let head = format!("{method} {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all((head + body).as_bytes()).ok()?;
        let mut bytes = Vec::new();
        _ = stream.read_to_end(&mut bytes);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let status = text.split(' ').nth(1)?.parse().ok()?;
        let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body).trim().to_string();
        Some((status, body))
    }

    pub fn is_ready(&self) -> bool {
        self.call("GET", "/v1/readyz", "").is_some_and(|(status, _)| status == 200)
    }

    /// The answer to `PING` at the clients' address; `None` if there is none within a second.
    pub fn ping(&self) -> Option<String> {
        let mut client = Client::connect(self.listen)?;
        client.send("PING");
        client.receive(ms(1000))
    }
}

// ---------------------------------------------------------------------------------------------------------
// Clients

/// A client's connection.
pub struct Client(BufReader<TcpStream>);

static NEXT_SESSION: AtomicU64 = AtomicU64::new(1);

impl Client {
    pub fn connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, ms(1000)).ok()?;
        _ = stream.set_nodelay(true);
        Some(Client(BufReader::new(stream)))
    }

    pub fn send(&mut self, line: &str) {
        _ = self.0.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    /// The next line without its end; `None` after the end of the connection or the time.
    pub fn receive(&mut self, within: Duration) -> Option<String> {
        _ = self.0.get_ref().set_read_timeout(Some(within));
        let mut line = String::new();
        match self.0.read_line(&mut line) {
            Ok(1..) => Some(line.trim_end().to_string()),
            _ => None,
        }
    }

    /// Opens a session and returns its id, the connection and the answer.
    pub fn open(address: SocketAddr, class: &str, wait_ms: u64) -> (u64, Option<Client>, String) {
        let id = NEXT_SESSION.fetch_add(1, Ordering::SeqCst);
        let Some(mut client) = Client::connect(address) else { return (id, None, "no connection".into()) };
        client.send(&format!("OPEN {id:016x} {id:016x} c={class},d={wait_ms},g={id:016x}"));
        let answer = client.receive(ms(wait_ms + 1000)).unwrap_or_else(|| "no answer".into());
        (id, Some(client), answer)
    }
}

// ---------------------------------------------------------------------------------------------------------
// Backends

/// A first line that a backend received.
#[derive(Clone)]
pub struct Opened {
    pub backend: usize,
    pub at: Instant,
    pub line: String,
}

/// Backends that accept every session, bring back each line, and answer probes with a low load.
pub struct Backends {
    pub addresses: Vec<SocketAddr>,
    pub opened: Arc<Mutex<Vec<Opened>>>,
    /// Number of sessions that are open now, by backend.
    pub open_now: Arc<Vec<AtomicUsize>>,
}

impl Backends {
    pub fn start(count: usize) -> Backends {
        let opened: Arc<Mutex<Vec<Opened>>> = Arc::default();
        let open_now: Arc<Vec<AtomicUsize>> = Arc::new((0..count).map(|_| AtomicUsize::new(0)).collect());
        let mut addresses = Vec::new();
        for backend in 0..count {
            let listener = bind();
            addresses.push(listener.local_addr().expect("read the local address"));
            let (opened, open_now) = (opened.clone(), open_now.clone());
            spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (opened, open_now) = (opened.clone(), open_now.clone());
                    spawn(move || serve_backend(backend, stream, &opened, &open_now[backend]));
                }
            });
        }
        Backends { addresses, opened, open_now }
    }

    pub fn opened(&self) -> Vec<Opened> {
        lock(&self.opened).clone()
    }
}

/// A thread with a small stack, since a case may need several hundred.
fn spawn(run: impl FnOnce() + Send + 'static) {
    std::thread::Builder::new().stack_size(128 << 10).spawn(run).expect("start a thread");
}

fn serve_backend(backend: usize, stream: TcpStream, opened: &Mutex<Vec<Opened>>, open_now: &AtomicUsize) {
    _ = stream.set_nodelay(true);
    let Ok(mut to) = stream.try_clone() else { return };
    let mut lines = BufReader::new(stream);
    let mut line = String::new();
    let mut is_session = false;
    while matches!(lines.read_line(&mut line), Ok(1..)) {
        let text = line.trim_end();
        let reply = match text.split(' ').next() {
            Some("OPEN") if !is_session => {
                is_session = true;
                open_now.fetch_add(1, Ordering::SeqCst);
                lock(opened).push(Opened { backend, at: Instant::now(), line: text.to_string() });
                format!("UP receipt-{backend}\r\n")
            }
            Some("PING") if !is_session => "PONG\r\n".to_string(),
            Some("STATS") if !is_session => {
                let count = open_now.load(Ordering::SeqCst);
                let load = 0.05 + 0.001 * count as f64;
                format!("PONG inflight={count},x0={load:.3},x1=0.000\r\n")
            }
            _ => format!("{text}\r\n"),
        };
        if to.write_all(reply.as_bytes()).is_err() {
            break;
        }
        line.clear();
    }
    if is_session {
        open_now.fetch_sub(1, Ordering::SeqCst);
    }
}

// ---------------------------------------------------------------------------------------------------------
// Discovery

/// One entry of the list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub lifecycle: &'static str,
    /// The version with which it last changed.
    version: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"here","machineType":"m1","cell":0,"lifecycle":"{}","weight":1.0,"startedAtMs":0}}"#,
            self.id, self.address, self.lifecycle
        )
    }
}

/// What the service does with calls and watches.
#[derive(Default)]
struct Behaviour {
    /// Watches that were opened before this time stay open and say nothing.
    silent_before: Option<Instant>,
    /// Calls that come while the service is crowded wait for their turn, which comes at this time.
    crowded_until: Option<Instant>,
}

struct Service {
    entries: Vec<Entry>,
    version: u64,
    behaviour: Behaviour,
    /// When the last empty line or list was written to a watch.
    last_written: Option<Instant>,
}

/// The discovery service.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    service: Arc<(Mutex<Service>, Condvar)>,
    record: Record,
    /// A call that has waited so long ends with 503.
    call_timeout: Duration,
}

/// Interval of the empty lines of a watch.
const EMPTY_LINE_INTERVAL: Duration = ms(2000);

impl Discovery {
    pub fn start(record: &Record, ids: &[String], addresses: &[SocketAddr], call_timeout: Duration) -> Discovery {
        let entry = |(id, address): (&String, &SocketAddr)| Entry {
            id: id.clone(),
            address: *address,
            lifecycle: "up",
            version: 41,
        };
        let entries = ids.iter().zip(addresses).map(entry).collect();
        let service =
            Service { entries, version: 41, behaviour: Behaviour::default(), last_written: None };
        let listener = bind();
        let discovery = Discovery {
            address: listener.local_addr().expect("read the local address"),
            service: Arc::new((Mutex::new(service), Condvar::new())),
            record: record.clone(),
            call_timeout,
        };
        let served = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                spawn(move || _ = served.serve(stream));
            }
        });
        discovery
    }

    /// The whole list in the form of `known`.
    pub fn list(&self) -> String {
        let service = lock(&self.service.0);
        whole_list(&service)
    }

    /// Changes the state of some entries, in one new version.
    pub fn set_lifecycle(&self, indices: &[usize], lifecycle: &'static str) -> Instant {
        let mut service = lock(&self.service.0);
        service.version += 1;
        let version = service.version;
        for index in indices {
            service.entries[*index].lifecycle = lifecycle;
            service.entries[*index].version = version;
        }
        self.record.line(&format!("discovery: version {version}, {} entries now {lifecycle}", indices.len()));
        self.service.1.notify_all();
        Instant::now()
    }

    /// All watches that are open now fall silent.
    pub fn silence_open_watches(&self) -> Instant {
        let now = Instant::now();
        lock(&self.service.0).behaviour.silent_before = Some(now);
        self.record.line("discovery: all open watches fall silent");
        now
    }

    /// Calls wait for their turn until this time.
    pub fn crowd_until(&self, until: Instant) {
        lock(&self.service.0).behaviour.crowded_until = Some(until);
        self.record.line("discovery: crowded, calls wait for their turn");
    }

    pub fn last_written(&self) -> Option<Instant> {
        lock(&self.service.0).last_written
    }

    fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        _ = stream.set_nodelay(true);
        let mut head = String::new();
        let mut lines = BufReader::new(stream.try_clone()?);
        while lines.read_line(&mut head)? > 0 && !head.ends_with("\r\n\r\n") {}
        let path = head.split(' ').nth(1).unwrap_or("").to_string();
        self.record.line(&format!("discovery: call {path}"));
        if !self.wait_for_turn() {
            self.record.line(&format!("discovery: call {path} waited too long, 503"));
            let text = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
            return stream.write_all(text.as_bytes());
        }
        match path.split_once("since=") {
            None => {
                let body = self.list();
                self.record.line(&format!("discovery: whole list to {path}"));
                let length = body.len();
                let head =
                    format!("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\r\n");
                stream.write_all((head + &body).as_bytes())
            }
            Some((_, since)) => self.watch(stream, since.parse().unwrap_or(0)),
        }
    }

    /// Waits for a call's turn. Returns whether it came in time.
    fn wait_for_turn(&self) -> bool {
        let crowded_until = lock(&self.service.0).behaviour.crowded_until;
        let now = Instant::now();
        let Some(turn) = crowded_until.filter(|until| *until > now) else { return true };
        std::thread::sleep((turn - now).min(self.call_timeout));
        turn - now <= self.call_timeout
    }

    /// Serves a watch: first what changed after `since`, then each change, and empty lines meanwhile.
    fn watch(&self, mut stream: TcpStream, mut since: u64) -> std::io::Result<()> {
        let opened = Instant::now();
        let head = "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ntransfer-encoding: chunked\r\n\r\n";
        stream.write_all(head.as_bytes())?;
        let mut is_first = true;
        let mut next_empty = Instant::now();
        loop {
            let mut service = lock(&self.service.0);
            if service.behaviour.silent_before.is_some_and(|before| opened < before) {
                drop(service);
                // The connection stays open until the relay closes it.
                _ = stream.read(&mut [0; 1]);
                return Ok(());
            }
            let now = Instant::now();
            let line = if service.version > since || is_first {
                let line = changes(&service, since);
                (since, is_first) = (service.version, false);
                Some(line)
            } else if now >= next_empty {
                Some(String::new())
            } else {
                None
            };
            if let Some(line) = line {
                service.last_written = Some(now);
                next_empty = now + EMPTY_LINE_INTERVAL;
                let text = format!("{line}\n");
                stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
                if !line.is_empty() {
                    self.record.line(&format!("discovery: to a watch {line:.200}"));
                }
                continue;
            }
            let wait = next_empty.saturating_duration_since(now).min(ms(50));
            drop(self.service.1.wait_timeout(service, wait));
        }
    }
}

fn whole_list(service: &Service) -> String {
    let entries: Vec<String> = service.entries.iter().map(Entry::json).collect();
    format!(r#"{{"generation":{},"reset":true,"instances":[{}]}}"#, service.version, entries.join(","))
}

fn changes(service: &Service, since: u64) -> String {
    let changed: Vec<String> =
        service.entries.iter().filter(|entry| entry.version > since).map(Entry::json).collect();
    format!(r#"{{"generation":{},"reset":false,"instances":[{}]}}"#, service.version, changed.join(","))
}

// ---------------------------------------------------------------------------------------------------------
// The status of the leases

/// The status of the leases at a relay that is a voter, as text; `None` without an answer.
pub fn grants(relay: &Relay) -> Option<String> {
    let (status, text) = relay.call("GET", "/v1/grants", "")?;
    (status == 200).then_some(text)
}

/// The relay among these that leads the replicated log; `None` unless it is exactly one.
pub fn leader<'a>(relays: impl Iterator<Item = &'a Relay>) -> Option<&'a Relay> {
    let leads = |relay: &&Relay| grants(relay).is_some_and(|text| text.contains(r#""leads":true"#));
    let all: Vec<&Relay> = relays.filter(leads).collect();
    (all.len() == 1).then(|| all[0])
}

/// Counts of lines by their kind, for the record.
pub fn counts<'a>(answers: impl Iterator<Item = &'a str>) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for answer in answers {
        let word = answer.split(' ').next().unwrap_or(answer).to_string();
        *counts.entry(word).or_default() += 1;
    }
    counts
}

/// Whether a connection to an address is refused.
pub fn is_refused(address: SocketAddr) -> bool {
    TcpStream::connect_timeout(&address, ms(500)).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused)
}

/// The last component of a path, for messages.
pub fn file_name(path: &Path) -> String {
    path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default()
}
