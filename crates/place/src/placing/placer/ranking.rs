//! Determines and ranks the servers that can get a request.

use std::time::Instant;

use crate::catalog::index::TOP_SERVERS;
use crate::placing::cache_likelihood::DISTINCT_RANKS;
use crate::placing::candidates::{
    CandidateQuery, RankScope, RankedServers, StatementFilter, ranked_candidates, top_candidates,
};
use crate::placing::choice::{MIN_HOLDER_LIKELIHOOD, max_preferred_count};
use crate::placing::placer::{MAX_FULL_SCAN, RequestPlacer};
use crate::request::PlacementRequest;

impl RequestPlacer {
    /// The servers that can get the request; with `needs_room` only those whose rate limits
    /// leave room.
    pub(super) fn ranked(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        scope: RankScope,
        needs_room: bool,
    ) -> RankedServers {
        let top_ranked = self.top_ranked(now, request, service, scope, needs_room);
        let filter = StatementFilter {
            statements: &self.statements,
            needs_room,
        };
        top_ranked.unwrap_or_else(|| {
            ranked_candidates(now, &self.catalog, service, request, scope, &filter)
        })
    }

    /// The only servers that can get the request, if the service has many servers and these can
    /// be determined without evaluating all. If none of them has capacity, the refusal says
    /// when they will have it, since no other server would take the request then either.
    pub(super) fn top_ranked(
        &mut self,
        now: Instant,
        request: &PlacementRequest<'_>,
        service: &str,
        scope: RankScope,
        needs_room: bool,
    ) -> Option<RankedServers> {
        if self.catalog.server_count(service) <= MAX_FULL_SCAN {
            return None;
        }
        let work = self.work.get(request.route)?;
        let slots = self.catalog.min_slots(service);
        let max_preferred_count =
            max_preferred_count(now, request, work, self.region_entries, slots)?;
        let preferred_ranks = max_preferred_count.max(DISTINCT_RANKS);
        // If any server is likely to have any object cached, none can be ruled out.
        if preferred_ranks >= TOP_SERVERS || work.rates.unseen_likelihood() >= MIN_HOLDER_LIKELIHOOD
        {
            return None;
        }
        let object = request.object?;
        let query = CandidateQuery {
            service,
            request,
            object,
            scope,
            preferred_ranks,
            holders: self.handled_objects.holders(object),
            filter: StatementFilter {
                statements: &self.statements,
                needs_room,
            },
        };
        let ranked = top_candidates(now, &mut self.catalog, &query)?;
        // An empty result falls back to all servers: these few don't show whether any server
        // exists.
        (!ranked.candidates.is_empty()).then_some(ranked)
    }
}
