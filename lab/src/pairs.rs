//! Paired comparison: what two builds or two configurations make of the same days, by ratio, with an
//! interval.
use hallrelay_emulator::service::Outcome;
use serde::Serialize;
use std::fmt::Write;

/// One figure of a day that can be compared.
struct Measure {
    name: &'static str,
    of: fn(&Outcome) -> f64,
}

const MEASURES: [Measure; 9] = [
    Measure { name: "service", of: |o| o.figure },
    Measure { name: "whole", of: |o| o.whole },
    Measure { name: "worst ten seconds", of: |o| o.worst_window },
    Measure { name: "worst listener", of: |o| o.worst_listener },
    Measure { name: "refused", of: |o| o.listeners.iter().map(|l| l.rejected as f64).sum() },
    Measure { name: "moves", of: |o| o.moves as f64 },
    Measure { name: "p99 ms to UP", of: |o| o.listeners.iter().map(|l| l.wait_ms[1]).fold(0.0, f64::max) },
    Measure { name: "relay CPU s", of: |o| o.relays.iter().map(|r| r.cpu_s).sum() },
    Measure { name: "relay MB", of: |o| o.relays.iter().map(|r| r.resident_mb).fold(0.0, f64::max) },
];

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub measure: &'static str,
    pub a: f64,
    pub b: f64,
    /// B over A, and the interval that holds it in 95 of 100 cases; none where a figure is 0.
    pub ratio: Option<[f64; 3]>,
    /// B less A, likewise.
    pub difference: [f64; 3],
}

/// Half of the width of a 95% interval, in standard errors, for so many pairs (Student).
fn student(pairs: usize) -> f64 {
    const T: [f64; 15] = [
        12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145,
        2.131,
    ];
    match pairs {
        0 | 1 => f64::INFINITY,
        n => T.get(n - 2).copied().unwrap_or(2.04),
    }
}

/// Mean, and the ends of its interval.
fn interval(of: &[f64]) -> [f64; 3] {
    let n = of.len() as f64;
    let mean = of.iter().sum::<f64>() / n.max(1.0);
    if of.len() < 2 {
        return [mean, f64::NEG_INFINITY, f64::INFINITY];
    }
    let spread = of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let half = student(of.len()) * (spread / n).sqrt();
    [mean, mean - half, mean + half]
}

pub fn rows(pairs: &[(Outcome, Outcome)]) -> Vec<Row> {
    let row = |m: &Measure| {
        let a: Vec<f64> = pairs.iter().map(|p| (m.of)(&p.0)).collect();
        let b: Vec<f64> = pairs.iter().map(|p| (m.of)(&p.1)).collect();
        let mean = |of: &[f64]| of.iter().sum::<f64>() / of.len().max(1) as f64;
        let whole = a.iter().chain(&b).all(|x| *x > 0.0);
        let ratios: Vec<f64> = a.iter().zip(&b).map(|(a, b)| (b / a).ln()).collect();
        let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        Row {
            measure: m.name,
            a: mean(&a),
            b: mean(&b),
            ratio: whole.then(|| interval(&ratios).map(f64::exp)),
            difference: interval(&differences),
        }
    };
    MEASURES.iter().map(row).collect()
}

pub fn text(rows: &[Row], pairs: usize) -> String {
    let mut t = format!("{pairs} pairs, the same seeds, in turn; B over A with the 95% interval\n");
    _ = writeln!(t, "{:20} {:>10} {:>10}  {:28} B less A", "", "A", "B", "B over A");
    for r in rows {
        let ratio = r.ratio.map_or("-".to_string(), |[x, a, b]| format!("{x:.4} ({a:.4} to {b:.4})"));
        let [d, from, to] = r.difference;
        let difference = format!("{d:+.4} ({from:+.4} to {to:+.4})");
        _ = writeln!(t, "{:20} {:10.4} {:10.4}  {ratio:28} {difference}", r.measure, r.a, r.b);
    }
    t
}

#[cfg(test)]
mod tests {
    use super::*;

    fn day(whole: f64, moves: u64) -> Outcome {
        Outcome { whole, moves, ..Outcome::default() }
    }

    #[test]
    fn a_steady_gain_shows_whatever_the_days_differ() {
        let pairs = [(0.5, 0.55), (0.8, 0.88), (0.9, 0.99)];
        let pairs: Vec<_> = pairs.iter().map(|&(a, b)| (day(a, 0), day(b, 3))).collect();
        let rows = rows(&pairs);
        let whole = rows.iter().find(|r| r.measure == "whole").expect("it is measured");
        let [ratio, from, to] = whole.ratio.expect("none is 0");
        assert!((ratio - 1.1).abs() < 1e-9 && (from - 1.1).abs() < 1e-6 && (to - 1.1).abs() < 1e-6);
        let moves = rows.iter().find(|r| r.measure == "moves").expect("it is measured");
        assert_eq!((moves.ratio, moves.difference), (None, [3.0, 3.0, 3.0]));
    }

    #[test]
    fn chance_alone_leaves_one_inside_the_interval() {
        let pairs = [(0.8, 0.9), (0.9, 0.8), (0.85, 0.86), (0.86, 0.85)];
        let pairs: Vec<_> = pairs.iter().map(|&(a, b)| (day(a, 1), day(b, 1))).collect();
        let [ratio, from, to] = rows(&pairs)[1].ratio.expect("none is 0");
        assert!(from < 1.0 && to > 1.0 && (ratio - 1.0).abs() < 0.01);
    }

    /// One pair alone proves nothing.
    #[test]
    fn one_pair_has_no_interval() {
        let [_, from, to] = rows(&[(day(0.5, 1), day(0.9, 1))])[1].difference;
        assert!(from.is_infinite() && to.is_infinite());
    }
}
