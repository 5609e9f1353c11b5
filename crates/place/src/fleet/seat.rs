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
const SUBSTITUTES: usize = 6;
/// An entry replaces a lead where it is abler by so many doublings of capacity: a lead
/// of a tenth of the others' link holds up a whole region.
const ABLER: u32 = 2;

base::common! {
    /// An entry that leads its region or may come to lead it.
    #[derive(Eq)]
    pub struct LeadSeat {
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
pub type SeatOrder = (bool, u32, bool, u64);

impl LeadSeat {
    /// Its place among others: whether the store answers it, its capacity in doublings,
    /// whether it leads, and a hash. Callers are sent to entries of the same capacity
    /// by ascending hash, so that leads are seldom the busiest.
    pub fn order(&self) -> SeatOrder {
        let hash = stable_hash(self.node.as_bytes());
        (self.reads, self.class(), self.leads, hash)
    }

    /// The capacity in doublings.
    pub fn class(&self) -> u32 {
        self.capacity.max(1).ilog2()
    }
}

/// The leads that a region should have, then substitutes: `leading` are those that lead
/// now, `others` all other entries that may.
pub fn choose(mut leading: Vec<LeadSeat>, mut others: Vec<LeadSeat>) -> Vec<LeadSeat> {
    leading.sort_by_key(|seat| Reverse(seat.order()));
    others.sort_by_key(|seat| Reverse(seat.order()));
    others.retain(|seat| leading.iter().all(|known| known.node != seat.node));
    leading.truncate(LEADS);
    replace_by_abler(&mut leading, &mut others);
    while leading.len() < LEADS && !others.is_empty() {
        let apart = others
            .iter()
            .position(|seat| leading.iter().all(|known| known.domain != seat.domain));
        leading.push(others.remove(apart.unwrap_or(0)));
    }
    // Whether the store answered them doesn't count here: while it is down, entry after
    // entry would come to try it.
    others.sort_by_key(|seat| {
        let (_, class, _, hash) = seat.order();
        Reverse((class, hash))
    });
    let mut seats = leading;
    for other in others {
        let substitutes = &seats[LEADS.min(seats.len())..];
        if substitutes.len() >= SUBSTITUTES {
            break;
        }
        if substitutes.iter().all(|known| known.domain != other.domain) {
            seats.push(other);
        }
    }
    seats
}

fn replace_by_abler(leading: &mut [LeadSeat], others: &mut Vec<LeadSeat>) {
    for lead in leading.iter_mut().rev() {
        let abler = others
            .iter()
            .position(|seat| seat.reads && seat.class() >= lead.class() + ABLER);
        if let Some(index) = abler {
            *lead = others.remove(index);
        }
    }
}
