//! A place in a JSON text that knows its own path, so that a complaint can name the faulty key.
use crate::error::ConfigError;
use hallrelay_balancer::types::Micros;
use serde_json::Value;

#[derive(Clone)]
pub struct At<'a> {
    pub value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    pub fn top(value: &'a Value) -> At<'a> {
        At { value, path: String::new() }
    }
    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_string()
        } else {
            format!("{}.{key}", self.path)
        }
    }
    pub fn key(&self, key: &str) -> Result<At<'a>, ConfigError> {
        self.option(key).ok_or_else(|| ConfigError::MissingKey { path: self.path_of(key) })
    }
    /// What may be left out; null counts as left out.
    pub fn option(&self, key: &str) -> Option<At<'a>> {
        let value = self.value.get(key).filter(|v| !v.is_null())?;
        Some(At { value, path: self.path_of(key) })
    }
    pub fn wrong<T>(&self, wanted: &str) -> Result<T, ConfigError> {
        Err(ConfigError::InvalidValue {
            path: self.path.clone(),
            value: self.value.to_string(),
            wanted: wanted.to_string(),
        })
    }
    pub fn num(&self) -> Result<f64, ConfigError> {
        match self.value.as_f64() {
            Some(x) if x >= 0.0 => Ok(x),
            _ => self.wrong("a number of 0 or more"),
        }
    }
    pub fn whole(&self) -> Result<u64, ConfigError> {
        self.value.as_u64().map_or_else(|| self.wrong("a whole number"), Ok)
    }
    pub fn small<T: TryFrom<u64>>(&self) -> Result<T, ConfigError> {
        T::try_from(self.whole()?).or_else(|_| self.wrong("a smaller whole number"))
    }
    /// From milliseconds, as all times are given.
    pub fn micros(&self) -> Result<Micros, ConfigError> {
        Ok((self.num()? * 1000.0).round() as Micros)
    }
    pub fn yes(&self) -> Result<bool, ConfigError> {
        self.value.as_bool().map_or_else(|| self.wrong("true or false"), Ok)
    }
    pub fn text(&self) -> Result<&'a str, ConfigError> {
        self.value.as_str().map_or_else(|| self.wrong("a text"), Ok)
    }
    pub fn word<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, ConfigError> {
        let known = words.iter().find(|(word, _)| self.value.as_str() == Some(word));
        known.map_or_else(
            || self.wrong(&format!("one of {:?}", words.iter().map(|w| w.0).collect::<Vec<_>>())),
            |&(_, t)| Ok(t),
        )
    }
    pub fn list(&self) -> Result<Vec<At<'a>>, ConfigError> {
        let Some(items) = self.value.as_array() else { return self.wrong("a list") };
        let path = |i| format!("{}[{i}]", self.path);
        Ok(items.iter().enumerate().map(|(i, value)| At { value, path: path(i) }).collect())
    }
}
