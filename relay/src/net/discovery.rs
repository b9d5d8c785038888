//! Watches discovery's endpoint list with an HTTP call that stays open and returns a JSON value for each
//! change, and blank lines that only show that the call works.
//!
//! A call for the complete list comes first if no version of the list is known. If a watch is silent for too
//! long, a second call is opened in parallel; the call that first returns data is kept, the other is dropped.
use super::Hub;
use crate::clock::span;
use crate::reducer::{Event, WatchFailure};
use crate::socket::{self, ConnectError, RetryingStream};
use crate::values::{Part, Values, ValuesError};
use hallrelay_config::list::{self, List};
use hallrelay_config::ConfigError;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{pending, Future};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep_until, timeout, Instant};

const LIST_PATH: &str = "/registry/instances";

/// The deadline that `socket::connect` requires. The callers' timeout for the complete call is shorter.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a watch ended. The text goes to the log.
#[derive(Debug, Error)]
enum WatchError {
    #[error("connect to discovery: {0}")]
    Connect(#[from] ConnectError),
    #[error("HTTP exchange with discovery: {0}")]
    Http(#[from] hyper::Error),
    #[error("build the request to discovery: {0}")]
    Request(#[from] hyper::http::Error),
    /// The body with the complete list is truncated or too large.
    #[error("read the complete list from discovery: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("discovery answered with status {0}, expected 200 OK")]
    Status(StatusCode),
    /// Discovery sent a value that is not a list.
    #[error("discovery sent an invalid endpoint list: {0}")]
    List(#[from] ConfigError),
    #[error("discovery sent an invalid stream of values: {0}")]
    Stream(#[from] ValuesError),
    #[error("discovery closed the HTTP call of the watch")]
    Ended,
    #[error("discovery sent no data on a new watch within {0:?}")]
    NoAnswer(Duration),
    #[error("discovery did not send the complete list within {0:?}")]
    NoList(Duration),
}

impl WatchError {
    fn kind(&self) -> WatchFailure {
        match self {
            WatchError::Connect(ConnectError::Remote(error))
                if error.kind() == ErrorKind::ConnectionRefused =>
            {
                WatchFailure::Refused
            }
            _ => WatchFailure::Failed,
        }
    }
}

/// Watches the list until the watch fails, then reports the failure.
pub async fn run(id: u32, addr: SocketAddr, since: Option<u64>, hub: Hub) {
    let Err(error) = Watch { id, addr, hub: &hub }.run(since).await;
    slog::info!(hub.log, "watch {} of the endpoint list ended", id; "at" => %addr, "why" => %error);
    hub.notify(Event::EndpointWatchFailed { watch: id, failure: error.kind() }).await;
}

async fn fetch_list(addr: SocketAddr, max_bytes: usize) -> Result<List, WatchError> {
    let body = Limited::new(call(addr, LIST_PATH).await?, max_bytes).collect().await;
    Ok(list::parse(&body.map_err(WatchError::Body)?.to_bytes())?)
}

/// Sends one GET request and returns the body of the response.
async fn call(addr: SocketAddr, path: &str) -> Result<Incoming, WatchError> {
    let stream = socket::connect(addr, Instant::now() + CONNECT_TIMEOUT, |_| false).await?;
    let stream = TokioIo::new(RetryingStream(stream));
    let (mut sender, connection) = http1::handshake(stream).await?;
    // The task ends with the response body, or when the sender is dropped.
    tokio::task::spawn_local(connection);
    let request = Request::get(path).header(header::HOST, addr.to_string()).body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok(response.into_body()),
        status => Err(WatchError::Status(status)),
    }
}

/// An open watch call.
struct OpenCall {
    body: Incoming,
    values: Values,
}

impl OpenCall {
    /// Waits for the next value and returns its list; `None` for a blank line.
    async fn next(&mut self, max_bytes: usize) -> Result<Option<List>, WatchError> {
        loop {
            match self.values.next(max_bytes)? {
                Some(Part::Value(text)) => return Ok(Some(list::parse(&text)?)),
                Some(Part::BlankLine) => return Ok(None),
                None => {}
            }
            let frame = self.body.frame().await.ok_or(WatchError::Ended)??;
            if let Ok(data) = frame.into_data() {
                self.values.add(&data);
            }
        }
    }
}

/// Returns the next list of an open call; never completes if there is no call.
async fn next_list(call: &mut Option<OpenCall>, max_bytes: usize) -> Result<Option<List>, WatchError> {
    match call {
        Some(call) => call.next(max_bytes).await,
        None => pending().await,
    }
}

/// Waits for the call that is being opened; never completes if there is none.
async fn opened(opening: &mut Option<Opening>) -> Result<Opened, WatchError> {
    match opening {
        Some(opening) => opening.await,
        None => pending().await,
    }
}

/// A call that was just opened, with the first value that it returned; `None` after a blank line.
struct Opened {
    call: OpenCall,
    list: Option<List>,
}

/// Opens a call for changes since a version, and waits for its first value or blank line.
async fn open(addr: SocketAddr, since: u64, hub: Hub) -> Result<Opened, WatchError> {
    let limits = hub.limits();
    let path = format!("{LIST_PATH}?follow=1&since={since}");
    let open_and_read = async {
        let mut call = OpenCall { body: call(addr, &path).await?, values: Values::default() };
        let list = call.next(limits.max_list_line_bytes).await?;
        Ok(Opened { call, list })
    };
    let limit = span(limits.discovery_answer_timeout);
    timeout(limit, open_and_read).await.unwrap_or(Err(WatchError::NoAnswer(limit)))
}

type Opening = Pin<Box<dyn Future<Output = Result<Opened, WatchError>>>>;

/// A watch, with its number in the reducer.
struct Watch<'a> {
    id: u32,
    addr: SocketAddr,
    hub: &'a Hub,
}

impl Watch<'_> {
    async fn run(&self, since: Option<u64>) -> Result<Infallible, WatchError> {
        let limits = self.hub.limits();
        let watch_timeout = span(limits.discovery_watch_timeout);
        let mut since = match since {
            Some(since) => since,
            None => self.complete_list().await?,
        };
        let mut current: Option<OpenCall> = None;
        let mut opening = Some(self.open(since));
        // Time of the last complete value or blank line. Parts of a value do not count: a value that never
        // ends does not show that the watch works.
        let mut last_received_at = Instant::now();
        let mut has_answered = false;
        loop {
            let (call, list) = tokio::select! {
                biased;
                // Data on the open call shows that this call works, so a second call is dropped.
                next = next_list(&mut current, limits.max_list_line_bytes), if current.is_some() => {
                    match next {
                        Ok(list) => (current.take(), list),
                        // The open call failed, but a second call is already being opened.
                        Err(_) if opening.is_some() => {
                            current = None;
                            continue;
                        }
                        Err(error) => return Err(error),
                    }
                }
                result = opened(&mut opening), if opening.is_some() => {
                    let Opened { call, list } = result?;
                    (Some(call), list)
                }
                // A call that is silent for too long may miss changes. A second call is opened in parallel,
                // for the changes since the last version received.
                () = sleep_until(last_received_at + watch_timeout), if opening.is_none() => {
                    slog::debug!(
                        self.hub.log, "endpoint watch {} silent for {:?}; opening a second call", self.id,
                        watch_timeout; "at" => %self.addr
                    );
                    opening = Some(self.open(since));
                    continue;
                }
            };
            current = call;
            opening = None;
            last_received_at = Instant::now();
            if let Some(list) = list {
                since = if list.is_complete { list.generation } else { list.generation.max(since) };
                self.hub.notify(Event::EndpointListReceived { watch: self.id, list }).await;
            } else if !has_answered {
                self.hub.notify(Event::EndpointListUnchanged { watch: self.id }).await;
            }
            has_answered = true;
        }
    }

    fn open(&self, since: u64) -> Opening {
        Box::pin(open(self.addr, since, self.hub.clone()))
    }

    /// Fetches and reports the complete list; returns its version.
    async fn complete_list(&self) -> Result<u64, WatchError> {
        let limits = self.hub.limits();
        let limit = span(limits.discovery_answer_timeout);
        let fetched = timeout(limit, fetch_list(self.addr, limits.max_list_line_bytes)).await;
        let list = fetched.unwrap_or(Err(WatchError::NoList(limit)))?;
        let since = list.generation;
        let list = List { is_complete: true, ..list };
        self.hub.notify(Event::EndpointListReceived { watch: self.id, list }).await;
        Ok(since)
    }
}
