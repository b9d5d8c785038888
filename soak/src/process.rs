//! Relay processes: started with the fault injection library, told to stop or to reload, killed. None outlives
//! the harness.
use crate::faults::{Control, LIBRARY};
use crate::ledger::{End, Ledger, Life};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After SIGTERM a process is left alone for the longest dial timeout, 3 s at most, and so long.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
const READY: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(10);

/// One relay: its configuration and its running process.
pub struct Relay {
    pub number: usize,
    pub listen: SocketAddr,
    pub control: Arc<Control>,
    pub text: Value,
    /// Environment variables of its processes beside the library's: planted faults.
    pub environment: Vec<(String, String)>,
    /// Where its processes' standard error goes; a file of the relay's folder if it is not set.
    pub log: Option<PathBuf>,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    life: Option<usize>,
    ledger: Ledger,
}

impl Relay {
    /// Nothing runs yet. `program` is started as `PROGRAM relay serve --config FILE`.
    pub fn new(number: usize, program: &Path, folder: &Path, text: Value, ledger: Ledger) -> Relay {
        let listen = crate::free();
        let folder = folder.join(format!("relay-{number}"));
        std::fs::create_dir_all(&folder).expect("a folder for a relay");
        let control = Arc::new(Control::new(&folder.join("faults"), listen.port()).expect("a control file"));
        let mut text = text;
        text["listen"] = json!(listen.to_string());
        text["name"] = json!(format!("relay-{number}"));
        text["settings"]["SlotNo"] = json!(number);
        Relay {
            number,
            listen,
            control,
            text,
            environment: Vec::new(),
            log: None,
            folder,
            program: program.to_path_buf(),
            child: None,
            life: None,
            ledger,
        }
    }

    pub fn log(&self) -> PathBuf {
        self.log.clone().unwrap_or_else(|| self.folder.join("log"))
    }

    fn write_config(&self) -> PathBuf {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.text.to_string()).expect("a configuration");
        path
    }

    /// Starts a process; `until_ready` waits for it. The system kills it as the calling thread ends.
    pub fn start(&mut self) {
        let config = self.write_config();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.log()).expect("a log");
        let mut command = Command::new(&self.program);
        command.args(["relay", "serve", "-vv", "--config"]).arg(config);
        command.env("TMPDIR", &self.folder).env("LD_PRELOAD", LIBRARY).env("FAULTS_FILE", &self.control.path);
        for name in ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"] {
            command.env_remove(name);
        }
        command.envs(self.environment.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // SAFETY: prctl is safe between fork and exec; it only sets what happens as the parent ends.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        self.child = Some(command.spawn().expect("the relay starts"));
        let started = self.ledger.now();
        let life = Life { relay: self.number, started, ready: None, told_to_stop: None, ended: None };
        self.life = Some(self.ledger.write(|book| {
            book.lives.push(life);
            book.lives.len() - 1
        }));
    }

    /// Starts a process that is to take the running one's place, and returns the one that runs.
    pub fn start_successor(&mut self) -> Option<Predecessor> {
        let (child, life) = (self.child.take()?, self.life?);
        // Each process has an address of its own for operators.
        self.text["operator"] = json!(crate::free().to_string());
        self.start();
        Some(Predecessor { child, life, ledger: self.ledger.clone() })
    }

    /// Goes on with a process whose successor did not start.
    pub fn keep(&mut self, before: Predecessor) {
        (self.child, self.life) = (Some(before.child), Some(before.life));
    }

    fn note(&self, change: impl FnOnce(&mut Life)) {
        if let Some(life) = self.life {
            self.ledger.write(|book| change(&mut book.lives[life]));
        }
    }

    /// Waits till it answers `PING`, for a bounded time; false where it does not.
    pub fn until_ready(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < READY {
            if pings(self.listen) {
                let now = self.ledger.now();
                self.note(|life| life.ready = Some(now));
                return true;
            }
            std::thread::sleep(POLL);
        }
        false
    }

    pub fn signal(&self, signal: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: it is our own child, and is not reaped as long as this value holds it.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Reads the configuration anew. A process so young that its program has not begun is left alone: the system
    /// ends it by any signal, whatever the program is.
    pub fn reload(&self) {
        const BEGUN: Duration = Duration::from_millis(30);
        let life = self.life.map(|life| self.ledger.write(|book| book.lives[life].started));
        if life.is_some_and(|started| self.ledger.now() >= started + BEGUN) {
            self.write_config();
            self.signal(libc::SIGHUP);
        }
    }

    /// Whether a process runs; one that has ended unasked is written down.
    pub fn runs(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        if child.try_wait().expect("our own child").is_none() {
            return true;
        }
        self.child = None;
        let now = self.ledger.now();
        self.note(|life| {
            let end = if life.told_to_stop.is_some() { End::Left } else { End::Crashed };
            life.ended = Some((now, end));
        });
        false
    }

    pub fn kill(&mut self) {
        if !self.runs() {
            return;
        }
        let now = self.ledger.now();
        self.note(|life| {
            let end = if life.told_to_stop.is_some() { End::TooLate } else { End::Killed };
            life.ended = Some((now, end));
        });
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Tells it to stop. `watch_stop` has to be called till it has ended.
    pub fn begin_stop(&self) {
        let now = self.ledger.now();
        self.note(|life| life.told_to_stop = Some(now));
        self.signal(libc::SIGTERM);
    }

    /// Waits till it has left, or kills it as its time is up.
    pub fn finish_stop(&mut self, longest_wait: Duration) {
        let by = Instant::now() + longest_wait + KILL_MARGIN;
        while Instant::now() < by {
            if !self.runs() {
                return;
            }
            std::thread::sleep(POLL);
        }
        self.kill();
    }
}

/// A process whose place another one takes.
pub struct Predecessor {
    child: Child,
    life: usize,
    ledger: Ledger,
}

impl Predecessor {
    /// Tells it to stop, and kills it as its time is up.
    pub fn stop(mut self, longest_wait: Duration) {
        let now = self.ledger.now();
        self.ledger.write(|book| book.lives[self.life].told_to_stop = Some(now));
        // SAFETY: it is our own child, and is not reaped as long as this value holds it.
        unsafe { libc::kill(self.child.id() as libc::pid_t, libc::SIGTERM) };
        let by = Instant::now() + longest_wait + KILL_MARGIN;
        let mut end = End::TooLate;
        while Instant::now() < by && end == End::TooLate {
            if self.child.try_wait().expect("our own child").is_some() {
                end = End::Left;
            }
            std::thread::sleep(POLL);
        }
        _ = self.child.kill();
        _ = self.child.wait();
        let now = self.ledger.now();
        self.ledger.write(|book| book.lives[self.life].ended = Some((now, end)));
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

fn pings(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen) else { return false };
    _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(b"PING\r\n").is_err() {
        return false;
    }
    let mut line = String::new();
    matches!(BufReader::new(stream).read_line(&mut line), Ok(1..)) && line.trim_end() == "PONG"
}
