//! Real relay processes: started with a configuration of their own, watched, told to stop, killed. None
//! outlives the laboratory.
use hallrelay_emulator::service::RelayFigures;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use tokio::process::{Child, Command};

/// Which relay is started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Program {
    /// The one that this laboratory was built with, as a process of its own.
    Own,
    /// Another build.
    At(PathBuf),
}

impl Program {
    fn command(&self) -> Result<Command, String> {
        match self {
            Program::Own => {
                let own = std::env::current_exe().map_err(|e| format!("this program is not found: {e}"))?;
                let mut command = Command::new(own);
                command.arg("relay");
                Ok(command)
            }
            Program::At(path) => Ok(Command::new(path)),
        }
    }
}

pub struct Process {
    child: Child,
    pub pid: u32,
}

impl Process {
    /// Starts a relay with a configuration's file; what it logs goes behind what is in a file already.
    pub fn start(
        program: &Program,
        config: &Path,
        log: &Path,
        meets: Option<&Path>,
    ) -> Result<Process, String> {
        let told = |e: std::io::Error| format!("{}: {e}", log.display());
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).map_err(told)?;
        let mut command = program.command()?;
        command.arg("serve").arg("--config").arg(config);
        for name in ["NODE_CONFIG", "NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_OPERATOR"] {
            command.env_remove(name);
        }
        // Where processes of one relay meet, if they are to.
        match meets {
            Some(folder) => command.env("TMPDIR", folder),
            None => command.env_remove("TMPDIR"),
        };
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).kill_on_drop(true);
        // An interrupt from the keyboard is the laboratory's to hear; it ends them itself.
        command.process_group(0);
        // SAFETY: prctl is safe to call between fork and exec; it only sets what happens as the parent ends.
        unsafe {
            command.pre_exec(|| match libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            });
        }
        let child = command.spawn().map_err(|e| format!("the relay does not start: {e}"))?;
        let pid = child.id().ok_or("the relay ended at once")?;
        Ok(Process { child, pid })
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is our own child, and is not reaped as long as this value lives.
        unsafe { libc::kill(self.pid as i32, signal) };
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub async fn kill(&mut self) {
        _ = self.child.kill().await;
    }

    /// What the system counts of it: CPU seconds, most resident memory, descriptors now.
    pub fn figures(&self) -> Option<RelayFigures> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // Fields 14 and 15 of the whole line, user and system time, in ticks.
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // SAFETY: sysconf reads a constant.
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

/// How a process ended, in words.
pub fn how(status: ExitStatus) -> String {
    match (status.code(), status.signal()) {
        (Some(code), _) => format!("exit {code}"),
        (None, Some(signal)) => format!("signal {signal}"),
        (None, None) => "no status".to_string(),
    }
}

/// The last lines of a log, for whoever asks why.
pub fn tail(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let lines: Vec<&str> = text.lines().collect();
    lines[lines.len().saturating_sub(5)..].join("\n")
}
