//! Index of a service's servers that finds the top ranked ones of an object without reading all
//! records.

use std::collections::HashMap;
use std::sync::Arc;

use crate::placing::candidates::RankScope;
use crate::rank::pair_weight;

/// Number of top servers cached per object and locality: more than can be preferred, since some
/// may be closed, paused or cold.
pub const TOP_SERVERS: usize = 16;
/// Maximum number of objects with cached top servers.
const MAX_CACHED_OBJECTS: usize = 2048;

/// A server of the service.
#[derive(Debug, Clone, Copy)]
pub struct IndexMember {
    /// Index of its record.
    pub record_index: usize,
    /// Hash of its run.
    pub hash: u64,
    /// Number of its region, in the order of the regions' names.
    pub region: u16,
    /// Number of its failure domain, in the order of the domains' names.
    pub domain: u16,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// The top ranked servers of an object in one locality.
#[derive(Debug, Clone, Default)]
pub struct TopServers {
    /// Indexes of their records, highest rank first.
    pub record_indexes: Vec<usize>,
    /// Whether these are all servers of the locality.
    pub is_all: bool,
}

/// The top servers of all localities, ordered by the localities' names.
pub type TopServersByLocality = Arc<Vec<TopServers>>;

/// The servers of one service.
#[derive(Debug, Default)]
pub struct ServiceIndex {
    members: Vec<IndexMember>,
    /// Slots of the smallest server.
    min_slots: u32,
    top_servers: HashMap<(u64, RankScope), TopServersByLocality>,
}

impl ServiceIndex {
    /// Adds a server.
    pub fn insert(&mut self, member: IndexMember) {
        self.min_slots = if self.members.is_empty() {
            member.slots
        } else {
            self.min_slots.min(member.slots)
        };
        self.members.push(member);
        self.top_servers.clear();
    }

    /// Removes the server whose record is at `record_index`.
    pub fn remove(&mut self, record_index: usize) {
        if let Some(at) = self
            .members
            .iter()
            .position(|member| member.record_index == record_index)
        {
            self.members.swap_remove(at);
            self.top_servers.clear();
        }
    }

    /// Indexes of the records of all servers.
    pub fn record_indexes(&self) -> impl Iterator<Item = usize> {
        self.members.iter().map(|member| member.record_index)
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Slots of the smallest server since the index was last empty.
    pub fn min_slots(&self) -> u32 {
        self.min_slots.max(1)
    }

    /// The top ranked servers of `object` in each locality of `scope`.
    pub fn top_servers(&mut self, object: u64, scope: RankScope) -> TopServersByLocality {
        if let Some(known) = self.top_servers.get(&(object, scope)) {
            return Arc::clone(known);
        }
        let found = Arc::new(self.find(object, scope));
        if self.top_servers.len() >= MAX_CACHED_OBJECTS {
            self.top_servers.clear();
        }
        self.top_servers.insert((object, scope), Arc::clone(&found));
        found
    }

    fn find(&self, object: u64, scope: RankScope) -> Vec<TopServers> {
        let mut localities: Vec<TopServersBuilder> = Vec::new();
        for member in &self.members {
            let locality = usize::from(match scope {
                RankScope::Region => member.region,
                RankScope::Domain => member.domain,
            });
            if locality >= localities.len() {
                localities.resize_with(locality + 1, TopServersBuilder::default);
            }
            localities[locality].offer(pair_weight(object, member.hash), member.record_index);
        }
        localities
            .into_iter()
            .map(TopServersBuilder::finish)
            .collect()
    }
}

/// Collects the servers of a locality with the largest weights, in descending order.
#[derive(Debug, Clone, Default)]
struct TopServersBuilder {
    top: Vec<(u64, usize)>,
    offered: usize,
}

impl TopServersBuilder {
    fn offer(&mut self, weight: u64, record_index: usize) {
        self.offered += 1;
        let is_full = self.top.len() >= TOP_SERVERS;
        if is_full
            && self
                .top
                .last()
                .is_some_and(|(lowest_weight, _)| weight <= *lowest_weight)
        {
            return;
        }
        let at = self.top.partition_point(|(other, _)| *other > weight);
        self.top.insert(at, (weight, record_index));
        self.top.truncate(TOP_SERVERS);
    }

    fn finish(self) -> TopServers {
        TopServers {
            is_all: self.offered == self.top.len(),
            record_indexes: self
                .top
                .into_iter()
                .map(|(_, record_index)| record_index)
                .collect(),
        }
    }
}
