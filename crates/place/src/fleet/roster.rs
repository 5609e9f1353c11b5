//! Entries known from their heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::LeadCandidate;
use crate::fleet::message::EntryHeartbeat;

/// Time without a heartbeat after which an entry counts as lost. Spans several
/// heartbeats, because datagrams may be lost.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2600);
/// Time without a heartbeat after which an entry is removed from the roster.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of entries; a region of the largest supported fleet has a tenth of it.
const MAX_ENTRIES: usize = 8192;

#[derive(Debug)]
struct EntryRecord {
    heartbeat: EntryHeartbeat,
    last_heartbeat_at: Instant,
}

/// All entries that have sent heartbeats.
#[derive(Debug, Default)]
pub struct EntryRoster {
    entries: BTreeMap<String, EntryRecord>,
}

/// Effect of a heartbeat on the roster.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The entry is still alive and otherwise unchanged.
    Unchanged,
    /// The entry is new, changed its readiness, or is shutting down.
    Changed,
    /// The heartbeat is of an earlier incarnation, or the roster is full; it was ignored.
    Ignored,
}

impl EntryRoster {
    /// Applies a heartbeat.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: EntryHeartbeat) -> HeartbeatOutcome {
        let known = self.entries.get(&heartbeat.candidate.node);
        // After a silence it isn't a late heartbeat of an earlier run: the clock by which runs
        // are numbered may have been set back.
        let is_earlier = |known: &EntryRecord| known.heartbeat.incarnation > heartbeat.incarnation;
        if known.is_some_and(|known| is_live(now, known) && is_earlier(known)) {
            return HeartbeatOutcome::Ignored;
        }
        if known.is_none() && self.entries.len() >= MAX_ENTRIES {
            return HeartbeatOutcome::Ignored;
        }
        let is_unchanged = known.is_some_and(|known| {
            let before = &known.heartbeat;
            is_live(now, known)
                && before.incarnation == heartbeat.incarnation
                && before.ready == heartbeat.ready
                && before.leaving == heartbeat.leaving
        });
        let node = heartbeat.candidate.node.clone();
        self.entries.insert(
            node,
            EntryRecord {
                heartbeat,
                last_heartbeat_at: now,
            },
        );
        if is_unchanged {
            HeartbeatOutcome::Unchanged
        } else {
            HeartbeatOutcome::Changed
        }
    }

    /// Whether any entry is known.
    pub fn has_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Returns the live entries of `region`, including those shutting down.
    pub fn live<'a>(
        &'a self,
        now: Instant,
        region: &'a str,
    ) -> impl Iterator<Item = &'a EntryHeartbeat> {
        let live = self
            .entries
            .values()
            .filter(move |known| is_live(now, known));
        live.map(|known| &known.heartbeat)
            .filter(move |heartbeat| heartbeat.region == region)
    }

    /// Returns the lead candidates of `region`.
    pub fn candidates(&self, now: Instant, region: &str) -> Vec<LeadCandidate> {
        let staying = self
            .live(now, region)
            .filter(|heartbeat| !heartbeat.leaving);
        staying
            .map(|heartbeat| heartbeat.candidate.clone())
            .collect()
    }

    /// Returns the datagram addresses of the live entries of `region`.
    pub fn addresses(&self, now: Instant, region: &str) -> Vec<SocketAddr> {
        let live = self.live(now, region);
        live.map(|heartbeat| heartbeat.candidate.peer_address)
            .collect()
    }

    /// Removes entries that have been silent for longer than `RETENTION`.
    pub fn forget(&mut self, now: Instant) {
        self.entries
            .retain(|_, known| now.saturating_duration_since(known.last_heartbeat_at) < RETENTION);
    }
}

fn is_live(now: Instant, known: &EntryRecord) -> bool {
    now.saturating_duration_since(known.last_heartbeat_at) < LIVENESS_TIMEOUT
}
