//! Checks the faults of a scenario (its tables `trouble`).
use super::super::{Scenario, Trouble, TroubleKind};
use super::{reject_if, relay_faults, InvalidKey};

/// One fault, with the scenario that it is part of.
#[derive(Clone, Copy)]
pub(super) struct TroubleCheck<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) trouble: &'a Trouble,
    index: usize,
}

impl TroubleCheck<'_> {
    /// Rejects a key of the fault's table.
    pub(super) fn reject_if(&self, is_invalid: bool, name: &str, reason: &str) -> Result<(), InvalidKey> {
        reject_if(is_invalid, &format!("trouble[{}].{name}", self.index), reason)
    }
}

pub(super) fn check(scenario: &Scenario) -> Result<(), InvalidKey> {
    for (index, trouble) in scenario.troubles.iter().enumerate() {
        let trouble_check = TroubleCheck { scenario, trouble, index };
        check_time_and_strength(&trouble_check)?;
        check_zone_and_wire_fault(&trouble_check)?;
        relay_faults::check(&trouble_check)?;
    }
    Ok(())
}

fn check_time_and_strength(check: &TroubleCheck) -> Result<(), InvalidKey> {
    use TroubleKind::{Burst, Failing, Lies, Pauses, SharedSlow, Slow, Wire, ZoneCut};
    let TroubleCheck { scenario, trouble, .. } = check;
    let (kind, strength) = (trouble.kind, trouble.strength.0);
    check.reject_if(trouble.at_s.us() >= scenario.length_s.us(), "at_s", "is after the day's end")?;
    let is_factor = matches!(kind, Slow | SharedSlow | Burst);
    check.reject_if(is_factor && strength < 1.0, "strength", "wanted 1 or more, as it means times")?;
    let is_fraction = matches!(kind, Failing | Pauses);
    let is_out_of_range = is_fraction && !(0.0..=1.0).contains(&strength);
    check.reject_if(is_out_of_range, "strength", "wanted 0 to 1, as it means a part")?;
    let must_last = matches!(kind, Slow | SharedSlow | Burst | Pauses | Failing | Lies | Wire | ZoneCut);
    check.reject_if(must_last && trouble.length_s.us() == 0, "length_s", "wanted more than 0")
}

fn check_zone_and_wire_fault(check: &TroubleCheck) -> Result<(), InvalidKey> {
    let TroubleCheck { scenario, trouble, .. } = check;
    let is_zone_cut = trouble.kind == TroubleKind::ZoneCut;
    let is_wire = trouble.kind == TroubleKind::Wire;
    let is_unknown = trouble.zone.as_ref().is_some_and(|zone| !scenario.servers.zones.contains(zone));
    check.reject_if(is_unknown, "zone", "is not among servers.zones")?;
    check.reject_if(is_zone_cut && trouble.zone.is_none(), "zone", "a zone cut names its zone")?;
    check.reject_if(is_wire && trouble.fault.is_none(), "fault", "trouble on the way names its fault")?;
    check.reject_if(!is_wire && trouble.fault.is_some(), "fault", "only kind = \"wire\" has a fault")
}
