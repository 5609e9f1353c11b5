//! Configuration versions only go up.

use base::prelude::*;

/// Time for which a fresh instance listens to peers before it believes that their
/// highest version is the newest, while the table service can't be asked.
const SETTLE_TIME: Duration = Duration::from_secs(3);

base::common! {
    /// A version with the hash of its content.
    #[derive(Eq, Default)]
    pub struct ConfigVersion {
        /// The version; 0 stands for none.
        pub number: u64,
        /// Hash of the content.
        pub hash: String,
    }
}

/// What to do with a version that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VersionVerdict {
    /// It is newer: fetch it.
    Fetch,
    /// It is the one in force.
    Current,
    /// It is older, or a second content for the same number: refuse it.
    Refuse,
}

/// Watches that the version in force never falls.
///
/// ```
/// use steer::{ConfigVersion, VersionGuard, VersionVerdict};
///
/// let version = |number| ConfigVersion { number, hash: format!("hash {number}") };
/// let mut guard = VersionGuard::new();
/// assert_eq!(guard.on_store(&version(2)), VersionVerdict::Fetch);
/// assert!(guard.put_in_force(&version(2)));
/// assert_eq!(guard.on_store(&version(1)), VersionVerdict::Refuse);
/// assert!(!guard.put_in_force(&version(1)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionGuard {
    in_force: ConfigVersion,
    wanted: ConfigVersion,
    store_seen: bool,
    first_peer: Option<Instant>,
}

impl VersionGuard {
    /// Without any version.
    pub fn new() -> Self {
        Self::default()
    }

    /// The version in force.
    pub fn in_force(&self) -> &ConfigVersion {
        &self.in_force
    }

    /// The newest version heard of that isn't in force yet.
    pub fn wanted(&self) -> Option<&ConfigVersion> {
        (self.wanted.number > self.in_force.number).then_some(&self.wanted)
    }

    /// The table service told its head.
    pub fn on_store(&mut self, head: &ConfigVersion) -> VersionVerdict {
        self.store_seen = true;
        self.hear(head)
    }

    /// A peer told the version that it has in force.
    pub fn on_peer(&mut self, now: Instant, version: &ConfigVersion) -> VersionVerdict {
        self.first_peer.get_or_insert(now);
        self.hear(version)
    }

    fn hear(&mut self, version: &ConfigVersion) -> VersionVerdict {
        if version.number > self.wanted.number {
            self.wanted = version.clone();
        }
        if version.number > self.in_force.number {
            return VersionVerdict::Fetch;
        }
        if *version == self.in_force {
            return VersionVerdict::Current;
        }
        VersionVerdict::Refuse
    }

    /// Puts `version` in force; `false` where that would not be a step up.
    pub fn put_in_force(&mut self, version: &ConfigVersion) -> bool {
        if version.number <= self.in_force.number {
            return false;
        }
        self.in_force = version.clone();
        true
    }

    /// Whether the version in force is known not to be behind what was accepted
    /// before this process started.
    pub fn may_serve(&self, now: Instant) -> bool {
        let settled = self
            .first_peer
            .is_some_and(|at| now.saturating_duration_since(at) >= SETTLE_TIME);
        let informed = self.store_seen || settled;
        informed && self.in_force.number > 0 && self.wanted().is_none()
    }
}
