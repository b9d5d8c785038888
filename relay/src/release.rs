//! `hallrelay release`: asks a relay to begin a release, to halt it, to go on or back, and says how it
//! stands.
use crate::drain::{finish, At, Kind, Says};
use crate::status::{get, post};
use serde_json::json;
use std::path::PathBuf;

#[derive(clap::Subcommand)]
pub enum Release {
    /// Begins a release by its plan, where none is under way.
    Start {
        plan: PathBuf,
        #[command(flatten)]
        at: At,
    },
    /// How it stands, and what is to be done by whoever deploys, as JSON; on a voter.
    Status {
        #[command(flatten)]
        at: At,
    },
    /// What was due is done, or could not be: `relay NAME` or `backend ID`, under the grant that was due.
    Did {
        kind: Kind,
        name: String,
        #[arg(long)]
        grant: u64,
        /// It could not be changed, and why: the release halts.
        #[arg(long)]
        failed: Option<String>,
        #[command(flatten)]
        at: At,
    },
    /// Nothing begins from now on; what has begun goes to its end.
    Halt {
        #[command(flatten)]
        says: Says,
    },
    /// On from a halt, the same way.
    Resume {
        #[command(flatten)]
        says: Says,
    },
    /// All that was changed goes back, the latest first.
    Back {
        #[command(flatten)]
        says: Says,
    },
}

pub fn run(what: Release) -> Result<u8, String> {
    finish(tried(what))
}

async fn tried(what: Release) -> Result<(u16, String), String> {
    match what {
        Release::Start { plan, at } => {
            let file = plan.display().to_string();
            let text = std::fs::read_to_string(&plan).map_err(|e| format!("{file}: {e}"))?;
            let plan = hallrelay_config::plan::read(&file, &text)?;
            let plan = serde_json::to_string(&plan).map_err(|e| e.to_string())?;
            post(at.at, "/v1/release/start", plan).await
        }
        Release::Status { at } => get(at.at, "/v1/release").await,
        Release::Did { kind, name, grant, failed, at } => {
            let body = json!({kind.key(): name, "grant": grant, "failed": failed});
            post(at.at, "/v1/release/did", body.to_string()).await
        }
        Release::Halt { says } => say(&says, "/v1/release/halt").await,
        Release::Resume { says } => say(&says, "/v1/release/resume").await,
        Release::Back { says } => say(&says, "/v1/release/back").await,
    }
}

async fn say(says: &Says, path: &'static str) -> Result<(u16, String), String> {
    post(says.at.at, path, json!({"by": says.by, "why": says.why}).to_string()).await
}
