//! Tests paired comparisons with a constant gain, with random differences and with a single pair.
use hallrelay_emulator::service::Outcome;
use hallrelay_lab::comparison::{rows, Pair};

fn day(whole: f64, moves: u64) -> Outcome {
    Outcome { whole, moves, ..Outcome::default() }
}

#[test]
fn constant_gain_has_narrow_ratio_interval() {
    let pairs = [(0.5, 0.55), (0.8, 0.88), (0.9, 0.99)];
    let pairs: Vec<_> = pairs.iter().map(|&(a, b)| Pair { a: day(a, 0), b: day(b, 3) }).collect();
    let rows = rows(&pairs);
    let whole = rows.iter().find(|r| r.measure == "whole").expect("find the measure");
    let [ratio, from, to] = whole.ratio.expect("there is a ratio, as no value is 0");
    assert!(
        (ratio - 1.1).abs() < 1e-9 && (from - 1.1).abs() < 1e-6 && (to - 1.1).abs() < 1e-6,
        "{:?}",
        whole.ratio
    );
    let moves = rows.iter().find(|r| r.measure == "moves").expect("find the measure");
    assert_eq!((moves.ratio, moves.difference), (None, [3.0, 3.0, 3.0]));
}

#[test]
fn random_differences_have_ratio_interval_around_1() {
    let pairs = [(0.8, 0.9), (0.9, 0.8), (0.85, 0.86), (0.86, 0.85)];
    let pairs: Vec<_> = pairs.iter().map(|&(a, b)| Pair { a: day(a, 1), b: day(b, 1) }).collect();
    let [ratio, from, to] = rows(&pairs)[1].ratio.expect("there is a ratio, as no value is 0");
    assert!(from < 1.0 && to > 1.0 && (ratio - 1.0).abs() < 0.01, "ratio {ratio}, from {from} to {to}");
}

/// The spread of a single pair is unknown.
#[test]
fn single_pair_has_infinite_interval() {
    let [_, from, to] = rows(&[Pair { a: day(0.5, 1), b: day(0.9, 1) }])[1].difference;
    assert!(from.is_infinite() && to.is_infinite(), "from {from} to {to}");
}
