//! The second address, for operators: HTTP/1.1, one call a connection. What is asked goes to the reducer
//! ahead of all that waits from sessions; connections here have places of their own, and who holds one
//! without a whole call gives it up to the next.
use super::{accept, Hub};
use crate::clock::span;
use crate::figures;
use crate::reducer::{DrainRequest, OperatorReply, OperatorRequest};
use crate::socket::Steady;
use hallrelay_disruption::{Command, RolloutPlan, Target};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderValue, ALLOW, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Deserialize;
use std::collections::VecDeque;
use std::convert::Infallible;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::timeout;

pub(super) type Calls = mpsc::Sender<(OperatorRequest, oneshot::Sender<OperatorReply>)>;

type Meant = fn(Said) -> Result<OperatorRequest, &'static str>;

/// Path, method, and what it asks for.
const CALLS: [(&str, &str, Meant); 15] = [
    ("/v1/readyz", "GET", |_| Ok(OperatorRequest::Readiness)),
    ("/v1/metrics", "GET", |_| Ok(OperatorRequest::Metrics)),
    ("/v1/fleet", "GET", |_| Ok(OperatorRequest::Membership)),
    ("/v1/grants", "GET", |_| Ok(OperatorRequest::Leases)),
    ("/v1/relay/drain", "POST", |said| Ok(OperatorRequest::Drain(Box::new(said.drain(None))))),
    ("/v1/relay/activate", "POST", |_| Ok(OperatorRequest::Activate)),
    ("/v1/backend/drain", "POST", |said| {
        let backend = said.backend.clone().ok_or("backend is left out")?;
        Ok(OperatorRequest::Drain(Box::new(said.drain(Some(backend)))))
    }),
    ("/v1/backend/back", "POST", |said| {
        let target = Target::Backend(said.backend.ok_or("backend is left out")?);
        agree(format!("{target} serves again"), Command::Return { target })
    }),
    ("/v1/free", "POST", |said| {
        let target = said.target()?;
        let requested_by =
            said.by.filter(|by| !by.is_empty()).ok_or("by is left out: who vouches for it?")?;
        agree(format!("{target} is freed"), Command::Reclaim { target, requested_by })
    }),
    ("/v1/release", "GET", |_| Ok(OperatorRequest::Rollout)),
    ("/v1/release/start", "POST", |said| {
        let plan = said.plan.filter(|plan| plan.validate().is_ok()).ok_or("no sound plan")?;
        agree(format!("release of {} begins", plan.build), Command::StartRollout { plan })
    }),
    ("/v1/release/did", "POST", |said| {
        let target = said.target()?;
        let lease_id = said.grant.ok_or("grant is left out")?;
        let succeeded = said.failed.is_none();
        let reason = said.failed.unwrap_or_default();
        agree(format!("{target} is changed"), Command::MarkDone { target, lease_id, succeeded, reason })
    }),
    ("/v1/release/halt", "POST", |said| {
        let requested_by = said.requested_by();
        let reason = said.why.unwrap_or_default();
        agree("halted".to_string(), Command::Halt { requested_by, reason })
    }),
    ("/v1/release/resume", "POST", |said| {
        agree("goes on".to_string(), Command::Resume { requested_by: said.requested_by() })
    }),
    ("/v1/release/back", "POST", |said| {
        agree("goes back".to_string(), Command::RollBack { requested_by: said.requested_by() })
    }),
];

/// A call's body, JSON; most calls have none.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Said {
    relay: Option<String>,
    backend: Option<String>,
    by: Option<String>,
    why: Option<String>,
    force: bool,
    grant: Option<u64>,
    failed: Option<String>,
    /// The whole body of a plan.
    #[serde(skip)]
    plan: Option<RolloutPlan>,
}

fn agree(words: String, command: Command) -> Result<OperatorRequest, &'static str> {
    Ok(OperatorRequest::Propose { command: Box::new(command), words })
}

impl Said {
    fn requested_by(&self) -> String {
        self.by.clone().unwrap_or_else(|| "an operator".to_string())
    }

    fn target(&self) -> Result<Target, &'static str> {
        match (&self.relay, &self.backend) {
            (Some(relay), None) => Ok(Target::Relay(relay.clone())),
            (None, Some(backend)) => Ok(Target::Backend(backend.clone())),
            _ => Err("wanted a relay or a backend"),
        }
    }

    fn drain(self, backend: Option<String>) -> DrainRequest {
        let requested_by = self.requested_by();
        DrainRequest { backend, requested_by, reason: self.why.unwrap_or_default(), force: self.force }
    }
}

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
        .serve_connection(TokioIo::new(Steady(stream)), service);
    // One time for the whole call: a body that never ends is cut off as well.
    match timeout(span(limits.call), served).await {
        Ok(Ok(())) => {}
        Ok(Err(e)) => slog::debug!(hub.log, "an operator's call is broken"; "error" => %e),
        Err(_) => slog::debug!(hub.log, "an operator's call was not whole in time"),
    }
}

async fn answer(asked: Request<Incoming>, calls: &Calls, most: usize) -> Response<Full<Bytes>> {
    let path = asked.uri().path().to_string();
    let strict = ["/v1/backend/", "/v1/free", "/v1/release/"].iter().any(|start| path.starts_with(start));
    let Some(&(_, method, what)) = CALLS.iter().find(|call| call.0 == path) else {
        return say(StatusCode::NOT_FOUND, "no such call");
    };
    if asked.method() != method {
        let mut no = say(StatusCode::METHOD_NOT_ALLOWED, "this call has another method");
        no.headers_mut().insert(ALLOW, HeaderValue::from_static(method));
        return no;
    }
    let said = match Limited::new(asked.into_body(), most).collect().await {
        Err(e) if e.is::<LengthLimitError>() => {
            return say(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        Err(_) => return say(StatusCode::BAD_REQUEST, "the body is not whole"),
        Ok(body) => body.to_bytes(),
    };
    // What a call of old is sent beside it never had a meaning.
    let said = match path.as_str() {
        _ if said.is_empty() => Ok(Said::default()),
        "/v1/release/start" => {
            serde_json::from_slice(&said).map(|plan| Said { plan: Some(plan), ..Said::default() })
        }
        _ => serde_json::from_slice(&said),
    };
    let said = match said {
        Ok(said) => said,
        Err(_) if !strict => Said::default(),
        Err(e) => return say(StatusCode::BAD_REQUEST, format!("the body: {e}")),
    };
    let what = match what(said) {
        Ok(what) => what,
        Err(why) => return say(StatusCode::BAD_REQUEST, why),
    };
    let (to, reply) = oneshot::channel();
    if calls.send((what, to)).await.is_err() {
        return say(StatusCode::SERVICE_UNAVAILABLE, "stopping");
    }
    match reply.await {
        Ok(OperatorReply::Accepted(word)) => say(StatusCode::OK, word),
        Ok(OperatorReply::Unavailable(word)) => {
            let mut no = say(StatusCode::SERVICE_UNAVAILABLE, word);
            no.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
            no
        }
        Ok(OperatorReply::Conflict(word)) => say(StatusCode::CONFLICT, word),
        Ok(OperatorReply::Blocked(why)) => say(StatusCode::CONFLICT, why),
        Ok(OperatorReply::Committed(what)) => say(StatusCode::OK, what),
        Ok(OperatorReply::Leases(None)) => say(StatusCode::NOT_FOUND, "nothing of it is agreed here"),
        Ok(OperatorReply::Leases(Some(text))) => {
            let mut answer = say(StatusCode::OK, text);
            answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer
        }
        Ok(OperatorReply::Membership(None)) => say(StatusCode::NOT_FOUND, "fleet is not configured here"),
        Ok(OperatorReply::Membership(Some(status))) => match serde_json::to_string(&status) {
            Ok(text) => {
                let mut answer = say(StatusCode::OK, text);
                answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
                answer
            }
            Err(_) => say(StatusCode::INTERNAL_SERVER_ERROR, "the status can't be written"),
        },
        Ok(OperatorReply::Metrics(figures)) => say(StatusCode::OK, figures::text(&figures)),
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
