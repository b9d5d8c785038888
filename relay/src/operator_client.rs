//! A client for a relay's operator address: one HTTP/1.1 call per connection, limited in time and size.
use hallrelay_membership::status::Status;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Timeout of a call, including its answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Largest answer: enough for a thousand members.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Why a call has no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed or broke.
    #[error("call to {addr} failed: {reason}")]
    Failed {
        /// The called relay.
        addr: SocketAddr,
        /// The error.
        reason: String,
    },
    /// The answer did not arrive in time.
    #[error("{addr}: no answer within {} s", CALL_TIMEOUT.as_secs())]
    Timeout {
        /// The called relay.
        addr: SocketAddr,
    },
    /// The relay answered with an error.
    #[error("{addr}: {text}")]
    Rejected {
        /// The called relay.
        addr: SocketAddr,
        /// Its answer.
        text: String,
    },
    /// The answer is not a fleet status.
    #[error("{addr}: the answer is not a fleet status: {source}")]
    Malformed {
        /// The called relay.
        addr: SocketAddr,
        /// The error of the JSON decoder.
        source: serde_json::Error,
    },
}

/// A relay's answer.
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub text: String,
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// Makes a call: a `POST` if there is a body, else a `GET`.
async fn call(
    addr: SocketAddr,
    path: &'static str,
    body: Option<String>,
) -> Result<Response<Bytes>, CallError> {
    match tokio::time::timeout(CALL_TIMEOUT, exchange(addr, path, body)).await {
        Ok(answer) => answer.map_err(|e| CallError::Failed { addr, reason: e.to_string() }),
        Err(_) => Err(CallError::Timeout { addr }),
    }
}

async fn exchange(
    addr: SocketAddr,
    path: &'static str,
    body: Option<String>,
) -> Result<Response<Bytes>, BoxError> {
    let stream = TcpStream::connect(addr).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let method = if body.is_some() { Method::POST } else { Method::GET };
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", addr.to_string())
        .body(Full::new(Bytes::from(body.unwrap_or_default())))?;
    let answered = async {
        let (head, body) = sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    tokio::select! {
        biased;
        // A complete answer is used even if the connection then fails.
        answer = answered => answer,
        Err(e) = connection => Err(e.into()),
    }
}

/// Makes a `GET` call.
pub async fn get(addr: SocketAddr, path: &'static str) -> Result<Answer, CallError> {
    call(addr, path, None).await.map(text_answer)
}

/// Makes a `POST` call.
pub async fn post(addr: SocketAddr, path: &'static str, body: String) -> Result<Answer, CallError> {
    call(addr, path, Some(body)).await.map(text_answer)
}

fn text_answer(answer: Response<Bytes>) -> Answer {
    let status = answer.status().as_u16();
    Answer { status, text: String::from_utf8_lossy(answer.body()).into_owned() }
}

/// Fetches a relay's view of its fleet.
pub async fn fleet_status(addr: SocketAddr) -> Result<Status, CallError> {
    let answer = call(addr, "/v1/fleet", None).await?;
    if answer.status() != StatusCode::OK {
        let text = String::from_utf8_lossy(answer.body()).trim_end().to_string();
        return Err(CallError::Rejected { addr, text });
    }
    serde_json::from_slice(answer.body()).map_err(|source| CallError::Malformed { addr, source })
}

/// Whether a relay answers that it is ready for sessions.
pub async fn is_ready(addr: SocketAddr) -> bool {
    call(addr, "/v1/readyz", None).await.is_ok_and(|answer| answer.status() == StatusCode::OK)
}
