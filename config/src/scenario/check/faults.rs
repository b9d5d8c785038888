//! Validates the faults of a scenario, which its tables `trouble` describe.
use super::super::{Fault, FaultKind, Scenario};
use super::{reject_if, relay_faults, InvalidKey};

/// A fault, with the scenario that contains it.
#[derive(Clone, Copy)]
pub(super) struct FaultCheck<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) fault: &'a Fault,
    index: usize,
}

impl FaultCheck<'_> {
    /// Rejects the key `name` of the fault's table if `is_invalid`.
    pub(super) fn reject_if(&self, is_invalid: bool, name: &str, reason: &str) -> Result<(), InvalidKey> {
        reject_if(is_invalid, &format!("trouble[{}].{name}", self.index), reason)
    }
}

pub(super) fn check(scenario: &Scenario) -> Result<(), InvalidKey> {
    for (index, fault) in scenario.faults.iter().enumerate() {
        let fault_check = FaultCheck { scenario, fault, index };
        check_time_and_strength(&fault_check)?;
        check_zone_and_wire_fault(&fault_check)?;
        relay_faults::check(&fault_check)?;
    }
    Ok(())
}

fn check_time_and_strength(check: &FaultCheck) -> Result<(), InvalidKey> {
    use FaultKind::{Burst, Failing, Lies, Pauses, SharedSlow, Slow, Wire, ZoneCut};
    let FaultCheck { scenario, fault, .. } = check;
    let (kind, strength) = (fault.kind, fault.strength.0);
    let length_s = scenario.length_s.us() as f64 / 1e6;
    let reason = format!("is after the day's end, wanted less than length_s = {length_s}");
    check.reject_if(fault.at_s.us() >= scenario.length_s.us(), "at_s", &reason)?;
    let is_factor = matches!(kind, Slow | SharedSlow | Burst);
    let reason = format!("wanted 1 or more, as it is a factor, not {strength}");
    check.reject_if(is_factor && strength < 1.0, "strength", &reason)?;
    let is_fraction = matches!(kind, Failing | Pauses);
    let is_out_of_range = is_fraction && !(0.0..=1.0).contains(&strength);
    let reason = format!("wanted 0 to 1, as it is a fraction, not {strength}");
    check.reject_if(is_out_of_range, "strength", &reason)?;
    let must_last = matches!(kind, Slow | SharedSlow | Burst | Pauses | Failing | Lies | Wire | ZoneCut);
    check.reject_if(must_last && fault.length_s.us() == 0, "length_s", "wanted more than 0")
}

fn check_zone_and_wire_fault(check: &FaultCheck) -> Result<(), InvalidKey> {
    let FaultCheck { scenario, fault, .. } = check;
    let is_zone_cut = fault.kind == FaultKind::ZoneCut;
    let is_wire = fault.kind == FaultKind::Wire;
    let is_unknown = fault.zone.as_ref().is_some_and(|zone| !scenario.servers.zones.contains(zone));
    let reason = format!("{:?} is not among servers.zones", fault.zone.as_deref().unwrap_or_default());
    check.reject_if(is_unknown, "zone", &reason)?;
    check.reject_if(is_zone_cut && fault.zone.is_none(), "zone", "kind = \"zone-cut\" requires a zone")?;
    check.reject_if(is_wire && fault.fault.is_none(), "fault", "kind = \"wire\" requires a fault")?;
    check.reject_if(!is_wire && fault.fault.is_some(), "fault", "applies only to kind = \"wire\"")
}
