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
const SPAN: Duration = Duration::from_secs(2);
/// Times its part from which on a team ranks one step, two, and three steps lower.
const STEPS: [f64; 3] = [2.0, 3.0, 4.5];
/// Share of the latest requests that were refused from which on teams rank.
const SHORT: f64 = 0.25;
/// Requests below which nothing is said of parts.
const FEW: f64 = 20.0;
/// Teams counted at most before those that no longer ask are forgotten.
const COUNTED: usize = 4096;

/// What each team asked this entry for lately.
#[derive(Debug, Default)]
pub struct FairShares {
    weights: HashMap<Rc<str>, f64>,
    usual: f64,
    asked: HashMap<Rc<str>, (Instant, f64)>,
    all: Option<(Instant, f64)>,
    refused: Option<(Instant, f64)>,
    /// Weights of the teams that asked lately.
    active: f64,
    counted_at: Option<Instant>,
}

impl FairShares {
    /// Takes in the teams of a new desired state.
    pub fn set_teams(&mut self, teams: &[TeamSpec]) {
        let rates = teams
            .iter()
            .filter_map(|team| team.quota)
            .map(|quota| quota.rate);
        let (count, sum) = rates.fold((0.0, 0.0), |(count, sum), rate| (count + 1.0, sum + rate));
        self.usual = if count > 0.0 { sum / count } else { 1.0 };
        self.weights = teams
            .iter()
            .filter_map(|team| Some((Rc::from(team.name.as_str()), team.quota?.rate)))
            .collect();
        self.counted_at = None;
    }

    /// A request of `team` arrived: by how many steps it ranks lower than its rank says.
    pub fn on_request(&mut self, now: Instant, team: &str) -> u32 {
        let (all_at, all) = self.all.unwrap_or((now, 0.0));
        let all = faded(now, all_at, all) + 1.0;
        self.all = Some((now, all));
        let asked = match self.asked.get_mut(team) {
            Some((at, count)) => {
                *count = faded(now, *at, *count) + 1.0;
                *at = now;
                *count
            }
            None => {
                self.asked.insert(Rc::from(team), (now, 1.0));
                1.0
            }
        };
        self.count_active(now);
        let part = self.weight(team) / self.active.max(self.weight(team));
        let times = asked / (all * part).max(f64::MIN_POSITIVE);
        let refused = self
            .refused
            .map_or(0.0, |(at, count)| faded(now, at, count));
        if all < FEW || refused < SHORT * all {
            return 0;
        }
        STEPS.iter().filter(|step| times > **step).count() as u32
    }

    /// A request found no room.
    pub fn on_refused(&mut self, now: Instant) {
        let (at, count) = self.refused.unwrap_or((now, 0.0));
        self.refused = Some((now, faded(now, at, count) + 1.0));
    }

    fn weight(&self, team: &str) -> f64 {
        self.weights.get(team).copied().unwrap_or(self.usual)
    }

    /// Sums up the weights of the teams that asked lately, now and then.
    fn count_active(&mut self, now: Instant) {
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < SPAN;
        if self
            .counted_at
            .is_some_and(|at| now.saturating_duration_since(at) < SPAN / 10)
        {
            return;
        }
        self.counted_at = Some(now);
        if self.asked.len() >= COUNTED {
            self.asked.retain(|_, (at, _)| is_fresh(*at));
        }
        let active = self.asked.iter().filter(|(_, (at, _))| is_fresh(*at));
        self.active = active.map(|(team, _)| self.weight(team)).sum();
    }
}

fn faded(now: Instant, at: Instant, count: f64) -> f64 {
    let age = now.saturating_duration_since(at).as_secs_f64();
    count * (-age / SPAN.as_secs_f64()).exp()
}
