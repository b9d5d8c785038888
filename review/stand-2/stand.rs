//! Stand-ins and helpers of the review's cases: relays started as the deploy file says, backends, a discovery
//! service, clients and operators' calls, all on loopback addresses. Only the standard library is used.
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Address = SocketAddr;

static STARTED: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<File>> = Mutex::new(None);
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);
static LAST_ID: AtomicU64 = AtomicU64::new(0);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Milliseconds since the start of the case.
pub fn now() -> u64 {
    STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64
}

pub fn wait_ms(time: u64) {
    sleep(Duration::from_millis(time));
}

/// Writes a line to `record.txt`.
pub fn note(text: impl AsRef<str>) {
    let line = format!("{:>7} ms  {}\n", now(), text.as_ref());
    if let Some(file) = lock(&RECORD).as_mut() {
        _ = file.write_all(line.as_bytes());
    }
}

/// Whether the case is to be played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Begins a case: opens the record in the case's folder, makes a temporary folder, and ends the case with 2 if
/// it takes too long.
pub fn begin(case: &str) {
    now();
    let file = File::create(format!("review/{case}/record.txt")).expect("create record.txt");
    *lock(&RECORD) = Some(file);
    let nonce = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_nanos() as u64);
    LAST_ID.store(nonce, Ordering::SeqCst);
    let folder = std::env::temp_dir().join(format!("hr{}-{}", std::process::id(), nonce % 100_000));
    std::fs::create_dir_all(&folder).expect("create the temporary folder");
    *lock(&FOLDER) = Some(folder);
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        hook(info);
        note(format!("the case could not run: {info}"));
        end(2);
    }));
    note(format!("case {case}, {} the disruption", if trouble() { "with" } else { "without" }));
    spawn(|| {
        sleep(Duration::from_secs(112));
        note("the case took too long");
        end(2);
    });
}

pub fn folder() -> PathBuf {
    lock(&FOLDER).clone().expect("the case has begun")
}

/// Ends all processes that the case started, and the case with this code.
pub fn end(code: i32) -> ! {
    for child in lock(&CHILDREN).iter() {
        if let Ok(mut child) = child.try_lock() {
            _ = child.kill();
            _ = child.wait();
        }
    }
    if let Some(folder) = lock(&FOLDER).take() {
        if std::env::var("KEEP").is_err() {
            _ = std::fs::remove_dir_all(folder);
        }
    }
    exit(code)
}

/// Ends the case with its verdict: `broken` names each breach of the rule that was seen.
pub fn verdict(broken: &[String]) -> ! {
    for breach in broken {
        note(format!("RULE BROKEN: {breach}"));
        println!("rule broken: {breach}");
    }
    if broken.is_empty() {
        note("the rule held");
        println!("the rule held");
    }
    end(i32::from(!broken.is_empty()))
}

/// Ends the case with 2, since it could not run.
pub fn give_up(why: &str) -> ! {
    note(format!("the case could not run: {why}"));
    println!("the case could not run: {why}");
    end(2)
}

/// Polls a condition for at most `limit` ms; the case could not run if it does not hold by then.
pub fn wait_for(what: &str, limit: u64, mut condition: impl FnMut() -> bool) {
    let until = now() + limit;
    while !condition() {
        if now() > until {
            give_up(&format!("waited {limit} ms in vain: {what}"));
        }
        wait_ms(20);
    }
    note(format!("seen: {what}"));
}

pub fn unique_id() -> u64 {
    LAST_ID.fetch_add(1, Ordering::SeqCst)
}

/// Listens on a free port of a loopback address of its own, which no other connection takes as its own end.
fn listen() -> TcpListener {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let (process, n) = (std::process::id(), LAST.fetch_add(1, Ordering::SeqCst));
    let ip = Ipv4Addr::new(127, 20 + (process % 200) as u8, (process / 200 % 250) as u8, 1 + n as u8 % 250);
    TcpListener::bind((ip, 0)).expect("bind a free port")
}

/// An address that was free a moment ago.
pub fn free_address() -> Address {
    listen().local_addr().expect("read the local address")
}

pub fn quoted(texts: &[String]) -> String {
    texts.iter().map(|text| format!("\"{text}\"")).collect::<Vec<_>>().join(",")
}

// ---------------------------------------------------------------- backends

/// A sound backend: answers probes, accepts each session, and echoes its lines.
#[derive(Clone)]
pub struct Backend {
    pub name: String,
    pub address: Address,
    zone: &'static str,
    /// When each session's line had arrived, and the line.
    pub opened: Arc<Mutex<Vec<(u64, String)>>>,
    /// The number of open connections with a session.
    sessions: Arc<AtomicU64>,
    /// The load report in answers to probes.
    pub report: Arc<Mutex<String>>,
}

impl Backend {
    pub fn start(name: &str, site: &Site) -> Backend {
        let listener = listen();
        let backend = Backend {
            name: name.to_string(),
            address: listener.local_addr().expect("read the local address"),
            zone: site.zone,
            opened: Arc::default(),
            sessions: Arc::default(),
            report: Arc::new(Mutex::new("inflight=1,x0=0.1,x1=0".to_string())),
        };
        let own = backend.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                spawn(move || own.serve(stream));
            }
        });
        backend
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        let mut has_session = false;
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(1..)) {
                self.sessions.fetch_sub(u64::from(has_session), Ordering::SeqCst);
                return;
            }
            let line = line.trim_end();
            let answer = match line.split(' ').next() {
                Some("PING") => "PONG\r\n".to_string(),
                Some("STATS") => format!("PONG {}\r\n", lock(&self.report)),
                Some("OPEN") => {
                    lock(&self.opened).push((now(), line.to_string()));
                    has_session = true;
                    self.sessions.fetch_add(1, Ordering::SeqCst);
                    note(format!("{} runs {line}", self.name));
                    format!("UP {}-{}\r\n", self.name, unique_id())
                }
                _ => format!("{line}\r\n"),
            };
            // An end of the connection is seen by the next read.
            _ = stream.write_all(answer.as_bytes());
        }
    }

    /// The number of sessions that are open here now.
    pub fn connected(&self) -> u64 {
        self.sessions.load(Ordering::SeqCst)
    }

    /// Sets the load report in answers to probes.
    pub fn set_report(&self, report: &str) {
        note(format!("{} reports {report}", self.name));
        *lock(&self.report) = report.to_string();
    }

    /// How many sessions arrived at `since` or later.
    pub fn opened_since(&self, since: u64) -> usize {
        lock(&self.opened).iter().filter(|(at, _)| *at >= since).count()
    }

    /// The entry of the endpoint list.
    pub fn entry(&self, lifecycle: &str) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m\",\"cell\":0,\
             \"lifecycle\":\"{lifecycle}\",\"weight\":1.0,\"startedAtMs\":0}}",
            self.name, self.address, self.zone
        )
    }
}

// ---------------------------------------------------------------- discovery

struct Listed {
    generation: u64,
    /// The entries, each with the version in which it changed.
    entries: Vec<(u64, String, String)>,
    is_up: bool,
    is_crowded: bool,
}

/// A sound discovery service, which can be down.
#[derive(Clone)]
pub struct Discovery {
    pub name: String,
    pub address: Address,
    listed: Arc<Mutex<Listed>>,
}

impl Discovery {
    /// Starts the service with these entries, given by name and text, as the given version.
    pub fn start(name: &str, generation: u64, entries: Vec<(String, String)>) -> Discovery {
        let listener = listen();
        let entries = entries.into_iter().map(|(id, text)| (generation, id, text)).collect();
        let discovery = Discovery {
            name: name.to_string(),
            address: listener.local_addr().expect("read the local address"),
            listed: Arc::new(Mutex::new(Listed { generation, entries, is_up: true, is_crowded: false })),
        };
        let own = discovery.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                spawn(move || own.serve(stream));
            }
        });
        discovery
    }

    /// Changes one entry in a new version.
    pub fn change(&self, id: &str, text: &str) {
        let mut listed = lock(&self.listed);
        listed.generation += 1;
        let generation = listed.generation;
        if let Some(entry) = listed.entries.iter_mut().find(|entry| entry.1 == id) {
            (entry.0, entry.2) = (generation, text.to_string());
        }
        note(format!("{}: version {generation}: {text}", self.name));
    }

    /// While the service is down, it ends all calls without an answer.
    pub fn set_up(&self, is_up: bool) {
        lock(&self.listed).is_up = is_up;
        note(format!("{} is {}", self.name, if is_up { "up" } else { "down" }));
    }

    /// While the service is crowded, it turns new calls away.
    pub fn set_crowded(&self, is_crowded: bool) {
        lock(&self.listed).is_crowded = is_crowded;
        note(format!("{} {}", self.name, if is_crowded { "turns calls away" } else { "answers calls" }));
    }

    /// The list since a version; the whole list from version 0.
    fn since(&self, since: u64) -> Option<(u64, String, bool)> {
        let listed = lock(&self.listed);
        if !listed.is_up {
            return None;
        }
        let is_whole = since == 0 || since > listed.generation;
        let entries = listed.entries.iter().filter(|entry| is_whole || entry.0 > since);
        let texts: Vec<&str> = entries.map(|entry| entry.2.as_str()).collect();
        let generation = listed.generation;
        let text = format!(
            "{{\"generation\":{generation},\"reset\":{is_whole},\"instances\":[{}]}}\n",
            texts.join(",")
        );
        Some((generation, text, is_whole || !texts.is_empty()))
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut request = Vec::new();
        let mut bytes = [0; 1024];
        while !request.ends_with(b"\r\n\r\n") {
            match stream.read(&mut bytes) {
                Ok(count @ 1..) => request.extend_from_slice(&bytes[..count]),
                _ => return,
            }
        }
        let request = String::from_utf8_lossy(&request).to_string();
        let Some((_, whole, _)) = self.since(0) else { return };
        if lock(&self.listed).is_crowded {
            _ = stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n");
            return note(format!("{}: 503", self.name));
        }
        if !request.contains("follow=1") {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", whole.len());
            _ = stream.write_all((head + &whole).as_bytes());
            return note(format!("{}: whole list written: {}", self.name, whole.trim_end()));
        }
        let asked = request.split("since=").nth(1).and_then(|rest| rest.split([' ', '&']).next());
        let mut since: u64 = asked.and_then(|number| number.parse().ok()).unwrap_or(0);
        let chunk = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
        let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut last_written = 0;
        while let Some((generation, text, has_news)) = self.since(since) {
            let is_first = last_written == 0;
            if has_news || is_first {
                if stream.write_all(chunk(&text).as_bytes()).is_err() {
                    return;
                }
                note(format!("{}: written on a watch: {}", self.name, text.trim_end()));
                (since, last_written) = (generation, now().max(1));
            } else if now() > last_written + 1000 {
                if stream.write_all(chunk("\n").as_bytes()).is_err() {
                    return;
                }
                last_written = now();
            }
            wait_ms(20);
        }
        _ = stream.shutdown(Shutdown::Both);
    }
}

// ---------------------------------------------------------------- relays

/// The figures of a deployment that a relay's settings hold. Times are in ms.
pub struct Site {
    /// Name, utility, handshake target and dial timeout of each listener.
    listeners: [(&'static str, u32, u32, u32); 2],
    message_aims: [u32; 2],
    zone: &'static str,
    /// `subscribe`: the relay asks for lists; `automatic`: they are pushed.
    discovery: &'static str,
    pub drain_grace: u64,
    cold: u32,
    cold_from: f64,
    fall_multiple: f64,
    fall: u32,
    dials: u32,
}

/// Each time limit is so much longer on sockets.
pub const SLACK: u64 = 50;

pub const POINTE_A_PIERRE: Site = Site {
    listeners: [("schedule-view", 2, 300, 1800), ("nomination", 5, 500, 3000)],
    message_aims: [60, 100],
    zone: "couva-control",
    discovery: "subscribe",
    drain_grace: 250,
    cold: 23_000,
    cold_from: 0.14,
    fall_multiple: 3.0,
    fall: 2_000,
    dials: 5,
};

pub const OEFEN_LIVE_NL: Site = Site {
    listeners: [("patient-feed", 1, 300, 1200), ("therapist-feed", 3, 300, 1200)],
    message_aims: [60, 250],
    zone: "amsterdam-west",
    discovery: "automatic",
    drain_grace: 1_000,
    cold: 8_500,
    cold_from: 0.32,
    fall_multiple: 2.5,
    fall: 1_000,
    dials: 6,
};

/// The parts of a relay's configuration that differ between cases.
#[derive(Clone)]
pub struct RelayConfig {
    pub name: String,
    pub listen: Address,
    pub discovery: Address,
    /// The list in the configuration, with its version.
    pub known: (u64, Vec<String>),
    /// Further keys of the configuration, each with a comma before it.
    pub more: String,
    pub relays: usize,
    pub slot: usize,
    pub site: &'static Site,
    pub folder: PathBuf,
}

impl RelayConfig {
    pub fn new(name: &str, discovery: Address, known: (u64, Vec<String>)) -> RelayConfig {
        let folder = folder().join(name);
        std::fs::create_dir_all(folder.join("tmp")).expect("create the relay's folder");
        RelayConfig {
            name: name.to_string(),
            listen: free_address(),
            discovery,
            known,
            more: String::new(),
            relays: 1,
            slot: 0,
            site: &POINTE_A_PIERRE,
            folder,
        }
    }

    pub fn path(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Writes the configuration file.
    pub fn write(&self) {
        let site = self.site;
        let listener = |(name, utility, target, timeout): &(&str, u32, u32, u32)| {
            format!(
                "{{\"Name\":\"{name}\",\"Utility\":{utility},\"Effect\":\"retryable\",\"Group\":\"all\",\
                 \"Window\":5000,\"HandshakeTarget\":{target},\"DialTimeout\":{timeout}}}"
            )
        };
        let listeners: Vec<String> = site.listeners.iter().map(listener).collect();
        let settings = format!(
            "{{\"Listeners\":[{}],\
             \"Ceilings\":{{\"MayProbe\":true,\"MostDials\":{},\"MaxOpen\":1000000,\"RetryAfter\":false,\
             \"MaxRetryAfter\":1500,\"ConnectTimeout\":250}},\
             \"Rules\":{{\"Cold\":{},\"ColdFrom\":{},\"FallMultiple\":{},\"Fall\":{},\"DrainGrace\":{},\
             \"AskWithin\":10000}},\"Charges\":{{\"CrossZone\":0,\"Moves\":0.021,\"Probe\":0.002}},\
             \"FamilyInfo\":{{\"Mode\":\"proxy\",\"Groups\":true,\"TellsDelay\":true,\"TellsLoad\":true,\
             \"MessageAim\":{:?}}},\
             \"Report\":{{\"How\":\"on_probe\",\"Fields\":[\"busy_reqs\",\"x0\",\"x1\"]}},\
             \"Discovery\":\"{}\",\"FailureDomains\":[\"{}\"],\"Zone\":0,\"Instances\":{},\"SlotNo\":{}}}",
            listeners.join(","),
            site.dials,
            site.cold,
            site.cold_from,
            site.fall_multiple,
            site.fall,
            site.drain_grace,
            site.message_aims,
            site.discovery,
            site.zone,
            self.relays,
            self.slot
        );
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":512}},\
             \"known\":{{\"generation\":{},\"reset\":true,\"instances\":[{}]}},\"settings\":{settings}{}}}",
            self.name,
            self.listen,
            self.discovery,
            unique_id(),
            self.known.0,
            self.known.1.join(","),
            self.more,
        );
        std::fs::write(self.path(), text).expect("write the configuration");
    }

    /// Starts a process with the command of the deploy file; a second one takes over from the first.
    pub fn start(&self) -> Relay {
        self.write();
        let operator = free_address();
        let log = self.folder.join(format!("{}.log", unique_id()));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(deploy_command("run"));
        command.env("TMPDIR", self.folder.join("tmp")).env("NODE_CONFIG", self.path());
        command.env("NODE_NAME", &self.name).env("NODE_LISTEN", self.listen.to_string());
        command.env("NODE_DISCOVERY", self.discovery.to_string());
        command.env("NODE_OPERATOR", operator.to_string());
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(File::create(&log).expect("create the log"));
        let child = command.spawn().expect("start the relay");
        let process = child.id();
        // `review/run-case-2.sh` ends these processes if this program is killed.
        if let Some(path) = std::env::var_os("PROCESSES") {
            let file = File::options().append(true).open(path);
            _ = file.and_then(|mut file| writeln!(file, "{process}"));
        }
        let child = Arc::new(Mutex::new(child));
        lock(&CHILDREN).push(child.clone());
        note(format!("{} started as process {process}, operators at {operator}", self.name));
        Relay { name: self.name.clone(), listen: self.listen, operator, process, child, log }
    }
}

/// The command with this name in the deploy file.
fn deploy_command(name: &str) -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("read the deploy file");
    let line = text.lines().find(|line| line.starts_with(&format!("{name} = ")));
    let line = line.expect("the deploy file has the command");
    line.split('"').nth(1).expect("the command is a text").to_string()
}

/// A running process of a relay.
#[derive(Clone)]
pub struct Relay {
    pub name: String,
    pub listen: Address,
    pub operator: Address,
    pub process: u32,
    child: Arc<Mutex<Child>>,
    pub log: PathBuf,
}

impl Relay {
    /// Sends a signal, named without `SIG`, to the process.
    pub fn signal(&self, name: &str) {
        note(format!("SIG{name} to {}, process {}", self.name, self.process));
        if name == "KILL" {
            let mut child = lock(&self.child);
            _ = child.kill();
            _ = child.wait();
            return;
        }
        let status = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.process)).status();
        assert!(status.is_ok_and(|status| status.success()), "send the signal");
    }

    pub fn has_ended(&self) -> bool {
        !matches!(lock(&self.child).try_wait(), Ok(None))
    }

    /// The answer to an operator's call: status and text; `None` if there was no answer.
    pub fn call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        operator_call(self.operator, method, path, body)
    }

    pub fn is_ready(&self) -> bool {
        self.call("GET", "/v1/readyz", "").is_some_and(|answer| answer.0 == 200)
    }

    pub fn grants(&self) -> String {
        self.call("GET", "/v1/grants", "").map_or(String::new(), |answer| answer.1)
    }

    /// Posts a call, and notes it with its answer.
    pub fn post(&self, path: &str, body: &str) -> Option<(u16, String)> {
        note(format!("operator to {}: POST {path} {body}", self.name));
        let answer = self.call("POST", path, body);
        note(format!("answer of {}: {answer:?}", self.name));
        answer
    }
}

pub fn operator_call(address: Address, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let head = format!("{method} {path} HTTP/1.1\r\nhost: relay\r\ncontent-length: {}\r\n\r\n", body.len());
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut answer = Vec::new();
    _ = stream.read_to_end(&mut answer);
    let answer = String::from_utf8_lossy(&answer).to_string();
    let status = answer.split(' ').nth(1)?.parse().ok()?;
    Some((status, answer.split("\r\n\r\n").nth(1).unwrap_or("").trim_end().to_string()))
}

// ---------------------------------------------------------------- clients

/// A client's connection with an open session.
pub struct Client {
    pub id: u64,
    pub stream: BufReader<TcpStream>,
}

impl Client {
    /// Requests a session; returns its connection and the first line of the answer.
    pub fn open(relay: Address, listener: &str) -> (Option<Client>, String) {
        let id = unique_id();
        let Ok(stream) = TcpStream::connect_timeout(&relay, Duration::from_secs(1)) else {
            return (None, "not connected".to_string());
        };
        _ = stream.set_nodelay(true);
        let mut client = Client { id, stream: BufReader::new(stream) };
        let sites = [POINTE_A_PIERRE, OEFEN_LIVE_NL];
        let listed = sites.iter().flat_map(|site| &site.listeners).find(|listed| listed.0 == listener);
        let timeout = listed.expect("the listener is of a site").3;
        _ = client.stream.get_ref().set_read_timeout(Some(Duration::from_millis(u64::from(timeout) + 600)));
        let line = format!("OPEN {id:016x} {id:016x} c={listener},d={timeout}");
        client.send(&line);
        let answer = client.receive();
        note(format!("client: {line} -> {answer}"));
        (answer.starts_with("UP").then_some(client), answer)
    }

    pub fn set_read_timeout(&self, time: u64) {
        _ = self.stream.get_ref().set_read_timeout(Some(Duration::from_millis(time)));
    }

    pub fn send(&mut self, line: &str) {
        _ = self.stream.get_mut().write_all(format!("{line}\r\n").as_bytes());
    }

    /// The next line, or how the connection ended.
    pub fn receive(&mut self) -> String {
        let mut line = String::new();
        match self.stream.read_line(&mut line) {
            Ok(0) => "closed without a line".to_string(),
            Ok(_) => line.trim_end().to_string(),
            Err(e) => format!("no line: {:?}", e.kind()),
        }
    }
}

/// Requests a session each `pause` ms until `until`; each session sends one line, reads its echo and ends.
pub fn traffic(relay: Address, listener: &str, until: u64, pause: u64) {
    while now() < until {
        let (client, _) = Client::open(relay, listener);
        if let Some(mut client) = client {
            client.send("M 1");
            client.receive();
        }
        wait_ms(pause);
    }
}

/// Answers `PING` at a relay's address for clients.
pub fn ping(relay: Address) -> String {
    let Ok(stream) = TcpStream::connect_timeout(&relay, Duration::from_secs(1)) else {
        return "not connected".to_string();
    };
    _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let mut client = Client { id: 0, stream: BufReader::new(stream) };
    client.send("PING");
    client.receive()
}

// ---------------------------------------------------------------- fleets

/// Relays that coordinate drains: r0, r1, ..., of which the first three vote, with the backends b-0, b-1 and b-2
/// in one discovery service. One relay and one backend may be out of service at a time.
pub struct Fleet {
    pub discovery: Discovery,
    pub backends: Vec<Backend>,
    pub configs: Vec<RelayConfig>,
    pub relays: Vec<Relay>,
}

impl Fleet {
    pub fn start(count: usize) -> Fleet {
        let backends: Vec<Backend> =
            (0..3).map(|i| Backend::start(&format!("b-{i}"), &POINTE_A_PIERRE)).collect();
        let entries = backends.iter().map(|backend| (backend.name.clone(), backend.entry("up"))).collect();
        let discovery = Discovery::start("discovery", 41, entries);
        let addresses: Vec<String> = (0..count).map(|_| free_address().to_string()).collect();
        let known: Vec<String> = backends.iter().map(|backend| backend.entry("up")).collect();
        let voters: Vec<String> = (0..3).map(|i| format!("r{i}")).collect();
        let config = |i: usize| {
            let mut config = RelayConfig::new(&format!("r{i}"), discovery.address, (41, known.clone()));
            let state: &Path = &config.folder.join("state");
            config.more = format!(
                ",\"state\":\"{}\",\"fleet\":{{\"name\":\"trunk\",\"listen\":\"{}\",\"peers\":[{}],\
                 \"voters\":[{}],\"budgets\":[{{\"of\":\"relay\",\"scope\":\"fleet\",\"count\":1}},\
                 {{\"of\":\"backend\",\"scope\":\"fleet\",\"count\":1}}]}}",
                state.display(),
                addresses[i],
                quoted(&addresses),
                quoted(&voters)
            );
            (config.relays, config.slot) = (count, i);
            config
        };
        let configs: Vec<RelayConfig> = (0..count).map(config).collect();
        let relays = configs.iter().map(RelayConfig::start).collect();
        Fleet { discovery, backends, configs, relays }
    }

    /// The relay that says that it leads, if just one does.
    pub fn leader(&self) -> Option<usize> {
        let leads = |relay: &Relay| !relay.has_ended() && relay.grants().contains("\"leads\":true");
        let leaders: Vec<usize> = (0..self.relays.len()).filter(|i| leads(&self.relays[*i])).collect();
        (leaders.len() == 1).then(|| leaders[0])
    }

    /// Waits until the leader knows all targets, and all but the given ones are in service and up.
    pub fn wait_until_in_service(&self, limit: u64) {
        let all = format!("\"known\":{}", self.configs.len() + self.backends.len());
        wait_for("the leader knows all relays and backends and finds them in service", limit, || {
            let grants = self.leader().map_or(String::new(), |i| self.relays[i].grants());
            grants.contains(&all) && grants.contains("\"things\":[]")
        });
    }
}
