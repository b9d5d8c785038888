//! HTTP answers to operators' calls.
use crate::metrics;
use crate::reducer::OperatorReply;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// The answer with a text, which ends with a line end.
pub fn text(status: StatusCode, text: impl Into<String>) -> Response<Full<Bytes>> {
    let mut text = text.into();
    if !text.ends_with('\n') {
        text.push('\n');
    }
    let mut response = Response::new(Full::from(text));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, plain);
    response
}

fn json(body: String) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::OK, body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The answer to a call with a wrong method; `allowed` is the right one.
pub fn method_not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, "this call has another method");
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// The answer of a process that stops before it could reply.
pub fn stopping() -> Response<Full<Bytes>> {
    text(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

fn unavailable(reason: impl Into<String>) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// The answer that a reply of the reducer stands for.
pub fn from_reply(reply: OperatorReply) -> Response<Full<Bytes>> {
    match reply {
        OperatorReply::Accepted(status) => text(StatusCode::OK, status.label()),
        OperatorReply::Unavailable(status) => unavailable(status.label()),
        OperatorReply::Conflict(status) => text(StatusCode::CONFLICT, status.label()),
        OperatorReply::Blocked(reason) => text(StatusCode::CONFLICT, reason),
        OperatorReply::Committed(confirmation) => text(StatusCode::OK, confirmation),
        OperatorReply::Leases(None) => text(StatusCode::NOT_FOUND, "nothing of it is agreed here"),
        OperatorReply::Leases(Some(leases)) => json(leases),
        OperatorReply::Membership(None) => text(StatusCode::NOT_FOUND, "fleet is not configured here"),
        OperatorReply::Membership(Some(status)) => match serde_json::to_string(&status) {
            Ok(status) => json(status),
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "the status can't be written"),
        },
        OperatorReply::Metrics(metrics) => text(StatusCode::OK, metrics::text(&metrics)),
    }
}
