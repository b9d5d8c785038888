//! Paired comparison of two builds or two scenarios on days with the same seeds: ratio and difference of each
//! measure, with a 95% confidence interval.
use hallrelay_emulator::service::Outcome;
use serde::Serialize;
use std::fmt::Write;

/// One figure of a day that is compared.
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

/// One measure of both sides. The keys of its JSON are fixed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// Name of the measure.
    pub measure: &'static str,
    /// Mean of side A.
    pub a: f64,
    /// Mean of side B.
    pub b: f64,
    /// B over A: geometric mean, lower and upper end of its 95% interval; `None` if any value is 0.
    pub ratio: Option<[f64; 3]>,
    /// B minus A: mean, lower and upper end of its 95% interval; the ends are infinite for a single pair.
    pub difference: [f64; 3],
}

/// Outcomes of both sides for the same seed.
pub struct Pair {
    /// Outcome of side A.
    pub a: Outcome,
    /// Outcome of side B.
    pub b: Outcome,
}

/// Quantiles of Student's t distribution for a 95% interval; the first is for 1 degree of freedom.
const T_QUANTILES: [f64; 15] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
];
/// Quantile for more degrees of freedom than the table covers.
const T_QUANTILE_BEYOND: f64 = 2.04;

/// Half the width of a 95% interval for a number of pairs, in standard errors.
fn t_quantile(pairs: usize) -> f64 {
    match pairs {
        0 | 1 => f64::INFINITY,
        n => T_QUANTILES.get(n - 2).copied().unwrap_or(T_QUANTILE_BEYOND),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The mean, and the lower and upper end of its 95% interval.
fn interval(values: &[f64]) -> [f64; 3] {
    let mean = mean(values);
    if values.len() < 2 {
        return [mean, f64::NEG_INFINITY, f64::INFINITY];
    }
    let n = values.len() as f64;
    let variance = values.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0);
    let half_width = t_quantile(values.len()) * (variance / n).sqrt();
    [mean, mean - half_width, mean + half_width]
}

/// Computes all measures of the pairs.
pub fn rows(pairs: &[Pair]) -> Vec<Row> {
    MEASURES.iter().map(|measure| row(measure, pairs)).collect()
}

fn row(measure: &Measure, pairs: &[Pair]) -> Row {
    let a: Vec<f64> = pairs.iter().map(|pair| (measure.of)(&pair.a)).collect();
    let b: Vec<f64> = pairs.iter().map(|pair| (measure.of)(&pair.b)).collect();
    let has_ratios = a.iter().chain(&b).all(|value| *value > 0.0);
    let log_ratios: Vec<f64> = a.iter().zip(&b).map(|(a, b)| (b / a).ln()).collect();
    let differences: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
    Row {
        measure: measure.name,
        a: mean(&a),
        b: mean(&b),
        ratio: has_ratios.then(|| interval(&log_ratios).map(f64::exp)),
        difference: interval(&differences),
    }
}

/// Formats the rows as a table.
pub fn text(rows: &[Row], pairs: usize) -> String {
    let mut table = format!("{pairs} pairs of days with equal seeds; B over A with the 95% interval\n");
    _ = writeln!(table, "{:20} {:>10} {:>10}  {:28} B minus A", "", "A", "B", "B over A");
    for row in rows {
        let ratio =
            row.ratio.map_or("-".to_string(), |[mean, from, to]| format!("{mean:.4} ({from:.4} to {to:.4})"));
        let [mean, from, to] = row.difference;
        let difference = format!("{mean:+.4} ({from:+.4} to {to:+.4})");
        _ = writeln!(table, "{:20} {:10.4} {:10.4}  {ratio:28} {difference}", row.measure, row.a, row.b);
    }
    table
}
