//! What a gate is told by its controller, and what it tells of itself.

use super::*;

impl RegionGate {
    /// Takes a plan over. Versions have been checked by the caller.
    pub fn apply_plan(&mut self, now: Instant, plan: &Plan) {
        let deployment = &plan.deployment;
        self.leaving
            .configure(deployment.shift_cap, deployment.shift_window);
        self.entering
            .configure(deployment.shift_cap, deployment.shift_window);
        for service in deployment.services.values() {
            match self.pools.get_mut(&service.id) {
                Some(pool) => pool.service = service.clone(),
                None => {
                    self.pools
                        .insert(service.id.clone(), PoolGate::new(service));
                }
            }
        }
        self.deployment = Some(Arc::clone(deployment));
        self.servers.clone_from(&plan.servers);
        let others = plan.members.iter().filter(|peer| peer.node != self.node);
        let (near, far) = others.cloned().partition(|peer| peer.region == self.region);
        self.near = loans::loan_group(&self.node, near);
        self.far = far;
        let known: HashSet<&NodeId> = self.near.iter().chain(&self.far).map(|p| &p.node).collect();
        self.loads.retain(|node, _| known.contains(node));
        self.set_grants(now);
    }

    /// Takes over the seats that lh-steer granted when asked at `asked_at`.
    pub fn apply_seats(&mut self, now: Instant, asked_at: Instant, grants: &[SeatGrant]) {
        let mut seats = BTreeMap::new();
        for grant in grants {
            let known = self
                .seats
                .get(&grant.index)
                .filter(|seat| seat.epoch == grant.epoch);
            let since = known.map_or(now, |seat| seat.since);
            seats.insert(
                grant.index,
                HeldSeat {
                    epoch: grant.epoch,
                    since,
                    contested: grant.contested,
                    vacate: grant.vacate,
                },
            );
        }
        self.seats = seats;
        match grants.iter().map(|grant| grant.remaining).min() {
            Some(remaining) => self.guard.on_lease(asked_at, remaining),
            None => self.guard.on_lost(),
        }
        self.set_grants(now);
    }

    /// Servers that were found idle, as long ago as told, before `asked_at`. What ran
    /// there for a former holder of a seat has ended.
    pub fn apply_idle(&mut self, asked_at: Instant, idle: &[(BackendServerId, Duration)]) {
        for (server, age) in idle {
            let Some(at) = asked_at.checked_sub(*age) else {
                continue;
            };
            let latest = self.idle_at.entry(server.clone()).or_insert(at);
            *latest = at.max(*latest);
        }
    }

    /// From now on every new request is refused; those in flight go on.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Whether every new request is refused.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Whether nothing waits and nothing is in flight.
    pub fn is_idle(&self) -> bool {
        self.services_of.is_empty() && self.pools.values().all(|pool| pool.queue.is_empty())
    }

    /// Seats with their epochs.
    pub fn seats(&self) -> Vec<(u16, u64)> {
        self.seats
            .iter()
            .map(|(index, seat)| (*index, seat.epoch))
            .collect()
    }

    /// Seats that are to be vacated and whose slots are empty.
    pub fn vacated(&self) -> Vec<u16> {
        let within = self.pools.values().all(|pool| pool.rights.within_grants());
        if !within {
            return Vec::new();
        }
        let vacating = self.seats.iter().filter(|(_, seat)| seat.vacate);
        vacating.map(|(index, _)| *index).collect()
    }

    /// Instances whose messages came in within `age`.
    pub fn heard(&self, now: Instant, age: Duration) -> Vec<InstanceId> {
        self.loads
            .iter()
            .filter(|(_, load)| {
                load.at
                    .is_some_and(|at| now.saturating_duration_since(at) < age)
            })
            .map(|(node, _)| node.instance.clone())
            .collect()
    }

    /// Rights in use on `server`, own and borrowed.
    pub fn used_on(&self, server: &BackendServerId) -> u16 {
        let used = self.pools.values().map(|pool| pool.rights.used_on(server));
        used.sum()
    }

    /// State for metrics and status.
    pub fn stats(&self, now: Instant) -> GateStats {
        let mut services: Vec<ServiceLoad> = self
            .pools
            .iter()
            .map(|(service, pool)| ServiceLoad {
                service: service.clone(),
                owned: pool.rights.owned(),
                spare: pool.rights.spare(now),
                in_flight: pool.rights.in_flight(),
                waiting: pool.queue.len(),
            })
            .collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        GateStats {
            permitted: self.guard.permits(now),
            seats: self.seats.keys().copied().collect(),
            services,
        }
    }
}
