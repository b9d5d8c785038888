//! `hallrelay drain`: asks a relay to let something out by what is agreed across the fleet, and says what
//! came of it.
use crate::status::post;
use serde_json::json;
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

#[derive(clap::Subcommand)]
pub enum Drain {
    /// The relay that is asked: exit 0 as it drains, 1 where it is not let out in time, 2 without an answer.
    Relay {
        #[command(flatten)]
        asks: Asks,
    },
    /// A backend, for the whole fleet: no relay places anything new there, and its sessions are moved.
    Backend {
        id: String,
        #[command(flatten)]
        asks: Asks,
    },
    /// A backend is to serve again; it counts as out till it is warm.
    Back {
        id: String,
        #[command(flatten)]
        at: At,
    },
    /// Something is not out any more, though nobody has seen it in: you vouch for it by name.
    Free {
        /// `relay NAME` or `backend ID`.
        kind: Kind,
        name: String,
        #[arg(long)]
        by: String,
        #[command(flatten)]
        at: At,
    },
    /// Who is out, who waits and why, as JSON. A voter knows it at once.
    Status {
        #[command(flatten)]
        at: At,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
pub enum Kind {
    Relay,
    Backend,
}

#[derive(clap::Args)]
pub struct At {
    /// The asked relay's second address (`operator` of its configuration).
    #[arg(long, env = "NODE_OPERATOR")]
    pub at: SocketAddr,
}

#[derive(clap::Args)]
pub struct Says {
    #[command(flatten)]
    pub at: At,
    /// Who asks; status tells it.
    #[arg(long, env = "USER", default_value = "an operator")]
    pub by: String,
    #[arg(long, default_value = "")]
    pub why: String,
}

#[derive(clap::Args)]
pub struct Asks {
    #[command(flatten)]
    says: Says,
    /// Past the budgets; said in status and in the log.
    #[arg(long)]
    force: bool,
    /// Seconds that it may wait for its turn.
    #[arg(long, default_value_t = 0)]
    wait: u64,
}

impl Asks {
    fn body(&self, backend: Option<&str>) -> String {
        let mut body = json!({"by": self.says.by, "why": self.says.why, "force": self.force});
        if let Some(backend) = backend {
            body["backend"] = json!(backend);
        }
        body.to_string()
    }
}

impl Kind {
    pub fn key(self) -> &'static str {
        match self {
            Kind::Relay => "relay",
            Kind::Backend => "backend",
        }
    }
}

pub fn run(what: Drain) -> Result<u8, String> {
    finish(tried(what))
}

/// Prints what a relay says: exit 0 where it agrees, 1 where it does not, 2 where nothing comes of it.
pub fn finish(said: impl Future<Output = Result<(u16, String), String>>) -> Result<u8, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("the runtime does not start: {e}"))?;
    match runtime.block_on(said) {
        Ok((200, text)) => {
            println!("{}", text.trim_end());
            Ok(0)
        }
        Ok((_, text)) => {
            eprintln!("hallrelay: {}", text.trim_end());
            Ok(1)
        }
        Err(why) => {
            eprintln!("hallrelay: {why}");
            Ok(2)
        }
    }
}

async fn tried(what: Drain) -> Result<(u16, String), String> {
    match what {
        Drain::Relay { asks } => asked(&asks, "/v1/relay/drain", asks.body(None)).await,
        Drain::Backend { id, asks } => asked(&asks, "/v1/backend/drain", asks.body(Some(&id))).await,
        Drain::Back { id, at } => post(at.at, "/v1/backend/back", json!({"backend": id}).to_string()).await,
        Drain::Free { kind, name, by, at } => {
            post(at.at, "/v1/free", json!({"by": by, kind.key(): name}).to_string()).await
        }
        Drain::Status { at } => crate::status::get(at.at, "/v1/grants").await,
    }
}

/// Asks till it is let out, or the time is up: each call waits for a while itself.
async fn asked(asks: &Asks, path: &'static str, body: String) -> Result<(u16, String), String> {
    let until = Instant::now() + Duration::from_secs(asks.wait);
    loop {
        let (status, text) = post(asks.says.at.at, path, body.clone()).await?;
        if status != 409 || Instant::now() >= until {
            return Ok((status, text));
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
