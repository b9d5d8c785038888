//! `hallrelay release`: has a relay start, halt, resume or roll back a rollout, and prints
//! its status.
use crate::cli::CliError;
use crate::drain_command::{print_answer, KindArg, OperatorAddr, RequestArgs};
use crate::operator_client::{get, post, Answer, CallError};
use hallrelay_config::plan::{self, PlanError};
use serde_json::json;
use std::path::PathBuf;

// The comments of subcommands and arguments here are the help texts.

#[derive(clap::Subcommand)]
pub enum ReleaseCommand {
    /// Begins a release by its plan, where none is under way.
    Start {
        plan: PathBuf,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// How it stands, and what is to be done by whoever deploys, as JSON; on a voter.
    Status {
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// What was due is done, or could not be: `relay NAME` or `backend ID`, under the grant that was due.
    #[command(name = "did")]
    MarkDone {
        kind: KindArg,
        name: String,
        #[arg(long = "grant", value_name = "GRANT")]
        lease_id: u64,
        /// It could not be changed, and why: the release halts.
        #[arg(long)]
        failed: Option<String>,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Nothing begins from now on; what has begun goes to its end.
    Halt {
        #[command(flatten)]
        request: RequestArgs,
    },
    /// On from a halt, the same way.
    Resume {
        #[command(flatten)]
        request: RequestArgs,
    },
    /// All that was changed goes back, the latest first.
    #[command(name = "back")]
    RollBack {
        #[command(flatten)]
        request: RequestArgs,
    },
}

/// Why a command got no answer.
#[derive(Debug, thiserror::Error)]
enum ReleaseError {
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Runs the command; its exit status.
pub fn run(command: ReleaseCommand) -> Result<u8, CliError> {
    print_answer(call(command))
}

async fn call(command: ReleaseCommand) -> Result<Answer, ReleaseError> {
    match command {
        ReleaseCommand::Start { plan, at } => {
            let plan = serde_json::to_string(&plan::read(&plan)?)?;
            Ok(post(at.addr, "/v1/release/start", plan).await?)
        }
        ReleaseCommand::Status { at } => Ok(get(at.addr, "/v1/release").await?),
        ReleaseCommand::MarkDone { kind, name, lease_id, failed, at } => {
            let body = json!({kind.key(): name, "grant": lease_id, "failed": failed});
            Ok(post(at.addr, "/v1/release/did", body.to_string()).await?)
        }
        ReleaseCommand::Halt { request } => steer(&request, "/v1/release/halt").await,
        ReleaseCommand::Resume { request } => steer(&request, "/v1/release/resume").await,
        ReleaseCommand::RollBack { request } => steer(&request, "/v1/release/back").await,
    }
}

async fn steer(request: &RequestArgs, path: &'static str) -> Result<Answer, ReleaseError> {
    let RequestArgs { at, requested_by, reason } = request;
    let body = json!({"by": requested_by, "why": reason}).to_string();
    Ok(post(at.addr, path, body).await?)
}
