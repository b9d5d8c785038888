//! Finds fields in the `Debug` output of a value: `Name { field: value, other: Inner { .. } }`.
//! Quoted text is never interpreted as structure.

/// Splits off the name of the value: `Up { sess: 1 }` gives `Up` and ` { sess: 1 }`.
pub fn name(value: &str) -> (&str, &str) {
    let end = value.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(value.len());
    value.split_at(end)
}

/// Whether all brackets and quotes are closed. In a truncated line some are not.
pub fn is_balanced(value: &str) -> bool {
    let mut depth = 0i32;
    let mut lowest = 0;
    for (_, c) in outside_quotes(value) {
        match c {
            '{' | '[' | '(' => depth += 1,
            '}' | ']' | ')' => depth -= 1,
            _ => {}
        }
        lowest = lowest.min(depth);
    }
    depth == 0 && lowest == 0 && quotes_are_closed(value)
}

/// The rest of `value` after the first occurrence of the field's name, a colon and a space.
pub fn after<'a>(value: &'a str, field: &str) -> Option<&'a str> {
    let mut starts = outside_quotes(value).filter(|(_, c)| *c == ' ').map(|(at, _)| &value[at + 1..]);
    starts.find_map(|rest| rest.strip_prefix(field)?.strip_prefix(": "))
}

/// The word or number in a field: the text up to a separator.
pub fn word<'a>(value: &'a str, field: &str) -> Option<&'a str> {
    let rest = after(value, field)?;
    let end = rest.find([',', ' ', '}', ')', ']'])?;
    Some(&rest[..end]).filter(|word| !word.is_empty())
}

/// Parses a field that contains a number, an address or another simple value.
pub fn parsed<T: std::str::FromStr>(value: &str, field: &str) -> Option<T> {
    word(value, field)?.parse().ok()
}

/// Parses a field that contains an `Option` of a number. The inner option is the value of the field.
pub fn optional_number(value: &str, field: &str) -> Option<Option<f64>> {
    let rest = after(value, field)?;
    match rest.strip_prefix("Some(") {
        Some(inner) => inner[..inner.find(')')?].parse().ok().map(Some),
        None => rest.starts_with("None").then_some(None),
    }
}

/// The contents of a field with quoted text, without the quotes. Escape sequences are not decoded.
pub fn text<'a>(value: &'a str, field: &str) -> Option<&'a str> {
    let rest = after(value, field)?.strip_prefix('"')?;
    let mut escaped = false;
    let end = rest.find(|c| {
        let closes = c == '"' && !escaped;
        escaped = c == '\\' && !escaped;
        closes
    })?;
    Some(&rest[..end])
}

/// Characters outside of quoted text, with their positions.
fn outside_quotes(value: &str) -> impl Iterator<Item = (usize, char)> + '_ {
    let mut quoted = false;
    let mut escaped = false;
    value.char_indices().filter(move |(_, c)| {
        if quoted {
            quoted = *c != '"' || escaped;
            escaped = *c == '\\' && !escaped;
            return false;
        }
        quoted = *c == '"';
        !quoted
    })
}

fn quotes_are_closed(value: &str) -> bool {
    let mut quoted = false;
    let mut escaped = false;
    for c in value.chars() {
        if c == '"' && !escaped {
            quoted = !quoted;
        }
        escaped = quoted && c == '\\' && !escaped;
    }
    !quoted
}
