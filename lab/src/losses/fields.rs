//! Finds fields in the `Debug` form of a value: `Name { field: value, other: Inner { .. } }`.
//! Text in quotes is never taken for structure.

/// The name of the value and all that follows it: `Up { sess: 1 }` gives `Up` and ` { sess: 1 }`.
pub fn name(value: &str) -> (&str, &str) {
    let end = value.find(|c: char| !c.is_ascii_alphanumeric() && c != '_').unwrap_or(value.len());
    value.split_at(end)
}

/// Whether all brackets and quotes that were opened are closed again: false for a line that was cut.
pub fn is_whole(value: &str) -> bool {
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

/// The text behind the first `field: `, from its first character to the end of `value`.
pub fn after<'a>(value: &'a str, field: &str) -> Option<&'a str> {
    let mut starts = outside_quotes(value).filter(|(_, c)| *c == ' ').map(|(at, _)| &value[at + 1..]);
    starts.find_map(|rest| rest.strip_prefix(field)?.strip_prefix(": "))
}

/// The plain word or number of a field: all up to a separator.
pub fn word<'a>(value: &'a str, field: &str) -> Option<&'a str> {
    let rest = after(value, field)?;
    let end = rest.find([',', ' ', '}', ')', ']'])?;
    Some(&rest[..end]).filter(|word| !word.is_empty())
}

/// A field that holds a number, an address, or another plain value.
pub fn parsed<T: std::str::FromStr>(value: &str, field: &str) -> Option<T> {
    word(value, field)?.parse().ok()
}

/// A field that holds an `Option` of a number: the inner option is the field's own.
pub fn optional_number(value: &str, field: &str) -> Option<Option<f64>> {
    let rest = after(value, field)?;
    match rest.strip_prefix("Some(") {
        Some(inner) => inner[..inner.find(')')?].parse().ok().map(Some),
        None => rest.starts_with("None").then_some(None),
    }
}

/// A field that holds a text in quotes, without them. Escapes are left as they are logged.
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

/// Characters outside of quoted texts, with their positions.
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
