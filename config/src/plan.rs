//! Parses rollout plans, which operators write in TOML. A plan lists waves: groups of relays or backends
//! that are replaced one group after the other. Errors name the file, and the line or the key.
use hallrelay_disruption::{AnalysisPolicy, InvalidPlan, RolloutPlan, TargetKind, Wave};
use serde::Deserialize;
use std::path::Path;

/// Error in a rollout plan.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The plan's file.
        file: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The text is not TOML, or its keys are not those of a plan.
    #[error("{file}: {reason}")]
    Syntax {
        /// The plan's file.
        file: String,
        /// Line, key and cause.
        reason: String,
    },
    /// A share is not within 0 to 1.
    #[error("{file}: {key} is {value}, wanted 0 to 1")]
    InvalidShare {
        /// The plan's file.
        file: String,
        /// The key of the share.
        key: String,
        /// The value found.
        value: f64,
    },
    /// A wave selects no targets.
    #[error("{file}: wave {number} selects nothing, wanted names, a count or a share")]
    EmptyWave {
        /// The plan's file.
        file: String,
        /// Number of the wave, counted from 1.
        number: usize,
    },
    /// The plan exceeds a limit.
    #[error("{file}: {source}")]
    Invalid {
        /// The plan's file.
        file: String,
        /// The limit that is exceeded.
        source: InvalidPlan,
    },
}

/// A plan as operators write it.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct PlanText {
    build: String,
    of: TargetText,
    by: String,
    #[serde(default)]
    judge: JudgeText,
    wave: Vec<WaveText>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum TargetText {
    Relay,
    Backend,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct JudgeText {
    sessions: u32,
    worse: f64,
    within_s: u32,
}

impl Default for JudgeText {
    /// 200 sessions suffice to detect 2 more failures in 100 sessions (`worse`). A fleet with few sessions
    /// gets ten minutes (`within_s`) to reach that number.
    fn default() -> JudgeText {
        JudgeText { sessions: 200, worse: 0.02, within_s: 600 }
    }
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct WaveText {
    names: Vec<String>,
    count: u32,
    share: f64,
}

/// Reads a plan from a file.
///
/// # Errors
/// The file can't be read, or its text is not a valid plan.
pub fn read(path: &Path) -> Result<RolloutPlan, PlanError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(source) => Err(PlanError::Unreadable { file, source }),
    }
}

/// Parses and validates a plan; `file` names the text in errors.
///
/// # Errors
/// The text is not TOML, a key is unknown or missing, a wave selects nothing, or a value is out of bounds.
pub fn parse(file: &str, text: &str) -> Result<RolloutPlan, PlanError> {
    let text: PlanText = toml::from_str(text).map_err(|e| PlanError::Syntax {
        file: file.to_string(),
        reason: e.to_string().trim_end().to_string(),
    })?;
    let mut waves = Vec::new();
    for (index, wave) in text.wave.into_iter().enumerate() {
        waves.push(decode_wave(file, index + 1, wave)?);
    }
    let margin_ppm = share_ppm(file, "judge.worse", text.judge.worse)?;
    let plan = RolloutPlan {
        build: text.build,
        target_kind: match text.of {
            TargetText::Relay => TargetKind::Relay,
            TargetText::Backend => TargetKind::Backend,
        },
        waves,
        analysis: AnalysisPolicy {
            min_sessions: text.judge.sessions,
            margin_ppm,
            deadline_s: text.judge.within_s,
        },
        requested_by: text.by,
    };
    plan.validate().map_err(|source| PlanError::Invalid { file: file.to_string(), source })?;
    Ok(plan)
}

fn decode_wave(file: &str, number: usize, wave: WaveText) -> Result<Wave, PlanError> {
    let share_ppm = share_ppm(file, &format!("wave {number}: share"), wave.share)?;
    if wave.names.is_empty() && wave.count == 0 && share_ppm == 0 {
        return Err(PlanError::EmptyWave { file: file.to_string(), number });
    }
    Ok(Wave { names: wave.names, count: wave.count, share_ppm })
}

/// Converts a share from 0 to 1 to parts per million.
fn share_ppm(file: &str, key: &str, value: f64) -> Result<u32, PlanError> {
    if !(0.0..=1.0).contains(&value) {
        return Err(PlanError::InvalidShare { file: file.to_string(), key: key.to_string(), value });
    }
    Ok((value * 1e6).round() as u32)
}
