//! What instances tell each other of their load, and where to hand a request over.

use base::prelude::*;
use rand::Rng;

use super::RegionGate;
use crate::event::{Arrival, GateAction, Origin};
use crate::message::{EntryMessage, LoadDigest};
use crate::plan::MemberPlan;
use crate::pool::PoolGate;
use crate::refusal::RefusalReason;

/// Time between two load digests.
const DIGEST_PERIOD: Duration = Duration::from_millis(250);
/// Peers of the region, and as many outside it, that get one load digest.
const DIGEST_FANOUT: usize = 3;
/// Age at which a peer's digest says nothing any more.
const DIGEST_AGE: Duration = Duration::from_secs(2);

impl RegionGate {
    /// Hands an overload or a region without seats over to another region, if the cap allows it.
    pub(super) fn spill(
        &mut self,
        now: Instant,
        arrival: &Arrival,
        reason: RefusalReason,
    ) -> Option<GateAction> {
        let worth_it = matches!(
            reason,
            RefusalReason::Overloaded | RefusalReason::NoServer | RefusalReason::NoSeat
        );
        let from_caller = matches!(arrival.origin, Origin::Caller { .. });
        if !worth_it || !from_caller || !arrival.may_spill {
            return None;
        }
        let target = self.spill_target(now, &arrival.service)?;
        let (region, node) = (target.region.clone(), target.node.clone());
        self.leaving.try_move(now, &region).ok()?;
        Some(GateAction::Spill {
            request: arrival.request,
            region,
            node,
        })
    }

    /// The open instance of another region that tells of most spare rights.
    pub(super) fn spill_target(&self, now: Instant, service: &ServiceId) -> Option<&MemberPlan> {
        let mut best: Option<(u16, &MemberPlan)> = None;
        for peer in &self.far {
            if !peer.open {
                continue;
            }
            let spare = self.spare_of(now, &peer.node, service);
            if spare > best.map_or(0, |(most, _)| most) {
                best = Some((spare, peer));
            }
        }
        best.map(|(_, peer)| peer)
    }

    /// Whether a peer of the region tells of a spare right.
    pub(super) fn peers_spare(&self, now: Instant, service: &ServiceId) -> bool {
        let mut peers = self.near.iter();
        peers.any(|peer| self.spare_of(now, &peer.node, service) > 0)
    }

    pub(super) fn spare_of(&self, now: Instant, node: &NodeId, service: &ServiceId) -> u16 {
        let Some(load) = self.loads.get(node) else {
            return 0;
        };
        let fresh = load
            .at
            .is_some_and(|at| now.saturating_duration_since(at) < DIGEST_AGE);
        if !fresh {
            return 0;
        }
        load.spare.get(service).copied().unwrap_or(0)
    }

    pub(super) fn on_load(&mut self, now: Instant, from: &NodeId, digest: &LoadDigest) {
        let load = self.loads.entry(from.clone()).or_default();
        load.spare = digest.spare.iter().cloned().collect();
        if digest.region == self.region {
            self.leaving.on_peer(now, from, &digest.leaving);
            self.entering.on_peer(now, from, &digest.entering);
        }
    }

    pub(super) fn send_digest(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        let due = self
            .last_digest
            .is_none_or(|at| now.saturating_duration_since(at) >= DIGEST_PERIOD);
        if !due {
            return;
        }
        self.last_digest = Some(now);
        let open = self.guard.permits(now) && !self.stopping;
        let spare = |pool: &PoolGate| if open { pool.rights.spare(now) } else { 0 };
        let digest = LoadDigest {
            region: self.region.clone(),
            spare: self
                .pools
                .iter()
                .map(|(service, pool)| (service.clone(), spare(pool)))
                .collect(),
            leaving: self.leaving.previous_counts(now),
            entering: self.entering.previous_counts(now),
        };
        for group in [&self.near, &self.far] {
            if group.is_empty() {
                continue;
            }
            let start = self.rng.random_range(0..group.len());
            for step in 0..group.len().min(DIGEST_FANOUT) {
                let peer = &group[(start + step) % group.len()];
                actions.push(GateAction::Send {
                    to: peer.node.clone(),
                    body: EntryMessage::Load(digest.clone()),
                });
            }
        }
    }
}
