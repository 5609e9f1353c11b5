//! Hash of the registry's content: equal at two entries that know the same, whatever versions
//! they assign.

use crate::rank::{pair_weight, stable_hash};
use crate::server::ServerEntry;

const OWN: u64 = 1;
const FOREIGN: u64 = 2;

base::common! {
    /// Order-independent hash of a set of rows. Heartbeats and the remaining warm-up time are
    /// left out, because they differ between two reads of the same row.
    #[derive(Copy, Eq, Default)]
    pub struct ContentHash(u64);
}

impl ContentHash {
    /// Hash of a server's entry.
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

    /// Hash of a row that wasn't written by its server.
    pub fn of_foreign(id: &str) -> Self {
        Self(pair_weight(stable_hash(id.as_bytes()), FOREIGN))
    }

    /// Adds the hash of a row to the set.
    #[must_use]
    pub fn with(self, other: Self) -> Self {
        Self(self.0.wrapping_add(other.0))
    }

    /// Removes the hash of a row that is in the set.
    #[must_use]
    pub fn without(self, other: Self) -> Self {
        Self(self.0.wrapping_sub(other.0))
    }

    /// Truncates the hash to 52 bits, which a metric represents exactly.
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
