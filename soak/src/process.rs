//! Starts relay processes with the fault injection library, requests them to stop or to reload, and kills
//! them. The operating system kills all of them when the harness ends.
use crate::faults::{FaultControl, LIBRARY};
use crate::observations::{ExitReason, Process, ProcessEnd, Recorder, Timestamp};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time that a process has to exit after SIGTERM, in addition to the longest dial timeout, of which at most
/// 3 s count. After that the harness kills the process.
pub const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time from its start within which a process must answer `PING`.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// One relay with its configuration and its running process.
pub struct RelayProcess {
    /// The relay's number.
    pub number: usize,
    /// The address at which the relay listens for clients.
    pub listen: SocketAddr,
    /// Controls which system calls of the relay's processes fail.
    pub control: Arc<FaultControl>,
    /// The content of the relay's configuration file.
    pub config: Value,
    /// Additional environment variables of the relay's processes.
    pub environment: Vec<(String, String)>,
    /// File or device to which the relay's processes log. If it is `None`, they log to a file in the relay's
    /// folder.
    pub log: Option<PathBuf>,
    folder: PathBuf,
    program: PathBuf,
    child: Option<Child>,
    /// Position of the most recently started process in `Observations::processes`.
    process: Option<usize>,
    recorder: Recorder,
}

impl RelayProcess {
    /// Prepares a relay without starting it. `start` runs `PROGRAM relay serve --config FILE`.
    pub fn new(
        number: usize,
        program: &Path,
        folder: &Path,
        mut config: Value,
        recorder: Recorder,
    ) -> RelayProcess {
        let listen = crate::unused_address();
        let folder = folder.join(format!("relay-{number}"));
        std::fs::create_dir_all(&folder).expect("create the folder of the relay");
        let control = Arc::new(
            FaultControl::new(&folder.join("faults"), listen.port()).expect("create the fault control file"),
        );
        config["listen"] = json!(listen.to_string());
        config["name"] = json!(format!("relay-{number}"));
        config["settings"]["SlotNo"] = json!(number);
        RelayProcess {
            number,
            listen,
            control,
            config,
            environment: Vec::new(),
            log: None,
            folder,
            program: program.to_path_buf(),
            child: None,
            process: None,
            recorder,
        }
    }

    /// Returns the path of the relay's log.
    pub fn log_path(&self) -> PathBuf {
        self.log.clone().unwrap_or_else(|| self.folder.join("log"))
    }

    fn write_config(&self) -> PathBuf {
        let path = self.folder.join("config.json");
        std::fs::write(&path, self.config.to_string()).expect("write the relay's configuration file");
        path
    }

    /// Starts a process. `wait_until_ready` waits until it serves. The system kills the process when the
    /// calling thread ends.
    pub fn start(&mut self) {
        let config = self.write_config();
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path())
            .expect("open the relay's log");
        let mut command = Command::new(&self.program);
        command.args(["relay", "serve", "-vv", "--config"]).arg(config);
        command.env("TMPDIR", &self.folder).env("LD_PRELOAD", LIBRARY).env("FAULTS_FILE", &self.control.path);
        for name in ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"] {
            command.env_remove(name);
        }
        command.envs(self.environment.iter().cloned());
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        // SAFETY: prctl may be called between fork and exec. It only sets the signal for the parent's end.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        self.child = Some(command.spawn().expect("start the relay process"));
        let process = Process {
            relay: self.number,
            started_at: self.recorder.now(),
            ready_at: None,
            stop_requested_at: None,
            ended: None,
        };
        self.process = Some(self.recorder.record(|observations| {
            observations.processes.push(process);
            observations.processes.len() - 1
        }));
    }

    /// Starts a process that takes over from the running one. Returns the previously running process.
    pub fn start_successor(&mut self) -> Option<Predecessor> {
        let child = self.child.take()?;
        let process = self.process?;
        // Each process needs a separate operator address.
        self.config["operator"] = json!(crate::unused_address().to_string());
        self.start();
        Some(Predecessor { child, process, recorder: self.recorder.clone() })
    }

    /// Makes a process the relay's current one again after its successor failed to start.
    pub fn resume(&mut self, predecessor: Predecessor) {
        self.child = Some(predecessor.child);
        self.process = Some(predecessor.process);
    }

    fn record(&self, change: impl FnOnce(&mut Process)) {
        if let Some(process) = self.process {
            self.recorder.record(|observations| change(&mut observations.processes[process]));
        }
    }

    /// Waits for at most `READY_TIMEOUT` until the relay answers `PING`. Returns whether it answered.
    pub fn wait_until_ready(&mut self) -> bool {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if answers_ping(self.listen) {
                let now = self.recorder.now();
                self.record(|process| process.ready_at = Some(now));
                return true;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        false
    }

    /// Sends a signal to the relay's process, if one is running.
    pub fn signal(&self, signal: libc::c_int) {
        if let Some(child) = &self.child {
            // SAFETY: the process is a child that is not reaped while `self.child` holds it.
            unsafe { libc::kill(child.id() as libc::pid_t, signal) };
        }
    }

    /// Requests the relay to reload its configuration. Sends no signal during the first `PROGRAM_START` of a
    /// process, because a signal would end a process that has not yet executed its program.
    pub fn reload(&self) {
        const PROGRAM_START: Duration = Duration::from_millis(30);
        if self.started_at().is_some_and(|started_at| self.recorder.now() >= started_at + PROGRAM_START) {
            self.write_config();
            self.signal(libc::SIGHUP);
        }
    }

    fn started_at(&self) -> Option<Timestamp> {
        let process = self.process?;
        Some(self.recorder.record(|observations| observations.processes[process].started_at))
    }

    /// Returns whether a process is running. Records the end of a process that has exited.
    pub fn is_running(&mut self) -> bool {
        let Some(child) = &mut self.child else { return false };
        if child.try_wait().expect("query the status of the relay process").is_none() {
            return true;
        }
        self.child = None;
        let at = self.recorder.now();
        self.record(|process| {
            let is_requested = process.stop_requested_at.is_some();
            let reason = if is_requested { ExitReason::Exited } else { ExitReason::Crashed };
            process.ended = Some(ProcessEnd { at, reason });
        });
        false
    }

    /// Kills the relay's process, if one is running.
    pub fn kill(&mut self) {
        if !self.is_running() {
            return;
        }
        let at = self.recorder.now();
        self.record(|process| {
            let is_requested = process.stop_requested_at.is_some();
            let reason = if is_requested { ExitReason::KilledAtTimeLimit } else { ExitReason::Killed };
            process.ended = Some(ProcessEnd { at, reason });
        });
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }

    /// Requests the relay to stop. `finish_stop` waits for its exit.
    pub fn begin_stop(&self) {
        let now = self.recorder.now();
        self.record(|process| process.stop_requested_at = Some(now));
        self.signal(libc::SIGTERM);
    }

    /// Waits until the relay has exited, and kills it if it has not exited within `longest_wait` and
    /// `KILL_MARGIN`.
    pub fn finish_stop(&mut self, longest_wait: Duration) {
        let limit = Instant::now() + longest_wait + KILL_MARGIN;
        while Instant::now() < limit {
            if !self.is_running() {
                return;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        self.kill();
    }
}

/// A process from which a new process of the same relay takes over (hot restart).
pub struct Predecessor {
    child: Child,
    process: usize,
    recorder: Recorder,
}

impl Predecessor {
    /// Requests the process to stop, and kills it if it has not exited within `longest_wait` and
    /// `KILL_MARGIN`.
    pub fn stop(mut self, longest_wait: Duration) {
        let now = self.recorder.now();
        self.record(|process| process.stop_requested_at = Some(now));
        // SAFETY: the process is a child that is not reaped while `self.child` holds it.
        unsafe { libc::kill(self.child.id() as libc::pid_t, libc::SIGTERM) };
        let limit = Instant::now() + longest_wait + KILL_MARGIN;
        let mut reason = ExitReason::KilledAtTimeLimit;
        while Instant::now() < limit && reason == ExitReason::KilledAtTimeLimit {
            if self.child.try_wait().expect("query the status of the predecessor").is_some() {
                reason = ExitReason::Exited;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        _ = self.child.kill();
        _ = self.child.wait();
        let at = self.recorder.now();
        self.record(|process| process.ended = Some(ProcessEnd { at, reason }));
    }

    fn record(&self, change: impl FnOnce(&mut Process)) {
        self.recorder.record(|observations| change(&mut observations.processes[self.process]));
    }
}

impl Drop for RelayProcess {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
    }
}

fn answers_ping(listen: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(listen) else { return false };
    _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    if stream.write_all(b"PING\r\n").is_err() {
        return false;
    }
    let mut line = String::new();
    matches!(BufReader::new(stream).read_line(&mut line), Ok(1..)) && line.trim_end() == "PONG"
}
