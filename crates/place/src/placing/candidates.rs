//! The servers that could take a request, in the common order for its object.

use std::time::Instant;

use crate::catalog::index::NearServers;
use crate::catalog::{ServerCatalog, ServerHandle};
use crate::rank::{pair_weight, stable_hash};
use crate::request::PlacementRequest;
use crate::server::ServerRecord;

/// A server that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The server.
    pub handle: ServerHandle,
    /// Its rank for the object among the usable servers of its region or domain.
    pub rank: usize,
}

/// The servers among which an object keeps to one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RankScope {
    /// Those of a region.
    Region,
    /// Those of a failure domain, for objects that are costly to move between these.
    Domain,
}

/// The candidates of a request.
#[derive(Debug, Default)]
pub struct RankedServers {
    /// In the order of the places, then of the ranks.
    pub candidates: Vec<Candidate>,
    /// Regions or domains in which they are.
    pub places: usize,
}

struct Usable<'a> {
    place: &'a str,
    weight: u64,
    handle: ServerHandle,
    cold: bool,
}

/// Cold servers of a place that are enough to choose from: they share ranks, so that there is
/// no last one to which an object belongs.
const COLD_ENOUGH: usize = 4;

/// A search for the servers near an object.
#[derive(Debug, Clone, Copy)]
pub struct NearSearch<'a> {
    /// The service.
    pub service: &'a str,
    /// The request.
    pub request: &'a PlacementRequest<'a>,
    /// Hash of the object that it concerns.
    pub object: u64,
    /// Among which servers the object keeps to few.
    pub scope: RankScope,
    /// Ranks of a place within which it may belong to a server.
    pub ranks: usize,
    /// Short names of servers that handled it lately.
    pub holders: &'a [u32],
}

/// The servers to which the object belongs as one of the first ranks of a place, and those that
/// handled it lately. No others can get its request. `None` where only a look at all servers
/// can tell.
pub fn near_candidates(
    now: Instant,
    catalog: &mut ServerCatalog,
    search: &NearSearch<'_>,
) -> Option<RankedServers> {
    let nearest = catalog.nearest(search.service, search.object, search.scope)?;
    let mut ranked = RankedServers::default();
    for place in nearest.iter() {
        let found = near_of_place(now, catalog, search, place)?;
        ranked.places += usize::from(!found.is_empty());
        ranked.candidates.extend(found);
    }
    for name in search.holders {
        for slot in catalog.named(*name) {
            let Some((handle, record)) = catalog.open_at(slot) else {
                continue;
            };
            let is_known = ranked.candidates.iter().any(|known| known.handle == handle);
            let is_other = record.entry.service != search.service;
            if is_known || is_other || !is_usable(now, handle, record, search.request) {
                continue;
            }
            let rank = search.ranks;
            ranked.candidates.push(Candidate { handle, rank });
        }
    }
    Some(ranked)
}

/// The first servers of one place; `None` where too few of the nearest may get the request.
fn near_of_place(
    now: Instant,
    catalog: &ServerCatalog,
    search: &NearSearch<'_>,
    place: &NearServers,
) -> Option<Vec<Candidate>> {
    let mut found = Vec::new();
    let mut rank = 0;
    for slot in &place.slots {
        if rank >= search.ranks {
            return Some(found);
        }
        let Some((handle, record)) = catalog.open_at(*slot) else {
            continue;
        };
        if !is_usable(now, handle, record, search.request) {
            continue;
        }
        found.push(Candidate { handle, rank });
        rank += usize::from(!record.is_cold(now));
    }
    let is_cold = found.len() >= rank + COLD_ENOUGH;
    (rank >= search.ranks || place.is_all || is_cold).then_some(found)
}

/// Whether the request may be sent to the server of `record`.
fn is_usable(
    now: Instant,
    handle: ServerHandle,
    record: &ServerRecord,
    request: &PlacementRequest<'_>,
) -> bool {
    let homes = request.homes;
    !request.tried.contains(&handle)
        && !record.is_backing_off(now)
        && request.versions.allows(&record.entry.version)
        && (homes.is_empty() || homes.contains(&record.region))
}

/// The usable servers of `service`, ranked for the request's object within each
/// region or domain. A server that can't be reached has no rank; a cold one shares that of
/// the next, since it takes only a little of what belongs to it.
pub fn ranked_candidates(
    now: Instant,
    catalog: &ServerCatalog,
    service: &str,
    request: &PlacementRequest<'_>,
    scope: RankScope,
) -> RankedServers {
    let object = request
        .object
        .unwrap_or_else(|| stable_hash(request.route.name.as_bytes()));
    let mut usable = Vec::new();
    for (handle, record) in catalog.open_servers(service) {
        if !is_usable(now, handle, record, request) {
            continue;
        }
        usable.push(Usable {
            place: match scope {
                RankScope::Region => &record.region,
                RankScope::Domain => &record.entry.domain,
            },
            weight: pair_weight(object, record.hash),
            handle,
            cold: record.is_cold(now),
        });
    }
    usable.sort_unstable_by(|left, right| {
        let places = left.place.cmp(right.place);
        places.then(right.weight.cmp(&left.weight))
    });
    let mut ranked = RankedServers::default();
    let mut place = "";
    let mut rank = 0;
    for server in usable {
        if server.place != place {
            place = server.place;
            ranked.places += 1;
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
