//! `hallrelay-lab cost`: measures the cost of a relay at several numbers of open sessions.
use super::{runtime, Status};
use hallrelay_lab::cost;
use hallrelay_lab::error::LabError;
use hallrelay_lab::relay_process::Program;
use std::path::Path;
use tokio::task::LocalSet;

/// Measures at each number of sessions and prints a row for it.
pub fn run(
    sessions: &[usize],
    opens: usize,
    program: &Program,
    out: &Path,
    json: bool,
) -> Result<Status, LabError> {
    let mut rows = Vec::new();
    if !json {
        println!("sessions    us/open  ms to UP p50  p99  us/line and answer  idle core    kB/session");
    }
    for &count in sessions {
        let measurement = cost::measure(count.max(1), opens.max(1), program, out);
        let row = LocalSet::new().block_on(&runtime()?, measurement)?;
        if !json {
            let [p50, p99] = row.wait_ms;
            println!(
                "{:8}  {:10.1}  {p50:12.2} {p99:4.1}  {:18.1}  {:9.4}  {:12.2}",
                row.sessions, row.open_us, row.line_us, row.idle, row.memory_kb
            );
        }
        rows.push(row);
    }
    if json {
        println!("{}", serde_json::to_string_pretty(&rows)?);
    }
    Ok(Status::Success)
}
