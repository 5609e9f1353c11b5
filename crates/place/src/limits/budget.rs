//! Limits retries at a second server to a share of the requests for a service. The limit
//! applies to all entries together; each uses a part of it.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Share of the budget that is used. The rest covers entries that this one doesn't know of
/// and retries in progress.
const USABLE_SHARE: f64 = 0.6;

/// Limits set by the platform.
#[derive(Debug, Clone, Copy)]
pub struct BudgetBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries of all entries together per window.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Counts requests and retries of each service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    bounds: BudgetBounds,
    entries: usize,
    /// Whether this entry may use a part of the slack.
    has_slack: bool,
    services: HashMap<String, ServiceWindow>,
}

impl RetryBudget {
    /// Creates a budget within `bounds` for a single entry.
    pub fn new(bounds: BudgetBounds) -> Self {
        Self {
            bounds,
            entries: 1,
            has_slack: true,
            services: HashMap::new(),
        }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Sets whether this entry may use a part of the slack in addition to the share of its
    /// own requests. Entries that the others don't count may not.
    pub fn set_slack(&mut self, has_slack: bool) {
        self.has_slack = has_slack;
    }

    /// Counts a caller's request for `service`.
    pub fn on_request(&mut self, now: Instant, service: &str) {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), ServiceWindow::default());
        }
        if let Some(window) = self.services.get_mut(service) {
            window.requests.push_back(now);
            remove_expired(&mut window.requests, now, self.bounds.window);
        }
    }

    /// Takes a retry out of the budget; `false` if none is left.
    pub fn take_retry(&mut self, now: Instant, service: &str) -> bool {
        self.take_retry_within(now, service, 1.0)
    }

    /// Takes a retry while less than `share` of the budget is in use.
    pub fn take_retry_within(&mut self, now: Instant, service: &str, share: f64) -> bool {
        let Some(window) = self.services.get_mut(service) else {
            return false;
        };
        remove_expired(&mut window.requests, now, self.bounds.window);
        remove_expired(&mut window.retries, now, self.bounds.window);
        let slack = if self.has_slack {
            self.bounds.slack / self.entries as f64
        } else {
            0.0
        };
        let from_requests = self.bounds.ratio * window.requests.len() as f64;
        let allowed = share * USABLE_SHARE * (from_requests + slack);
        if window.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        window.retries.push_back(now);
        true
    }

    /// Returns the retry that was taken last and not made.
    pub fn return_retry(&mut self, service: &str) {
        if let Some(window) = self.services.get_mut(service) {
            window.retries.pop_back();
        }
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while let Some(first) = times.front() {
        if now.saturating_duration_since(*first) <= window {
            break;
        }
        times.pop_front();
    }
}
