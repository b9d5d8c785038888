//! The second address, for operators: HTTP/1.1, one call a connection. What is asked goes to the reducer
//! ahead of all that waits from sessions; connections here have places of their own, and who holds one
//! without a whole call gives it up to the next.
use super::{accept, Hub};
use crate::clock::span;
use crate::figures;
use crate::reducer::{Call, Reply};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::VecDeque;
use std::convert::Infallible;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

pub(super) type Calls = mpsc::Sender<(Call, oneshot::Sender<Reply>)>;

/// Path, method, and what it asks for.
const CALLS: [(&str, &str, Call); 5] = [
    ("/v1/readyz", "GET", Call::Ready),
    ("/v1/metrics", "GET", Call::Figures),
    ("/v1/fleet", "GET", Call::Fleet),
    ("/v1/relay/drain", "POST", Call::Drain),
    ("/v1/relay/activate", "POST", Call::Activate),
];

pub(super) async fn run(listener: TcpListener, calls: Calls, hub: Hub) {
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let stream = accept::next(&listener, "an operator's connection", &hub).await;
        open.retain(|task| !task.is_finished());
        if open.len() >= hub.limits().callers {
            // Guards a caller whose call is whole against those that hold a place and never say theirs.
            open.pop_front().inspect(JoinHandle::abort);
        }
        open.push_back(tokio::task::spawn_local(one(stream, calls.clone(), hub.clone())));
    }
}

async fn one(stream: TcpStream, calls: Calls, hub: Hub) {
    let limits = hub.limits();
    let service = service_fn(|asked| async {
        let answer = answer(asked, &calls, limits.call_body).await;
        Ok::<_, Infallible>(answer)
    });
    let served = http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(span(limits.call))
        .max_buf_size(limits.call_head)
        .serve_connection(TokioIo::new(stream), service);
    // One time for the whole call: a body that never ends is cut off as well.
    match timeout(span(limits.call), served).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => slog::debug!(hub.log, "an operator's call is broken"; "error" => %e),
        Err(_) => slog::debug!(hub.log, "an operator's call was not whole in time"),
    }
}

async fn answer(asked: Request<Incoming>, calls: &Calls, most: usize) -> Response<Full<Bytes>> {
    let path = asked.uri().path();
    let Some(&(_, method, what)) = CALLS.iter().find(|call| call.0 == path) else {
        return say(StatusCode::NOT_FOUND, "no such call");
    };
    if asked.method() != method {
        let mut no = say(StatusCode::METHOD_NOT_ALLOWED, "this call has another method");
        no.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
        return no;
    }
    // Nothing in a body has a meaning here, but it belongs to the call.
    match Limited::new(asked.into_body(), most).collect().await {
        Err(e) if e.is::<LengthLimitError>() => {
            return say(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Err(_) => return say(StatusCode::BAD_REQUEST, "the body is not whole"),
        Ok(_) => {}
    }
    let (to, reply) = oneshot::channel();
    if calls.send((what, to)).await.is_err() {
        return say(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    match reply.await {
        Ok(Reply::Yes(word)) => say(StatusCode::OK, word),
        Ok(Reply::No(word)) => {
            let mut no = say(StatusCode::SERVICE_UNAVAILABLE, word);
            no.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
            no
        }
        Ok(Reply::Conflict(word)) => say(StatusCode::CONFLICT, word),
        Ok(Reply::Fleet(None)) => say(StatusCode::NOT_FOUND, "fleet is not configured here"),
        Ok(Reply::Fleet(Some(status))) => match serde_json::to_string(&status) {
            Ok(text) => {
                let mut answer = say(StatusCode::OK, text);
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            Err(_) => say(StatusCode::INTERNAL_SERVER_ERROR, "the status can't be written"),
        },
        Ok(Reply::Figures(figures)) => say(StatusCode::OK, figures::text(&figures)),
        Err(_) => say(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
    }
}

fn say(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut text = text.into();
    if !text.ends_with('\n') {
        text.push('\n');
    }
    let mut answer = Response::new(Full::from(text));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    answer
}
