//! Which versions of a service may run a request.

/// The versions that a request should run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionChoice {
    /// No rollout is running: any version that is not excluded.
    NoRollout,
    /// The old versions; the new one only if none of them is reachable.
    Old,
    /// The new version, or an old one if the new one has no capacity.
    New,
    /// Only the new version, since servers of the old ones are about to terminate.
    NewOnly,
}

/// A filter on servers by version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum VersionFilter<'a> {
    /// All versions.
    #[default]
    Any,
    /// This version alone.
    Only(&'a str),
    /// All but these.
    Except(&'a [String]),
}

impl VersionFilter<'_> {
    /// Whether a server of `version` may run the request.
    pub fn allows(&self, version: &str) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => *only == version,
            Self::Except(versions) => !versions.iter().any(|other| other == version),
        }
    }
}
