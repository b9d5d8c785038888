//! `Loopback` is the program on sockets of 127.0.0.1. A line is `WHO DEED [TEXT]`: letters are clients,
//! digits are backends (`1` and `2`, known from the start), `list` is discovery and `moved` where it may move
//! to, a star is anything. Deeds:
//!   `>` sends a line (`\n` in it is a line's end), `>>` sends text without a line's end,
//!   `ends` closes the connection, `shuts` ends listening, `floods` sends numbered lines till no more go,
//!   `relay stops` is SIGTERM, `relay reloads` SIGHUP with discovery moved or with a `faulty` text. With
//!   effect `so`: `<` takes that line, `over` takes the end, `none` sees no connection come, `waits MS` sees
//!   nothing come, `drinks` takes all lines of the flood.
use super::{node, text};
use crate::{num, Fault, Subject};
use hallrelay_balancer::types::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the loopback waits for what must come, and for what must not.
const SOON: Duration = Duration::from_secs(10);
const QUIET: Duration = Duration::from_millis(300);

#[derive(Default)]
pub struct Loopback {
    relay: Option<std::net::SocketAddr>,
    listeners: BTreeMap<String, TcpListener>,
    peers: BTreeMap<String, BufReader<TcpStream>>,
    got: Vec<String>,
    flood: String,
    /// The configuration's text as the relay finds it when told to read it anew.
    text: Arc<Mutex<Value>>,
}

impl Loopback {
    fn start(&mut self) -> Result<(), Fault> {
        let bind = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
        let (place, discovery) = (bind()?.local_addr().map_err(|e| e.to_string())?, bind()?);
        self.listeners.insert("moved".to_string(), bind()?);
        let mut known = Vec::new();
        for name in ["1", "2"] {
            let listener = bind()?;
            known.push((name.to_string(), listener.local_addr().map_err(|e| e.to_string())?.to_string()));
            self.listeners.insert(name.to_string(), listener);
        }
        let found = discovery.local_addr().map_err(|e| e.to_string())?.to_string();
        self.listeners.insert("list".to_string(), discovery);
        let text = text(&place.to_string(), &found, &known);
        let node = node(&text)?;
        *self.text.lock().map_err(|e| e.to_string())? = text;
        let text = self.text.clone();
        let reread = move || self::node(&*text.lock().map_err(|e| e.to_string())?);
        // It ends with the test's process.
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let served = hallrelay_relay::net::serve::run(node, reread, log);
            tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), served).expect("it serves");
        });
        self.relay = Some(place);
        Ok(())
    }

    fn connect(&self) -> Result<TcpStream, Fault> {
        let place = self.relay.ok_or("not started")?;
        let started = std::time::Instant::now();
        loop {
            match TcpStream::connect(place) {
                Ok(stream) => return Ok(stream),
                Err(_) if started.elapsed() < SOON => std::thread::sleep(Duration::from_millis(10)),
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// A client's connection is made as it is first named, a backend's as it is waited for.
    fn peer(&mut self, who: &str) -> Result<&mut BufReader<TcpStream>, Fault> {
        if !self.peers.contains_key(who) {
            let stream = match self.listeners.get(who) {
                Some(listener) => accepted(listener, SOON).ok_or(format!("nobody dials {who}"))?,
                None => self.connect()?,
            };
            stream.set_read_timeout(Some(SOON)).map_err(|e| e.to_string())?;
            self.peers.insert(who.to_string(), BufReader::new(stream));
        }
        Ok(self.peers.get_mut(who).expect("just there"))
    }
}

fn signal(name: &str) -> std::io::Result<()> {
    let kill = format!("kill -{name} {}", std::process::id());
    std::process::Command::new("sh").args(["-c", &kill]).status().map(|_| ())
}

fn accepted(listener: &TcpListener, within: Duration) -> Option<TcpStream> {
    listener.set_nonblocking(true).ok()?;
    let started = std::time::Instant::now();
    while started.elapsed() < within {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).ok()?;
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Whether a line is as wanted, where a star stands for anything.
fn like(line: &str, wanted: &str) -> bool {
    match wanted.split_once('*') {
        None => line == wanted,
        Some((head, tail)) => {
            line.len() >= head.len() + tail.len() && line.starts_with(head) && line.ends_with(tail)
        }
    }
}

impl Subject for Loopback {
    fn site(&mut self, _: &[&str]) -> Result<(), Fault> {
        Err("the loopback has one site".to_string())
    }

    fn input(&mut self, _: Micros, words: &[&str]) -> Result<(), Fault> {
        self.got.clear();
        if self.relay.is_none() {
            self.start()?;
        }
        let [who, deed, rest @ ..] = words else { return Err("too short".to_string()) };
        let rest = rest.join(" ");
        // `x4097` is so many x.
        let rest = match rest.strip_prefix('x').and_then(|n| n.parse().ok()) {
            Some(count) => "x".repeat(count),
            None => rest.replace("\\n", "\r\n"),
        };
        let told = |e: std::io::Error| format!("{who}: {e}");
        match *deed {
            ">" => self.peer(who)?.get_mut().write_all(format!("{rest}\r\n").as_bytes()).map_err(told)?,
            ">>" => self.peer(who)?.get_mut().write_all(rest.as_bytes()).map_err(told)?,
            "<" => {
                let mut line = String::new();
                self.peer(who)?.read_line(&mut line).map_err(told)?;
                let line = line.strip_suffix("\r\n").unwrap_or("an end without a line").to_string();
                self.got.push(if like(&line, &rest) { "so".to_string() } else { line });
            }
            "over" => {
                let mut waste = Vec::new();
                // A reset is an end as well.
                _ = self.peer(who)?.read_to_end(&mut waste);
                self.got.push(if waste.is_empty() { "so".into() } else { format!("{} bytes", waste.len()) });
                self.peers.remove(*who);
            }
            "ends" => _ = self.peers.remove(*who),
            "none" => {
                let listener = self.listeners.get(*who).ok_or("only backends are dialled")?;
                let came = accepted(listener, QUIET).is_some();
                self.got.push(if came { "a connection came".into() } else { "so".into() });
            }
            "waits" => {
                let quiet = Duration::from_millis(num(&rest)?);
                let stream = self.peer(who)?.get_ref();
                stream.set_read_timeout(Some(quiet)).map_err(told)?;
                let early = stream.peek(&mut [0]).is_ok();
                stream.set_read_timeout(Some(SOON)).map_err(told)?;
                self.got.push(if early { "something came".into() } else { "so".into() });
            }
            "floods" => {
                // More than all buffers on the way hold, so that at some point nothing more goes.
                let stream = self.peer(who)?.get_mut();
                stream.set_write_timeout(Some(QUIET)).map_err(told)?;
                let lines: String = (0..2_000_000).map(|i| format!("line {i}\r\n")).collect();
                let mut from = 0;
                while from < lines.len() {
                    match stream.write(&lines.as_bytes()[from..(from + 65_536).min(lines.len())]) {
                        Ok(count) => from += count,
                        Err(_) => break,
                    }
                }
                if from == lines.len() {
                    return Err("all lines went".to_string());
                }
                self.flood = lines[..from].to_string();
            }
            "drinks" => {
                let mut got = vec![0; self.flood.rfind("\r\n").ok_or("no flood")? + 2];
                let wanted = self.flood.as_bytes()[..got.len()].to_vec();
                self.peer(who)?.read_exact(&mut got).map_err(told)?;
                self.got.push(if got == wanted { "so".into() } else { "other bytes".into() });
            }
            "stops" => {
                // Every relay of this process is told; those of earlier scenarios are done with.
                signal("TERM").map_err(told)?;
            }
            "reloads" => {
                let moved = self.listeners["moved"].local_addr().map_err(told)?.to_string();
                let discovery = if rest == "faulty" { rest } else { moved };
                self.text.lock().map_err(|e| e.to_string())?["discovery"] = json!(discovery);
                signal("HUP").map_err(told)?;
            }
            "shuts" => _ = self.listeners.remove(*who),
            other => return Err(format!("unknown deed '{other}'")),
        }
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        self.got.clone()
    }
}
