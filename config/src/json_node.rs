//! A JSON value with its path from the root, so that errors can name the key at fault.
use crate::error::ConfigError;
use hallrelay_balancer::types::Micros;
use serde_json::Value;

/// A JSON value and its path, for example `settings.Listeners[1].Name`.
#[derive(Clone)]
pub struct JsonNode<'a> {
    /// The value.
    pub value: &'a Value,
    path: String,
}

impl<'a> JsonNode<'a> {
    /// The root of a document; its path is empty.
    pub fn root(value: &'a Value) -> JsonNode<'a> {
        JsonNode { value, path: String::new() }
    }
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }
    /// The value of a required key.
    pub fn key(&self, key: &str) -> Result<JsonNode<'a>, ConfigError> {
        self.option(key).ok_or_else(|| ConfigError::MissingKey { path: self.path_of(key) })
    }
    /// The value of an optional key; a JSON null counts as a missing key.
    pub fn option(&self, key: &str) -> Option<JsonNode<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(JsonNode { value, path: self.path_of(key) })
    }
    /// The error for an invalid value; `wanted` describes the accepted values.
    pub fn invalid<T>(&self, wanted: &str) -> Result<T, ConfigError> {
        Err(ConfigError::InvalidValue {
            path: self.path.clone(),
            value: self.value.to_string(),
            wanted: wanted.to_string(),
        })
    }
    /// A number of 0 or more.
    pub fn number(&self) -> Result<f64, ConfigError> {
        match self.value.as_f64() {
            Some(x) if x >= 0.0 => Ok(x),
            _ => self.invalid("a number of 0 or more"),
        }
    }
    /// An integer of 0 or more.
    pub fn integer(&self) -> Result<u64, ConfigError> {
        self.value.as_u64().map_or_else(|| self.invalid("an integer of 0 or more"), Ok)
    }
    /// An integer of 0 or more that fits into `T`.
    pub fn bounded_integer<T: TryFrom<u64>>(&self) -> Result<T, ConfigError> {
        T::try_from(self.integer()?).or_else(|_| self.invalid("a smaller integer"))
    }
    /// A time, converted from the milliseconds of the document to microseconds.
    pub fn micros(&self) -> Result<Micros, ConfigError> {
        Ok((self.number()? * 1000.0).round() as Micros)
    }
    /// A boolean.
    pub fn boolean(&self) -> Result<bool, ConfigError> {
        self.value.as_bool().map_or_else(|| self.invalid("true or false"), Ok)
    }
    /// A string.
    pub fn text(&self) -> Result<&'a str, ConfigError> {
        self.value.as_str().map_or_else(|| self.invalid("a string"), Ok)
    }
    /// The value that `names` pairs with the string of this node.
    pub fn one_of<T: Copy>(&self, names: &[(&str, T)]) -> Result<T, ConfigError> {
        let known = names.iter().find(|(name, _)| self.value.as_str() == Some(name));
        known.map_or_else(
            || self.invalid(&format!("one of {:?}", names.iter().map(|(name, _)| name).collect::<Vec<_>>())),
            |&(_, value)| Ok(value),
        )
    }
    /// The items of an array, each with its index in the path.
    pub fn list(&self) -> Result<Vec<JsonNode<'a>>, ConfigError> {
        let Some(items) = self.value.as_array() else { return self.invalid("a list") };
        let path = |i| format!("{}[{i}]", self.path);
        Ok(items.iter().enumerate().map(|(i, value)| JsonNode { value, path: path(i) }).collect())
    }
}
