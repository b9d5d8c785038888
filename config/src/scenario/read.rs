//! Parses a scenario, and finds the line and the key of an error.
use super::{
    check::{check, InvalidKey},
    Scenario,
};
use std::fmt;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Error in a scenario.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// File of the scenario.
    pub file: String,
    /// Line of the error, counted from 1.
    pub line: usize,
    /// Path of the key at fault; empty if the text is not TOML.
    pub key: String,
    /// Cause of the error.
    pub reason: String,
}

impl std::error::Error for ScenarioError {}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:", self.file, self.line)?;
        if !self.key.is_empty() {
            write!(f, " {}:", self.key)?;
        }
        write!(f, " {}", self.reason)
    }
}

/// Parses and validates a scenario; `file` names the text in errors.
///
/// # Errors
/// The text is not TOML, or a key is unknown, missing or invalid.
pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
    let line = |offset: usize| text[..offset.min(text.len())].matches('\n').count() + 1;
    let tree = DeTable::parse(text);
    let error = |line: usize, key: String, reason: String| ScenarioError {
        file: file.to_string(),
        line,
        key,
        reason,
    };
    let toml_error = |e: &toml::de::Error, key: String| {
        let line = e.span().map_or(1, |span| line(span.start));
        error(line, key, e.message().to_string())
    };
    let tree = tree.map_err(|e| toml_error(&e, String::new()))?;
    // Servers were formerly configured in a table `fleet`.
    if let Some((old, _)) = tree.get_ref().iter().find(|(key, _)| key.get_ref() == "fleet") {
        return Err(error(
            line(old.span().start),
            "fleet".to_string(),
            "is now called servers; a fleet of relays is fleet = true in [relays]".to_string(),
        ));
    }
    let scenario: Scenario = toml::from_str(text).map_err(|e| {
        let key = e.span().map(|span| key_at(tree.get_ref(), span.start)).unwrap_or_default();
        toml_error(&e, key)
    })?;
    check(&scenario).map_err(|InvalidKey { key, reason }| {
        let line = key_offset(tree.get_ref(), &key).map_or(1, line);
        error(line, key, reason)
    })?;
    Ok(scenario)
}

/// Returns the path of the key or value at a byte offset of the text; empty if there is none.
fn key_at(table: &DeTable, offset: usize) -> String {
    for (key, value) in table {
        let (key_span, span) = (key.span(), value.span());
        if key_span.contains(&offset) {
            return key.get_ref().to_string();
        }
        let inner = match value.get_ref() {
            DeValue::Table(inner) => key_at(inner, offset),
            DeValue::Array(items) => {
                let found = items.iter().enumerate().find_map(|(i, item)| match item.get_ref() {
                    DeValue::Table(inner) => {
                        let inner = key_at(inner, offset);
                        (!inner.is_empty()).then(|| format!("[{i}].{inner}"))
                    }
                    _ => item.span().contains(&offset).then(|| format!("[{i}]")),
                });
                found.unwrap_or_default()
            }
            _ => String::new(),
        };
        let key = key.get_ref();
        match inner.as_str() {
            "" if span.contains(&offset) => return key.to_string(),
            "" => {}
            inner if inner.starts_with('[') => return format!("{key}{inner}"),
            inner => return format!("{key}.{inner}"),
        }
    }
    String::new()
}

/// Returns the byte offset of a key, for example `trouble[1].share`, or of the innermost table on its path
/// that exists.
fn key_offset(table: &DeTable, path: &str) -> Option<usize> {
    let mut offset = None;
    let mut current: Option<&DeTable> = Some(table);
    for step in path.split('.') {
        let (key, index) = step
            .split_once('[')
            .map_or((step, None), |(key, rest)| (key, rest.trim_end_matches(']').parse::<usize>().ok()));
        let Some((name, value)) = current?.iter().find(|(name, _)| name.get_ref() == key) else { break };
        offset = Some(name.span().start);
        let value: &Spanned<DeValue> = match (index, value.get_ref()) {
            (Some(i), DeValue::Array(items)) => items.get(i)?,
            _ => value,
        };
        if index.is_some() {
            offset = Some(value.span().start);
        }
        current = value.get_ref().as_table();
    }
    offset
}
