//! Health of backend servers, from several sources that are each believed only in part.
//!
//! Probes, what requests found out, and the server's own report each have an age.
//! No single source takes a server out or brings it back. "Leaving" sticks for as
//! long as the server runs. Where most of a pool looks dead, the observer is the
//! suspect, and half of the pool stays open.

use std::collections::HashMap;

use base::prelude::*;

use crate::plan::ServerPlan;

/// Probes that fail in a row before they count as bad.
const BAD_PROBES: u32 = 3;
/// Probes that succeed in a row before they count as good.
const GOOD_PROBES: u32 = 2;
/// Time for which what requests found out counts.
const PASSIVE_AGE: Duration = Duration::from_secs(3);
/// Failures without any success that count as bad.
const BAD_RUNS: u32 = 3;
/// Least part of its slots that a server starts with.
const FIRST_SHARE: f64 = 0.25;
/// Largest part of a pool that may be taken out.
const MAX_EJECTED: f64 = 0.5;

base::common! {
    /// Whether a server takes new work, in its own words.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "kebab-case")]
    pub enum ServerState {
        /// It takes work.
        Ready,
        /// It is about to stop.
        Leaving,
    }

    /// A backend server's answer to a probe.
    pub struct ProbeReport {
        /// Changes with every start of the server.
        pub incarnation: u64,
        /// Whether it takes new work.
        pub state: ServerState,
        /// Time since its start, in milliseconds.
        pub uptime_ms: u64,
        /// Slots that it says it has.
        pub slots: u16,
        /// Requests that it says it is running.
        pub in_use: u16,
    }
}

/// What is made of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerVerdict {
    /// It takes work.
    Open,
    /// It is leaving or drained by the operators.
    Leaving,
    /// It is taken out.
    Ejected,
}

#[derive(Debug, Clone)]
struct ServerHealth {
    slots: u16,
    warm_up: Duration,
    pool: usize,
    drained: bool,
    incarnation: Option<u64>,
    /// Start of the present incarnation by this observer's clock.
    started: Option<Instant>,
    leaving: bool,
    reported_slots: u16,
    /// When the last probe was sent that found nothing running.
    idle_at: Option<Instant>,
    good_probes: u32,
    bad_probes: u32,
    failed_runs: u32,
    last_failed: Option<Instant>,
    last_answered: Option<Instant>,
    ejected: bool,
}

impl ServerHealth {
    fn runs_look_bad(&self, now: Instant) -> bool {
        self.failed_runs >= BAD_RUNS && is_recent(self.last_failed, now)
    }

    fn runs_look_good(&self, now: Instant) -> bool {
        is_recent(self.last_answered, now)
    }

    fn update(&mut self, now: Instant) {
        if self.ejected {
            let healed = self.good_probes >= GOOD_PROBES && !self.runs_look_bad(now);
            self.ejected = !healed;
            return;
        }
        let probes_bad = self.bad_probes >= BAD_PROBES;
        let both_bad = self.bad_probes > 0 && self.runs_look_bad(now);
        self.ejected = both_bad || (probes_bad && !self.runs_look_good(now));
    }

    fn active_slots(&self, now: Instant) -> u16 {
        let slots = self.slots.min(self.reported_slots.max(1));
        let Some(started) = self.started else {
            return slots;
        };
        if self.warm_up.is_zero() {
            return slots;
        }
        let age = now.saturating_duration_since(started).as_secs_f64();
        let share = (age / self.warm_up.as_secs_f64()).clamp(FIRST_SHARE, 1.0);
        let active = (f64::from(slots) * share).ceil();
        (active as u16).clamp(1, slots.max(1))
    }
}

fn is_recent(at: Option<Instant>, now: Instant) -> bool {
    at.is_some_and(|at| now.saturating_duration_since(at) < PASSIVE_AGE)
}

/// What this instance makes of the backend servers of its region.
#[derive(Debug, Clone, Default)]
pub struct HealthView {
    servers: HashMap<BackendServerId, ServerHealth>,
    pools: usize,
}

impl HealthView {
    /// A view of no servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Watches the servers of `region`; those known already keep their history.
    pub fn set_servers(&mut self, deployment: &conf::Deployment, region: &RegionId) {
        let Some(region) = deployment.regions.get(region) else {
            self.servers.clear();
            return;
        };
        let mut kept = HashMap::new();
        self.pools = 0;
        for pool in deployment.pools_in(region) {
            for id in &pool.servers {
                let mut health = self
                    .servers
                    .remove(id)
                    .unwrap_or_else(|| new_health(pool.slots));
                health.slots = pool.slots;
                health.warm_up = pool.warm_up;
                health.pool = self.pools;
                health.drained = deployment.is_drained(pool, id);
                kept.insert(id.clone(), health);
            }
            self.pools += 1;
        }
        self.servers = kept;
    }

    /// The servers to probe.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServerId> {
        self.servers.keys()
    }

    /// A probe that was sent at `sent` was answered.
    pub fn on_probe(
        &mut self,
        now: Instant,
        sent: Instant,
        server: &BackendServerId,
        report: &ProbeReport,
    ) {
        let Some(health) = self.servers.get_mut(server) else {
            return;
        };
        if health.incarnation != Some(report.incarnation) {
            let first_sight = health.incarnation.is_none();
            let age = Duration::from_millis(if first_sight { report.uptime_ms } else { 0 });
            health.started = now.checked_sub(age).or(Some(now));
            health.incarnation = Some(report.incarnation);
            health.leaving = false;
        }
        health.leaving |= report.state == ServerState::Leaving;
        health.reported_slots = report.slots;
        if report.in_use == 0 {
            health.idle_at = Some(sent);
        }
        health.good_probes += 1;
        health.bad_probes = 0;
        health.update(now);
    }

    /// A probe failed.
    pub fn on_probe_failed(&mut self, now: Instant, server: &BackendServerId) {
        let Some(health) = self.servers.get_mut(server) else {
            return;
        };
        health.bad_probes += 1;
        health.good_probes = 0;
        health.update(now);
    }

    /// Requests found the server failing `failed` times and answering `answered` times.
    pub fn on_runs(&mut self, now: Instant, server: &BackendServerId, failed: u32, answered: u32) {
        let Some(health) = self.servers.get_mut(server) else {
            return;
        };
        if answered > 0 {
            health.last_answered = Some(now);
            health.failed_runs = 0;
        }
        if failed > 0 && answered == 0 {
            health.last_failed = Some(now);
            health.failed_runs += failed;
        }
        health.update(now);
    }

    /// Servers that were found idle, and how long ago that was asked.
    pub fn idle_ages(&self, now: Instant) -> Vec<(BackendServerId, Duration)> {
        let idle = |(id, health): (&BackendServerId, &ServerHealth)| {
            let age = now.saturating_duration_since(health.idle_at?);
            Some((id.clone(), age))
        };
        self.servers.iter().filter_map(idle).collect()
    }

    /// What is made of `server`; `None` where it isn't watched.
    pub fn verdict(&self, server: &BackendServerId) -> Option<ServerVerdict> {
        let health = self.servers.get(server)?;
        Some(match (health.drained || health.leaving, health.ejected) {
            (true, _) => ServerVerdict::Leaving,
            (false, true) => ServerVerdict::Ejected,
            (false, false) => ServerVerdict::Open,
        })
    }

    /// The servers for the plan, by name.
    pub fn plan(&self, now: Instant) -> Vec<ServerPlan> {
        let overruled = self.overruled();
        let mut plans: Vec<ServerPlan> = self
            .servers
            .iter()
            .map(|(id, health)| ServerPlan {
                id: id.clone(),
                open: !health.drained
                    && !health.leaving
                    && (!health.ejected || overruled.contains(&id)),
                active_slots: health.active_slots(now),
            })
            .collect();
        plans.sort_by(|a, b| a.id.cmp(&b.id));
        plans
    }

    /// Ejected servers that stay open, because too much of their pool looks dead.
    fn overruled(&self) -> Vec<&BackendServerId> {
        let mut overruled = Vec::new();
        for pool in 0..self.pools {
            let members: Vec<_> = self
                .servers
                .iter()
                .filter(|(_, s)| s.pool == pool)
                .collect();
            let mut ejected: Vec<_> = members.iter().filter(|(_, s)| s.ejected).collect();
            let most = (members.len() as f64 * MAX_EJECTED).floor() as usize;
            if ejected.len() <= most {
                continue;
            }
            ejected.sort_by_key(|(id, health)| (std::cmp::Reverse(health.bad_probes), *id));
            overruled.extend(ejected.into_iter().skip(most).map(|(id, _)| *id));
        }
        overruled
    }
}

fn new_health(slots: u16) -> ServerHealth {
    ServerHealth {
        slots,
        warm_up: Duration::ZERO,
        pool: 0,
        drained: false,
        incarnation: None,
        started: None,
        leaving: false,
        reported_slots: slots,
        idle_at: None,
        good_probes: 0,
        bad_probes: 0,
        failed_runs: 0,
        last_failed: None,
        last_answered: None,
        ejected: false,
    }
}
