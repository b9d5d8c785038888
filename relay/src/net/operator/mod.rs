//! Serves the operators' address: HTTP/1.1, one call per connection.
//!
//! The reducer gets requests before all queued events of sessions. Operators' connections have their own
//! limit; when that limit is reached, the oldest connection is closed for a new one.
mod response;
mod routes;

use super::{accept, Hub};
use crate::clock::span;
use crate::reducer::{OperatorReply, OperatorRequest};
use crate::socket::RetryingStream;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use routes::Route;
use std::collections::VecDeque;
use std::convert::Infallible;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// A request and the channel for its reply.
pub(super) struct OperatorCall {
    pub request: OperatorRequest,
    pub reply: oneshot::Sender<OperatorReply>,
}

type Calls = mpsc::Sender<OperatorCall>;

/// Serves operators until the process ends.
pub(super) async fn run(listening_socket: TcpListener, calls: Calls, hub: Hub) {
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let stream = accept::next(&listening_socket, "an operator connection", &hub).await;
        open.retain(|task| !task.is_finished());
        if open.len() >= hub.limits().max_operator_connections {
            // Connections that never complete a call must not block others.
            open.pop_front().inspect(JoinHandle::abort);
        }
        open.push_back(tokio::task::spawn_local(serve(stream, calls.clone(), hub.clone())));
    }
}

async fn serve(stream: TcpStream, calls: Calls, hub: Hub) {
    let limits = hub.limits();
    let service = service_fn(|request| async {
        let response = respond(request, &calls, limits.max_operator_body_bytes).await;
        Ok::<_, Infallible>(response)
    });
    let served = http1::Builder::new()
        .keep_alive(false)
        .timer(TokioTimer::new())
        .header_read_timeout(span(limits.operator_request_timeout))
        .max_buf_size(limits.max_operator_head_bytes)
        .serve_connection(TokioIo::new(RetryingStream(stream)), service);
    // One timeout for the complete call, so that a body that never ends is cut off too.
    let limit = span(limits.operator_request_timeout);
    match timeout(limit, served).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => slog::debug!(hub.log, "operator connection failed"; "error" => %e),
        Err(_) => slog::debug!(hub.log, "operator call not completed within {:?}", limit),
    }
}

async fn respond(request: Request<Incoming>, calls: &Calls, max_body: usize) -> Response<Full<Bytes>> {
    let Some(route) = Route::find(request.uri().path()) else {
        return response::text(StatusCode::NOT_FOUND, "no operator call at this path");
    };
    if request.method() != route.method {
        return response::method_not_allowed(route.method);
    }
    let body = match Limited::new(request.into_body(), max_body).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            let text = format!("the body is too large: at most {max_body} bytes");
            return response::text(StatusCode::PAYLOAD_TOO_LARGE, text);
        }
        Err(_) => return response::text(StatusCode::BAD_REQUEST, "the body is incomplete"),
    };
    match route.request(&body) {
        Ok(request) => call(request, calls).await,
        Err(reason) => response::text(StatusCode::BAD_REQUEST, reason.to_string()),
    }
}

/// Passes a request to the reducer and waits for its reply.
async fn call(request: OperatorRequest, calls: &Calls) -> Response<Full<Bytes>> {
    let (reply, replied) = oneshot::channel();
    if calls.send(OperatorCall { request, reply }).await.is_err() {
        return response::stopping();
    }
    replied.await.map_or_else(|_| response::stopping(), response::from_reply)
}
