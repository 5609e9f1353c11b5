//! The entries through which requests can be relayed.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use place::paths::relay::{RelayPeer, RelayPeers, RelayPlanner, RelayRequest};

use crate::state::InstanceState;

/// How long idle connections to peers are kept.
pub(super) const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// Peers and what is known of them.
#[derive(Debug)]
pub(crate) struct RelayState {
    pub(super) planner: RefCell<RelayPlanner>,
    peers: RefCell<RelayPeers>,
}

impl RelayState {
    /// Creates the state of an entry in `region`; `seed` varies the choice of peers.
    pub(crate) fn new(region: &str, seed: u64) -> Self {
        Self {
            planner: RefCell::new(RelayPlanner::new(region, seed)),
            peers: RefCell::default(),
        }
    }

    /// Sets the peers after the lists of entries have changed.
    pub(crate) fn refresh(&self, state: &InstanceState) {
        let mut listed_peers = RelayPeers::default();
        state.fleet.with_regions(|now, regions| {
            for (region, entry) in regions.listed(now) {
                listed_peers.own_region_entries += usize::from(region == state.config.region);
                if !entry.named || entry.node == state.config.instance {
                    continue;
                }
                listed_peers.peers.push(RelayPeer {
                    address: entry.view_address(),
                    region: region.to_owned(),
                });
            }
        });
        self.peers.replace(listed_peers);
    }

    /// Chooses the peer for `request`, if there is one.
    pub(super) fn choose(&self, now: Instant, request: &RelayRequest<'_>) -> Option<RelayPeer> {
        let mut planner = self.planner.borrow_mut();
        planner.choose(now, request, &self.peers.borrow()).cloned()
    }
}

/// Name of the peer at `address` in the pool of connections to servers.
pub(super) fn pool_key(address: SocketAddr) -> String {
    format!("entry {address}")
}
