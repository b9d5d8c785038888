//! Errors of the evaluation of logs.
use std::path::{Path, PathBuf};

/// The reason why the logs of a day can't be read, or why the result is not reliable.
#[derive(Debug, thiserror::Error)]
pub enum LogsError {
    /// A log or the directory can't be read.
    #[error("cannot read {}: {source}", path.display())]
    File {
        /// The log or the directory.
        path: PathBuf,
        /// The error that the system returned.
        source: std::io::Error,
    },
    /// The first and the last line are more than a week apart.
    #[error("{}: the logs span more than a week, the longest time that is evaluated", folder.display())]
    DayTooLong {
        /// The directory of the logs.
        folder: PathBuf,
    },
    /// No log contains events or effects.
    #[error(
        "{}: no events in {files} files *.log with {lines} lines; relays must log at -vv (serve -vv)",
        folder.display()
    )]
    NoEvents {
        /// The directory of the logs.
        folder: PathBuf,
        /// Number of logs read.
        files: usize,
        /// Number of lines read.
        lines: u64,
    },
    /// No log contains the session to follow.
    #[error("{}: no relay logged an OPEN with the id {id}", folder.display())]
    UnknownSession {
        /// The directory of the logs.
        folder: PathBuf,
        /// The id of the session, as in its OPEN line.
        id: u64,
    },
    /// Too many attempts are unaccounted for.
    #[error(
        "{percent:.1}% of the attempts are unaccounted for, at most {max_percent}% are accepted: \
         the logs are incomplete"
    )]
    Incomplete {
        /// Percentage of the attempts that are unaccounted for.
        percent: f64,
        /// Highest percentage accepted.
        max_percent: f64,
    },
    /// The result can't be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

impl LogsError {
    /// For `map_err`: adds the path of the file or directory to the system's error.
    pub(super) fn file(path: &Path) -> impl Fn(std::io::Error) -> LogsError + '_ {
        move |source| LogsError::File { path: path.to_path_buf(), source }
    }
}
