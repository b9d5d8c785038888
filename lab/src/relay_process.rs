//! Starts, observes, signals and kills relay processes, each with its own configuration. No relay process
//! outlives the laboratory.
use crate::error::LabError;
use hallrelay_emulator::service::RelayFigures;
use std::fs::OpenOptions;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, Command};

/// The build of the relay to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Program {
    /// The relay that is built into this program, started as a separate process.
    Own,
    /// The program file of another build.
    At(PathBuf),
}

impl Program {
    fn command(&self) -> Result<Command, LabError> {
        match self {
            Program::Own => {
                let own = std::env::current_exe().map_err(LabError::OwnProgram)?;
                let mut command = Command::new(own);
                command.arg("relay");
                Ok(command)
            }
            Program::At(path) => Ok(Command::new(path)),
        }
    }
}

/// Environment variables with settings of a relay. They are removed for relays of the laboratory.
const SETTINGS_IN_ENVIRONMENT: [&str; 5] =
    ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"];

/// A relay process. Dropping this value kills the process.
pub struct Process {
    child: Child,
    /// The process ID.
    pub pid: u32,
}

impl Process {
    /// Starts a relay with a configuration file. Its log is appended to `log`. Processes of one relay that
    /// must find each other for a hot restart share `hot_restart_folder`.
    ///
    /// # Errors
    /// If the log can't be opened or the program can't be started.
    pub fn start(
        program: &Program,
        config: &Path,
        log: &Path,
        hot_restart_folder: Option<&Path>,
    ) -> Result<Process, LabError> {
        let log_file = OpenOptions::new().create(true).append(true).open(log).map_err(LabError::file(log))?;
        let mut command = program.command()?;
        command.arg("serve").arg("--config").arg(config);
        for name in SETTINGS_IN_ENVIRONMENT {
            command.env_remove(name);
        }
        match hot_restart_folder {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log_file).kill_on_drop(true);
        // Keeps Ctrl-C away from the relays; the laboratory handles it and ends them itself.
        command.process_group(0);
        // SAFETY: prctl is safe to call between fork and exec; it only sets the signal for the parent's end.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command.spawn().map_err(LabError::RelaySpawn)?;
        let pid = child.id().ok_or(LabError::RelayEndedAtOnce)?;
        Ok(Process { child, pid })
    }

    /// Sends a signal to the process, such as `SIGTERM`.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is our own child, and is not reaped as long as this value lives.
        unsafe { libc::kill(self.pid as i32, signal) };
    }

    /// Exit status of the process; `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process and waits until it has ended.
    pub async fn kill(&mut self) {
        _ = self.child.kill().await;
    }

    /// CPU seconds, peak resident memory and current number of descriptors, as reported in `/proc`; `None` if
    /// they can't be read, for example because the process has ended.
    pub fn usage(&self) -> Option<RelayFigures> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // Fields 14 and 15 of the line are user and system time in ticks.
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // SAFETY: sysconf only reads a constant.
        let per_second = unsafe { libc::sysconf(libc::_SC_CLK_TCK) }.max(1) as f64;
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid)).ok()?;
        let resident = status.lines().find(|l| l.starts_with("VmHWM:"))?.split_whitespace().nth(1)?;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.pid)).ok()?.count() as u64;
        Some(RelayFigures {
            cpu_s: ticks as f64 / per_second,
            resident_mb: resident.parse::<f64>().ok()? / 1024.0,
            descriptors,
            ..RelayFigures::default()
        })
    }
}

/// Describes how a process ended: `exit 1`, `signal 9`.
pub fn describe_exit(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("exit {code}"),
        (None, Some(signal)) => format!("signal {signal}"),
        (None, None) => "no status".to_string(),
    }
}

/// The last five lines of a log; empty if it can't be read.
pub fn log_tail(log: &Path) -> String {
    const LINES: usize = 5;
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(LINES)..].join("\n")
}
