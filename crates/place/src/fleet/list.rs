//! Lists of the entries of a region that receive requests, published by the region's
//! reader.

use std::net::SocketAddr;

use crate::fleet::advertise::{self, ServingEntry};
use crate::fleet::message::EntryHeartbeat;
use crate::rank::stable_hash;

base::common! {
    /// Version of a region's list. The reader increments the newest version it has seen.
    #[derive(Copy, Eq, Default, PartialOrd, Ord)]
    pub struct ListVersion {
        /// Increases with every list.
        pub number: u64,
        /// Hash of the name of the entry that published the list; distinguishes lists
        /// that were published concurrently.
        pub author: u64,
    }

    /// An entry that receives requests.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ListedEntry {
        /// The instance's name.
        pub node: String,
        /// Its process incarnation.
        pub incarnation: u64,
        /// Its failure domain.
        pub domain: String,
        /// Address on which it accepts callers.
        pub caller_address: SocketAddr,
        /// Address for datagrams from other entries.
        pub peer_address: SocketAddr,
        /// Whether it is advertised to callers.
        pub named: bool,
        /// Its stamp for tickets; empty if no caller uses tickets.
        pub stamp: String,
    }

    /// All entries of a region that receive requests.
    #[derive(Eq, Default)]
    pub struct EntryList {
        /// The region.
        pub region: String,
        /// Version of the list.
        pub version: ListVersion,
        /// The entries, ordered by name.
        pub entries: Vec<ListedEntry>,
    }
}

impl ListedEntry {
    /// Returns the hash used to divide shared rate limits.
    pub fn hash(&self) -> u64 {
        stable_hash(self.node.as_bytes())
    }

    /// Returns the address at which the entry serves others: the port after the one for
    /// datagrams.
    pub fn view_address(&self) -> SocketAddr {
        view_address(self.peer_address)
    }
}

/// Returns the address at which an entry serves others whose address for datagrams is
/// `peer_address`.
pub fn view_address(peer_address: SocketAddr) -> SocketAddr {
    SocketAddr::new(peer_address.ip(), peer_address.port().saturating_add(1))
}

impl EntryList {
    /// Returns the entry of the instance `node`.
    pub fn find(&self, node: &str) -> Option<&ListedEntry> {
        self.entries.iter().find(|entry| entry.node == node)
    }
}

/// Selects the live entries of a region that receive requests or are about to. While
/// tickets are in use all entries are listed, because callers may return to any of them.
pub fn list_entries(heartbeats: &[&EntryHeartbeat]) -> Vec<ListedEntry> {
    let staying = || heartbeats.iter().filter(|heartbeat| !heartbeat.leaving);
    let ready = staying().filter(|heartbeat| heartbeat.ready);
    let serving: Vec<ServingEntry<'_>> = ready.map(|heartbeat| heartbeat.as_serving()).collect();
    let named = advertise::select_advertised(&serving);
    let mut listed = Vec::new();
    for heartbeat in staying() {
        let named = named
            .iter()
            .any(|entry| entry.node == heartbeat.candidate.node);
        if !named && !heartbeat.as_serving().is_used() && heartbeat.stamp.is_empty() {
            continue;
        }
        listed.push(ListedEntry {
            node: heartbeat.candidate.node.clone(),
            incarnation: heartbeat.incarnation,
            domain: heartbeat.candidate.domain.clone(),
            caller_address: heartbeat.caller_address,
            peer_address: heartbeat.candidate.peer_address,
            named,
            stamp: heartbeat.stamp.clone(),
        });
    }
    listed.sort_unstable();
    listed
}
