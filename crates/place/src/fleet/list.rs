//! The entries of a region that get requests, as its reader lists them for all.

use std::net::SocketAddr;

use crate::fleet::front::{self, FrontEntry};
use crate::fleet::message::EntryHeartbeat;
use crate::rank::stable_hash;

base::common! {
    /// Orders the lists of a region: its reader counts on from the newest it has seen.
    #[derive(Copy, Eq, Default, PartialOrd, Ord)]
    pub struct ListVersion {
        /// Rises from list to list.
        pub number: u64,
        /// Hash of the name of the entry that made the list: tells apart two that were
        /// made at once.
        pub author: u64,
    }

    /// An entry that gets requests.
    #[derive(Eq, PartialOrd, Ord)]
    pub struct ListedEntry {
        /// The instance's name.
        pub node: String,
        /// The run of its process.
        pub incarnation: u64,
        /// Its failure domain.
        pub domain: String,
        /// Where it takes callers.
        pub front: SocketAddr,
        /// Where it takes datagrams.
        pub peer_address: SocketAddr,
        /// Whether callers are told to use it.
        pub named: bool,
        /// Its stamp for tickets; empty where no caller uses tickets.
        pub stamp: String,
    }

    /// All entries of a region that get requests.
    #[derive(Eq, Default)]
    pub struct EntryList {
        /// The region.
        pub region: String,
        /// Its place among the region's lists.
        pub version: ListVersion,
        /// The entries, by name.
        pub entries: Vec<ListedEntry>,
    }
}

impl ListedEntry {
    /// Its hash in the division of shared rates.
    pub fn hash(&self) -> u64 {
        stable_hash(self.node.as_bytes())
    }
}

impl EntryList {
    /// The list's entry of the instance `node`.
    pub fn find(&self, node: &str) -> Option<&ListedEntry> {
        self.entries.iter().find(|entry| entry.node == node)
    }
}

/// Lists those of a region's live entries that get requests or are to get them. While
/// tickets are in use all are listed: callers may come back to any.
pub fn list_entries(heartbeats: &[&EntryHeartbeat]) -> Vec<ListedEntry> {
    let staying = || heartbeats.iter().filter(|heartbeat| !heartbeat.leaving);
    let ready = staying().filter(|heartbeat| heartbeat.ready);
    let fronts: Vec<FrontEntry<'_>> = ready.map(|heartbeat| heartbeat.as_front()).collect();
    let named = front::named(&fronts);
    let mut listed = Vec::new();
    for heartbeat in staying() {
        let named = named
            .iter()
            .any(|entry| entry.node == heartbeat.candidate.node);
        if !named && !heartbeat.as_front().is_used() && heartbeat.stamp.is_empty() {
            continue;
        }
        listed.push(ListedEntry {
            node: heartbeat.candidate.node.clone(),
            incarnation: heartbeat.incarnation,
            domain: heartbeat.candidate.domain.clone(),
            front: heartbeat.front,
            peer_address: heartbeat.candidate.peer_address,
            named,
            stamp: heartbeat.stamp.clone(),
        });
    }
    listed.sort_unstable();
    listed
}
