//! `hallrelay fleet status`: asks a relay what it believes of its fleet, and says it.
use hallrelay_membership::status::{MemberStatus, Status};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long an answer may take, and bytes of it at most: a thousand members.
const PATIENCE: Duration = Duration::from_secs(3);
const MOST: usize = 4 << 20;

/// A call of the second address; its status and body. One with a body is a `POST`.
async fn call(
    at: SocketAddr,
    path: &'static str,
    body: Option<String>,
) -> Result<(StatusCode, Bytes), String> {
    let asked = async {
        let stream = TcpStream::connect(at).await.map_err(|e| e.to_string())?;
        let (mut sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
        let method = if body.is_some() { Method::POST } else { Method::GET };
        let ask = Request::builder().method(method).uri(path).header("host", at.to_string());
        let ask = ask.body(Full::new(Bytes::from(body.unwrap_or_default())));
        let ask = ask.map_err(|e| e.to_string())?;
        let answered = async {
            let answer = sender.send_request(ask).await.map_err(|e| e.to_string())?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MOST).collect().await.map_err(|e| e.to_string())?;
            Ok::<_, String>((status, body.to_bytes()))
        };
        tokio::select! {
            biased;
            // An answer that came whole counts, however the connection ends.
            answer = answered => answer,
            Err(e) = connection => Err(e.to_string()),
        }
    };
    match tokio::time::timeout(PATIENCE, asked).await {
        Ok(answer) => answer.map_err(|e| format!("{at}: {e}")),
        Err(_) => Err(format!("{at}: no answer within {} s", PATIENCE.as_secs())),
    }
}

/// What a relay answers, or why there is no status.
pub async fn ask(at: SocketAddr) -> Result<Status, String> {
    let (status, body) = call(at, "/v1/fleet", None).await?;
    if status != StatusCode::OK {
        return Err(format!("{at}: {}", String::from_utf8_lossy(&body).trim_end()));
    }
    serde_json::from_slice(&body).map_err(|e| format!("{at}: an answer that is no status: {e}"))
}

/// Whether a relay says that it takes sessions.
pub async fn ready(at: SocketAddr) -> bool {
    matches!(call(at, "/v1/readyz", None).await, Ok((StatusCode::OK, _)))
}

/// What a relay says at a path, as text.
pub async fn get(at: SocketAddr, path: &'static str) -> Result<(u16, String), String> {
    let (status, body) = call(at, path, None).await?;
    Ok((status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// The same, where something is said to it.
pub async fn post(at: SocketAddr, path: &'static str, body: String) -> Result<(u16, String), String> {
    let (status, body) = call(at, path, Some(body)).await?;
    Ok((status.as_u16(), String::from_utf8_lossy(&body).into_owned()))
}

/// As a table, this relay first.
pub fn text(s: &Status) -> String {
    let mut t = String::new();
    _ = writeln!(
        t,
        "fleet {}, as {} believes: {}; it hears {} of {} configured (itself among them)",
        s.fleet, s.name, s.view, s.reachable_relays, s.configured_relays
    );
    if !s.recovery_stage.is_empty() && s.recovery_stage != "open" {
        _ = writeln!(t, "its service is on its way back: {}", s.recovery_stage);
    }
    if let Some(conflict) = &s.name_conflict {
        let holds = if conflict.holds_name { "that one holds the name" } else { "this one holds the name" };
        _ = writeln!(
            t,
            "another relay at {} has this one's name; {holds}, as the later start",
            conflict.addr
        );
    }
    let dropped: Vec<String> = s.dropped.iter().map(|(what, n)| format!("{n} {what}")).collect();
    if !dropped.is_empty() {
        _ = writeln!(t, "messages dropped: {}", dropped.join(", "));
    }
    if s.local_health > 0 {
        _ = writeln!(t, "it doubts itself {} of 8: it was late, or is told that it was", s.local_health);
    }
    let row = |m: &MemberStatus, own: bool| {
        let heard = match (&m.source, m.last_received_ms) {
            _ if own => "itself".to_string(),
            (Some(by), _) => format!("by {by}"),
            (None, Some(ms)) => format!("{} ago", ago(ms)),
            (None, None) => "never".to_string(),
        };
        let state = match m.suspected_by.as_slice() {
            [] => m.state.clone(),
            by => format!("{}, says {}", m.state, by.join(" and ")),
        };
        let since = if own { "-".to_string() } else { ago(m.since_ms) };
        [
            m.name.clone(),
            state,
            since,
            heard,
            m.lifecycle.clone(),
            m.sessions.to_string(),
            m.version.clone(),
            m.settings_digest.clone(),
            m.addr.clone(),
        ]
    };
    let head = ["relay", "state", "since", "heard", "duty", "sessions", "version", "settings", "address"];
    let mut rows = vec![head.map(String::from)];
    rows.extend(s.members.iter().enumerate().map(|(i, m)| row(m, i == 0)));
    let width = |i: usize| rows.iter().map(|row| row[i].chars().count()).max().unwrap_or(0);
    let widths: [usize; 9] = std::array::from_fn(width);
    for row in &rows {
        let cells: Vec<String> =
            row.iter().zip(widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        _ = writeln!(t, "{}", cells.join("  ").trim_end());
    }
    t
}

fn ago(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{:.1} s", ms as f64 / 1e3),
        _ => format!("{} min", ms / 60_000),
    }
}
