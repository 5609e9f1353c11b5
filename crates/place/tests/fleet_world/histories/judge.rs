//! Checks what the entries would send against what users were promised.

use std::time::{Duration, Instant};

use super::History;
use crate::fleet_world::{DRAIN, ms};

/// Time until a placed request reaches a server of another region over a new connection.
const FAR_SEND: Duration = ms(3 * 35);
/// Time after its row was written within which a live server must be in use: a row that is
/// listed again after a departure has to outlast a late heartbeat first.
const ADMISSION_TIME: Duration = ms(9000);

impl History {
    pub(super) fn judge(&mut self) {
        let now = self.world.now;
        let mut found = Vec::new();
        for entry in self.world.live() {
            if self.world.is_paused(entry) {
                continue;
            }
            let open = self.world.entries[entry].registry.open_ids();
            let departed = open.iter().filter(|id| self.departed.contains_key(*id));
            found.extend(departed.filter_map(|id| {
                let what = self.judge_departed(now, entry, id)?;
                Some((id.clone(), entry, what))
            }));
            let kept_out = self.listed_since.iter().filter(|(id, since)| {
                self.live.contains_key(*id)
                    && !open.contains(*id)
                    && self.is_admission_due(now, entry, **since)
            });
            found.extend(kept_out.map(|(id, _)| (id.clone(), entry, "kept out")));
        }
        for (id, entry, what) in found {
            self.report(&id, entry, what);
        }
    }

    /// Returns what is wrong with sending requests from `entry` to the server `id`, which left.
    fn judge_departed(&self, now: Instant, entry: usize, id: &str) -> Option<&'static str> {
        let departed = self.departed.get(id)?;
        if self.world.entries[entry]
            .registry
            .taken_in_again
            .contains(id)
        {
            return Some("returned");
        }
        let bound = departed.at.max(self.store.stable_since()) + DRAIN - FAR_SEND;
        if !self.is_in_touch(now, entry) || now <= bound {
            return None;
        }
        let is_forgotten = departed.aware.as_ref().is_some_and(|runs| {
            let entries = &self.world.entries;
            let mut runs = runs.iter();
            !runs.any(|(entry, run)| entries[*entry].alive && entries[*entry].run == *run)
        });
        (!is_forgotten).then_some("late")
    }

    fn is_in_touch(&self, now: Instant, entry: usize) -> bool {
        self.store.is_stable(now) && self.faults[entry].is_stable(now)
    }

    /// Whether `entry` must use a live server whose row has been there since `since`.
    fn is_admission_due(&self, now: Instant, entry: usize, since: Instant) -> bool {
        let since = since.max(self.store.stable_since());
        self.is_in_touch(now, entry) && now > since + ADMISSION_TIME
    }

    fn report(&mut self, id: &str, entry: usize, what: &'static str) {
        if self.violations.insert((id.to_owned(), entry, what)) {
            self.first_violations
                .push((self.world.now, id.to_owned(), entry, what));
        }
    }

    /// What happened to the server `id` and to the fleet, for whoever reads a failure.
    pub fn story(&self, id: &str) -> String {
        let start = self.world.start;
        let mut lines: Vec<(Instant, String)> = Vec::new();
        let logged = self
            .log
            .iter()
            .filter(|(_, text)| text.contains(id) || !text.starts_with("i-"));
        lines.extend(logged.cloned());
        for (entry, sim) in self.world.entries.iter().enumerate() {
            let about = sim
                .registry
                .trace
                .iter()
                .filter(|(_, server, _)| server == id);
            lines.extend(about.map(|(at, _, text)| (*at, format!("  n{entry} {text}"))));
        }
        let found = self
            .first_violations
            .iter()
            .filter(|(_, server, ..)| server == id);
        lines.extend(found.map(|(at, _, entry, what)| (*at, format!("VIOLATION n{entry} {what}"))));
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.iter().map(|(at, text)| {
            let text: String = text.chars().take(200).collect();
            format!("{:>6} {text}", (*at - start).as_millis())
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    /// The violations in the order in which they began.
    pub fn found(&self) -> &[(Instant, String, usize, &'static str)] {
        &self.first_violations
    }
}
