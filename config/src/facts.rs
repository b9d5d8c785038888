//! Decodes a site's settings, in the names of the wire, into the configuration that the program reads.
use crate::error::ConfigError;
use crate::json_node::JsonNode;
use hallrelay_balancer::types::{Idempotency, KeyScope, Listener, LoadReport, Micros, SiteConfig};

/// A site's settings: those of the balancer, and names and times of the relay around it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Site {
    /// Settings of the balancer.
    pub facts: SiteConfig,
    /// Positions of the values in a load report.
    pub report: ReportOrder,
    /// Names of the listeners, by the balancer's index.
    pub listeners: Vec<String>,
    /// Names of the zones, by the balancer's index.
    pub zones: Vec<String>,
    /// Dial timeout of each listener in microseconds.
    pub dial_timeouts: Vec<Micros>,
    /// Time in microseconds for a connection to a backend to come up.
    pub connect: Micros,
    /// Grace in microseconds after a backend began to drain.
    pub drain_grace: Micros,
    /// Whether backends tell, on some of their connections, how long messages take there.
    pub tells_delay: bool,
    /// How long a relay may go without asking for the list; none where it is told unasked.
    pub ask_within: Option<Micros>,
}

/// Which of a report's values are the ones that decisions read.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportOrder {
    /// Position of the load.
    pub load: Option<usize>,
    /// Position of the queueing delay.
    pub queue_delay: Option<usize>,
    /// Position of the number of sessions.
    pub sessions: Option<usize>,
    /// Whether `load` is the part of the cores in use, which sites without a better figure report.
    pub by_cores: bool,
}

/// The first values of a load report, by position.
pub type RawReport = [Option<f64>; 4];

impl ReportOrder {
    /// The load report from values by position.
    pub fn pick(self, raw: RawReport) -> LoadReport {
        let at = |i: Option<usize>| i.and_then(|i| raw[i]);
        LoadReport { load: at(self.load), queue_delay: at(self.queue_delay), sessions: at(self.sessions) }
    }

    /// From names and values, as reports stand in lines of text.
    pub fn find(self, value: impl Fn(&str) -> Option<f64>) -> LoadReport {
        // The settings' own words, and those that the protocol's page shows.
        let either = |told, shown| value(told).or_else(|| value(shown));
        let load =
            self.load.and_then(|_| if self.by_cores { either("cpu_share", "util") } else { value("x0") });
        let sessions = self.sessions.and_then(|_| either("busy_reqs", "inflight"));
        let queue_delay = self.queue_delay.and_then(|_| value("x1"));
        LoadReport { load, queue_delay, sessions }
    }
}

/// Decodes the settings.
///
/// # Errors
/// The key that is missing or can't be used.
pub fn decode(top: &JsonNode) -> Result<Site, ConfigError> {
    let (limits, rules, charges) = (top.key("Ceilings")?, top.key("Rules")?, top.key("Charges")?);
    let family = top.key("FamilyInfo")?;
    family.key("Mode")?.one_of(&[("proxy", ()), ("pass", ())])?;
    let message_targets = family.key("MessageAim")?;
    let (listeners_at, targets) = (top.key("Listeners")?, message_targets.list()?);
    let listener = |(i, at): (usize, &JsonNode)| -> Result<Listener, ConfigError> {
        let scope = at.key("Group")?.one_of(&[
            ("all", KeyScope::All),
            ("zone", KeyScope::Zone),
            ("cell", KeyScope::Cell),
        ])?;
        let window = at.key("Window")?.micros()?;
        let kinds = [
            ("retryable", Idempotency::Idempotent),
            ("dedup", Idempotency::Keyed { scope, window }),
            ("fragile", Idempotency::NonIdempotent),
        ];
        let Some(message) = targets.get(i) else {
            return message_targets.invalid("a time for each of Listeners");
        };
        Ok(Listener {
            priority_weight: at.key("Utility")?.number()?,
            idempotency: at.key("Effect")?.one_of(&kinds)?,
            handshake_target: at.key("HandshakeTarget")?.micros()?,
            message_target: message.micros()?,
        })
    };
    let listeners = listeners_at.list()?;
    if listeners.is_empty() {
        return listeners_at.invalid("one listener at least");
    }
    let report = top.key("Report")?;
    report.key("How")?.one_of(&[("inline", ()), ("on_probe", ()), ("off", ())])?;
    let fields = report.key("Fields")?.list()?;
    let place = |name: &str| fields.iter().take(4).position(|at| at.value.as_str() == Some(name));
    let (asked, cores) = (place("x0"), place("cpu_share"));
    let (queue_delay, sessions) = (place("x1"), place("busy_reqs"));
    let order = ReportOrder { load: asked.or(cores), queue_delay, sessions, by_cores: asked.is_none() };
    let must_watch = top.key("Discovery")?.one_of(&[("automatic", false), ("subscribe", true)])?;
    let facts = SiteConfig {
        listeners: listeners.iter().enumerate().map(listener).collect::<Result<_, _>>()?,
        relay_count: top.key("Instances")?.bounded_integer::<u32>()?.max(1),
        relay_index: top.key("SlotNo")?.bounded_integer()?,
        zone: top.key("Zone")?.bounded_integer()?,
        must_watch,
        may_probe: limits.key("MayProbe")?.boolean()?,
        groups_enabled: family.key("Groups")?.boolean()?,
        max_dials: limits.key("MostDials")?.bounded_integer()?,
        max_sessions: limits.key("MaxOpen")?.bounded_integer()?,
        max_retry_after: if limits.key("RetryAfter")?.boolean()? {
            Some(limits.key("MaxRetryAfter")?.micros()?)
        } else {
            None
        },
        warm_up: rules.key("Cold")?.micros()?,
        initial_capacity: rules.key("ColdFrom")?.number()?,
        overload_multiple: rules.key("FallMultiple")?.number()?,
        // As the protocol's page has it.
        overload_window: rules.option("Fall").map_or(Ok(2_000_000), |at| at.micros())?,
        cross_zone_cost: charges.key("CrossZone")?.number()?,
        migration_cost: charges.key("Moves")?.number()?,
        probe_cost: charges.key("Probe")?.number()?,
    };
    let names = |at: JsonNode| -> Result<Vec<String>, ConfigError> {
        at.list()?.iter().map(|at| Ok(at.text()?.to_string())).collect()
    };
    Ok(Site {
        facts,
        report: order,
        listeners: listeners
            .iter()
            .map(|at| Ok(at.key("Name")?.text()?.to_string()))
            .collect::<Result<_, ConfigError>>()?,
        zones: names(top.key("FailureDomains")?)?,
        dial_timeouts: listeners
            .iter()
            .map(|at| at.key("DialTimeout")?.micros())
            .collect::<Result<_, ConfigError>>()?,
        connect: limits.key("ConnectTimeout")?.micros()?,
        drain_grace: rules.key("DrainGrace")?.micros()?,
        tells_delay: family.option("TellsDelay").map_or(Ok(false), |at| at.boolean())?,
        ask_within: if must_watch { Some(rules.key("AskWithin")?.micros()?) } else { None },
    })
}
