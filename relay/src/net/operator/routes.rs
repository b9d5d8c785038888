//! The operators' calls: paths, methods, bodies, and the request to which each is converted.
use crate::reducer::{DrainRequest, OperatorRequest};
use hallrelay_disruption::{Command, RolloutPlan, Target};
use hyper::body::Bytes;
use serde::Deserialize;
use thiserror::Error;

/// The path whose body is a rollout plan.
const START_ROLLOUT: &str = "/v1/release/start";

/// Calls whose body must be valid. The other calls ignore an invalid body, as earlier versions did.
const STRICT_PREFIXES: [&str; 3] = ["/v1/backend/", "/v1/free", "/v1/release/"];

/// Why a call is answered with `400 Bad Request`. The texts are sent as the response bodies.
#[derive(Debug, Error)]
pub enum BadRequest {
    /// The body is not valid JSON for the call.
    #[error("invalid body: {0}")]
    Body(#[from] serde_json::Error),
    /// The call requires a backend, and the body names none.
    #[error("key \"backend\" is missing: name the backend")]
    MissingBackend,
    /// The call requires either a relay or a backend, and the body names none or both.
    #[error("name either a relay (key \"relay\") or a backend (key \"backend\")")]
    NoTarget,
    /// The body of a reclaim does not name who confirms that the lease may be reclaimed.
    #[error("key \"by\" is missing: name who confirms that the lease may be reclaimed")]
    MissingRequestedBy,
    /// The call requires a lease, and the body names none.
    #[error("key \"grant\" is missing: give the id of the lease")]
    MissingLease,
    /// The rollout plan is missing or invalid.
    #[error("the rollout plan is missing or invalid")]
    InvalidPlan,
}

/// One call that operators can make.
pub struct Route {
    /// The complete path.
    pub path: &'static str,
    /// `GET` or `POST`.
    pub method: &'static str,
    request: fn(CallBody) -> Result<OperatorRequest, BadRequest>,
}

impl Route {
    /// Returns the route of a path.
    pub fn find(path: &str) -> Option<&'static Route> {
        ROUTES.iter().find(|route| route.path == path)
    }

    /// Converts a call with this body to a request.
    ///
    /// # Errors
    /// The body is invalid, or lacks or contradicts what the call requires.
    pub fn request(&self, body: &Bytes) -> Result<OperatorRequest, BadRequest> {
        (self.request)(self.parse_body(body)?)
    }

    fn parse_body(&self, body: &Bytes) -> Result<CallBody, BadRequest> {
        if body.is_empty() {
            return Ok(CallBody::default());
        }
        if self.path == START_ROLLOUT {
            let plan = serde_json::from_slice(body)?;
            return Ok(CallBody { plan: Some(plan), ..CallBody::default() });
        }
        let strict = STRICT_PREFIXES.iter().any(|prefix| self.path.starts_with(prefix));
        match serde_json::from_slice(body) {
            Ok(body) => Ok(body),
            Err(error) if strict => Err(error.into()),
            Err(_) => Ok(CallBody::default()),
        }
    }
}

/// A call's body; most calls have none.
#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct CallBody {
    relay: Option<String>,
    backend: Option<String>,
    #[serde(rename = "by")]
    requested_by: Option<String>,
    #[serde(rename = "why")]
    reason: Option<String>,
    force: bool,
    #[serde(rename = "grant")]
    lease_id: Option<u64>,
    /// Why a change failed; `None` if it succeeded.
    failed: Option<String>,
    /// The complete body of a call that starts a rollout.
    #[serde(skip)]
    plan: Option<RolloutPlan>,
}

impl CallBody {
    fn requested_by(&self) -> String {
        self.requested_by.clone().unwrap_or_else(|| "an operator".to_string())
    }

    fn backend(&self) -> Result<String, BadRequest> {
        self.backend.clone().ok_or(BadRequest::MissingBackend)
    }

    fn target(&self) -> Result<Target, BadRequest> {
        match (&self.relay, &self.backend) {
            (Some(relay), None) => Ok(Target::Relay(relay.clone())),
            (None, Some(backend)) => Ok(Target::Backend(backend.clone())),
            _ => Err(BadRequest::NoTarget),
        }
    }

    fn drain(self, backend: Option<String>) -> OperatorRequest {
        let requested_by = self.requested_by();
        let reason = self.reason.unwrap_or_default();
        OperatorRequest::Drain(Box::new(DrainRequest { backend, requested_by, reason, force: self.force }))
    }
}

const ROUTES: [Route; 15] = [
    Route { path: "/v1/readyz", method: "GET", request: |_| Ok(OperatorRequest::Readiness) },
    Route { path: "/v1/metrics", method: "GET", request: |_| Ok(OperatorRequest::Metrics) },
    Route { path: "/v1/fleet", method: "GET", request: |_| Ok(OperatorRequest::Membership) },
    Route { path: "/v1/grants", method: "GET", request: |_| Ok(OperatorRequest::Leases) },
    Route { path: "/v1/relay/drain", method: "POST", request: |body| Ok(body.drain(None)) },
    Route { path: "/v1/relay/activate", method: "POST", request: |_| Ok(OperatorRequest::Activate) },
    Route { path: "/v1/backend/drain", method: "POST", request: drain_backend },
    Route { path: "/v1/backend/back", method: "POST", request: return_backend },
    Route { path: "/v1/free", method: "POST", request: reclaim },
    Route { path: "/v1/release", method: "GET", request: |_| Ok(OperatorRequest::Rollout) },
    Route { path: START_ROLLOUT, method: "POST", request: start_rollout },
    Route { path: "/v1/release/did", method: "POST", request: mark_done },
    Route { path: "/v1/release/halt", method: "POST", request: halt },
    Route { path: "/v1/release/resume", method: "POST", request: resume },
    Route { path: "/v1/release/back", method: "POST", request: roll_back },
];

/// Returns the request to commit a command; `confirmation` is the answer once it is committed.
fn propose(confirmation: String, command: Command) -> OperatorRequest {
    OperatorRequest::Propose { command: Box::new(command), confirmation }
}

fn drain_backend(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    let backend = body.backend()?;
    Ok(body.drain(Some(backend)))
}

fn return_backend(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    let target = Target::Backend(body.backend()?);
    Ok(propose(format!("{target} serves again"), Command::Return { target }))
}

fn reclaim(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    let target = body.target()?;
    let requested_by = body.requested_by.filter(|by| !by.is_empty()).ok_or(BadRequest::MissingRequestedBy)?;
    Ok(propose(format!("{target} is freed"), Command::Reclaim { target, requested_by }))
}

fn start_rollout(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    let plan = body.plan.filter(|plan| plan.validate().is_ok()).ok_or(BadRequest::InvalidPlan)?;
    Ok(propose(format!("release of {} begins", plan.build), Command::StartRollout { plan }))
}

fn mark_done(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    let target = body.target()?;
    let lease_id = body.lease_id.ok_or(BadRequest::MissingLease)?;
    let succeeded = body.failed.is_none();
    let reason = body.failed.unwrap_or_default();
    let confirmation = format!("{target} is changed");
    Ok(propose(confirmation, Command::MarkDone { target, lease_id, succeeded, reason }))
}

fn halt(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    let requested_by = body.requested_by();
    let reason = body.reason.unwrap_or_default();
    Ok(propose("halted".to_string(), Command::Halt { requested_by, reason }))
}

fn resume(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    Ok(propose("goes on".to_string(), Command::Resume { requested_by: body.requested_by() }))
}

fn roll_back(body: CallBody) -> Result<OperatorRequest, BadRequest> {
    Ok(propose("goes back".to_string(), Command::RollBack { requested_by: body.requested_by() }))
}
