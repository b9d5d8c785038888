//! The watch on the endpoint list: one HTTP call that stays open and brings a JSON value for each change.
//!
//! Where no version of the list is known, a call for the complete list comes first. A watch that is silent
//! for too long is doubted, and the next one is opened beside it: whichever brings something first goes on.
use super::Hub;
use crate::clock::span;
use crate::reducer::Event;
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
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use thiserror::Error;
use tokio::time::{sleep_until, timeout, Instant};

const LIST_PATH: &str = "/registry/instances";

/// The callers' limit on a whole call is the shorter one.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a watch is over. Its text goes to the log.
#[derive(Debug, Error)]
enum WatchError {
    #[error("{0}")]
    Connect(#[from] ConnectError),
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    /// The body of the whole list is broken or too large.
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error("discovery answered {0}")]
    Status(StatusCode),
    /// What discovery sent is no list.
    #[error("{0}")]
    List(#[from] ConfigError),
    #[error("{0}")]
    Stream(#[from] ValuesError),
    #[error("discovery ended it")]
    Ended,
    #[error("discovery did not answer in time")]
    NoAnswer,
    #[error("discovery did not tell the whole list in time")]
    NoList,
}

/// Watches the list until the watch fails, and reports that.
pub async fn run(id: u32, addr: SocketAddr, since: Option<u64>, hub: Hub) {
    let Err(error) = Watch { id, addr, hub: &hub }.run(since).await;
    slog::info!(hub.log, "the watch of the list is over"; "at" => %addr, "why" => %error);
    hub.notify(Event::EndpointWatchFailed { watch: id }).await;
}

async fn fetch_list(addr: SocketAddr, max_bytes: usize) -> Result<List, WatchError> {
    let body = Limited::new(call(addr, LIST_PATH).await?, max_bytes).collect().await;
    Ok(list::parse(&body.map_err(WatchError::Body)?.to_bytes())?)
}

/// One GET; the body of its answer.
async fn call(addr: SocketAddr, path: &str) -> Result<Incoming, WatchError> {
    let stream = socket::connect(addr, Instant::now() + CONNECT_TIMEOUT, |_| false).await?;
    let stream = TokioIo::new(RetryingStream(stream));
    let (mut sender, connection) = http1::handshake(stream).await?;
    // It ends with the answer's body, or as the sender is dropped.
    tokio::task::spawn_local(connection);
    let request = Request::get(path).header(header::HOST, addr.to_string()).body(Empty::<Bytes>::new())?;
    let answer = sender.send_request(request).await?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(WatchError::Status(status)),
    }
}

/// An open watch call.
struct OpenCall {
    body: Incoming,
    values: Values,
}

impl OpenCall {
    /// The next list that it brings; `None` where it only shows that it is alive.
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

/// The next list of an open call; never completes where there is none.
async fn next_list(call: &mut Option<OpenCall>, max_bytes: usize) -> Result<Option<List>, WatchError> {
    match call {
        Some(call) => call.next(max_bytes).await,
        None => pending().await,
    }
}

/// The call that is being opened; never completes where there is none.
async fn completed(opening: &mut Option<Opening>) -> Result<Opened, WatchError> {
    match opening {
        Some(opening) => opening.await,
        None => pending().await,
    }
}

/// A call that was just opened, with the first value or blank line that it brought.
struct Opened {
    call: OpenCall,
    list: Option<List>,
}

/// Opens a call from a version on, and waits for what it brings first.
async fn open(addr: SocketAddr, since: u64, hub: Hub) -> Result<Opened, WatchError> {
    let limits = hub.limits();
    let path = format!("{LIST_PATH}?follow=1&since={since}");
    let first = async {
        let mut call = OpenCall { body: call(addr, &path).await?, values: Values::default() };
        let list = call.next(limits.max_list_line_bytes).await?;
        Ok(Opened { call, list })
    };
    timeout(span(limits.discovery_answer_timeout), first).await.unwrap_or(Err(WatchError::NoAnswer))
}

type Opening = Pin<Box<dyn Future<Output = Result<Opened, WatchError>>>>;

/// A watch with the number by which the reducer knows it.
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
            None => self.whole_list().await?,
        };
        let mut current: Option<OpenCall> = None;
        let mut opening = Some(self.open(since));
        // When a complete value or a blank line came last: bytes of a value that never ends prove nothing.
        let mut last_received_at = Instant::now();
        loop {
            let (call, list) = tokio::select! {
                biased;
                // What the open call brings settles any doubt about it.
                next = next_list(&mut current, limits.max_list_line_bytes), if current.is_some() => {
                    match next {
                        Ok(list) => (current.take(), list),
                        // Another one is being opened already.
                        Err(_) if opening.is_some() => {
                            current = None;
                            continue;
                        }
                        Err(error) => return Err(error),
                    }
                }
                opened = completed(&mut opening), if opening.is_some() => {
                    let Opened { call, list } = opened?;
                    (Some(call), list)
                }
                // One that is silent for too long is doubted: it may miss changes. The next is opened beside
                // it, from the version that was received last.
                () = sleep_until(last_received_at + watch_timeout), if opening.is_none() => {
                    slog::debug!(self.hub.log, "the watch of the list is doubted"; "at" => %self.addr);
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
            }
        }
    }

    fn open(&self, since: u64) -> Opening {
        Box::pin(open(self.addr, since, self.hub.clone()))
    }

    /// Fetches and reports the whole list; returns its version.
    async fn whole_list(&self) -> Result<u64, WatchError> {
        let limits = self.hub.limits();
        let fetched =
            timeout(span(limits.discovery_answer_timeout), fetch_list(self.addr, limits.max_list_line_bytes))
                .await;
        let list = fetched.unwrap_or(Err(WatchError::NoList))?;
        let since = list.generation;
        let list = List { is_complete: true, ..list };
        self.hub.notify(Event::EndpointListReceived { watch: self.id, list }).await;
        Ok(since)
    }
}
