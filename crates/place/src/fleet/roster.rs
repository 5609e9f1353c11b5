//! The entries that send this one their beats.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::candidate::LeadCandidate;
use crate::fleet::message::EntryHeartbeat;

/// An entry counts as live for this long after its last beat: several beats, since
/// datagrams get lost.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(2600);
/// A silent entry is forgotten after this time.
const RETENTION: Duration = Duration::from_secs(60);
/// Entries kept at most: a region at the largest fleet has a tenth of it.
const MAX_ENTRIES: usize = 8192;

#[derive(Debug)]
struct EntryRecord {
    heartbeat: EntryHeartbeat,
    last_heard: Instant,
}

/// All entries that were heard.
#[derive(Debug, Default)]
pub struct EntryRoster {
    entries: HashMap<String, EntryRecord>,
}

/// What a beat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Nothing but that the entry is still there.
    Same,
    /// The entry is new, takes callers or no longer does, or is about to end.
    Changed,
    /// It is of an earlier run, and counts nothing.
    Outdated,
}

impl EntryRoster {
    /// Takes in a beat.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: EntryHeartbeat) -> HeartbeatOutcome {
        let known = self.entries.get(&heartbeat.candidate.node);
        if known.is_some_and(|known| known.heartbeat.incarnation > heartbeat.incarnation) {
            return HeartbeatOutcome::Outdated;
        }
        if known.is_none() && self.entries.len() >= MAX_ENTRIES {
            return HeartbeatOutcome::Outdated;
        }
        let is_same = known.is_some_and(|known| {
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
                last_heard: now,
            },
        );
        if is_same {
            HeartbeatOutcome::Same
        } else {
            HeartbeatOutcome::Changed
        }
    }

    /// Whether anybody was heard.
    pub fn has_entries(&self) -> bool {
        !self.entries.is_empty()
    }

    /// The live entries of `region`, also those about to end.
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

    /// Those of `region` that may lead it.
    pub fn candidates(&self, now: Instant, region: &str) -> Vec<LeadCandidate> {
        let staying = self
            .live(now, region)
            .filter(|heartbeat| !heartbeat.leaving);
        staying
            .map(|heartbeat| heartbeat.candidate.clone())
            .collect()
    }

    /// Where the live entries of `region` take datagrams.
    pub fn addresses(&self, now: Instant, region: &str) -> Vec<SocketAddr> {
        let live = self.live(now, region);
        live.map(|heartbeat| heartbeat.candidate.peer_address)
            .collect()
    }

    /// Forgets entries that were silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.entries
            .retain(|_, known| now.saturating_duration_since(known.last_heard) < RETENTION);
    }
}

fn is_live(now: Instant, known: &EntryRecord) -> bool {
    now.saturating_duration_since(known.last_heard) < LIVENESS_TIMEOUT
}
