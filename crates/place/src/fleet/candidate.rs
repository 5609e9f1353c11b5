//! Which entries of a region lead it.
//!
//! The order is the same at all entries, so that those that hear of the same ones agree
//! without a vote. Entries that lead stay leads while others are merely as able: a
//! change costs all of the region a look at another entry.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::rank::stable_hash;

/// Leads of a region: the reader and its deputy.
pub const LEADS: usize = 2;
/// Entries that are named besides, one of a failure domain, to lead where both leads
/// are lost or out of reach.
const MAX_SUBSTITUTES: usize = 6;
/// An entry replaces a lead where it is abler by so many doublings of capacity: a lead
/// of a tenth of the others' link holds up a whole region.
const REPLACEMENT_CLASS_MARGIN: u32 = 2;

base::common! {
    /// An entry that leads its region or may come to lead it.
    #[derive(Eq)]
    pub struct LeadCandidate {
        /// The instance's name.
        pub node: String,
        /// Its failure domain.
        pub domain: String,
        /// Where it takes datagrams.
        pub peer_address: SocketAddr,
        /// Where it tells what it knows.
        pub view: SocketAddr,
        /// Requests a second that it can carry.
        pub capacity: u32,
        /// Whether the store answered its last call, or it made none.
        pub reads: bool,
        /// Whether it leads now.
        pub leads: bool,
    }
}

/// What an entry is worth as a lead; the largest comes first.
pub type CandidateRank = (bool, u32, bool, u64);

impl LeadCandidate {
    /// Its place among others: whether the store answers it, its capacity in doublings,
    /// whether it leads, and a hash. Callers are sent to entries of the same capacity
    /// by ascending hash, so that leads are seldom the busiest.
    pub fn rank(&self) -> CandidateRank {
        let hash = stable_hash(self.node.as_bytes());
        (self.reads, self.capacity_class(), self.leads, hash)
    }

    /// The capacity in doublings.
    pub fn capacity_class(&self) -> u32 {
        self.capacity.max(1).ilog2()
    }
}

/// The leads that a region should have, then substitutes: `leading` are those that lead
/// now, `others` all other entries that may.
pub fn choose(
    mut leading: Vec<LeadCandidate>,
    mut others: Vec<LeadCandidate>,
) -> Vec<LeadCandidate> {
    leading.sort_by_key(|candidate| Reverse(candidate.rank()));
    others.sort_by_key(|candidate| Reverse(candidate.rank()));
    others.retain(|candidate| leading.iter().all(|known| known.node != candidate.node));
    leading.truncate(LEADS);
    replace_weak_leads(&mut leading, &mut others);
    while leading.len() < LEADS && !others.is_empty() {
        let other_domain = others
            .iter()
            .position(|candidate| leading.iter().all(|known| known.domain != candidate.domain));
        leading.push(others.remove(other_domain.unwrap_or(0)));
    }
    // Whether the store answered them doesn't count here: while it is down, entry after
    // entry would come to try it.
    others.sort_by_key(|candidate| {
        let (_, capacity_class, _, hash) = candidate.rank();
        Reverse((capacity_class, hash))
    });
    let mut candidates = leading;
    for other in others {
        let substitutes = &candidates[LEADS.min(candidates.len())..];
        if substitutes.len() >= MAX_SUBSTITUTES {
            break;
        }
        if substitutes.iter().all(|known| known.domain != other.domain) {
            candidates.push(other);
        }
    }
    candidates
}

fn replace_weak_leads(leading: &mut [LeadCandidate], others: &mut Vec<LeadCandidate>) {
    for lead in leading.iter_mut().rev() {
        let stronger = others.iter().position(|candidate| {
            candidate.reads
                && candidate.capacity_class() >= lead.capacity_class() + REPLACEMENT_CLASS_MARGIN
        });
        if let Some(index) = stronger {
            *lead = others.remove(index);
        }
    }
}
