//! Reads all logs of a directory, one after another, line by line.
use super::attempt::{Attempt, Moment};
use super::error::LogsError;
use super::parse::{self, Entry, Line, Time};
use super::process::RelayLog;
use super::rows::Read;
use hallrelay_balancer::types::Micros;
use hallrelay_config::list::List;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};

/// Longest line that is read, in bytes. A list of thousands of backends is shorter.
const MAX_LINE_BYTES: u64 = 4 << 20;

/// Longest time that the logs may span: a week. It is limited because a row is kept for each second.
const MAX_DAY: Micros = 7 * 86_400_000_000;

/// Receives the contents of the logs.
pub trait Reader {
    /// An attempt whose end is known.
    fn attempt(&mut self, attempt: Attempt);
    /// A list of backends that a relay received or started with.
    fn list(&mut self, _at: Moment, _list: &List) {}
    /// Any other entry of a log, also those of sessions.
    fn entry(&mut self, _at: Moment, _entry: &Entry) {}
}

/// The logs of one day.
pub struct Logs {
    files: Vec<PathBuf>,
    /// Earliest clock time in any log. A test environment may begin each line with the time since the start
    /// of the day; the other lines are dated relative to this value.
    start: Micros,
    /// The latest moment in any log.
    pub day_end: Micros,
}

impl Logs {
    /// Finds all files `*.log` in a directory, and determines from them when the day begins and ends.
    pub fn find(folder: &Path) -> Result<Logs, LogsError> {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(folder).map_err(LogsError::file(folder))? {
            let path = entry.map_err(LogsError::file(folder))?.path();
            if path.extension().is_some_and(|kind| kind == "log") {
                files.push(path);
            }
        }
        files.sort();
        let mut logs = Logs { files, start: Micros::MAX, day_end: 0 };
        logs.span()?;
        if logs.day_end > MAX_DAY {
            return Err(LogsError::DayTooLong { folder: folder.to_path_buf() });
        }
        Ok(logs)
    }

    /// Number of logs.
    pub fn count(&self) -> usize {
        self.files.len()
    }

    /// Reads all logs.
    pub fn read(&self, reader: &mut dyn Reader) -> Result<Read, LogsError> {
        let mut read = Read::default();
        for path in &self.files {
            self.read_file(path, reader, &mut read)?;
        }
        Ok(read)
    }

    /// First pass: determines when the day begins and ends.
    fn span(&mut self) -> Result<(), LogsError> {
        let mut last = Vec::new();
        for path in &self.files {
            let mut newest = None;
            let mut lines = Lines::open(path)?;
            while let Some(text) = lines.next()? {
                let Some(time) = text.and_then(parse::time) else { continue };
                self.start = self.start.min(time.clock);
                newest = Some(time);
            }
            last.extend(newest);
        }
        self.day_end = last.into_iter().map(|time| self.moment(time).day).max().unwrap_or(0);
        Ok(())
    }

    fn moment(&self, time: Time) -> Moment {
        let since_start = time.clock.saturating_sub(self.start);
        Moment { day: time.prefix.unwrap_or(since_start), clock: time.clock }
    }

    fn read_file(&self, path: &Path, reader: &mut dyn Reader, read: &mut Read) -> Result<(), LogsError> {
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let mut lines = Lines::open(path)?;
        let mut relay = RelayLog::new(&name);
        // A configuration has no time, so its list is dated with the next line.
        let mut configured = None;
        let mut entries = 0;
        while let Some(text) = lines.next()? {
            read.lines += 1;
            let line = text.map_or(Line::Unknown, parse::line);
            match line {
                Line::Unknown => read.unknown += 1,
                Line::Cut => read.cut += 1,
                Line::Configured(list) => {
                    relay.process_started();
                    configured = list;
                }
                Line::Logged { time, entry } => {
                    let at = self.moment(time);
                    if let Some(list) = configured.take() {
                        reader.list(at, &list);
                    }
                    relay.entry(at, &entry);
                    entries += u64::from(entry.is_event_or_effect());
                    match entry {
                        Entry::Dropped(lines) => read.dropped += lines,
                        Entry::EndpointList(list) => reader.list(at, &list),
                        entry => reader.entry(at, &entry),
                    }
                }
            }
            relay.take_done().for_each(|attempt| reader.attempt(attempt));
        }
        relay.finish(self.day_end);
        relay.take_done().for_each(|attempt| reader.attempt(attempt));
        read.relays += u64::from(entries > 0);
        read.entries += entries;
        read.processes += relay.processes;
        Ok(())
    }
}

/// The lines of a file, each without its line ending.
struct Lines {
    path: PathBuf,
    file: BufReader<File>,
    line: Vec<u8>,
}

impl Lines {
    fn open(path: &Path) -> Result<Lines, LogsError> {
        let file = File::open(path).map_err(LogsError::file(path))?;
        Ok(Lines { path: path.to_path_buf(), file: BufReader::new(file), line: Vec::new() })
    }

    /// The next line; `Some(None)` if it is not UTF-8 or longer than [`MAX_LINE_BYTES`], `None` at the end.
    fn next(&mut self) -> Result<Option<Option<&str>>, LogsError> {
        let length = self.read_limited()?;
        if length == 0 {
            return Ok(None);
        }
        if self.line.last() != Some(&b'\n') && length as u64 == MAX_LINE_BYTES {
            self.skip_line()?;
            return Ok(Some(None));
        }
        let text = std::str::from_utf8(&self.line).ok();
        Ok(Some(text.map(|text| text.trim_end_matches(['\n', '\r']))))
    }

    /// Reads to the end of the line, but at most [`MAX_LINE_BYTES`]. Returns the number of bytes.
    fn read_limited(&mut self) -> Result<usize, LogsError> {
        use std::io::Read;
        self.line.clear();
        let mut limited = self.file.by_ref().take(MAX_LINE_BYTES);
        limited.read_until(b'\n', &mut self.line).map_err(LogsError::file(&self.path))
    }

    fn skip_line(&mut self) -> Result<(), LogsError> {
        while self.read_limited()? > 0 && self.line.last() != Some(&b'\n') {}
        Ok(())
    }
}
