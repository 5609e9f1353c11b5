//! A mark of the registry's content: equal where two entries know the same, whatever
//! versions they give it.

use crate::rank::{pair_weight, stable_hash};
use crate::server::ServerEntry;

const OWN: u64 = 1;
const FOREIGN: u64 = 2;

base::common! {
    /// The mark of a set of rows, whose order doesn't matter. Heartbeats and the rest of a
    /// warm-up aren't in it: they differ between two readings of the same row.
    #[derive(Copy, Eq, Default)]
    pub struct ContentHash(u64);
}

impl ContentHash {
    /// Of one server's own word.
    pub fn of_entry(entry: &ServerEntry) -> Self {
        let text = format!(
            "{}\n{:?}\n{}\n{}\n{}\n{}\n{}\n{:?}",
            entry.id,
            entry.started,
            entry.service,
            entry.address,
            entry.domain,
            entry.version,
            entry.slots,
            entry.state,
        );
        Self(pair_weight(stable_hash(text.as_bytes()), OWN))
    }

    /// Of a row that is no server's own word.
    pub fn of_foreign(id: &str) -> Self {
        Self(pair_weight(stable_hash(id.as_bytes()), FOREIGN))
    }

    /// The mark with `other` added.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }

    /// The mark with `other`, which is in it, taken out.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }

    /// The mark as a number that a metric holds exactly.
    pub fn short(self) -> i64 {
        const BITS: u32 = 52;
        (self.0 >> (u64::BITS - BITS)).cast_signed()
    }
}

impl std::fmt::Display for ContentHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
