//! Demotes teams that use more than their fair share of the requests when capacity is short.
//!
//! A team's share is proportional to the rate of its quota. A team without a quota has the mean
//! weight of those with one; if no team has a quota, all have the same weight. Requests are
//! demoted only while others are refused for lack of capacity: otherwise demotion would shorten
//! queues for some teams without a benefit for any.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::spec::TeamSpec;

/// Time constant of the decaying request counts.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Ratios of actual to fair share above which a team is demoted by one, two and three steps.
const DEMOTION_RATIOS: [f64; 3] = [2.0, 3.0, 4.5];
/// Fraction of recent requests that must have been refused before teams are demoted.
const MIN_REFUSED_SHARE: f64 = 0.25;
/// Number of recent requests below which shares are not evaluated.
const MIN_REQUESTS: f64 = 20.0;
/// Number of tracked teams at which inactive ones are dropped.
const MAX_TRACKED_TEAMS: usize = 4096;

/// Recent requests of each team at this entry.
#[derive(Debug, Default)]
pub struct FairnessRanker {
    weights: HashMap<Rc<str>, f64>,
    default_weight: f64,
    requests: HashMap<Rc<str>, (Instant, f64)>,
    all: Option<(Instant, f64)>,
    refused: Option<(Instant, f64)>,
    /// Total weight of the teams with recent requests.
    active_weight: f64,
    active_updated_at: Option<Instant>,
}

impl FairnessRanker {
    /// Replaces the teams after a change of settings.
    pub fn set_teams(&mut self, teams: &[TeamSpec]) {
        let rates = teams
            .iter()
            .filter_map(|team| team.quota)
            .map(|quota| quota.rate);
        let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        self.default_weight = if count > 0.0 { sum / count } else { 1.0 };
        self.weights = teams
            .iter()
            .filter_map(|team| Some((Rc::from(team.name.as_str()), team.quota?.rate)))
            .collect();
        self.active_updated_at = None;
    }

    /// Records a request of `team` and returns the number of steps by which it is demoted.
    pub fn on_request(&mut self, now: Instant, team: &str) -> u32 {
        let (all_at, all) = self.all.unwrap_or((now, 0.0));
        let all = decayed(now, all_at, all) + 1.0;
        self.all = Some((now, all));
        let requests = match self.requests.get_mut(team) {
            Some((at, count)) => {
                *count = decayed(now, *at, *count) + 1.0;
                *at = now;
                *count
            }
            None => {
                self.requests.insert(Rc::from(team), (now, 1.0));
                1.0
            }
        };
        self.update_active_weight(now);
        let fair_share = self.weight(team) / self.active_weight.max(self.weight(team));
        let ratio = requests / (all * fair_share).max(f64::MIN_POSITIVE);
        let refused = self
            .refused
            .map_or(0.0, |(at, count)| decayed(now, at, count));
        if all < MIN_REQUESTS || refused < MIN_REFUSED_SHARE * all {
            return 0;
        }
        DEMOTION_RATIOS
            .iter()
            .filter(|threshold| ratio > **threshold)
            .count() as u32
    }

    /// Records that a request was refused for lack of capacity.
    pub fn on_refused(&mut self, now: Instant) {
        let (at, count) = self.refused.unwrap_or((now, 0.0));
        self.refused = Some((now, decayed(now, at, count) + 1.0));
    }

    fn weight(&self, team: &str) -> f64 {
        self.weights
            .get(team)
            .copied()
            .unwrap_or(self.default_weight)
    }

    /// Updates the total weight of the active teams, at most ten times per decay time.
    fn update_active_weight(&mut self, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < DECAY_TIME;
        if self
            .active_updated_at
            .is_some_and(|at| now.saturating_duration_since(at) < DECAY_TIME / 10)
        {
            return;
        }
        self.active_updated_at = Some(now);
        if self.requests.len() >= MAX_TRACKED_TEAMS {
            self.requests.retain(|_, (at, _)| is_recent(*at));
        }
        let active = self.requests.iter().filter(|(_, (at, _))| is_recent(*at));
        self.active_weight = active.map(|(team, _)| self.weight(team)).sum();
    }
}

fn decayed(now: Instant, at: Instant, count: f64) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    count * (-age / DECAY_TIME.as_secs_f64()).exp()
}
