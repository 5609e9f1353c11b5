//! A place in the history of the store.

/// Bits of a position that hold the version; the others hold the era.
const VERSION_BITS: u32 = 40;
/// Largest version, and the largest era that leaves room for log versions.
const MAX_VERSION: u64 = (1 << VERSION_BITS) - 1;
const MAX_ERA: u64 = (1 << 14) - 1;

base::common! {
    /// A place in the history of the store: how often it has come back from an older copy, and its
    /// version since then. After such a restoration versions are given out again, so that a
    /// version alone names several places. Every position of a later era is newer.
    #[derive(Copy, Eq, Default, PartialOrd, Ord, Hash)]
    pub struct StorePosition(u64);
}

impl StorePosition {
    /// The position at `version` of the era `era`.
    pub fn new(era: u64, version: u64) -> Self {
        Self((era.min(MAX_ERA) << VERSION_BITS) | version.min(MAX_VERSION))
    }

    /// Number of times that the store had come back from an older copy.
    pub fn era(self) -> u64 {
        self.0 >> VERSION_BITS
    }

    /// The store's version in that era.
    pub fn version(self) -> u64 {
        self.0 & MAX_VERSION
    }

    /// Returns whether this isn't the position of an empty store, before anything was read.
    pub fn is_known(self) -> bool {
        self.0 > 0
    }

    /// The position of the next version.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The position as one number, in the order of positions.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The position with this number.
    pub fn from_number(number: u64) -> Self {
        Self(number)
    }
}

impl std::fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{}:{}", self.era(), self.version())
    }
}
