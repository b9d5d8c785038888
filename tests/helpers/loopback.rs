//! `LoopbackSubject` is the relay with sockets on 127.0.0.1. An input is `PARTY ACTION [TEXT]`. Letters
//! are clients; the digits `1` and `2` are backends of the first endpoint list; `list` is discovery, and
//! `moved` is its new address. A client connects when a line first names it, and a backend or discovery
//! accepts a connection when a line first names it.
//! Actions:
//!   `send-line` sends TEXT and a line end (`\n` in it is a line end too), `send` sends TEXT only,
//!   `close` closes the connection, `stop-listening` closes the listening socket, `send-until-blocked`
//!   sends numbered lines until the relay reads no more, `relay sigterm`, `relay sighup` with discovery
//!   at `moved`, `relay sighup invalid` with an invalid configuration.
//! These actions have the effect `as-expected` if it holds:
//!   `expect-line` reads this line (`*` stands for any text), `expect-close` reads the end of the
//!   connection, `expect-no-connection` sees no connection within 300 ms, `expect-silence MS` receives
//!   nothing for this time, `read-all` reads all complete lines of `send-until-blocked`.
use super::{configuration_json, parse_node};
use crate::{parse_number, Fault, Subject};
use hallrelay_balancer::types::Micros;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Longest wait for an expected connection or line.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time within which `expect-no-connection` must see no connection, and write timeout of
/// `send-until-blocked`.
const QUIET_TIME: Duration = Duration::from_millis(300);

/// The effect of an `expect` action that holds.
const AS_EXPECTED: &str = "as-expected";

#[derive(Default)]
pub struct LoopbackSubject {
    relay: Option<std::net::SocketAddr>,
    listening_sockets: BTreeMap<String, TcpListener>,
    connections: BTreeMap<String, BufReader<TcpStream>>,
    results: Vec<String>,
    /// The lines that `send-until-blocked` sent. The last one may be partial.
    sent_lines: String,
    /// The configuration that the relay reads on SIGHUP.
    configuration: Arc<Mutex<Value>>,
}

impl LoopbackSubject {
    fn start(&mut self) -> Result<(), Fault> {
        let bind = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
        let (relay, discovery) = (bind()?.local_addr().map_err(|e| e.to_string())?, bind()?);
        self.listening_sockets.insert("moved".to_string(), bind()?);
        let mut known = Vec::new();
        for name in ["1", "2"] {
            let socket = bind()?;
            known.push((name.to_string(), socket.local_addr().map_err(|e| e.to_string())?.to_string()));
            self.listening_sockets.insert(name.to_string(), socket);
        }
        let discovery_addr = discovery.local_addr().map_err(|e| e.to_string())?.to_string();
        self.listening_sockets.insert("list".to_string(), discovery);
        let json = configuration_json(&relay.to_string(), &discovery_addr, &known);
        let node = parse_node(&json)?;
        *self.configuration.lock().map_err(|e| e.to_string())? = json;
        let configuration = self.configuration.clone();
        let reload = move || parse_node(&*configuration.lock().map_err(|e| e.to_string())?);
        // The thread ends with the test process.
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let serving = hallrelay_relay::net::serve::run(node, reload, log);
            tokio::task::LocalSet::new()
                .block_on(&runtime.expect("build a runtime"), serving)
                .expect("run the relay");
        });
        self.relay = Some(relay);
        Ok(())
    }

    fn connect(&self) -> Result<TcpStream, Fault> {
        let relay = self.relay.ok_or("the relay was not started")?;
        let started = std::time::Instant::now();
        loop {
            match TcpStream::connect(relay) {
                Ok(stream) => return Ok(stream),
                Err(_) if started.elapsed() < RECEIVE_TIMEOUT => {
                    std::thread::sleep(Duration::from_millis(10))
                }
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    /// The connection of a party. On its first use, a client connects and another party accepts.
    fn connection(&mut self, party: &str) -> Result<&mut BufReader<TcpStream>, Fault> {
        if !self.connections.contains_key(party) {
            let stream = match self.listening_sockets.get(party) {
                Some(socket) => accept(socket, RECEIVE_TIMEOUT)
                    .ok_or(format!("no connection to {party} within {RECEIVE_TIMEOUT:?}"))?,
                None => self.connect()?,
            };
            stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).map_err(|e| e.to_string())?;
            self.connections.insert(party.to_string(), BufReader::new(stream));
        }
        Ok(self.connections.get_mut(party).expect("the connection was just inserted"))
    }
}

fn signal(name: &str) -> std::io::Result<()> {
    let kill = format!("kill -{name} {}", std::process::id());
    std::process::Command::new("sh").args(["-c", &kill]).status().map(|_| ())
}

fn accept(socket: &TcpListener, within: Duration) -> Option<TcpStream> {
    socket.set_nonblocking(true).ok()?;
    let started = std::time::Instant::now();
    while started.elapsed() < within {
        if let Ok((stream, _)) = socket.accept() {
            stream.set_nonblocking(false).ok()?;
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    None
}

/// Whether a line equals the pattern, in which `*` stands for any text.
fn matches_pattern(line: &str, pattern: &str) -> bool {
    match pattern.split_once('*') {
        None => line == pattern,
        Some((head, tail)) => {
            line.len() >= head.len() + tail.len() && line.starts_with(head) && line.ends_with(tail)
        }
    }
}

impl Subject for LoopbackSubject {
    fn set_site(&mut self, _: &[&str]) -> Result<(), Fault> {
        Err("loopback scripts take no site line".to_string())
    }

    fn input(&mut self, _: Micros, words: &[&str]) -> Result<(), Fault> {
        self.results.clear();
        if self.relay.is_none() {
            self.start()?;
        }
        let [party, action, text @ ..] = words else {
            return Err(format!("'{}' lacks a party or an action", words.join(" ")));
        };
        let text = text.join(" ");
        // `x4097` stands for 4,097 times the letter x.
        let text = match text.strip_prefix('x').and_then(|n| n.parse().ok()) {
            Some(count) => "x".repeat(count),
            None => text.replace("\\n", "\r\n"),
        };
        let fault = |e: std::io::Error| format!("{party}: {e}");
        match *action {
            "send-line" => self
                .connection(party)?
                .get_mut()
                .write_all(format!("{text}\r\n").as_bytes())
                .map_err(fault)?,
            "send" => self.connection(party)?.get_mut().write_all(text.as_bytes()).map_err(fault)?,
            "expect-line" => {
                let mut line = String::new();
                self.connection(party)?.read_line(&mut line).map_err(fault)?;
                let line =
                    line.strip_suffix("\r\n").unwrap_or("the connection ended without a line").to_string();
                self.results.push(if matches_pattern(&line, &text) { AS_EXPECTED.into() } else { line });
            }
            "expect-close" => {
                let mut received = Vec::new();
                // A read error is ignored, because a reset is also an end of the connection.
                _ = self.connection(party)?.read_to_end(&mut received);
                let early = format!("{} bytes before the end of the connection", received.len());
                self.results.push(if received.is_empty() { AS_EXPECTED.into() } else { early });
                self.connections.remove(*party);
            }
            "close" => _ = self.connections.remove(*party),
            "expect-no-connection" => {
                let socket =
                    self.listening_sockets.get(*party).ok_or(format!("{party} has no listening socket"))?;
                let connected = accept(socket, QUIET_TIME).is_some();
                self.results.push(if connected { "a connection".into() } else { AS_EXPECTED.into() });
            }
            "expect-silence" => {
                let span = Duration::from_millis(parse_number(&text)?);
                let stream = self.connection(party)?.get_ref();
                stream.set_read_timeout(Some(span)).map_err(fault)?;
                let received = stream.peek(&mut [0]).is_ok();
                stream.set_read_timeout(Some(RECEIVE_TIMEOUT)).map_err(fault)?;
                self.results.push(if received { "data or an end".into() } else { AS_EXPECTED.into() });
            }
            "send-until-blocked" => {
                // These lines are larger than all buffers on the path, so that a write blocks at some point.
                let stream = self.connection(party)?.get_mut();
                stream.set_write_timeout(Some(QUIET_TIME)).map_err(fault)?;
                let lines: String = (0..2_000_000).map(|i| format!("line {i}\r\n")).collect();
                let mut sent = 0;
                while sent < lines.len() {
                    match stream.write(&lines.as_bytes()[sent..(sent + 65_536).min(lines.len())]) {
                        Ok(count) => sent += count,
                        Err(_) => break,
                    }
                }
                if sent == lines.len() {
                    return Err("all lines were sent, no write blocked".to_string());
                }
                self.sent_lines = lines[..sent].to_string();
            }
            "read-all" => {
                let end = self.sent_lines.rfind("\r\n").ok_or("no party has sent lines until blocked")?;
                let mut received = vec![0; end + 2];
                let expected = self.sent_lines.as_bytes()[..received.len()].to_vec();
                self.connection(party)?.read_exact(&mut received).map_err(fault)?;
                self.results.push(if received == expected {
                    AS_EXPECTED.into()
                } else {
                    "other bytes".into()
                });
            }
            "sigterm" => {
                // All relays of this process get the signal. Relays of earlier scripts are no longer in use.
                signal("TERM").map_err(fault)?;
            }
            "sighup" => {
                let moved = self.listening_sockets["moved"].local_addr().map_err(fault)?.to_string();
                let discovery = if text == "invalid" { text } else { moved };
                self.configuration.lock().map_err(|e| e.to_string())?["discovery"] = json!(discovery);
                signal("HUP").map_err(fault)?;
            }
            "stop-listening" => _ = self.listening_sockets.remove(*party),
            other => return Err(format!("unknown action '{other}'")),
        }
        Ok(())
    }

    fn effects(&mut self) -> Vec<String> {
        self.results.clone()
    }
}
