//! A rollout's plan as operators write it: a TOML text, whose errors name file, line and key.
use hallrelay_disruption::{AnalysisPolicy, InvalidPlan, RolloutPlan, TargetKind, Wave};
use serde::Deserialize;
use std::path::Path;

/// Why a plan can't be used.
#[derive(Debug, thiserror::Error)]
pub enum PlanError {
    /// The file can't be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The plan's file.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// Not TOML, or not the keys of a plan.
    #[error("{file}: {reason}")]
    Syntax {
        /// The plan's file.
        file: String,
        /// Line, key and what is wrong.
        reason: String,
    },
    /// A share outside 0 to 1.
    #[error("{file}: {key} is {value}, wanted 0 to 1")]
    NotAShare {
        /// The plan's file.
        file: String,
        /// The share's key.
        key: String,
        /// What it is.
        value: f64,
    },
    /// A wave that selects nothing.
    #[error("{file}: wave {number} has neither names nor a count or share")]
    EmptyWave {
        /// The plan's file.
        file: String,
        /// The wave, from 1.
        number: usize,
    },
    /// A plan beyond the limits.
    #[error("{file}: {source}")]
    Invalid {
        /// The plan's file.
        file: String,
        /// Which limits there are.
        source: InvalidPlan,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    build: String,
    of: Of,
    by: String,
    #[serde(default)]
    judge: JudgeText,
    wave: Vec<WaveText>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Of {
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
    /// An excess of two in a hundred shows in two hundred sessions; a fleet with few gets ten minutes for
    /// them.
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

/// Reads a plan's file.
///
/// # Errors
/// The file can't be read, or `parse` fails.
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
/// Not TOML, not a plan's keys, a wave that selects nothing, or values beyond the limits.
pub fn parse(file: &str, text: &str) -> Result<RolloutPlan, PlanError> {
    let text: Text = toml::from_str(text).map_err(|e| PlanError::Syntax {
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
            Of::Relay => TargetKind::Relay,
            Of::Backend => TargetKind::Backend,
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

/// A share of 0 to 1 in millionths.
fn share_ppm(file: &str, key: &str, value: f64) -> Result<u32, PlanError> {
    if !(0.0..=1.0).contains(&value) {
        return Err(PlanError::NotAShare { file: file.to_string(), key: key.to_string(), value });
    }
    Ok((value * 1e6).round() as u32)
}
