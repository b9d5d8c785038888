//! The watch on the list of backends: one call that stays open and brings a line for each change. Where no
//! version is known there, a call for the whole list comes before it.
use super::Hub;
use crate::clock::span;
use crate::reducer::Event;
use hallrelay_config::list::{self, List};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Watches until the watch breaks, and tells of that.
pub async fn run(id: u32, addr: SocketAddr, since: Option<u64>, hub: Hub) {
    let why = watch(id, addr, since, &hub).await;
    slog::info!(hub.log, "the watch of the list is over"; "at" => %addr, "why" => why);
    hub.tell(Event::ListBroken { watch: id }).await;
}

const LIST: &str = "/registry/instances";

async fn whole(addr: SocketAddr, most: usize) -> Result<List, String> {
    let body = Limited::new(call(addr, LIST).await?, most).collect().await.map_err(|e| e.to_string())?;
    list::parse(&body.to_bytes())
}

async fn call(addr: SocketAddr, path: &str) -> Result<Incoming, String> {
    let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    // Ends with the answer's body, or as the sender is dropped.
    tokio::task::spawn_local(connection);
    let ask = Request::get(path).header(header::HOST, addr.to_string()).body(Empty::<Bytes>::new());
    let answer = sender.send_request(ask.map_err(|e| e.to_string())?).await.map_err(|e| e.to_string())?;
    match answer.status() {
        StatusCode::OK => Ok(answer.into_body()),
        status => Err(format!("discovery answered {status}")),
    }
}

/// Returns why the watch is over.
async fn watch(id: u32, addr: SocketAddr, since: Option<u64>, hub: &Hub) -> String {
    let limits = hub.limits();
    let since = match since {
        Some(since) => since,
        None => match timeout(span(limits.discovery_first), whole(addr, limits.list)).await {
            Ok(Ok(list)) => {
                let since = list.generation;
                hub.tell(Event::List { watch: id, list: List { whole: true, ..list } }).await;
                since
            }
            Ok(Err(why)) => return why,
            Err(_) => return "discovery did not tell the whole list in time".to_string(),
        },
    };
    let path = format!("{LIST}?follow=1&since={since}");
    let mut body = match timeout(span(limits.discovery_first), call(addr, &path)).await {
        Ok(Ok(body)) => body,
        Ok(Err(why)) => return why,
        Err(_) => return "discovery did not answer in time".to_string(),
    };
    let mut line = Vec::new();
    loop {
        let frame = match timeout(span(limits.discovery_silence), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(e))) => return e.to_string(),
            Ok(None) => return "discovery ended it".to_string(),
            Err(_) => return "discovery fell silent".to_string(),
        };
        let Ok(data) = frame.into_data() else { continue };
        for part in data.split_inclusive(|b| *b == b'\n') {
            line.extend_from_slice(part);
            if line.len() > limits.list {
                return format!("a line of the list is over {} bytes", limits.list);
            }
            if !part.ends_with(b"\n") {
                continue;
            }
            if !line.trim_ascii().is_empty() {
                match list::parse(line.trim_ascii()) {
                    Ok(list) => hub.tell(Event::List { watch: id, list }).await,
                    Err(why) => return why,
                }
            }
            line.clear();
        }
    }
}
