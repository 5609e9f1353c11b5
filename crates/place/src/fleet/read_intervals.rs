//! How often the registry is read, and after which silence by whom.

use std::time::Duration;

/// Parts of the time within which a leaving server must get no more requests. A third
/// of it passes between two readings of a reader at most, half of it until its deputy
/// reads, and three quarters until an entry that hears of nobody's reading reads for
/// itself; the rest is for a slow answer of the store and the way to the entries.
const READER_SHARE: f64 = 0.36;
const DEPUTY_SHARE: f64 = 0.5;
const MEMBER_SHARE: f64 = 0.76;

/// Times between readings of the registry.
#[derive(Debug, Clone, Copy)]
pub struct ReadIntervals {
    /// Between two readings of a region's reader; it is told of changes at once where the
    /// store holds its answers back until something changes.
    pub reader: Duration,
    /// Age of the newest reading at which the deputy reads.
    pub deputy: Duration,
    /// Age at which any entry that hears no lead reads for itself.
    pub member: Duration,
}

impl ReadIntervals {
    /// The pace where a server that leaves may get requests for `drain`.
    pub fn new(drain: Duration) -> Self {
        Self {
            reader: drain.mul_f64(READER_SHARE),
            deputy: drain.mul_f64(DEPUTY_SHARE),
            member: drain.mul_f64(MEMBER_SHARE),
        }
    }
}
