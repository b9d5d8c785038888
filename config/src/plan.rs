//! A release's plan: a TOML text, checked with file, line and key.
use hallrelay_disruption::{Judge, Kind, Plan, Wave};
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
pub fn read(file: &str, text: &str) -> Result<Plan, String> {
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
        Ok(Wave { names: wave.names.clone(), count: wave.count, part })
    };
    let plan = Plan {
        build: told.build,
        of: match told.of {
            Of::Relay => Kind::Relay,
            Of::Backend => Kind::Server,
        },
        waves: told.wave.iter().enumerate().map(wave).collect::<Result<_, _>>()?,
        judge: Judge {
            sessions: told.judge.sessions,
            worse: part("judge.worse", told.judge.worse)?,
            within_s: told.judge.within_s,
        },
        by: told.by,
    };
    match plan.sound() {
        true => Ok(plan),
        false => Err(format!("{file}: 1 to 32 waves, 1024 names, and names, build and by of 1 to 64 bytes")),
    }
}
