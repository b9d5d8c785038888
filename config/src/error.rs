//! The errors of configurations. Each text names the key at fault and what is accepted there.

/// Why a configuration, a list of backends or a site's settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// A key that must be given is left out.
    #[error("{path} is missing")]
    MissingKey {
        /// The key's path, such as `settings.Ceilings.MaxOpen`.
        path: String,
    },
    /// A value is of the wrong type, out of bounds, or contradicts another one.
    #[error("{path} is {value}, wanted {wanted}")]
    InvalidValue {
        /// The key's path.
        path: String,
        /// The value, as JSON.
        value: String,
        /// What is accepted.
        wanted: String,
    },
    /// A key that the table doesn't have.
    #[error("{path} is no key, wanted one of {known:?}")]
    UnknownKey {
        /// The key's path.
        path: String,
        /// The table's keys.
        known: &'static [&'static str],
    },
    /// More peers than a relay can be configured with.
    #[error("fleet.peers has {count} addresses, wanted {max} at most")]
    TooManyPeers {
        /// How many are given.
        count: usize,
        /// Largest number accepted.
        max: usize,
    },
    /// A fleet is configured where the settings forbid messages between relays.
    #[error(
        "fleet is given, and settings.Ceilings.PeerMessages is false: relays may not talk there, \
         leave out one of the two"
    )]
    PeerMessagesForbidden,
    /// A relay that votes has no directory for its durable state.
    #[error("state is left out, and fleet.voters names this relay: a voter must not forget")]
    VoterWithoutState,
    /// A relay's configuration is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    /// An endpoint list is not JSON.
    #[error("the list is not JSON: {0}")]
    ListNotJson(#[source] serde_json::Error),
    /// The settings, read alone, are not JSON.
    #[error("settings are not JSON: {0}")]
    SettingsNotJson(#[source] serde_json::Error),
    /// The settings, read alone, can't be used.
    #[error("settings: {0}")]
    Settings(#[source] Box<ConfigError>),
}
