//! Whom an entry asks for what it lacks: leads, or the store.

use std::time::{Duration, Instant};

use crate::fleet::follow::FollowerPlace;
use crate::fleet::member::{FleetAction, FleetMember, FleetNote};
use crate::fleet::reading::ReadRole;
use crate::fleet::seat::LEADS;

/// Time without a lead after which an entry asks for the operator's rows itself.
const LONE_WAIT: Duration = Duration::from_millis(400);
/// Part of the time within which an entry needs the store's word on the operator's rows
/// after which it asks itself: the rest is for two calls, one of which may fail.
const PROOF_SHARE: f64 = 0.64;
/// Entries spread over this part of it more.
const PROOF_SPREAD: f64 = 0.06;
/// Entries that get no requests spread over this time more.
const LONE_SPREAD: Duration = Duration::from_millis(800);

impl FleetMember {
    pub(super) fn review_pull(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let place = FollowerPlace {
            region: &self.config.region,
            hash: self.hash,
            leads: self.leading.is_some(),
            far_after: self.readings.pace().deputy,
        };
        let next = self
            .pulls
            .next(now, place, &self.known, &self.leads, &self.regions);
        if let Some(target) = next {
            if target.whole {
                actions.push(FleetAction::Note(FleetNote::Ahead));
            }
            actions.push(FleetAction::Pull(target));
        }
    }

    pub(super) fn review_reading(&mut self, now: Instant, actions: &mut Vec<FleetAction>) {
        let role = self.read_role(now);
        if let Some(wait) = self.readings.take(now, role, self.known.registry_at) {
            actions.push(FleetAction::ReadRegistry(wait));
        }
        let watches = match role {
            ReadRole::Reader | ReadRole::Deputy => true,
            ReadRole::Follower { stuck, .. } => stuck,
            ReadRole::Alone { used, first } => self.watches_alone(now, used, first),
        };
        let watches = watches || self.lacks_proof(now);
        if watches != self.watches {
            self.watches = watches;
            actions.push(FleetAction::WatchOperator(watches));
        }
    }

    /// Whether an entry that gets requests will soon be without the word of the store that
    /// these need, whoever else could bring it.
    fn lacks_proof(&self, now: Instant) -> bool {
        let Some(within) = self.own.proof_within.filter(|_| self.is_listed()) else {
            return false;
        };
        let spread = self.search.spread_over(within.mul_f64(PROOF_SPREAD));
        let most = within.mul_f64(PROOF_SHARE) + spread;
        self.proof_age(now).is_none_or(|age| age >= most)
    }

    /// Whether an entry that hears no lead asks for the operator's rows itself: entries
    /// that get requests soon, others after a new lead had time to be found.
    fn watches_alone(&self, now: Instant, used: bool, first: Instant) -> bool {
        if !self.known.is_complete() {
            return now >= first;
        }
        let spread = if used { Duration::ZERO } else { LONE_SPREAD };
        let wait = LONE_WAIT + self.search.spread_over(spread);
        let since = self.search.since();
        since.is_some_and(|since| now.saturating_duration_since(since) >= wait)
    }

    fn read_role(&self, now: Instant) -> ReadRole {
        if self.leading.is_some() {
            return if self.is_first(now) {
                ReadRole::Reader
            } else {
                ReadRole::Deputy
            };
        }
        if self.hears_lead(now) {
            let mut substitutes = self.seats.iter().skip(LEADS);
            return ReadRole::Follower {
                substitute: substitutes.any(|seat| seat.node == self.config.seat.node),
                stuck: self.pulls.is_stuck(now),
            };
        }
        ReadRole::Alone {
            used: self.is_listed(),
            first: self.started + self.search.first_reading(&self.config.seat),
        }
    }
}
