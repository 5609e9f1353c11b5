//! Which routes' requests are refused now, why, since when and until when.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde::Serialize;

/// A streak of refusals ends after this time without one.
const STREAK_GAP: Duration = Duration::from_secs(2);
/// Maximum number of streaks; refusals of further routes aren't listed.
const MAX_STREAKS: usize = 1024;

/// Refusals of one route for one reason that follow each other closely.
#[derive(Debug)]
struct RefusalStreak {
    since: Instant,
    latest_at: Instant,
    count: u64,
    /// Latest time at which a refused caller was told to come back.
    back_at: Instant,
}

/// A streak of refusals, for operators.
#[derive(Debug, Serialize)]
pub(crate) struct RefusalStatus {
    route: String,
    reason: &'static str,
    /// Number of refusals since the streak began.
    count: u64,
    /// Time since the first refusal.
    since_ms: u64,
    /// Time until the last of the refused callers comes back.
    back_in_ms: u64,
}

/// The streaks of refusals that have not ended.
#[derive(Debug, Default)]
pub(crate) struct RefusalTable {
    streaks: BTreeMap<(String, &'static str), RefusalStreak>,
}

impl RefusalTable {
    /// Records that a request on `route` is refused for `reason`, and that its caller may come
    /// back after `retry_after`.
    pub(crate) fn on_refused(
        &mut self,
        now: Instant,
        route: &str,
        reason: &'static str,
        retry_after: Duration,
    ) {
        if self.streaks.len() >= MAX_STREAKS {
            self.streaks.retain(|_, streak| !streak.has_ended(now));
        }
        let back_at = now + retry_after;
        let key = (route.to_owned(), reason);
        if let Some(streak) = self.streaks.get_mut(&key)
            && !streak.has_ended(now)
        {
            streak.latest_at = now;
            streak.count += 1;
            streak.back_at = streak.back_at.max(back_at);
            return;
        }
        if self.streaks.len() < MAX_STREAKS || self.streaks.contains_key(&key) {
            let streak = RefusalStreak {
                since: now,
                latest_at: now,
                count: 1,
                back_at,
            };
            self.streaks.insert(key, streak);
        }
    }

    /// Returns the streaks that have not ended, of the routes for which `is_shown` holds.
    pub(crate) fn current(
        &self,
        now: Instant,
        is_shown: impl Fn(&str) -> bool,
    ) -> Vec<RefusalStatus> {
        let streaks = self.streaks.iter();
        let shown =
            streaks.filter(|((route, _), streak)| is_shown(route) && !streak.has_ended(now));
        shown
            .map(|((route, reason), streak)| RefusalStatus {
                route: route.clone(),
                reason,
                count: streak.count,
                since_ms: now.saturating_duration_since(streak.since).as_millis() as u64,
                back_in_ms: streak.back_at.saturating_duration_since(now).as_millis() as u64,
            })
            .collect()
    }
}

impl RefusalStreak {
    fn has_ended(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.latest_at) >= STREAK_GAP
    }
}
