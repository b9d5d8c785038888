//! Configuration errors. Each text names the key at fault and the values that are accepted.

/// Error in a relay's configuration, an endpoint list or a site's settings. The settings are a table of the
/// configuration, which the simulator reads alone.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A required key is missing.
    #[error("{path} is missing")]
    MissingKey {
        /// The key's path, such as `settings.Ceilings.MaxOpen`.
        path: String,
    },
    /// A value has the wrong type, is out of bounds, or contradicts another value.
    #[error("{path} is {value}, wanted {wanted}")]
    InvalidValue {
        /// The key's path.
        path: String,
        /// The value, as JSON.
        value: String,
        /// The accepted values.
        wanted: String,
    },
    /// The table has no such key.
    #[error("{path} is an unknown key, wanted one of {known:?}")]
    UnknownKey {
        /// The key's path.
        path: String,
        /// The known keys of the table.
        known: &'static [&'static str],
    },
    /// Too many peers are configured.
    #[error("fleet.peers has {count} addresses, wanted at most {max}")]
    TooManyPeers {
        /// Number of configured peers.
        count: usize,
        /// Largest accepted number.
        max: usize,
    },
    /// A fleet is configured, but the settings forbid messages between relays.
    #[error(
        "fleet is given, but settings.Ceilings.PeerMessages is false, which forbids messages between relays: \
         remove fleet, or set PeerMessages to true"
    )]
    PeerMessagesForbidden,
    /// A voting relay has no directory for its durable state.
    #[error(
        "state is missing, but fleet.voters names this relay: a voter must keep its votes across restarts; \
         set state to the path of a directory, or remove this relay from fleet.voters"
    )]
    VoterWithoutState,
    /// A relay's configuration is not valid JSON.
    #[error("configuration is not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// An endpoint list is not valid JSON.
    #[error("the endpoint list is not JSON: {0}")]
    ListNotJson(#[source] serde_json::Error),
    /// The settings, read without the rest of the configuration, are not valid JSON.
    #[error("settings are not JSON: {0}")]
    SettingsNotJson(#[source] serde_json::Error),
    /// A key of the settings, read without the rest of the configuration, is missing or invalid.
    #[error("settings: {0}")]
    Settings(#[source] Box<ConfigError>),
}
