//! Why logs can't be accounted for.
use std::path::{Path, PathBuf};

/// Why the logs of a day can't be read, or their account can't be trusted.
#[derive(Debug, thiserror::Error)]
pub enum LogsError {
    /// A log, or the folder, can't be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The log or the folder.
        path: PathBuf,
        /// What the system answered.
        source: std::io::Error,
    },
    /// First and last line are more than a week apart.
    #[error("{}: the logs are of more than a week", folder.display())]
    DayTooLong {
        /// Where the logs are.
        folder: PathBuf,
    },
    /// No log holds an event of a session.
    #[error(
        "{}: no events in {files} files *.log, {lines} lines; relays must log at -vv (serve -vv)",
        folder.display()
    )]
    NoEvents {
        /// Where the logs are.
        folder: PathBuf,
        /// Logs read.
        files: usize,
        /// Lines read.
        lines: u64,
    },
    /// The session to follow is in no log.
    #[error("{}: no relay logged an OPEN with the id {id}", folder.display())]
    UnknownSession {
        /// Where the logs are.
        folder: PathBuf,
        /// Its id, as in an OPEN line.
        id: u64,
    },
    /// More attempts than may be are unaccounted for.
    #[error(
        "{percent:.1}% of the attempts are unaccounted for, over {max_percent}%: the logs are not whole"
    )]
    Incomplete {
        /// Part of the attempts that is unaccounted for.
        percent: f64,
        /// Largest part accepted.
        max_percent: f64,
    },
    /// The result can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl LogsError {
    /// For `map_err`: adds the file or folder that the system's answer is about.
    pub(super) fn file(path: &Path) -> impl Fn(std::io::Error) -> LogsError + '_ {
        move |source| LogsError::File { path: path.to_path_buf(), source }
    }
}
