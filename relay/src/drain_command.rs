//! `hallrelay drain`: requests a relay to take a target, which is a relay or a backend, out of service within
//! the disruption budgets, and prints the relay's answer. The texts for operators call a lease a grant.
use crate::cli::{self, CliError};
use crate::operator_client::{get, post, Answer, CallError};
use serde_json::json;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The HTTP status of a request that was not granted.
const CONFLICT: u16 = 409;
/// Pause between requests. It may be short, since the relay itself holds each request open for a while.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

// The doc comments of subcommands and arguments are their help texts.

#[derive(clap::Subcommand)]
pub enum DrainCommand {
    /// Drain the called relay. Exit status 0: it is draining; 1: not granted in time; 2: no answer.
    Relay {
        #[command(flatten)]
        request: DrainArgs,
    },
    /// Drain a backend: no relay of the fleet places new sessions there, and its open ones are migrated.
    Backend {
        id: String,
        #[command(flatten)]
        request: DrainArgs,
    },
    /// Return a backend to service. It counts as out of service until it has warmed up.
    #[command(name = "back")]
    Return {
        id: String,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// End the grant of a target that is back in service although the leader has not observed its return. You
    /// vouch for the return with your name.
    #[command(name = "free")]
    Reclaim {
        /// The kind of the target.
        kind: KindArg,
        /// The relay's name or the backend's id.
        name: String,
        /// Your name.
        #[arg(long = "by", value_name = "BY")]
        requested_by: String,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Show which targets are out of service or waiting, and why, as JSON. Call a voter: only voters hold
    /// this state.
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
    /// Operator address of the relay to call (`operator` in its configuration).
    #[arg(long = "at", value_name = "AT", env = "NODE_OPERATOR")]
    pub addr: SocketAddr,
}

#[derive(clap::Args)]
pub struct RequestArgs {
    #[command(flatten)]
    pub at: OperatorAddr,
    /// Your name. The status shows it with the request.
    #[arg(long = "by", value_name = "BY", env = "USER", default_value = "an operator")]
    pub requested_by: String,
    /// The reason for the request. The status shows it with the request.
    #[arg(long = "why", value_name = "WHY", default_value = "")]
    pub reason: String,
}

#[derive(clap::Args)]
pub struct DrainArgs {
    #[command(flatten)]
    request: RequestArgs,
    /// Ignore the disruption budgets. The status and the log show that the drain was forced.
    #[arg(long)]
    force: bool,
    /// Time in seconds for which a request that is not granted is repeated. With 0 it is made once.
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
    /// The JSON key of the target's name in the body of a call.
    pub fn key(self) -> &'static str {
        match self {
            KindArg::Relay => "relay",
            KindArg::Backend => "backend",
        }
    }
}

/// Runs the command and returns its exit status.
pub fn run(command: DrainCommand) -> Result<u8, CliError> {
    print_answer(call(command))
}

/// Prints a relay's answer and returns the exit status: 0 for HTTP status 200, 1 for any other, 2 without an
/// answer.
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

/// Repeats the request until the drain is granted or `wait_s` seconds have passed.
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
