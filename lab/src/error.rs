//! Why a command of the laboratory could not be carried out.

/// What the command line prints; the program then exits with 2.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A relay's configuration that follows from the scenario is not valid.
    #[error(transparent)]
    Configuration(#[from] hallrelay_config::ConfigError),
}
