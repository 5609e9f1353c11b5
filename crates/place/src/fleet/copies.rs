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
const MAX_BACKLOG: Duration = Duration::from_millis(100);
/// One that waits longer than this would come after whoever asks has given up, and take the
/// link from the others for nothing.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(600);
/// Time that an entry needs to take in what it was told, before it can tell others.
const APPLY_TIME: Duration = Duration::from_millis(250);
/// An entry is named for this long after it was served: later it may be gone.
const RELAY_TTL: Duration = Duration::from_secs(8);
/// The slowest link that is reckoned with at the one that was served, in bits a second.
const SLOWEST_RECEIVER_LINK: f64 = 20e6;
/// Answers of fewer bytes are no burden.
const SMALL_COPY_BYTES: usize = 64 << 10;

/// Whom an entry that asks for a copy gets it from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopySource {
    /// The one that it asks.
    Direct,
    /// The entry that tells what it knows at this address.
    Relay(SocketAddr),
    /// Nobody now; the link is busy with the copies of others.
    Busy,
}

/// The copies that one entry tells.
#[derive(Debug)]
pub struct CopyScheduler {
    /// Of the own link, in bits a second.
    link_bits_per_s: f64,
    /// When the link has carried all copies that were told.
    link_idle_at: Option<Instant>,
    /// Entries that were served, with when each can tell another.
    served: VecDeque<(Instant, SocketAddr)>,
}

impl CopyScheduler {
    /// The desk of an entry whose link carries `megabits` a second.
    pub fn new(megabits: f64) -> Self {
        Self {
            link_bits_per_s: (megabits * 1e6).max(1.0),
            link_idle_at: None,
            served: VecDeque::new(),
        }
    }

    /// The entry at `asker` asks for a copy of `bytes`; it takes no other's where it `requires_direct`.
    pub fn on_copy_request(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        bytes: usize,
        requires_direct: bool,
    ) -> CopySource {
        if bytes < SMALL_COPY_BYTES {
            return CopySource::Direct;
        }
        let begins = self.link_idle_at.map_or(now, |at| at.max(now));
        let queue_delay = begins.saturating_duration_since(now);
        let bits = bytes as f64 * 8.0;
        let receive_time =
            Duration::from_secs_f64(bits / SLOWEST_RECEIVER_LINK.min(self.link_bits_per_s));
        if queue_delay > MAX_BACKLOG
            && !requires_direct
            && let Some(relay) = self.relay(now, asker, receive_time)
        {
            self.served
                .push_back((now + receive_time + APPLY_TIME, asker));
            return CopySource::Relay(relay);
        }
        if queue_delay > MAX_QUEUE_DELAY {
            return CopySource::Busy;
        }
        let ends = begins + Duration::from_secs_f64(bits / self.link_bits_per_s);
        self.link_idle_at = Some(ends);
        let ready = (begins + receive_time).max(ends) + APPLY_TIME;
        self.served.push_back((ready, asker));
        CopySource::Direct
    }

    /// An entry that has a copy and tells it to nobody else now. It takes `receive_time` for one.
    fn relay(
        &mut self,
        now: Instant,
        asker: SocketAddr,
        receive_time: Duration,
    ) -> Option<SocketAddr> {
        let is_over = |at: Instant| now.saturating_duration_since(at) > RELAY_TTL;
        self.served.retain(|(ready, _)| !is_over(*ready));
        let mut served = self.served.iter();
        let at = served.position(|(ready, address)| now >= *ready && *address != asker)?;
        let (_, relay) = self.served.remove(at)?;
        self.served.push_back((now + receive_time, relay));
        Some(relay)
    }
}
