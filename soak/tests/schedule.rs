//! The schedules drawn from seeds match the recorded ones, so that a seed always reproduces its run.
use hallrelay_soak::schedule::{draw_schedule, FaultKind, ScheduleParameters, FAULTS_PER_EPISODE};
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

/// Encodes a kind of fault as its number and its parameters.
fn encode_fault(kind: FaultKind) -> String {
    match kind {
        FaultKind::SystemCalls { relay, fault, value } => format!("0 {relay} {} {value}", fault as u64),
        FaultKind::Stop { relay } => format!("1 {relay}"),
        FaultKind::StopUnderTraffic { relay } => format!("2 {relay}"),
        FaultKind::Kill { relay } => format!("3 {relay}"),
        FaultKind::Pause { relay, each } => format!("4 {relay} {}", each.as_millis()),
        FaultKind::Reload { relay } => format!("5 {relay}"),
        FaultKind::ReloadThenStop { relay } => format!("6 {relay}"),
        FaultKind::HotRestart { relay } => format!("7 {relay}"),
        FaultKind::Backend { backend, behaviour } => format!("8 {backend} {}", behaviour as u8),
        FaultKind::Link { backend, mode } => format!("9 {backend} {}", mode as u8),
        FaultKind::NoRoute { backend } => format!("10 {backend}"),
        FaultKind::ResetSessions { backend } => format!("11 {backend}"),
        FaultKind::Drain { backend } => format!("12 {backend}"),
        FaultKind::NewBackend => "13".to_string(),
        FaultKind::Discovery { mode } => format!("14 {}", mode as u8),
        FaultKind::ClientsCancel => "15".to_string(),
        FaultKind::PartialRequests => "16".to_string(),
        FaultKind::SlowRequests => "17".to_string(),
        FaultKind::ReconnectStorm => "18".to_string(),
    }
}

#[test]
fn drawn_schedules_match_recorded_schedules() {
    let mut text = String::new();
    for seed in 1..=24 {
        let parameters = ScheduleParameters {
            seed,
            length: Duration::from_secs(60),
            relays: 4,
            backends: 6,
            faults_per_episode: FAULTS_PER_EPISODE,
        };
        for fault in draw_schedule(&parameters) {
            let (from, until) = (fault.from.as_millis(), fault.until.as_millis());
            _ = writeln!(text, "seed {seed}: {from} {until} {}", encode_fault(fault.kind));
        }
    }
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/schedules.txt");
    let Ok(recorded) = std::fs::read_to_string(&path) else {
        std::fs::write(&path, text).expect("write schedules.txt");
        panic!("schedules.txt was missing and has been written");
    };
    assert_eq!(recorded, text, "drawn schedules differ from tests/schedules.txt");
}
