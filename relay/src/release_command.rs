//! `hallrelay release`: requests a relay to start, halt, resume or roll back a rollout, or to show its
//! status, and prints the relay's answer. The texts for operators call a rollout a release and a lease a
//! grant.
use crate::cli::CliError;
use crate::drain_command::{print_answer, KindArg, OperatorAddr, RequestArgs};
use crate::operator_client::{get, post, Answer, CallError};
use hallrelay_config::plan::{self, PlanError};
use serde_json::json;
use std::path::PathBuf;

// The doc comments of subcommands and arguments are their help texts.

#[derive(clap::Subcommand)]
pub enum ReleaseCommand {
    /// Start a release, unless one is in progress.
    Start {
        /// The file of the release plan.
        plan: PathBuf,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Show the progress of the release, and which targets the deployer is to update now, as JSON. Call a
    /// voter: only voters hold this state.
    Status {
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Report that a target that was due has been updated, or could not be.
    #[command(name = "did")]
    MarkDone {
        /// The kind of the target.
        kind: KindArg,
        /// The relay's name or the backend's id.
        name: String,
        /// The number of the grant with which the status listed the target as due.
        #[arg(long = "grant", value_name = "GRANT")]
        lease_id: u64,
        /// Why the target could not be updated. The release halts.
        #[arg(long)]
        failed: Option<String>,
        #[command(flatten)]
        at: OperatorAddr,
    },
    /// Halt the release: no further target is taken out of service, and updates in progress are completed.
    Halt {
        #[command(flatten)]
        request: RequestArgs,
    },
    /// Resume a halted release in the direction that it had: forward, or rolling back.
    Resume {
        #[command(flatten)]
        request: RequestArgs,
    },
    /// Roll back all updated targets, the most recent one first.
    #[command(name = "back")]
    RollBack {
        #[command(flatten)]
        request: RequestArgs,
    },
}

/// Why a command has no answer.
#[derive(Debug, thiserror::Error)]
enum ReleaseError {
    #[error(transparent)]
    Plan(#[from] PlanError),
    #[error(transparent)]
    Encoding(#[from] serde_json::Error),
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Runs the command and returns its exit status.
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
        ReleaseCommand::Halt { request } => control_rollout(&request, "/v1/release/halt").await,
        ReleaseCommand::Resume { request } => control_rollout(&request, "/v1/release/resume").await,
        ReleaseCommand::RollBack { request } => control_rollout(&request, "/v1/release/back").await,
    }
}

/// Halts, resumes or rolls back the rollout, depending on the path.
async fn control_rollout(request: &RequestArgs, path: &'static str) -> Result<Answer, ReleaseError> {
    let RequestArgs { at, requested_by, reason } = request;
    let body = json!({"by": requested_by, "why": reason}).to_string();
    Ok(post(at.addr, path, body).await?)
}
