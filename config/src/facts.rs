//! Decodes a site's settings, whose keys have the names of the protocol.
//!
//! A site is the environment in which all its relays run with the same settings, except for a few keys such
//! as `SlotNo`. A listener is a class of sessions.
use crate::error::ConfigError;
use crate::json_node::JsonNode;
use hallrelay_balancer::types::{Idempotency, KeyScope, Listener, LoadReport, Micros, SiteConfig};

/// Default of `Fall`: time for which a server that warms up may be overloaded, as the protocol defines it.
const DEFAULT_OVERLOAD_WINDOW: Micros = 2_000_000;

/// A site's settings: those on which the balancer decides, and those that only the rest of the relay needs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Settings on which the balancer decides.
    pub facts: SiteConfig,
    /// Positions of the values of a load report.
    pub report: ReportOrder,
    /// Names of the listeners. The position of a name is the listener's number in the balancer.
    pub listeners: Vec<String>,
    /// Names of the zones. The position of a name is the zone's number in the balancer.
    pub zones: Vec<String>,
    /// Dial timeouts of the listeners, in microseconds and in the order of `listeners`.
    pub dial_timeouts: Vec<Micros>,
    /// Connect timeout to a backend, in microseconds.
    pub connect: Micros,
    /// Time from the start of a backend's drain during which relays may still send it new sessions, in
    /// microseconds.
    pub drain_grace: Micros,
    /// Whether backends report the latency of messages, in lines that otherwise report a session's load;
    /// false by default.
    pub tells_delay: bool,
    /// Longest time that may pass between two requests of a relay for the endpoint list, in microseconds;
    /// `None` if `must_watch` is false, because the list is then pushed to relays.
    pub max_poll_interval: Option<Micros>,
}

/// Positions in a load report of the values that decisions use; `None` for values that backends do not
/// report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportOrder {
    /// Position of the load: `x0`, or `cpu_share` if there is no `x0`.
    pub load: Option<usize>,
    /// Position of the queueing delay, `x1`.
    pub queue_delay: Option<usize>,
    /// Position of the number of sessions, `busy_reqs`.
    pub sessions: Option<usize>,
    /// Whether `load` is `cpu_share`, the fraction of cores in use.
    pub by_cores: bool,
}

/// Number of values that are read from the beginning of a load report; the others are ignored.
const REPORT_VALUES: usize = 4;

/// The first values of a load report, by position; `None` for a missing value.
pub type RawReport = [Option<f64>; REPORT_VALUES];

impl ReportOrder {
    /// Builds the load report from values by position.
    pub fn pick(self, raw: RawReport) -> LoadReport {
        let value_at = |position: Option<usize>| position.and_then(|position| raw[position]);
        LoadReport {
            load: value_at(self.load),
            queue_delay: value_at(self.queue_delay),
            sessions: value_at(self.sessions),
        }
    }

    /// Builds the load report from values by name, as text lines contain them.
    pub fn find(self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        // Two values have one name in the settings and another in the protocol. Lines may contain either.
        let either = |in_settings, in_protocol| value(in_settings).or_else(|| value(in_protocol));
        let load =
            self.load.and_then(|_| if self.by_cores { either("cpu_share", "util") } else { value("x0") });
        let sessions = self.sessions.and_then(|_| either("busy_reqs", "inflight"));
        let queue_delay = self.queue_delay.and_then(|_| value("x1"));
        LoadReport { load, queue_delay, sessions }
    }
}

/// Tables of the settings.
struct Tables<'a> {
    top: &'a JsonNode<'a>,
    ceilings: JsonNode<'a>,
    rules: JsonNode<'a>,
    charges: JsonNode<'a>,
    family: JsonNode<'a>,
}

/// Decodes the settings.
///
/// # Errors
/// A key is missing or invalid.
pub fn decode(top: &JsonNode) -> Result<Site, ConfigError> {
    let tables = Tables {
        top,
        ceilings: top.key("Ceilings")?,
        rules: top.key("Rules")?,
        charges: top.key("Charges")?,
        family: top.key("FamilyInfo")?,
    };
    tables.family.key("Mode")?.one_of(&[("proxy", ()), ("pass", ())])?;
    let message_targets = tables.family.key("MessageAim")?;
    let listeners_node = top.key("Listeners")?;
    // Only the first error is reported. This check comes before those of the listeners, so that a
    // `MessageAim` of the wrong type is reported rather than an error in a listener.
    message_targets.list()?;
    let listeners = listeners_node.list()?;
    if listeners.is_empty() {
        return listeners_node.invalid("at least one listener");
    }
    let report = decode_report_order(&top.key("Report")?)?;
    // With "subscribe" relays must request the list by a watch, with "automatic" it is pushed to them.
    let must_watch = top.key("Discovery")?.one_of(&[("automatic", false), ("subscribe", true)])?;
    let decoded_listeners = decode_listeners(&listeners, &message_targets)?;
    let facts = decode_balancer_settings(&tables, decoded_listeners, must_watch)?;
    decode_site(&tables, &listeners, facts, report)
}

/// Decodes the settings other than those of the balancer.
fn decode_site(
    tables: &Tables,
    listeners: &[JsonNode],
    facts: SiteConfig,
    report: ReportOrder,
) -> Result<Site, ConfigError> {
    let Tables { top, ceilings, rules, family, .. } = tables;
    let dial_timeout = |listener: &JsonNode| listener.key("DialTimeout")?.micros();
    let must_watch = facts.must_watch;
    let max_poll_interval = || rules.key("AskWithin")?.micros();
    Ok(Site {
        facts,
        report,
        listeners: listeners.iter().map(|node| decode_text(&node.key("Name")?)).collect::<Result<_, _>>()?,
        zones: top.key("FailureDomains")?.list()?.iter().map(decode_text).collect::<Result<_, _>>()?,
        dial_timeouts: listeners.iter().map(dial_timeout).collect::<Result<_, _>>()?,
        connect: ceilings.key("ConnectTimeout")?.micros()?,
        drain_grace: rules.key("DrainGrace")?.micros()?,
        tells_delay: family.option("TellsDelay").map_or(Ok(false), |node| node.boolean())?,
        max_poll_interval: must_watch.then(max_poll_interval).transpose()?,
    })
}

fn decode_text(node: &JsonNode) -> Result<String, ConfigError> {
    Ok(node.text()?.to_string())
}

fn decode_listeners(
    listeners: &[JsonNode],
    message_targets: &JsonNode,
) -> Result<Vec<Listener>, ConfigError> {
    let targets = message_targets.list()?;
    let decode = |(index, node): (usize, &JsonNode)| {
        let key_constraints = KeyConstraints::decode(node)?;
        let Some(message_target) = targets.get(index) else {
            return message_targets.invalid(&format!(
                "a list of {} times, one for each of settings.Listeners",
                listeners.len()
            ));
        };
        Ok(Listener {
            priority_weight: node.key("Utility")?.number()?,
            idempotency: key_constraints.decode_effect(node)?,
            handshake_target: node.key("HandshakeTarget")?.micros()?,
            message_target: message_target.micros()?,
        })
    };
    listeners.iter().enumerate().map(decode).collect()
}

/// The values of a listener's keys `Group` (scope) and `Window`. The keys are required with every `Effect`,
/// but only `dedup` uses them. `Group` has nothing to do with `FamilyInfo.Groups`, which are groups of
/// sessions.
struct KeyConstraints {
    scope: KeyScope,
    window: Micros,
}

impl KeyConstraints {
    fn decode(listener: &JsonNode) -> Result<KeyConstraints, ConfigError> {
        let scopes = [("all", KeyScope::All), ("zone", KeyScope::Zone), ("cell", KeyScope::Cell)];
        let scope = listener.key("Group")?.one_of(&scopes)?;
        Ok(KeyConstraints { scope, window: listener.key("Window")?.micros()? })
    }

    /// Decodes `Effect`, and adds the constraints if requests have an idempotency key.
    fn decode_effect(self, listener: &JsonNode) -> Result<Idempotency, ConfigError> {
        let KeyConstraints { scope, window } = self;
        listener.key("Effect")?.one_of(&[
            ("retryable", Idempotency::Idempotent),
            ("dedup", Idempotency::Keyed { scope, window }),
            ("fragile", Idempotency::NonIdempotent),
        ])
    }
}

fn decode_report_order(report: &JsonNode) -> Result<ReportOrder, ConfigError> {
    report.key("How")?.one_of(&[("inline", ()), ("on_probe", ()), ("off", ())])?;
    let fields = report.key("Fields")?.list()?;
    let position =
        |name: &str| fields.iter().take(REPORT_VALUES).position(|field| field.value.as_str() == Some(name));
    // `cpu_share` is a weaker measure of the load, for sites that do not report `x0`.
    let demand = position("x0");
    Ok(ReportOrder {
        load: demand.or(position("cpu_share")),
        queue_delay: position("x1"),
        sessions: position("busy_reqs"),
        by_cores: demand.is_none(),
    })
}

fn decode_balancer_settings(
    tables: &Tables,
    listeners: Vec<Listener>,
    must_watch: bool,
) -> Result<SiteConfig, ConfigError> {
    let Tables { top, ceilings, rules, charges, family } = tables;
    let overload_window = |node: JsonNode| node.micros();
    // `Cold` and `ColdFrom` describe the warm-up of a server: its length, and the fraction of its capacity
    // at the start. `Fall` and `FallMultiple` describe the overload that a server may get meanwhile.
    Ok(SiteConfig {
        listeners,
        relay_count: top.key("Instances")?.bounded_integer::<u32>()?.max(1),
        relay_index: top.key("SlotNo")?.bounded_integer()?,
        zone: top.key("Zone")?.bounded_integer()?,
        must_watch,
        may_probe: ceilings.key("MayProbe")?.boolean()?,
        groups_enabled: family.key("Groups")?.boolean()?,
        max_dials: ceilings.key("MostDials")?.bounded_integer()?,
        max_sessions: ceilings.key("MaxOpen")?.bounded_integer()?,
        max_retry_after: decode_max_retry_after(ceilings)?,
        warm_up: rules.key("Cold")?.micros()?,
        initial_capacity: rules.key("ColdFrom")?.number()?,
        overload_multiple: rules.key("FallMultiple")?.number()?,
        overload_window: rules.option("Fall").map_or(Ok(DEFAULT_OVERLOAD_WINDOW), overload_window)?,
        cross_zone_cost: charges.key("CrossZone")?.number()?,
        migration_cost: charges.key("Moves")?.number()?,
        probe_cost: charges.key("Probe")?.number()?,
    })
}

/// Decodes the longest Retry-After, a delay that relays may send to rejected clients; `None` if they may
/// not.
fn decode_max_retry_after(ceilings: &JsonNode) -> Result<Option<Micros>, ConfigError> {
    if ceilings.key("RetryAfter")?.boolean()? {
        Ok(Some(ceilings.key("MaxRetryAfter")?.micros()?))
    } else {
        Ok(None)
    }
}
