//! The decisions of the control side, shared by its loops.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::SystemTime;

use base::prelude::*;
use conf::{ConfigBundle, Deployment};
use steer::{
    ConfigVersion, GossipDigest, HealthView, MemberPlan, MemberRecord, MemberTable, Plan,
    PollAnswer, PollAsk, SeatAction, SeatEvent, SeatGrant, SeatKeeper, SeatSettings, VersionGuard,
    VersionVerdict,
};

use crate::config::Config;

/// Time without an ask after which the entry counts as gone.
const ENTRY_SILENCE: Duration = Duration::from_secs(2);

/// The configuration in force with the text it was read from.
#[derive(Debug, Clone)]
struct InForce {
    deployment: Arc<Deployment>,
    content: Arc<Vec<u8>>,
}

/// What the entry said last.
#[derive(Debug, Clone)]
struct EntryView {
    ask: PollAsk,
    at: Instant,
}

/// State of the control side.
#[derive(Debug)]
pub(crate) struct SteerState {
    config: Config,
    started_ms: u64,
    beat: u64,
    in_force: Option<InForce>,
    pub(crate) versions: VersionGuard,
    pub(crate) members: MemberTable,
    pub(crate) health: HealthView,
    keeper: Option<SeatKeeper>,
    seat_writes: Vec<SeatAction>,
    entry: Option<EntryView>,
    serial: u64,
    plan: Option<Plan>,
}

/// The shared state.
#[derive(Debug, Clone)]
pub(crate) struct SteerCore(Arc<Mutex<SteerState>>);

impl SteerCore {
    pub(crate) fn new(config: &Config) -> Self {
        let started_ms = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .map_or(0, |since| since.as_millis() as u64);
        let mut members = MemberTable::new(&config.region, rand::random());
        members.set_seeds(Instant::now(), config.peers.iter().copied());
        Self(Arc::new(Mutex::new(SteerState {
            config: config.clone(),
            started_ms,
            beat: 0,
            in_force: None,
            versions: VersionGuard::new(),
            members,
            health: HealthView::new(),
            keeper: None,
            seat_writes: Vec::new(),
            entry: None,
            serial: rand::random::<u32>().into(),
            plan: None,
        })))
    }

    /// Locks the state. Nothing is awaited and no socket is used under the lock.
    pub(crate) fn lock(&self) -> MutexGuard<'_, SteerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SteerState {
    /// Answers the entry.
    pub(crate) fn on_poll(&mut self, now: Instant, ask: PollAsk) -> PollAnswer {
        for (server, failed, answered) in &ask.seen {
            self.health.on_runs(now, server, *failed, *answered);
        }
        self.seat_event(
            now,
            &SeatEvent::Entry {
                node: ask.node.clone(),
                seats: ask.seats.clone(),
                vacated: ask.vacated.clone(),
                stopping: ask.releasing,
            },
        );
        let known = ask.serial;
        self.entry = Some(EntryView { ask, at: now });
        self.refresh_own(now);
        self.refresh_plan(now);
        let plan = if known == self.serial {
            None
        } else {
            self.plan.clone()
        };
        PollAnswer {
            serial: if self.plan.is_some() { self.serial } else { 0 },
            plan,
            idle: self.idle_servers(now),
            seats: self.seat_grants(now),
        }
    }

    /// Servers found idle, which matters only while a seat is contested.
    fn idle_servers(&self, now: Instant) -> Vec<(BackendServerId, Duration)> {
        let seats = self
            .keeper
            .as_ref()
            .map_or_else(Vec::new, |keeper| keeper.held(now));
        if seats.iter().any(|seat| seat.contested) {
            return self.health.idle_ages(now);
        }
        Vec::new()
    }

    /// The seats for the entry; `None` until the table's rows have been read.
    fn seat_grants(&self, now: Instant) -> Option<Vec<SeatGrant>> {
        let keeper = self.keeper.as_ref().filter(|keeper| keeper.is_informed())?;
        let grants = keeper.held(now).into_iter().map(|seat| SeatGrant {
            index: seat.index,
            epoch: seat.epoch,
            remaining: seat.remaining,
            contested: seat.contested,
            vacate: seat.vacate,
        });
        Some(grants.collect())
    }

    /// Works the plan out anew; its serial number changes only with its content.
    fn refresh_plan(&mut self, now: Instant) {
        if !self.versions.may_serve(now) && self.plan.is_none() {
            return;
        }
        let Some(in_force) = &self.in_force else {
            return;
        };
        let version = self.versions.in_force();
        let plan = Plan {
            version: version.number,
            hash: version.hash.clone(),
            deployment: Arc::clone(&in_force.deployment),
            servers: self.health.plan(now),
            members: self.members.plan(now),
        };
        if self.plan.as_ref() == Some(&plan) {
            return;
        }
        self.plan = Some(plan);
        self.serial += 1;
    }

    /// The record that is told of this instance.
    fn refresh_own(&mut self, now: Instant) {
        let Some(entry) = &self.entry else {
            return;
        };
        let ask = &entry.ask;
        let silent = now.saturating_duration_since(entry.at) > ENTRY_SILENCE;
        let record = MemberRecord {
            member: MemberPlan {
                node: ask.node.clone(),
                region: self.config.region.clone(),
                domain: self.config.domain.clone(),
                relay: ask.relay,
                lookup: ask.lookup,
                mesh: ask.mesh,
                stamp: ask.stamp.clone(),
                open: !ask.leaving && !silent && self.plan.is_some(),
            },
            gossip: self.config.gossip,
            started_ms: self.started_ms,
            beat: self.beat,
            version: self.versions.in_force().clone(),
            heard: ask.heard.clone(),
        };
        self.members.set_own(record);
    }

    /// One round of gossip.
    pub(crate) fn gossip_round(
        &mut self,
        now: Instant,
    ) -> Vec<(std::net::SocketAddr, GossipDigest)> {
        self.beat += 1;
        self.refresh_own(now);
        self.members.round(now)
    }

    /// Takes a digest in; gives the versions to fetch, with the address to ask.
    pub(crate) fn on_digest(
        &mut self,
        now: Instant,
        digest: &GossipDigest,
    ) -> Vec<(std::net::SocketAddr, ConfigVersion)> {
        let mut wanted = Vec::new();
        for record in self.members.on_digest(now, digest) {
            if record.version.number == 0 {
                continue;
            }
            match self.versions.on_peer(now, &record.version) {
                VersionVerdict::Fetch => wanted.push((record.gossip, record.version)),
                VersionVerdict::Refuse | VersionVerdict::Current => {}
            }
        }
        for instance in self.members.heard(now) {
            self.seat_event(now, &SeatEvent::Heard(instance));
        }
        let live = self.members.live_near(now);
        self.seat_event(now, &SeatEvent::Live(live));
        wanted
    }

    /// The content of the version in force, if it has this hash.
    pub(crate) fn content(&self, hash: &str) -> Option<(ConfigVersion, Arc<Vec<u8>>)> {
        let version = self.versions.in_force();
        let in_force = self.in_force.as_ref()?;
        (version.hash == hash).then(|| (version.clone(), Arc::clone(&in_force.content)))
    }

    /// Puts a fetched configuration in force, if it is newer, whole and valid.
    pub(crate) fn on_content(&mut self, now: Instant, version: &ConfigVersion, content: &[u8]) {
        if version.number <= self.versions.in_force().number {
            return;
        }
        let bundle: ConfigBundle = match serde_json::from_slice(content) {
            Ok(bundle) => bundle,
            Err(error) => {
                log::error!(version = version.number, error:% = error; "configuration can't be read");
                return;
            }
        };
        if bundle.hash() != version.hash {
            log::error!(version = version.number; "configuration does not match its hash");
            return;
        }
        let deployment = match bundle.deployment() {
            Ok(deployment) => deployment,
            Err(error) => {
                log::error!(version = version.number, error:% = error; "configuration refused");
                return;
            }
        };
        if !self.versions.put_in_force(version) {
            return;
        }
        log::info!(version = version.number, hash = version.hash.as_str(); "configuration in force");
        self.health.set_servers(&deployment, &self.config.region);
        self.set_seats(&deployment);
        self.in_force = Some(InForce {
            deployment: Arc::new(deployment),
            content: Arc::new(content.to_vec()),
        });
        self.refresh_plan(now);
    }

    fn set_seats(&mut self, deployment: &Deployment) {
        let Some(region) = deployment.regions.get(&self.config.region) else {
            log::warn!(region:% = self.config.region; "this instance's region is not configured");
            return;
        };
        match &mut self.keeper {
            Some(keeper) => keeper.set_lease(deployment.lease),
            None => {
                let settings = SeatSettings {
                    seats: region.seats,
                    lease: deployment.lease,
                };
                self.keeper = Some(SeatKeeper::new(settings, rand::random()));
            }
        }
    }

    /// Tells the keeper something; its writes wait for the platform loop.
    pub(crate) fn seat_event(&mut self, now: Instant, event: &SeatEvent) {
        if let Some(keeper) = &mut self.keeper {
            keeper.on_event(now, event, &mut self.seat_writes);
        }
    }

    /// Takes the writes that wait.
    pub(crate) fn take_seat_writes(&mut self) -> Vec<SeatAction> {
        std::mem::take(&mut self.seat_writes)
    }

    /// Takes the platform's list in.
    pub(crate) fn on_list(&mut self, now: Instant, list: &[store::ListedInstance]) {
        let listed: BTreeSet<InstanceId> = list
            .iter()
            .map(|listed| InstanceId::new(&listed.name))
            .collect();
        self.seat_event(now, &SeatEvent::Listed(listed));
        let seeds = list.iter().map(|listed| listed.gossip);
        let configured = self.config.peers.iter().copied();
        self.members
            .set_seeds(now, seeds.chain(configured).collect::<Vec<_>>());
    }

    /// State for operators.
    pub(crate) fn status(&self, now: Instant) -> serde_json::Value {
        let seats = self
            .keeper
            .as_ref()
            .map_or_else(Vec::new, |keeper| keeper.held(now));
        let seats: Vec<_> = seats
            .iter()
            .map(|seat| {
                serde_json::json!({
                    "index": seat.index,
                    "epoch": seat.epoch,
                    "remaining_ms": seat.remaining.as_millis() as u64,
                    "contested": seat.contested,
                    "vacate": seat.vacate,
                })
            })
            .collect();
        let servers: Vec<_> = self
            .health
            .plan(now)
            .into_iter()
            .map(|server| {
                serde_json::json!({
                    "server": server.id,
                    "open": server.open,
                    "active_slots": server.active_slots,
                    "verdict": format!("{:?}", self.health.verdict(&server.id)),
                })
            })
            .collect();
        serde_json::json!({
            "instance": self.config.instance,
            "region": self.config.region,
            "domain": self.config.domain,
            "version": self.versions.in_force().number,
            "hash": self.versions.in_force().hash,
            "may_serve": self.versions.may_serve(now),
            "members": self.members.plan(now).len(),
            "seats": seats,
            "servers": servers,
        })
    }
}
