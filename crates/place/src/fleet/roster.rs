//! The entries that send this one their beats.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::fleet::message::EntryBeat;
use crate::fleet::seat::LeadSeat;

/// An entry counts as live for this long after its last beat: several beats, since
/// datagrams get lost.
pub const LIVE_FOR: Duration = Duration::from_millis(2600);
/// A silent entry is forgotten after this time.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Entries kept at most: a region at the largest fleet has a tenth of it.
const KEPT: usize = 8192;

#[derive(Debug)]
struct HeardEntry {
    beat: EntryBeat,
    at: Instant,
}

/// All entries that were heard.
#[derive(Debug, Default)]
pub struct EntryRoster {
    entries: HashMap<String, HeardEntry>,
}

/// What a beat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatNews {
    /// Nothing but that the entry is still there.
    Same,
    /// The entry is new, takes callers or no longer does, or is about to end.
    Changed,
    /// It is of an earlier run, and counts nothing.
    Outdated,
}

impl EntryRoster {
    /// Takes in a beat.
    pub fn on_beat(&mut self, now: Instant, beat: EntryBeat) -> BeatNews {
        let known = self.entries.get(&beat.seat.node);
        if known.is_some_and(|known| known.beat.incarnation > beat.incarnation) {
            return BeatNews::Outdated;
        }
        if known.is_none() && self.entries.len() >= KEPT {
            return BeatNews::Outdated;
        }
        let is_same = known.is_some_and(|known| {
            let before = &known.beat;
            is_live(now, known)
                && before.incarnation == beat.incarnation
                && before.ready == beat.ready
                && before.leaving == beat.leaving
        });
        let node = beat.seat.node.clone();
        self.entries.insert(node, HeardEntry { beat, at: now });
        if is_same {
            BeatNews::Same
        } else {
            BeatNews::Changed
        }
    }

    /// Whether anybody was heard.
    pub fn has_any(&self) -> bool {
        !self.entries.is_empty()
    }

    /// The live entries of `region`, also those about to end.
    pub fn live<'a>(
        &'a self,
        now: Instant,
        region: &'a str,
    ) -> impl Iterator<Item = &'a EntryBeat> {
        let live = self
            .entries
            .values()
            .filter(move |known| is_live(now, known));
        live.map(|known| &known.beat)
            .filter(move |beat| beat.region == region)
    }

    /// Those of `region` that may lead it.
    pub fn seats(&self, now: Instant, region: &str) -> Vec<LeadSeat> {
        let staying = self.live(now, region).filter(|beat| !beat.leaving);
        staying.map(|beat| beat.seat.clone()).collect()
    }

    /// Where the live entries of `region` take datagrams.
    pub fn addresses(&self, now: Instant, region: &str) -> Vec<SocketAddr> {
        let live = self.live(now, region);
        live.map(|beat| beat.seat.beat).collect()
    }

    /// Forgets entries that were silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.entries
            .retain(|_, known| now.saturating_duration_since(known.at) < REMEMBERED_FOR);
    }
}

fn is_live(now: Instant, known: &HeardEntry) -> bool {
    now.saturating_duration_since(known.at) < LIVE_FOR
}
