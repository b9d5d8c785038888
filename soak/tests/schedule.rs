//! The schedules that are drawn from seeds, held against those that were recorded once.
use hallrelay_soak::trouble::{draw, Kind, TOGETHER};
use std::fmt::Write;
use std::path::PathBuf;
use std::time::Duration;

/// A kind of fault in numbers: its own, and its parameters.
fn numbers(kind: Kind) -> String {
    match kind {
        Kind::Calls { relay, fault, value } => format!("0 {relay} {} {value}", fault as u64),
        Kind::Stop { relay } => format!("1 {relay}"),
        Kind::StopUnderClients { relay } => format!("2 {relay}"),
        Kind::Kill { relay } => format!("3 {relay}"),
        Kind::Pause { relay, each } => format!("4 {relay} {}", each.as_millis()),
        Kind::Reload { relay } => format!("5 {relay}"),
        Kind::StopBehindReload { relay } => format!("6 {relay}"),
        Kind::Replace { relay } => format!("7 {relay}"),
        Kind::Backend { backend, behaviour } => format!("8 {backend} {}", behaviour as u8),
        Kind::Link { backend, way } => format!("9 {backend} {}", way as u8),
        Kind::NoWay { backend } => format!("10 {backend}"),
        Kind::ResetAll { backend } => format!("11 {backend}"),
        Kind::Drain { backend } => format!("12 {backend}"),
        Kind::Join => "13".to_string(),
        Kind::Discovery { mode } => format!("14 {}", mode as u8),
        Kind::ClientsLeave => "15".to_string(),
        Kind::ClientsStopHalfWay => "16".to_string(),
        Kind::ClientsWriteSlowly => "17".to_string(),
        Kind::Storm => "18".to_string(),
    }
}

#[test]
fn schedules_are_drawn_as_they_were_recorded() {
    let mut text = String::new();
    for seed in 1..=24 {
        for fault in draw(seed, Duration::from_secs(60), 4, 6, TOGETHER) {
            let (from, till) = (fault.from.as_millis(), fault.till.as_millis());
            let _ = writeln!(text, "seed {seed}: {from} {till} {}", numbers(fault.kind));
        }
    }
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/schedules.txt");
    let Ok(recorded) = std::fs::read_to_string(&path) else {
        std::fs::write(&path, text).expect("the fixture can be written");
        panic!("schedules.txt was missing and has been written");
    };
    assert_eq!(recorded, text);
}
