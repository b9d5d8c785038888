//! Turns an instance's settings, JSON text in the wire's words, into the module's site facts.
use crate::wire::ReportOrder;
use hallrelay::types::{Listener, Micros, Repeat, SiteFacts, Within};
use serde_json::Value;

/// A place in the settings, which knows its own path so that a complaint can name it.
#[derive(Clone)]
struct At<'a> {
    value: &'a Value,
    path: String,
}

impl<'a> At<'a> {
    fn key(&self, key: &str) -> Result<At<'a>, String> {
        let path = if self.path.is_empty() { key.to_string() } else { format!("{}.{key}", self.path) };
        match self.value.get(key) {
            Some(value) => Ok(At { value, path }),
            None => Err(format!("settings lack {path}")),
        }
    }
    fn wrong<T>(&self, wanted: &str) -> Result<T, String> {
        Err(format!("settings: {} is {}, wanted {wanted}", self.path, self.value))
    }
    fn num(&self) -> Result<f64, String> {
        match self.value.as_f64() {
            Some(x) if x >= 0.0 => Ok(x),
            _ => self.wrong("a number of 0 or more"),
        }
    }
    fn whole(&self) -> Result<u32, String> {
        match self.value.as_u64().and_then(|n| u32::try_from(n).ok()) {
            Some(n) => Ok(n),
            None => self.wrong("a whole number"),
        }
    }
    fn micros(&self) -> Result<Micros, String> {
        Ok((self.num()? * 1000.0).round() as Micros)
    }
    fn yes(&self) -> Result<bool, String> {
        self.value.as_bool().map_or_else(|| self.wrong("true or false"), Ok)
    }
    fn word<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let known = words.iter().find(|(word, _)| self.value.as_str() == Some(word));
        known.map_or_else(
            || self.wrong(&format!("one of {:?}", words.iter().map(|w| w.0).collect::<Vec<_>>())),
            |&(_, t)| Ok(t),
        )
    }
    fn list(&self) -> Result<Vec<At<'a>>, String> {
        let Some(items) = self.value.as_array() else { return self.wrong("a list") };
        let path = |i| format!("{}[{i}]", self.path);
        Ok(items.iter().enumerate().map(|(i, value)| At { value, path: path(i) }).collect())
    }
}

pub fn decode(text: &[u8]) -> Result<(SiteFacts, ReportOrder), String> {
    let value: Value = serde_json::from_slice(text).map_err(|e| format!("settings are not JSON: {e}"))?;
    let top = At { value: &value, path: String::new() };
    let (limits, rules, charges) = (top.key("Ceilings")?, top.key("Rules")?, top.key("Charges")?);
    let family = top.key("FamilyInfo")?;
    family.key("Mode")?.word(&[("proxy", ()), ("pass", ())])?;
    let message_targets = family.key("MessageAim")?.list()?;
    let listener = |(i, at): (usize, &At)| -> Result<Listener, String> {
        let within =
            at.key("Group")?.word(&[("all", Within::All), ("zone", Within::Zone), ("cell", Within::Cell)])?;
        let window = at.key("Window")?.micros()?;
        let kinds = [
            ("retryable", Repeat::Repeatable),
            ("dedup", Repeat::Referenced { within, window }),
            ("fragile", Repeat::OnceOnly),
        ];
        let Some(message) = message_targets.get(i) else {
            return Err(format!("settings lack FamilyInfo.MessageAim[{i}]"));
        };
        Ok(Listener {
            utility: at.key("Utility")?.num()?,
            repeat: at.key("Effect")?.word(&kinds)?,
            handshake_target: at.key("HandshakeTarget")?.micros()?,
            message_target: message.micros()?,
        })
    };
    let listeners = top.key("Listeners")?.list()?;
    let report = top.key("Report")?;
    report.key("How")?.word(&[("inline", ()), ("on_probe", ()), ("off", ())])?;
    let fields = report.key("Fields")?.list()?;
    let place = |name: &str| fields.iter().take(4).position(|at| at.value.as_str() == Some(name));
    let order = ReportOrder { load: place("x0").or_else(|| place("cpu_share")), piled: place("x1") };
    let site = SiteFacts {
        listeners: listeners.iter().enumerate().map(listener).collect::<Result<_, _>>()?,
        relays: top.key("Instances")?.whole()?.max(1),
        slot: top.key("SlotNo")?.whole()?,
        zone: top.key("Zone")?.whole()? as u8,
        must_watch: top.key("Discovery")?.word(&[("automatic", false), ("subscribe", true)])?,
        may_probe: limits.key("MayProbe")?.yes()?,
        groups: family.key("Groups")?.yes()?,
        most_dials: limits.key("MostDials")?.whole()?,
        max_open: limits.key("MaxOpen")?.whole()?,
        retry_after: if limits.key("RetryAfter")?.yes()? {
            Some(limits.key("MaxRetryAfter")?.micros()?)
        } else {
            None
        },
        cold: rules.key("Cold")?.micros()?,
        cold_from: rules.key("ColdFrom")?.num()?,
        fall_multiple: rules.key("FallMultiple")?.num()?,
        price_crossing: charges.key("CrossZone")?.num()?,
        price_move: charges.key("Moves")?.num()?,
        price_probe: charges.key("Probe")?.num()?,
    };
    if site.listeners.is_empty() {
        return Err("settings: Listeners is empty".to_string());
    }
    Ok((site, order))
}
