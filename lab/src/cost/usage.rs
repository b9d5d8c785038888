//! CPU time and memory of a process, as reported in `/proc`.
use super::CostError;

/// CPU time that a process has used so far, in nanoseconds.
pub(super) fn cpu_ns(pid: u32) -> Result<f64, CostError> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/schedstat")).map_err(CostError::Usage)?;
    text.split_whitespace().next().and_then(|field| field.parse().ok()).ok_or(CostError::NoCpuTime)
}

/// Current resident memory of a process, in kilobytes.
pub(super) fn resident_kb(pid: u32) -> Result<f64, CostError> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).map_err(CostError::Usage)?;
    let line = text.lines().find(|line| line.starts_with("VmRSS:")).ok_or(CostError::NoMemory)?;
    line.split_whitespace().nth(1).and_then(|field| field.parse().ok()).ok_or(CostError::NoMemory)
}
