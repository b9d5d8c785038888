//! The watch on the list of backends: one call that stays open and brings a line for each change. Where no
//! version is known there, a call for the whole list comes before it. One that falls silent is doubted, and
//! the next one opened beside it: whichever speaks first goes on.
use super::Hub;
use crate::clock::span;
use crate::reducer::Event;
use crate::socket::{self, Steady};
use crate::values::{Part, Values};
use hallrelay_config::list::{self, List};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{sleep_until, timeout, Instant};

/// Watches until the watch breaks, and tells of that.
pub async fn run(id: u32, addr: SocketAddr, since: Option<u64>, hub: Hub) {
    let why = watch(id, addr, since, &hub).await;
    slog::info!(hub.log, "the watch of the list is over"; "at" => %addr, "why" => why);
    hub.tell(Event::EndpointWatchFailed { watch: id }).await;
}

const LIST: &str = "/registry/instances";

async fn whole(addr: SocketAddr, most: usize) -> Result<List, String> {
    let body = Limited::new(call(addr, LIST).await?, most).collect().await.map_err(|e| e.to_string())?;
    list::parse(&body.to_bytes())
}

async fn call(addr: SocketAddr, path: &str) -> Result<Incoming, String> {
    // The callers' limit on the whole call is the shorter one.
    const CONNECT: Duration = Duration::from_secs(10);
    let stream =
        socket::connect(addr, Instant::now() + CONNECT, |_| false).await.map_err(|e| e.to_string())?;
    let stream = TokioIo::new(Steady(stream));
    let (mut sender, connection) = http1::handshake(stream).await.map_err(|e| e.to_string())?;
    // Ends with the answer's body, or as the sender is dropped.
    tokio::task::spawn_local(connection);
    let ask = Request::get(path).header(header::HOST, addr.to_string()).body(Empty::<Bytes>::new());
    let answer = sender.send_request(ask.map_err(|e| e.to_string())?).await.map_err(|e| e.to_string())?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(format!("discovery answered {status}")),
    }
}

/// A call that stays open.
struct Open {
    body: Incoming,
    values: Values,
}

impl Open {
    /// The next list that it brings; none where it says no more than that it lives.
    async fn next(&mut self, most: usize) -> Result<Option<List>, String> {
        loop {
            match self.values.next(most)? {
                Some(Part::Value(text)) => return list::parse(&text).map(Some),
                Some(Part::Blank) => return Ok(None),
                None => {}
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.values.add(&data);
                    }
                }
                Some(Err(e)) => return Err(e.to_string()),
                None => return Err("discovery ended it".to_string()),
            }
        }
    }
}

/// Opens one, from a version on, and waits for the first that it says.
async fn opened(addr: SocketAddr, since: u64, hub: Hub) -> Result<(Open, Option<List>), String> {
    let limits = hub.limits();
    let path = format!("{LIST}?follow=1&since={since}");
    let first = async {
        let mut open = Open { body: call(addr, &path).await?, values: Values::default() };
        let list = open.next(limits.list).await?;
        Ok((open, list))
    };
    timeout(span(limits.discovery_first), first)
        .await
        .unwrap_or_else(|_| Err("discovery did not answer in time".to_string()))
}

/// Returns why the watch is over.
async fn watch(id: u32, addr: SocketAddr, since: Option<u64>, hub: &Hub) -> String {
    let limits = hub.limits();
    let mut since = match since {
        Some(since) => since,
        None => match timeout(span(limits.discovery_first), whole(addr, limits.list)).await {
            Ok(Ok(list)) => {
                let since = list.generation;
                hub.tell(Event::EndpointListReceived { watch: id, list: List { whole: true, ..list } }).await;
                since
            }
            Ok(Err(why)) => return why,
            Err(_) => return "discovery did not tell the whole list in time".to_string(),
        },
    };
    let mut open: Option<Open> = None;
    let mut next = Some(Box::pin(opened(addr, since, hub.clone())));
    // Since when it has said nothing whole: bytes of a value that never ends are no sign of life.
    let mut last = Instant::now();
    loop {
        let (now, list) = tokio::select! {
            biased;
            // What the one that is open says settles any doubt about it.
            said = async { open.as_mut().expect("asked for").next(limits.list).await }, if open.is_some() => {
                match said {
                    Ok(list) => (open.take(), list),
                    // Another one is out already.
                    Err(_) if next.is_some() => {
                        open = None;
                        continue;
                    }
                    Err(why) => return why,
                }
            }
            said = async { next.as_mut().expect("asked for").await }, if next.is_some() => match said {
                Ok((now, list)) => (Some(now), list),
                Err(why) => return why,
            },
            // Guards what a silent watch misses: one that says nothing in time is doubted, and the next is
            // asked for beside it, from the version that was heard last.
            () = sleep_until(last + span(limits.discovery_doubt)), if next.is_none() => {
                slog::debug!(hub.log, "the watch of the list is doubted"; "at" => %addr);
                next = Some(Box::pin(opened(addr, since, hub.clone())));
                continue;
            }
        };
        (open, next, last) = (now, None, Instant::now());
        if let Some(list) = list {
            since = if list.whole { list.generation } else { list.generation.max(since) };
            hub.tell(Event::EndpointListReceived { watch: id, list }).await;
        }
    }
}
