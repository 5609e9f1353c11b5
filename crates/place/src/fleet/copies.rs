//! Who tells an entry everything that is known of the servers.
//!
//! Entries that start together all ask their leads. A copy grows with the servers and their
//! number with the entries, so that the leads' links would carry the square of the fleet.
//! An entry whose link is busy with copies names one that it has served before: the entries
//! that have a copy become more with each copy that is told.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A copy that waits longer than this for the link is better had from elsewhere.
const BACKLOG_MOST: Duration = Duration::from_millis(100);
/// One that waits longer than this would come after whoever asks has given up, and take the
/// link from the others for nothing.
const QUEUE_MOST: Duration = Duration::from_millis(600);
/// Time that an entry needs to take in what it was told, before it can tell others.
const TAKE_IN_TIME: Duration = Duration::from_millis(250);
/// An entry is named for this long after it was served: later it may be gone.
const NAMED_FOR: Duration = Duration::from_secs(8);
/// The slowest link that is reckoned with at the one that was served, in bits a second.
const SLOW_LINK: f64 = 20e6;
/// Answers of fewer bytes are no burden.
const SMALL: usize = 64 << 10;

/// Whom an entry that asks for a copy gets it from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopySource {
    /// The one that it asks.
    Here,
    /// The entry that tells what it knows at this address.
    Elsewhere(SocketAddr),
    /// Nobody now; the link is busy with the copies of others.
    Later,
}

/// The copies that one entry tells.
#[derive(Debug)]
pub struct CopyScheduler {
    /// Of the own link, in bits a second.
    link: f64,
    /// When the link has carried all copies that were told.
    free_at: Option<Instant>,
    /// Entries that were served, with when each can tell another.
    served: VecDeque<(Instant, SocketAddr)>,
}

impl CopyScheduler {
    /// The desk of an entry whose link carries `megabits` a second.
    pub fn new(megabits: f64) -> Self {
        Self {
            link: (megabits * 1e6).max(1.0),
            free_at: None,
            served: VecDeque::new(),
        }
    }

    /// The entry at `asker` asks for a copy of `bytes`; it takes no other's where it `insists`.
    pub fn on_copy_request(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        bytes: usize,
        insists: bool,
    ) -> CopySource {
        if bytes < SMALL {
            return CopySource::Here;
        }
        let begins = self.free_at.map_or(now, |at| at.max(now));
        let waits = begins.saturating_duration_since(now);
        let bits = bytes as f64 * 8.0;
        let received = Duration::from_secs_f64(bits / SLOW_LINK.min(self.link));
        if waits > BACKLOG_MOST
            && !insists
            && let Some(relay) = self.relay(now, asker, received)
        {
            self.served
                .push_back((now + received + TAKE_IN_TIME, asker));
            return CopySource::Elsewhere(relay);
        }
        if waits > QUEUE_MOST {
            return CopySource::Later;
        }
        let ends = begins + Duration::from_secs_f64(bits / self.link);
        self.free_at = Some(ends);
        let ready = (begins + received).max(ends) + TAKE_IN_TIME;
        self.served.push_back((ready, asker));
        CopySource::Here
    }

    /// An entry that has a copy and tells it to nobody else now. It takes `received` for one.
    fn relay(&mut self, now: Instant, asker: SocketAddr, received: Duration) -> Option<SocketAddr> {
        let is_over = |at: Instant| now.saturating_duration_since(at) > NAMED_FOR;
        self.served.retain(|(ready, _)| !is_over(*ready));
        let mut served = self.served.iter();
        let at = served.position(|(ready, address)| now >= *ready && *address != asker)?;
        let (_, relay) = self.served.remove(at)?;
        self.served.push_back((now + received, relay));
        Some(relay)
    }
}
