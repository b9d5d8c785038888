//! Parses lines of a relay's log into the entries that the evaluation needs.
use super::fields;
use hallrelay_balancer::types::{DialEnd, LoadReport, Micros, Phase, SessionId};
use hallrelay_config::list::{self, Instance, List};
use std::net::SocketAddr;

/// Seconds from which on a number at the start of a line is not taken for the time of the day: one week.
const MAX_PREFIX_S: f64 = 7.0 * 86_400.0;

/// A classified line.
#[derive(Clone, Debug, PartialEq)]
pub enum Line {
    /// A line of a relay's log.
    Logged {
        /// When it was logged.
        time: Time,
        /// Its contents.
        entry: Entry,
    },
    /// A relay process starts. The line is the configuration of the process, which a test environment may
    /// write into the log. The value is the endpoint list in it, if that can be read. Such a line has no time
    /// of day.
    Configured(Option<List>),
    /// A relevant entry that is truncated.
    Cut,
    /// The line does not have the format of a relay's log.
    Unknown,
}

/// When a line was logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Time {
    /// Microseconds since the day began, from the prefix that a test environment may write.
    pub prefix: Option<Micros>,
    /// The relay's own clock, in microseconds since the start of the year.
    pub clock: Micros,
}

/// The parts of a client's first line that the evaluation needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opening {
    /// The id in the `OPEN` line of this attempt.
    pub id: u64,
    /// The client's idempotency key, which is the same in all its attempts; 0 if it has none.
    pub key: u64,
    /// Group of the session, 0 if it has none. Sessions of one group share work on a backend.
    pub group: u64,
    /// Whether the client returned after an interruption or a migration.
    pub returned: bool,
    /// Whether the connection was open at a backend before this relay process started.
    pub pre_existing: bool,
}

/// The relevant entries of a log. Most have the name of the event or effect that was logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// The process serves.
    Serving,
    /// A client has connected.
    ClientConnected {
        /// Number of the connection, and of its session.
        connection_id: SessionId,
    },
    /// A client's first line was read.
    SessionRequested {
        /// Number of the session within its process.
        session_id: SessionId,
        /// Its first line.
        opening: Opening,
    },
    /// A session was adopted that the previous process had open at the backend of this name.
    SessionAdopted {
        /// Number of the session within its process.
        session_id: SessionId,
        /// Its first line.
        opening: Opening,
        /// Name of the backend.
        backend: String,
    },
    /// The relay dials a backend.
    Dial {
        /// Number of the session within its process.
        session_id: SessionId,
        /// Address of the backend.
        addr: SocketAddr,
    },
    /// A dial ended before its session was established.
    DialEnded {
        /// Number of the session within its process.
        session_id: SessionId,
        /// Number of the dial, from 0.
        dial: u32,
        /// How it ended.
        end: DialEnd,
    },
    /// The session is established, and its lines are proxied.
    StartProxying {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// An open session ended at its backend.
    SessionEnded {
        /// Number of the session within its process.
        session_id: SessionId,
        /// How it ended.
        end: DialEnd,
    },
    /// A client has closed its side.
    ClientHalfClosed {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// A client's connection has ended.
    ClientDisconnected {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// Another process of the relay has adopted the session.
    SessionHandedOver {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// The relay answers `BUSY`.
    Reject {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// The relay answers `FAIL`.
    TearDown {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// The relay answers `ERR`.
    ReportProtocolError {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// The relay closes the connection without an answer.
    CloseClient {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// The relay answers `MOVE`.
    Migrate {
        /// Number of the session within its process.
        session_id: SessionId,
    },
    /// The relay's lifecycle changes.
    Lifecycle {
        /// Whether it migrates its open sessions from now on.
        migrates_sessions: bool,
    },
    /// The process exits.
    Exit,
    /// The relay checks the health of a backend.
    HealthCheck {
        /// Address of the backend.
        addr: SocketAddr,
    },
    /// A health check has ended.
    HealthCheckEnded {
        /// How it ended.
        end: DialEnd,
        /// The load report in its answer.
        report: LoadReport,
    },
    /// The relay received an endpoint list or changes to it.
    EndpointList(List),
    /// Number of log lines that were dropped because they were logged faster than they could be written.
    Dropped(u64),
    /// An event or effect that the evaluation does not need.
    OtherEvent,
    /// A line of the log that is neither an event nor an effect.
    Other,
}

impl Entry {
    /// Whether this is an event or an effect; both are logged only at `-vv`.
    pub fn is_event_or_effect(&self) -> bool {
        !matches!(self, Entry::Serving | Entry::Dropped(_) | Entry::Other)
    }
}

/// When a line was logged; `None` if it does not have the format of a relay's log.
pub fn time(text: &str) -> Option<Time> {
    split_header(text).map(|(time, _)| time)
}

/// Parses one line without its line ending.
pub fn line(text: &str) -> Line {
    if let Some(list) = configuration(text) {
        return Line::Configured(list);
    }
    let Some((time, message)) = split_header(text) else { return Line::Unknown };
    match entry(message) {
        Some(entry) => Line::Logged { time, entry },
        None => Line::Cut,
    }
}

/// Parses a line `[SECONDS] {JSON} ..` and returns the list of initially known backends, if it can be read.
fn configuration(text: &str) -> Option<Option<List>> {
    let (seconds, json) = text.strip_prefix('[')?.split_once("] ")?;
    seconds.parse::<f64>().ok()?;
    json.starts_with('{').then(|| known_backends(json))
}

/// The list in a configuration. Text that a test environment writes after the JSON object is ignored.
fn known_backends(json: &str) -> Option<List> {
    let mut values = serde_json::Deserializer::from_str(json).into_iter::<serde_json::Value>();
    let configuration = values.next()?.ok()?;
    list::parse(configuration.get("known")?.to_string().as_bytes()).ok()
}

/// Splits a line into its time and the message after its log level.
fn split_header(text: &str) -> Option<(Time, &str)> {
    let (first, rest) = text.split_once(' ')?;
    let prefix = seconds(first);
    let dated = if prefix.is_some() { rest } else { text };
    let (month, rest) = dated.split_once(' ')?;
    let (day, rest) = rest.trim_start().split_once(' ')?;
    let (of_day, rest) = rest.split_once(' ')?;
    let (level, message) = rest.split_once(' ')?;
    if !["TRCE", "DEBG", "INFO", "WARN", "ERRO", "CRIT"].contains(&level) {
        return None;
    }
    let clock = day_of_year(month, day)? * 86_400_000_000 + time_of_day(of_day)?;
    Some((Time { prefix, clock }, message))
}

fn seconds(text: &str) -> Option<Micros> {
    let seconds: f64 = text.parse().ok()?;
    (0.0..MAX_PREFIX_S).contains(&seconds).then(|| (seconds * 1e6).round() as Micros)
}

/// Days since the start of the year. Logs have no year, so a year without February 29 is assumed.
fn day_of_year(month: &str, day: &str) -> Option<Micros> {
    const MONTHS: [(&str, Micros); 12] = [
        ("Jan", 0),
        ("Feb", 31),
        ("Mar", 59),
        ("Apr", 90),
        ("May", 120),
        ("Jun", 151),
        ("Jul", 181),
        ("Aug", 212),
        ("Sep", 243),
        ("Oct", 273),
        ("Nov", 304),
        ("Dec", 334),
    ];
    let before = MONTHS.iter().find(|(name, _)| *name == month)?.1;
    let day: u8 = day.parse().ok()?;
    (1..=31).contains(&day).then(|| before + Micros::from(day) - 1)
}

/// Converts a time such as `05:10:06.202` to microseconds.
fn time_of_day(text: &str) -> Option<Micros> {
    let mut parts = text.split(':');
    let hours: u8 = parts.next()?.parse().ok()?;
    let minutes: u8 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    let fits = hours < 24 && minutes < 60 && (0.0..61.0).contains(&seconds) && parts.next().is_none();
    let full_minutes_s = Micros::from(hours) * 3600 + Micros::from(minutes) * 60;
    fits.then(|| full_minutes_s * 1_000_000 + (seconds * 1e6).round() as Micros)
}

/// Parses the message after the log level; `None` if a relevant entry is truncated.
fn entry(message: &str) -> Option<Entry> {
    if let Some(what) = message.strip_prefix("event, what: ") {
        return event(what);
    }
    if let Some(what) = message.strip_prefix("effect, what: ") {
        return effect(what);
    }
    if message.starts_with("serving, ") {
        return Some(Entry::Serving);
    }
    if message.starts_with("slog-async: logger dropped messages") {
        return Some(Entry::Dropped(fields::after(message, "count")?.trim_end().parse().ok()?));
    }
    Some(Entry::Other)
}

/// Names of events in logs of earlier versions, with their current names.
const EARLIER_EVENTS: [(&str, &str); 10] = [
    ("Came", "ClientConnected"),
    ("Opened", "SessionRequested"),
    ("Inherited", "SessionAdopted"),
    ("Ended", "SessionEnded"),
    ("Departed", "ClientHalfClosed"),
    ("Gone", "ClientDisconnected"),
    ("Passed", "SessionHandedOver"),
    ("Probed", "HealthCheckEnded"),
    ("List", "EndpointListReceived"),
    ("Written", "FirstLineForwarded"),
];

/// Names of effects in logs of earlier versions, with their current names.
const EARLIER_EFFECTS: [(&str, &str); 7] = [
    ("Pass", "StartProxying"),
    ("Refuse", "Reject"),
    ("Spurn", "ReportProtocolError"),
    ("Close", "CloseClient"),
    ("Move", "Migrate"),
    ("Probe", "HealthCheck"),
    ("Note", "Log"),
];

/// The current name for a name that may be from an earlier version.
fn current_name<'a>(earlier: &[(&'static str, &'static str)], name: &'a str) -> &'a str {
    earlier.iter().find(|pair| pair.0 == name).map_or(name, |pair| pair.1)
}

fn event(what: &str) -> Option<Entry> {
    let name = current_name(&EARLIER_EVENTS, complete_name(what)?);
    let session_id = || id(what, "session_id", "sess");
    Some(match name {
        "ClientConnected" => Entry::ClientConnected { connection_id: id(what, "connection_id", "conn")? },
        "SessionRequested" => Entry::SessionRequested { session_id: session_id()?, opening: opening(what)? },
        "SessionAdopted" => Entry::SessionAdopted {
            session_id: session_id()?,
            opening: adopted_opening(what)?,
            backend: fields::text(what, "server")?.to_string(),
        },
        "DialEnded" => Entry::DialEnded {
            session_id: session_id()?,
            dial: fields::parsed(what, "dial")?,
            end: end(what)?,
        },
        "SessionEnded" => Entry::SessionEnded { session_id: session_id()?, end: end(what)? },
        "ClientHalfClosed" => Entry::ClientHalfClosed { session_id: session_id()? },
        "ClientDisconnected" => Entry::ClientDisconnected { session_id: session_id()? },
        "SessionHandedOver" => Entry::SessionHandedOver { session_id: session_id()? },
        "HealthCheckEnded" => Entry::HealthCheckEnded { end: end(what)?, report: report(what)? },
        "EndpointListReceived" => Entry::EndpointList(received_list(what)?),
        _ => Entry::OtherEvent,
    })
}

fn effect(what: &str) -> Option<Entry> {
    let name = current_name(&EARLIER_EFFECTS, complete_name(what)?);
    let session_id = || id(what, "session_id", "sess");
    Some(match name {
        "Dial" => Entry::Dial { session_id: session_id()?, addr: fields::parsed(what, "addr")? },
        "StartProxying" => Entry::StartProxying { session_id: session_id()? },
        "Reject" => Entry::Reject { session_id: session_id()? },
        "TearDown" => Entry::TearDown { session_id: session_id()? },
        "ReportProtocolError" => {
            Entry::ReportProtocolError { session_id: id(what, "connection_id", "conn")? }
        }
        "CloseClient" => Entry::CloseClient { session_id: session_id()? },
        "Migrate" => Entry::Migrate { session_id: session_id()? },
        "HealthCheck" => Entry::HealthCheck { addr: fields::parsed(what, "addr")? },
        "Log" => lifecycle(fields::text(what, "message").or_else(|| fields::text(what, "what"))?),
        "Exit" => Entry::Exit,
        _ => Entry::OtherEvent,
    })
}

/// The id of a session or connection, whose field may have the current name or that of earlier versions.
fn id(what: &str, field: &str, earlier: &str) -> Option<SessionId> {
    fields::parsed(what, field).or_else(|| fields::parsed(what, earlier))
}

/// The name of an event or effect; `None` if its line was truncated.
fn complete_name(what: &str) -> Option<&str> {
    /// Events and effects without fields.
    const WITHOUT_FIELDS: [&str; 7] = [
        "FirstLineForwarded",
        "ConfigurationRejected",
        "StopRequested",
        "Exit",
        // Names in earlier versions.
        "Written",
        "Unfit",
        "Stop",
    ];
    let (name, fields) = fields::name(what);
    let is_complete = match fields.trim().is_empty() {
        true => WITHOUT_FIELDS.contains(&name),
        false => fields::is_balanced(fields),
    };
    is_complete.then_some(name)
}

fn opening(what: &str) -> Option<Opening> {
    let at = fields::after(what, "at")?;
    Some(Opening {
        id: fields::parsed(what, "id")?,
        key: fields::parsed(what, "key")?,
        group: fields::parsed(what, "group")?,
        returned: fields::parsed(what, "returned")?,
        pre_existing: at.starts_with("Some("),
    })
}

fn adopted_opening(what: &str) -> Option<Opening> {
    Some(Opening {
        // Earlier versions logged this field as `mark`.
        id: fields::parsed(what, "id").or_else(|| fields::parsed(what, "mark"))?,
        key: fields::parsed(what, "key")?,
        group: fields::parsed(what, "group")?,
        returned: fields::parsed(what, "returned")?,
        pre_existing: false,
    })
}

fn end(what: &str) -> Option<DialEnd> {
    Some(match fields::word(what, "end")? {
        "Ok" => DialEnd::Ok,
        "Error" => DialEnd::Error,
        "Full" => DialEnd::Full,
        "Timeout" => DialEnd::Timeout,
        "Unconnected" => DialEnd::Unconnected,
        "Reset" => DialEnd::Reset,
        // Logs of earlier versions have the second of these names.
        "Cancelled" | "Recalled" => DialEnd::Cancelled,
        "NotSent" | "Moot" => DialEnd::NotSent,
        _ => return None,
    })
}

fn report(what: &str) -> Option<LoadReport> {
    if fields::after(what, "report")?.starts_with("None") {
        return Some(LoadReport::default());
    }
    // A field has its current name or that of earlier versions.
    let number = |field, earlier| {
        fields::optional_number(what, field).or_else(|| fields::optional_number(what, earlier))
    };
    Some(LoadReport {
        load: fields::optional_number(what, "load")?,
        queue_delay: number("queue_delay", "piled")?,
        sessions: number("sessions", "held")?,
    })
}

fn received_list(what: &str) -> Option<List> {
    const INSTANCE: &str = "Instance { ";
    let (_, instances) = what.split_once("instances: [")?;
    Some(List {
        generation: fields::parsed(what, "generation")?,
        is_complete: fields::parsed(what, "is_complete").or_else(|| fields::parsed(what, "whole"))?,
        instances: instances.split(INSTANCE).skip(1).map(instance).collect::<Option<_>>()?,
        unreadable: Vec::new(),
    })
}

fn instance(text: &str) -> Option<Instance> {
    // A field is found by the space before it, which was split off from the first field.
    let padded = format!(" {text}");
    Some(Instance {
        id: fields::text(&padded, "id")?.to_string(),
        addr: fields::parsed(&padded, "addr")?,
        zone: fields::text(&padded, "zone")?.to_string(),
        cell: fields::parsed(&padded, "cell")?,
        phase: match fields::word(&padded, "phase")? {
            "Ready" => Phase::Ready,
            "Draining" => Phase::Draining,
            "Gone" => Phase::Gone,
            _ => return None,
        },
        started_at: fields::parsed(&padded, "started_at").or_else(|| fields::parsed(&padded, "came_up"))?,
    })
}

/// Parses a message such as `from serving to stopping`, which reports a change of the lifecycle.
fn lifecycle(message: &str) -> Entry {
    match message.strip_prefix("from ").and_then(|rest| rest.split_once(" to ")) {
        Some((_, "draining" | "stopping" | "replaced")) => Entry::Lifecycle { migrates_sessions: true },
        Some((_, "serving")) => Entry::Lifecycle { migrates_sessions: false },
        _ => Entry::OtherEvent,
    }
}
