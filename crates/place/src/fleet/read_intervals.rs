//! How often each role reads the registry.

use std::time::Duration;

/// Shares of the time within which a leaving server must get no more requests. At most about a
/// third of it passes between two reads of a reader, half of it until its deputy reads, and
/// three quarters until an entry that learns of no reads does its own. The rest is for a slow
/// answer of the store and the propagation to all entries.
const READER_SHARE: f64 = 0.36;
const DEPUTY_SHARE: f64 = 0.5;
const MEMBER_SHARE: f64 = 0.76;

/// Intervals between reads of the registry.
#[derive(Debug, Clone, Copy)]
pub struct ReadIntervals {
    /// Interval between two reads of a region's reader. Where the store supports long polling,
    /// the reader learns of changes immediately.
    pub reader: Duration,
    /// Age of the latest read at which the deputy reads.
    pub deputy: Duration,
    /// Age of the latest read at which an entry without a reachable lead reads for itself.
    pub member: Duration,
}

impl ReadIntervals {
    /// Derives the intervals from `drain`, the time for which a leaving server may still get
    /// requests.
    pub fn new(drain: Duration) -> Self {
        Self {
            reader: drain.mul_f64(READER_SHARE),
            deputy: drain.mul_f64(DEPUTY_SHARE),
            member: drain.mul_f64(MEMBER_SHARE),
        }
    }
}
