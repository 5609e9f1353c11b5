//! Selection of a region's leads.
//!
//! All entries rank candidates by the same key, so entries that know the same candidates
//! agree without a vote. A current lead is only replaced by a better candidate, not by an
//! equal one: every change makes all entries of the region switch to another lead.

use std::cmp::Reverse;
use std::net::SocketAddr;

use crate::rank::stable_hash;

/// Leads per region: the reader and its deputy.
pub const LEADS_PER_REGION: usize = 2;
/// Substitutes listed after the leads, at most one per failure domain. They take over
/// when both leads are lost or unreachable.
const MAX_SUBSTITUTES: usize = 6;
/// Capacity classes by which another entry must exceed a lead to replace it. A lead with
/// a tenth of the others' link bandwidth slows down a whole region.
const REPLACEMENT_CLASS_MARGIN: u32 = 2;

base::common! {
    /// An entry that leads its region or is eligible to.
    #[derive(Eq)]
    pub struct LeadCandidate {
        /// The instance's name.
        pub node: String,
        /// Its failure domain.
        pub domain: String,
        /// Address for datagrams from other entries.
        pub peer_address: SocketAddr,
        /// Address from which other entries pull data.
        pub view_address: SocketAddr,
        /// Requests per second it can handle.
        pub capacity: u32,
        /// Whether its last call to the store succeeded, or it has made none yet.
        pub has_store_access: bool,
        /// Whether it is currently a lead.
        pub leads: bool,
    }
}

/// Sort key of a candidate; the greatest is the best.
pub type CandidateRank = (bool, u32, bool, u64);

impl LeadCandidate {
    /// Ranks by store access, capacity class, current role, and finally by hash. Callers
    /// are directed to entries of equal capacity in ascending hash order, so leads are
    /// rarely the busiest entries.
    pub fn rank(&self) -> CandidateRank {
        let hash = stable_hash(self.node.as_bytes());
        (
            self.has_store_access,
            self.capacity_class(),
            self.leads,
            hash,
        )
    }

    /// Binary logarithm of the capacity.
    pub fn capacity_class(&self) -> u32 {
        self.capacity.max(1).ilog2()
    }
}

/// Returns the region's leads, followed by substitutes. `current_leads` holds the current leads
/// and `others` all other candidates.
pub fn select_leads(
    mut current_leads: Vec<LeadCandidate>,
    mut others: Vec<LeadCandidate>,
) -> Vec<LeadCandidate> {
    current_leads.sort_by_key(|candidate| Reverse(candidate.rank()));
    others.sort_by_key(|candidate| Reverse(candidate.rank()));
    others.retain(|candidate| {
        current_leads
            .iter()
            .all(|known| known.node != candidate.node)
    });
    current_leads.truncate(LEADS_PER_REGION);
    replace_weak_leads(&mut current_leads, &mut others);
    while current_leads.len() < LEADS_PER_REGION && !others.is_empty() {
        let other_domain = others.iter().position(|candidate| {
            current_leads
                .iter()
                .all(|known| known.domain != candidate.domain)
        });
        current_leads.push(others.remove(other_domain.unwrap_or(0)));
    }
    // Store access is ignored here: during a store outage, one entry after another would
    // otherwise be tried.
    others.sort_by_key(|candidate| {
        let (_, capacity_class, _, hash) = candidate.rank();
        Reverse((capacity_class, hash))
    });
    let mut candidates = current_leads;
    for other in others {
        let substitutes = &candidates[LEADS_PER_REGION.min(candidates.len())..];
        if substitutes.len() >= MAX_SUBSTITUTES {
            break;
        }
        if substitutes.iter().all(|known| known.domain != other.domain) {
            candidates.push(other);
        }
    }
    candidates
}

fn replace_weak_leads(current_leads: &mut [LeadCandidate], others: &mut Vec<LeadCandidate>) {
    for lead in current_leads.iter_mut().rev() {
        let stronger = others.iter().position(|candidate| {
            candidate.has_store_access
                && candidate.capacity_class() >= lead.capacity_class() + REPLACEMENT_CLASS_MARGIN
        });
        if let Some(index) = stronger {
            *lead = others.remove(index);
        }
    }
}
