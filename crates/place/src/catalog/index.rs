//! The servers of a service, in a form in which those nearest to an object are found without
//! a look at the records of all.

use std::collections::HashMap;
use std::sync::Arc;

use crate::placing::candidates::RankScope;
use crate::rank::pair_weight;

/// Servers that are remembered for an object in each place: more than it belongs to, and some
/// that may be closed, paused or cold.
pub const TOP_SERVERS: usize = 16;
/// Objects for which they are remembered.
const MAX_CACHED_OBJECTS: usize = 2048;

/// One server of the service.
#[derive(Debug, Clone, Copy)]
pub struct IndexMember {
    /// Index of its record.
    pub record_index: usize,
    /// Hash of its run.
    pub hash: u64,
    /// Its region, in the order of the regions' names.
    pub region: u16,
    /// Its failure domain, in the order of the domains' names.
    pub domain: u16,
    /// Requests that it runs at the same time.
    pub slots: u32,
}

/// The servers nearest to an object in one place.
#[derive(Debug, Clone, Default)]
pub struct TopServers {
    /// Indexes of their records, nearest first.
    pub record_indexes: Vec<usize>,
    /// Whether these are all servers of the place.
    pub is_all: bool,
}

/// Those of all places, in the order of the places' names.
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

    /// Removes the server with the record `record_index`.
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

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Slots of the smallest server there was since the index was empty.
    pub fn min_slots(&self) -> u32 {
        self.min_slots.max(1)
    }

    /// The servers nearest to `object` in each place of `scope`.
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

/// The servers of a place with the largest weights so far, largest first.
#[derive(Debug, Clone, Default)]
struct TopServersBuilder {
    top: Vec<(u64, usize)>,
    seen: usize,
}

impl TopServersBuilder {
    fn offer(&mut self, weight: u64, record_index: usize) {
        self.seen += 1;
        let is_full = self.top.len() >= TOP_SERVERS;
        if is_full && self.top.last().is_some_and(|(least, _)| weight <= *least) {
            return;
        }
        let at = self.top.partition_point(|(other, _)| *other > weight);
        self.top.insert(at, (weight, record_index));
        self.top.truncate(TOP_SERVERS);
    }

    fn finish(self) -> TopServers {
        TopServers {
            is_all: self.seen == self.top.len(),
            record_indexes: self
                .top
                .into_iter()
                .map(|(_, record_index)| record_index)
                .collect(),
        }
    }
}
