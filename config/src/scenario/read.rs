//! Reads a scenario's text, and finds the line and the key that a complaint is about.
use super::{check::check, Scenario};
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Reads a scenario; `name` is how complaints call the file.
pub fn parse(name: &str, text: &str) -> Result<Scenario, String> {
    let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
    let tree = DeTable::parse(text);
    let told = |e: &toml::de::Error, key: String| {
        let at = e.span().map_or(1, |span| line(span.start));
        let key = if key.is_empty() { key } else { format!(" {key}:") };
        format!("{name}:{at}:{key} {}", e.message())
    };
    let tree = tree.map_err(|e| told(&e, String::new()))?;
    if let Some((old, _)) = tree.get_ref().iter().find(|(key, _)| key.get_ref() == "fleet") {
        let at = line(old.span().start);
        return Err(format!(
            "{name}:{at}: fleet: is called servers now; [relays] fleet = true is about relays"
        ));
    }
    let scenario: Scenario = toml::from_str(text).map_err(|e| {
        let key = e.span().map(|span| key_at(tree.get_ref(), span.start)).unwrap_or_default();
        told(&e, key)
    })?;
    check(&scenario).map_err(|(key, what)| {
        let at = place(tree.get_ref(), &key).map_or(1, line);
        format!("{name}:{at}: {key}: {what}")
    })?;
    Ok(scenario)
}

/// The path of the key or the value that stands at a place of the text.
fn key_at(table: &DeTable, at: usize) -> String {
    for (key, value) in table {
        let (key_span, span) = (key.span(), value.span());
        if key_span.contains(&at) {
            return key.get_ref().to_string();
        }
        let inner = match value.get_ref() {
            DeValue::Table(inner) => key_at(inner, at),
            DeValue::Array(items) => {
                let found = items.iter().enumerate().find_map(|(i, item)| match item.get_ref() {
                    DeValue::Table(inner) => {
                        let inner = key_at(inner, at);
                        (!inner.is_empty()).then(|| format!("[{i}].{inner}"))
                    }
                    _ => item.span().contains(&at).then(|| format!("[{i}]")),
                });
                found.unwrap_or_default()
            }
            _ => String::new(),
        };
        let key = key.get_ref();
        match inner.as_str() {
            "" if span.contains(&at) => return key.to_string(),
            "" => {}
            inner if inner.starts_with('[') => return format!("{key}{inner}"),
            inner => return format!("{key}.{inner}"),
        }
    }
    String::new()
}

/// Where a key stands, such as `trouble[1].share`; where it is left out, the table that it belongs to.
fn place(table: &DeTable, path: &str) -> Option<usize> {
    let mut place = None;
    let mut here: Option<&DeTable> = Some(table);
    for step in path.split('.') {
        let (key, index) = step
            .split_once('[')
            .map_or((step, None), |(key, rest)| (key, rest.trim_end_matches(']').parse::<usize>().ok()));
        let Some((name, value)) = here?.iter().find(|(name, _)| name.get_ref() == key) else { break };
        place = Some(name.span().start);
        let value: &Spanned<DeValue> = match (index, value.get_ref()) {
            (Some(i), DeValue::Array(items)) => items.get(i)?,
            _ => value,
        };
        if index.is_some() {
            place = Some(value.span().start);
        }
        here = value.get_ref().as_table();
    }
    place
}
