//! Numbers of a scenario that have a unit or a range: times, fractions and non-negative numbers.
use hallrelay_balancer::types::Micros;
use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// A time of at most one week. Its value is always in microseconds; `UNIT` is the unit in which scenarios
/// write it, also in microseconds. So `Span(5_000_000)` is 5 s with `Secs` and with `Millis`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span<const UNIT: u64>(pub Micros);
/// A time that is written in seconds.
pub type Secs = Span<1_000_000>;
/// A time that is written in milliseconds.
pub type Millis = Span<1_000>;

impl<const UNIT: u64> Span<UNIT> {
    /// The time in microseconds.
    pub fn us(self) -> Micros {
        self.0
    }
}

impl<'de, const UNIT: u64> Deserialize<'de> for Span<UNIT> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        // A time of more than one week was probably meant in another unit.
        const MAX_MICROS: f64 = 7.0 * 86_400e6;
        let micros = number(from)? * UNIT as f64;
        if micros > MAX_MICROS {
            let message = format!("wanted a time of at most one week, not {} s", micros / 1e6);
            return Err(D::Error::custom(message));
        }
        Ok(Span(micros.round() as Micros))
    }
}

/// Deserializes a finite number of 0 or more.
fn number<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(D::Error::custom(format!("wanted a number of 0 or more, not {value}")))
    }
}

/// A fraction from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Fraction(pub f64);

impl<'de> Deserialize<'de> for Fraction {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        match number(from)? {
            fraction if fraction <= 1.0 => Ok(Fraction(fraction)),
            other => Err(D::Error::custom(format!("wanted a fraction from 0 to 1, not {other}"))),
        }
    }
}

/// A number of 0 or more.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct NonNegative(pub f64);

impl<'de> Deserialize<'de> for NonNegative {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        number(from).map(NonNegative)
    }
}
