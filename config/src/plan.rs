//! A release's plan: a TOML text, checked with file, line and key.
use hallrelay_disruption::{AnalysisPolicy, RolloutPlan, TargetKind, Wave};
use serde::Deserialize;

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
    /// Two in a hundred worse shows in two hundred sessions; a quiet fleet gets ten minutes for them.
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

/// Reads a plan; what is wrong names the file, and the line and key where there are some.
pub fn read(file: &str, text: &str) -> Result<RolloutPlan, String> {
    let told: Text = toml::from_str(text).map_err(|e| format!("{file}: {}", e.to_string().trim_end()))?;
    let part = |key: &str, x: f64| match x {
        x if (0.0..=1.0).contains(&x) => Ok((x * 1e6).round() as u32),
        x => Err(format!("{file}: {key} is {x}, wanted 0 to 1")),
    };
    let wave = |(i, wave): (usize, &WaveText)| -> Result<Wave, String> {
        let part = part(&format!("wave {}: share", i + 1), wave.share)?;
        if wave.names.is_empty() && wave.count == 0 && part == 0 {
            return Err(format!("{file}: wave {} has neither names nor a count or share", i + 1));
        }
        Ok(Wave { names: wave.names.clone(), count: wave.count, share_ppm: part })
    };
    let plan = RolloutPlan {
        build: told.build,
        target_kind: match told.of {
            Of::Relay => TargetKind::Relay,
            Of::Backend => TargetKind::Backend,
        },
        waves: told.wave.iter().enumerate().map(wave).collect::<Result<_, _>>()?,
        analysis: AnalysisPolicy {
            min_sessions: told.judge.sessions,
            margin_ppm: part("judge.worse", told.judge.worse)?,
            deadline_s: told.judge.within_s,
        },
        requested_by: told.by,
    };
    plan.validate().map_err(|e| format!("{file}: {e}"))?;
    Ok(plan)
}
