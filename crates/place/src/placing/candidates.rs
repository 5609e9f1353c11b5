//! The servers that could take a request, ranked by rendezvous hash of its object.

use std::time::Instant;

use crate::catalog::index::TopServers;
use crate::catalog::{ServerCatalog, ServerHandle};
use crate::overdue::{OverdueTable, SilenceVerdict};
use crate::rank::{pair_weight, stable_hash};
use crate::request::PlacementRequest;
use crate::server::ServerRecord;
use crate::statement::{SendVerdict, StatementTable};

/// A server that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Handle of the server.
    pub handle: ServerHandle,
    /// Rank for the object among the usable servers of its region or failure domain.
    pub rank: usize,
}

/// Scope in which an object has its own preferred servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RankScope {
    /// Servers of a region.
    Region,
    /// Servers of a failure domain, for objects that are expensive to transfer between domains.
    Domain,
}

/// The candidates of a request.
#[derive(Debug, Default)]
pub struct RankedServers {
    /// Ordered by locality, then by rank.
    pub candidates: Vec<Candidate>,
    /// Number of regions or failure domains that have candidates.
    pub localities: usize,
}

/// Which servers may be candidates, by what they say of themselves.
#[derive(Debug, Clone, Copy)]
pub struct StatementFilter<'a> {
    /// The statements of the servers.
    pub statements: &'a StatementTable,
    /// The servers that have gone silent.
    pub overdue: &'a OverdueTable,
    /// Whether servers are excluded whose rate limits leave no room.
    pub needs_room: bool,
}

impl StatementFilter<'_> {
    fn allows(&self, now: Instant, handle: ServerHandle, may_repeat: bool) -> bool {
        if self.overdue.verdict(now, handle.run(), may_repeat) == SilenceVerdict::Left {
            return false;
        }
        match self.statements.verdict(now, handle.run()) {
            SendVerdict::Allowed => true,
            SendVerdict::Leaving | SendVerdict::Resting(_) => false,
            SendVerdict::NoRoom(_) => !self.needs_room,
        }
    }
}

struct UsableServer<'a> {
    locality: &'a str,
    weight: u64,
    handle: ServerHandle,
    cold: bool,
}

/// Cold servers of a locality that are enough to choose from. They share ranks, so they never
/// use up the preferred ranks.
const MAX_COLD_CANDIDATES: usize = 4;

/// Query for the servers that may get an object's request.
#[derive(Debug, Clone, Copy)]
pub struct CandidateQuery<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// The request to place.
    pub request: &'a PlacementRequest<'a>,
    /// Hash of the request's object.
    pub object: u64,
    /// Scope in which the object has its preferred servers.
    pub scope: RankScope,
    /// Number of ranks per locality that may be preferred.
    pub preferred_ranks: usize,
    /// Short ids of servers that recently handled the object.
    pub holders: &'a [u32],
    /// Excludes servers by their statements.
    pub filter: StatementFilter<'a>,
}

/// Returns the preferred servers of each locality and those that recently handled the object.
/// No others can get its request. `None` if all servers must be evaluated instead.
pub fn top_candidates(
    now: Instant,
    catalog: &mut ServerCatalog,
    query: &CandidateQuery<'_>,
) -> Option<RankedServers> {
    let top_servers = catalog.top_servers(query.service, query.object, query.scope)?;
    let mut ranked = RankedServers::default();
    for locality in top_servers.iter() {
        let found = top_candidates_in(now, catalog, query, locality)?;
        ranked.localities += usize::from(!found.is_empty());
        ranked.candidates.extend(found);
    }
    for id in query.holders {
        for record_index in catalog.indexes_by_short_id(*id) {
            let Some((handle, record)) = catalog.open_by_index(record_index) else {
                continue;
            };
            let is_known = ranked.candidates.iter().any(|known| known.handle == handle);
            let is_other = record.entry.service != query.service;
            if is_known || is_other || !is_usable(now, handle, record, query.request, &query.filter)
            {
                continue;
            }
            let rank = query.preferred_ranks;
            ranked.candidates.push(Candidate { handle, rank });
        }
    }
    Some(ranked)
}

/// The first servers of one locality; `None` if too few of its top servers are usable.
fn top_candidates_in(
    now: Instant,
    catalog: &ServerCatalog,
    query: &CandidateQuery<'_>,
    locality: &TopServers,
) -> Option<Vec<Candidate>> {
    let mut found = Vec::new();
    let mut rank = 0;
    for record_index in &locality.record_indexes {
        if rank >= query.preferred_ranks {
            return Some(found);
        }
        let Some((handle, record)) = catalog.open_by_index(*record_index) else {
            continue;
        };
        if !is_usable(now, handle, record, query.request, &query.filter) {
            continue;
        }
        found.push(Candidate { handle, rank });
        rank += usize::from(!record.is_cold(now));
    }
    let is_cold = found.len() >= rank + MAX_COLD_CANDIDATES;
    (rank >= query.preferred_ranks || locality.is_all || is_cold).then_some(found)
}

/// Whether the request may be sent to the server of `record`.
fn is_usable(
    now: Instant,
    handle: ServerHandle,
    record: &ServerRecord,
    request: &PlacementRequest<'_>,
    filter: &StatementFilter<'_>,
) -> bool {
    let homes = request.homes;
    !request.tried.contains(&handle)
        && !record.is_backing_off(now)
        && request.versions.allows(&record.entry.version)
        && (homes.is_empty() || homes.contains(&record.region))
        && filter.allows(now, handle, request.route.kind.may_repeat())
}

/// Returns the usable servers of `service`, ranked for the request's object within each region
/// or failure domain. An unreachable server has no rank. A cold one shares its rank with the
/// next, since it can take only a few of the object's requests.
pub fn ranked_candidates(
    now: Instant,
    catalog: &ServerCatalog,
    service: &str,
    request: &PlacementRequest<'_>,
    scope: RankScope,
    filter: &StatementFilter<'_>,
) -> RankedServers {
    let object = request
        .object
        .unwrap_or_else(|| stable_hash(request.route.name.as_bytes()));
    let mut usable = Vec::new();
    for (handle, record) in catalog.open_servers(service) {
        if !is_usable(now, handle, record, request, filter) {
            continue;
        }
        usable.push(UsableServer {
            locality: match scope {
                RankScope::Region => &record.region,
                RankScope::Domain => &record.entry.domain,
            },
            weight: pair_weight(object, record.hash),
            handle,
            cold: record.is_cold(now),
        });
    }
    usable.sort_unstable_by(|left, right| {
        let localities = left.locality.cmp(right.locality);
        localities.then(right.weight.cmp(&left.weight))
    });
    let mut ranked = RankedServers::default();
    let mut locality = "";
    let mut rank = 0;
    for server in usable {
        if server.locality != locality {
            locality = server.locality;
            ranked.localities += 1;
            rank = 0;
        }
        ranked.candidates.push(Candidate {
            handle: server.handle,
            rank,
        });
        rank += usize::from(!server.cold);
    }
    ranked
}
