//! Chooses the entries through which requests reach servers that this entry can't reach.
//!
//! A request is relayed once: the peer sends it to a server or refuses it. Peers are chosen
//! among the entries that are advertised to callers, since those without a path are not.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Maximum number of peers that are tried for a request.
pub const MAX_PEERS_PER_REQUEST: usize = 3;
/// How long a peer is avoided that couldn't be reached or has no path itself.
const AVOID_TIME: Duration = Duration::from_millis(1000);
/// Number of different peers in sequence without a path to a service, after which its servers
/// count as unreachable for all entries.
const MAX_PATHLESS_PEERS: u32 = 3;
/// How long requests for such a service aren't relayed. Doubles with each further failure.
const PAUSE: Duration = Duration::from_millis(500);
/// Maximum of this time.
const MAX_PAUSE: Duration = Duration::from_millis(2000);
/// Peers of other regions are used too if fewer than one in this many of the own region's
/// entries can relay: the few would be overloaded.
const MIN_REGION_DIVISOR: usize = 3;

/// An entry that can relay requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayPeer {
    /// Address at which it serves other entries.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
}

/// The entries that may relay requests, by the lists of all regions.
#[derive(Debug, Clone, Default)]
pub struct RelayPeers {
    /// The entries with a path to servers.
    pub peers: Vec<RelayPeer>,
    /// Number of listed entries in the own region, with or without a path.
    pub own_region_entries: usize,
}

/// A request to be relayed.
#[derive(Debug, Clone, Copy)]
pub struct RelayRequest<'a> {
    /// The service that serves it.
    pub service: &'a str,
    /// Regions that may see it; all if empty.
    pub homes: &'a [String],
    /// Peers that were tried for it.
    pub tried: &'a [SocketAddr],
}

/// The result of a relayed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The peer had a path: it returned a server's response, or a refusal for other reasons.
    Passed,
    /// The peer has no path to the servers either.
    NoPath,
    /// The peer couldn't be reached.
    Unreachable,
    /// The peer's response didn't arrive, or the caller left.
    Broken,
}

impl RelayOutcome {
    /// All outcomes.
    pub const ALL: [Self; 4] = [Self::Passed, Self::NoPath, Self::Unreachable, Self::Broken];

    /// Returns the outcome as used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Passed => "passed",
            Self::NoPath => "no-path",
            Self::Unreachable => "unreachable",
            Self::Broken => "broken",
        }
    }
}

/// Services whose servers no entry seems to reach.
#[derive(Debug, Default)]
struct ServiceFailures {
    count: u32,
    paused_until: Option<Instant>,
}

/// Chooses peers and learns from the results.
#[derive(Debug)]
pub struct RelayPlanner {
    region: String,
    avoided: HashMap<SocketAddr, Instant>,
    in_flight: HashMap<SocketAddr, u32>,
    failures: HashMap<String, ServiceFailures>,
    random: u64,
}

impl RelayPlanner {
    /// Creates the planner of an entry in `region`; `seed` varies the choice of peers between
    /// entries.
    pub fn new(region: &str, seed: u64) -> Self {
        Self {
            region: region.to_owned(),
            avoided: HashMap::new(),
            in_flight: HashMap::new(),
            failures: HashMap::new(),
            random: seed | 1,
        }
    }

    /// Chooses the less used of two random peers; `None` if the request can't be relayed.
    pub fn choose<'a>(
        &mut self,
        now: Instant,
        request: &RelayRequest<'_>,
        listed: &'a RelayPeers,
    ) -> Option<&'a RelayPeer> {
        if request.tried.len() >= MAX_PEERS_PER_REQUEST || self.is_paused(now, request.service) {
            return None;
        }
        let may_use = |peer: &&RelayPeer| {
            let is_home = request.homes.is_empty() || request.homes.contains(&peer.region);
            let is_avoided = self
                .avoided
                .get(&peer.address)
                .is_some_and(|until| now < *until);
            is_home && !is_avoided && !request.tried.contains(&peer.address)
        };
        let usable: Vec<&RelayPeer> = listed.peers.iter().filter(may_use).collect();
        let near: Vec<&RelayPeer> = usable
            .iter()
            .copied()
            .filter(|peer| peer.region == self.region)
            .collect();
        let is_enough =
            !near.is_empty() && near.len() * MIN_REGION_DIVISOR >= listed.own_region_entries;
        let candidates = if is_enough { near } else { usable };
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random_index(candidates.len())];
        let second = candidates[self.random_index(candidates.len())];
        let load = |peer: &RelayPeer| self.in_flight.get(&peer.address).copied().unwrap_or(0);
        let chosen = if load(second) < load(first) {
            second
        } else {
            first
        };
        *self.in_flight.entry(chosen.address).or_default() += 1;
        Some(chosen)
    }

    /// Records the outcome of a request of `service` that was relayed through the peer at
    /// `address`.
    pub fn on_outcome(
        &mut self,
        now: Instant,
        address: SocketAddr,
        service: &str,
        outcome: RelayOutcome,
    ) {
        if let Some(count) = self.in_flight.get_mut(&address) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(&address);
            }
        }
        match outcome {
            RelayOutcome::Passed => {
                self.failures.remove(service);
            }
            RelayOutcome::NoPath => {
                self.avoid(now, address);
                self.on_pathless(now, service);
            }
            RelayOutcome::Unreachable => self.avoid(now, address),
            RelayOutcome::Broken => {}
        }
    }

    /// Returns whether no entry seems to reach the servers of `service`.
    pub fn is_paused(&self, now: Instant, service: &str) -> bool {
        let failures = self.failures.get(service);
        let until = failures.and_then(|failures| failures.paused_until);
        until.is_some_and(|until| now < until)
    }

    fn avoid(&mut self, now: Instant, address: SocketAddr) {
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(address, now + AVOID_TIME);
    }

    fn on_pathless(&mut self, now: Instant, service: &str) {
        let failures = self.failures.entry(service.to_owned()).or_default();
        failures.count += 1;
        let Some(excess) = failures.count.checked_sub(MAX_PATHLESS_PEERS) else {
            return;
        };
        let pause = PAUSE * 2_u32.saturating_pow(excess.min(4));
        failures.paused_until = Some(now + pause.min(MAX_PAUSE));
    }

    /// Xorshift generator.
    fn random_index(&mut self, count: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random % count as u64) as usize
    }
}
