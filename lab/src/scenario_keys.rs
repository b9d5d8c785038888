//! Sets individual keys in the text of a scenario, such as `load.rate` or `trouble[0].share`.
use toml::{Table, Value};

/// The reason why a key can't be set.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// A part of the key does not exist in the scenario and can't be added.
    #[error("{key}: the scenario has no {step}")]
    MissingStep {
        /// The key.
        key: String,
        /// The part of the key, between two dots, that does not exist.
        step: String,
    },
    /// An index between brackets is not a number.
    #[error("{key}: expected a number in brackets, got {index}")]
    InvalidIndex {
        /// The key.
        key: String,
        /// The text after the opening bracket.
        index: String,
    },
    /// A text is not valid TOML.
    #[error("{}", .0.message())]
    Parse(#[source] toml::de::Error),
    /// The changed scenario can't be serialized.
    #[error(transparent)]
    Write(toml::ser::Error),
}

/// One part of a key, separated by dots: `name` or `name[index]`.
struct Step<'a> {
    name: &'a str,
    index: Option<usize>,
}

impl<'a> Step<'a> {
    fn parse(key: &str, text: &'a str) -> Result<Step<'a>, KeyError> {
        let Some((name, rest)) = text.split_once('[') else { return Ok(Step { name: text, index: None }) };
        let index = rest.trim_end_matches(']').parse::<usize>();
        let invalid = |_| KeyError::InvalidIndex { key: key.to_string(), index: rest.to_string() };
        Ok(Step { name, index: Some(index.map_err(invalid)?) })
    }
}

/// Finds the value at a key such as `trouble[0].share` in a table. Missing tables and values are added,
/// missing list entries are not.
///
/// # Errors
/// If the key is malformed, or if it leads through a value that is neither a table nor a list.
fn entry<'a>(table: &'a mut Table, key: &str) -> Result<&'a mut Value, KeyError> {
    let missing = |step: &str| KeyError::MissingStep { key: key.to_string(), step: step.to_string() };
    let (mut here, mut top): (Option<&'a mut Value>, _) = (None, Some(table));
    for text in key.split('.') {
        let step = Step::parse(key, text)?;
        let inner = match here.take() {
            Some(value) => value.as_table_mut(),
            None => top.take(),
        };
        let inner = inner.ok_or_else(|| missing(text))?;
        let value = inner.entry(step.name).or_insert_with(|| Table::new().into());
        here = Some(match step.index {
            Some(index) => value.get_mut(index).ok_or_else(|| missing(text))?,
            None => value,
        });
    }
    here.ok_or_else(|| missing(key))
}

/// Returns the text of a scenario with one key set to a value.
///
/// # Errors
/// If the text is not valid TOML, and for the reasons given at [`entry`].
pub fn set(text: &str, key: &str, value: &Value) -> Result<String, KeyError> {
    let mut table: Table = toml::from_str(text).map_err(KeyError::Parse)?;
    *entry(&mut table, key)? = value.clone();
    toml::to_string(&table).map_err(KeyError::Write)
}

/// Parses one TOML value, or several separated by commas.
///
/// # Errors
/// If the text is not valid TOML.
pub fn values(text: &str) -> Result<Vec<Value>, KeyError> {
    let table: Table = toml::from_str(&format!("values = [{text}]")).map_err(KeyError::Parse)?;
    Ok(table["values"].as_array().cloned().unwrap_or_default())
}
