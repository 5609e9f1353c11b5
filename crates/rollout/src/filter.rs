//! Which versions of a service may run a request.

/// What a request should run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionChoice {
    /// Nothing is ordered: any version that isn't kept out.
    NoRollout,
    /// The old versions; the new one only where none of them can be reached.
    Old,
    /// The new version, or an old one where that has no room.
    New,
    /// The new version alone: the others are about to end.
    NewOnly,
}

/// A filter on servers by their version.
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
