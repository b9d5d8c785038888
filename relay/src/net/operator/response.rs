//! HTTP responses to operators' calls.
use crate::metrics;
use crate::reducer::OperatorReply;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Returns a response with a text, to which a line ending is added if it is missing.
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

/// Returns the response to a call with a wrong method; `allowed` is the right one.
pub fn method_not_allowed(allowed: &'static str) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::METHOD_NOT_ALLOWED, format!("this call requires {allowed}"));
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

/// Returns the response of a process that stops before it can reply.
pub fn stopping() -> Response<Full<Bytes>> {
    text(StatusCode::SERVICE_UNAVAILABLE, "stopping")
}

fn unavailable(reason: impl Into<String>) -> Response<Full<Bytes>> {
    let mut response = text(StatusCode::SERVICE_UNAVAILABLE, reason);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

/// Converts a reply of the reducer to a response.
pub fn from_reply(reply: OperatorReply) -> Response<Full<Bytes>> {
    match reply {
        OperatorReply::Accepted(status) => text(StatusCode::OK, status.label()),
        OperatorReply::Unavailable(status) => unavailable(status.label()),
        OperatorReply::Conflict(status) => text(StatusCode::CONFLICT, status.label()),
        OperatorReply::Blocked(reason) => text(StatusCode::CONFLICT, reason),
        OperatorReply::Committed(confirmation) => text(StatusCode::OK, confirmation),
        OperatorReply::Leases(None) => {
            text(StatusCode::NOT_FOUND, "no leases or rollouts here: fleet.voters is not configured")
        }
        OperatorReply::Leases(Some(leases)) => json(leases),
        OperatorReply::Membership(None) => text(StatusCode::NOT_FOUND, "fleet is not configured here"),
        OperatorReply::Membership(Some(status)) => match serde_json::to_string(&status) {
            Ok(status) => json(status),
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "cannot encode the fleet status as JSON"),
        },
        OperatorReply::Metrics(metrics) => text(StatusCode::OK, metrics::text(&metrics)),
    }
}
