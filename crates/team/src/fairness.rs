//! Who goes first where room is short: teams that ask for more than their part of what all
//! ask for rank behind the others.
//!
//! A team's part follows from its quota; one without a quota has as much as the mean of
//! those that have one, or as all others where none has. The rank counts only while requests
//! are refused for want of room: before that a queue is shorter than it need be for those who
//! rank lower, and nobody has anything of it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::spec::TeamSpec;

/// Time over which requests are counted.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Times its part from which on a team ranks one step, two, and three steps lower.
const DEMOTION_RATIOS: [f64; 3] = [2.0, 3.0, 4.5];
/// Share of the latest requests that were refused from which on teams rank.
const MIN_REFUSED_SHARE: f64 = 0.25;
/// Requests below which nothing is said of parts.
const MIN_REQUESTS: f64 = 20.0;
/// Teams counted at most before those that no longer ask are forgotten.
const MAX_TRACKED_TEAMS: usize = 4096;

/// What each team asked this entry for lately.
#[derive(Debug, Default)]
pub struct FairnessRanker {
    weights: HashMap<Rc<str>, f64>,
    default_weight: f64,
    requests: HashMap<Rc<str>, (Instant, f64)>,
    all: Option<(Instant, f64)>,
    refused: Option<(Instant, f64)>,
    /// Weights of the teams that asked lately.
    active_weight: f64,
    active_updated_at: Option<Instant>,
}

impl FairnessRanker {
    /// Takes in the teams of a new desired state.
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

    /// A request of `team` arrived: by how many steps it ranks lower than its rank says.
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

    /// A request found no room.
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

    /// Sums up the weights of the teams that asked lately, now and then.
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
        let active_weight = self.requests.iter().filter(|(_, (at, _))| is_recent(*at));
        self.active_weight = active_weight.map(|(team, _)| self.weight(team)).sum();
    }
}

fn decayed(now: Instant, at: Instant, count: f64) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    count * (-age / DECAY_TIME.as_secs_f64()).exp()
}
