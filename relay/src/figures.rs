//! Figures in the words and the form that operators read: a line each, `NAME:VALUE|KIND`.
use crate::lines::plain;
use crate::reducer::Figures;
use std::fmt::Write;

pub fn text(figures: &Figures) -> String {
    let mut text = String::new();
    let mut line = |name: &str, value: u64, kind: char| _ = writeln!(text, "node.{name}:{value}|{kind}");
    for (listener, n) in &figures.listeners {
        let listener = plain(listener);
        let counts = [("passed", n.passed), ("dropped", n.dropped), ("bad_gateway", n.failed)];
        counts.iter().for_each(|(name, value)| line(&format!("{name}.{listener}"), *value, 'c'));
    }
    line("upstream_tries", figures.tries, 'c');
    line("loads", figures.loads, 'c');
    line("load_errors", figures.load_errors, 'c');
    line("in_progress", figures.in_progress as u64, 'g');
    line("known_backends", figures.known as u64, 'g');
    line("skipped_backends", figures.avoided as u64, 'g');
    text
}
