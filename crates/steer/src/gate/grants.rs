//! Which slots the held seats own, and when they may be used.

use std::collections::HashMap;

use base::prelude::*;
use conf::Region;

use super::RegionGate;
use crate::rights::{ServerGrant, slot_owner};

/// Time after a takeover from which a server's idleness counts: work of the former
/// holder may have been on its way before.
const IDLE_GRACE: Duration = Duration::from_millis(200);
/// Added to the longest deadline before slots of a former holder are used.
const TAKEOVER_GRACE: Duration = Duration::from_millis(500);

impl RegionGate {
    /// Works out anew which slots the held seats own.
    pub(super) fn set_grants(&mut self, now: Instant) {
        let Some(deployment) = self.deployment.clone() else {
            return;
        };
        let Some(region) = deployment.regions.get(&self.region) else {
            return;
        };
        let usable = self.seats.values().filter(|seat| !seat.vacate).count();
        let usable = u32::try_from(usable).unwrap_or(0);
        self.link_share = region.link_limit / u32::from(region.seats) * usable;
        self.contested_until = None;
        let mut grants: HashMap<ServiceId, Vec<ServerGrant>> = HashMap::new();
        for pool in deployment.pools_in(region) {
            let Some(service) = deployment.services.get(&pool.service) else {
                continue;
            };
            let quarantine = service.deadline + TAKEOVER_GRACE;
            for id in &pool.servers {
                let seats = self.ready_seats(now, quarantine, id);
                let grant = self.server_grant(region, pool.slots, id, &seats);
                grants.entry(pool.service.clone()).or_default().push(grant);
            }
        }
        for (service, pool) in &mut self.pools {
            let none = Vec::new();
            pool.rights.set_grants(grants.get(service).unwrap_or(&none));
        }
    }

    /// Seats whose slots on `server` may be used: not the vacated ones, and those of a
    /// former holder only after its longest work must have ended, or after the server
    /// was found idle.
    pub(super) fn ready_seats(
        &mut self,
        now: Instant,
        quarantine: Duration,
        server: &BackendServerId,
    ) -> Vec<u16> {
        let mut ready = Vec::new();
        for (index, seat) in &self.seats {
            if seat.vacate {
                continue;
            }
            let from = seat.since + quarantine;
            let found_idle = self
                .idle_at
                .get(server)
                .is_some_and(|at| *at > seat.since + IDLE_GRACE);
            if seat.contested && now < from && !found_idle {
                let earliest = self.contested_until.map_or(from, |until| until.min(from));
                self.contested_until = Some(earliest);
                continue;
            }
            ready.push(*index);
        }
        ready
    }

    pub(super) fn server_grant(
        &self,
        region: &Region,
        slots: u16,
        id: &BackendServerId,
        seats: &[u16],
    ) -> ServerGrant {
        let plan = self.servers.iter().find(|server| server.id == *id);
        let active = plan.map_or(0, |server| server.active_slots.min(slots));
        let owned = (0..active).filter(|slot| seats.contains(&slot_owner(id, *slot, region.seats)));
        ServerGrant {
            id: id.clone(),
            own: u16::try_from(owned.count()).unwrap_or(u16::MAX),
            open: plan.is_some_and(|server| server.open),
        }
    }

    pub(super) fn link_open(&self) -> bool {
        let committed: u32 = self
            .pools
            .values()
            .map(|pool| pool.rights.committed())
            .sum();
        committed < self.link_share
    }
}
