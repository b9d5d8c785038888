//! `hallrelay drain`: has a relay take a target out of service within the disruption budgets, and
//! prints the answer.
use crate::cli::{self, CliError};
use crate::operator_client::{get, post, Answer, CallError};
use serde_json::json;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The HTTP status of a request that is not granted.
const CONFLICT: u16 = 409;
/// Pause between attempts; each call waits for a grant itself.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

// The comments of subcommands and arguments here are the help texts.

#[derive(clap::Subcommand)]
pub enum DrainCommand {
    /// The relay that is asked: exit 0 as it drains, 1 where it is not let out in time, 2 without an answer.
    Relay {
        #[command(flatten)]
        request: DrainArgs,
    },
    /// A backend, for the whole fleet: no relay places anything new there, and its sessions are moved.
    Backend {
        id: String,
        #[command(flatten)]
        request: DrainArgs,
    },
    /// A backend is to serve again; it counts as out till it is warm.
    #[command(name = "back")]
    Return {
        id: String,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Something is not out any more, though nobody has seen it in: you vouch for it by name.
    #[command(name = "free")]
    Reclaim {
        /// `relay NAME` or `backend ID`.
        kind: KindArg,
        name: String,
        #[arg(long = "by", value_name = "BY")]
        requested_by: String,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Who is out, who waits and why, as JSON. A voter knows it at once.
    Status {
        #[command(flatten)]
        at: OperatorAddr,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum KindArg {
    Relay,
    Backend,
}

#[derive(clap::Args)]
pub struct OperatorAddr {
    /// The asked relay's second address (`operator` of its configuration).
    #[arg(long = "at", value_name = "AT", env = "NODE_OPERATOR")]
    pub addr: SocketAddr,
}

#[derive(clap::Args)]
pub struct RequestArgs {
    #[command(flatten)]
    pub at: OperatorAddr,
    /// Who asks; status tells it.
    #[arg(long = "by", value_name = "BY", env = "USER", default_value = "an operator")]
    pub requested_by: String,
    #[arg(long = "why", value_name = "WHY", default_value = "")]
    pub reason: String,
}

#[derive(clap::Args)]
pub struct DrainArgs {
    #[command(flatten)]
    request: RequestArgs,
    /// Past the budgets; said in status and in the log.
    #[arg(long)]
    force: bool,
    /// Seconds that it may wait for its turn.
    #[arg(long = "wait", value_name = "WAIT", default_value_t = 0)]
    wait_s: u64,
}

impl DrainArgs {
    fn body(&self, backend: Option<&str>) -> String {
        let RequestArgs { requested_by, reason, .. } = &self.request;
        let mut body = json!({"by": requested_by, "why": reason, "force": self.force});
        if let Some(backend) = backend {
            body["backend"] = json!(backend);
        }
        body.to_string()
    }
}

impl KindArg {
    /// The key of a target's name in a call's body.
    pub fn key(self) -> &'static str {
        match self {
            KindArg::Relay => "relay",
            KindArg::Backend => "backend",
        }
    }
}

/// Runs the command; its exit status.
pub fn run(command: DrainCommand) -> Result<u8, CliError> {
    print_answer(call(command))
}

/// Prints a relay's answer: exit 0 for HTTP status 200, 1 for another, 2 without an answer.
pub fn print_answer<E: std::fmt::Display>(
    call: impl Future<Output = Result<Answer, E>>,
) -> Result<u8, CliError> {
    match cli::runtime()?.block_on(call) {
        Ok(Answer { status: 200, text }) => {
            println!("{}", text.trim_end());
            Ok(0)
        }
        Ok(Answer { text, .. }) => {
            eprintln!("hallrelay: {}", text.trim_end());
            Ok(1)
        }
        Err(e) => {
            eprintln!("hallrelay: {e}");
            Ok(2)
        }
    }
}

async fn call(command: DrainCommand) -> Result<Answer, CallError> {
    match command {
        DrainCommand::Relay { request } => {
            request_drain(&request, "/v1/relay/drain", request.body(None)).await
        }
        DrainCommand::Backend { id, request } => {
            request_drain(&request, "/v1/backend/drain", request.body(Some(&id))).await
        }
        DrainCommand::Return { id, at } => {
            post(at.addr, "/v1/backend/back", json!({"backend": id}).to_string()).await
        }
        DrainCommand::Reclaim { kind, name, requested_by, at } => {
            post(at.addr, "/v1/free", json!({"by": requested_by, kind.key(): name}).to_string()).await
        }
        DrainCommand::Status { at } => get(at.addr, "/v1/grants").await,
    }
}

/// Requests a drain until it is granted or the time is up.
async fn request_drain(args: &DrainArgs, path: &'static str, body: String) -> Result<Answer, CallError> {
    let deadline = Instant::now() + Duration::from_secs(args.wait_s);
    loop {
        let answer = post(args.request.at.addr, path, body.clone()).await?;
        if answer.status != CONFLICT || Instant::now() >= deadline {
            return Ok(answer);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
