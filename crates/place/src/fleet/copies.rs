//! Schedules full copies of the registry to entries that ask for one.
//!
//! Entries that start together all ask their leads. The size of a copy grows with the number of
//! servers and the number of copies with the number of entries, so the traffic of the leads
//! would grow with the square of the fleet. An entry whose link is busy with copies therefore
//! redirects the requester to an entry that has received one already: the number of entries
//! that can serve a copy grows with each copy sent.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// A copy that would wait longer than this for the link is served by a relay if there is one.
const MAX_BACKLOG: Duration = Duration::from_millis(100);
/// A copy that would wait longer than this is refused: it would arrive after the requester has
/// given up, and delay the copies of others for nothing.
const MAX_QUEUE_DELAY: Duration = Duration::from_millis(600);
/// Time that an entry needs to apply a copy before it can serve it to others.
const APPLY_TIME: Duration = Duration::from_millis(250);
/// How long after receiving a copy an entry is used as a relay; later it may no longer exist.
const RELAY_TTL: Duration = Duration::from_secs(8);
/// Slowest link assumed at a receiver, in bits per second.
const SLOWEST_RECEIVER_LINK: f64 = 20e6;
/// Copies of fewer bytes are always served directly.
const SMALL_COPY_BYTES: usize = 64 << 10;

/// Where an entry that asks for a copy gets it from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CopySource {
    /// From the entry that was asked.
    Direct,
    /// From the entry at this address, which serves its own copy.
    Relay(SocketAddr),
    /// From nobody now: the link is busy with the copies of others.
    Busy,
}

/// Schedules the copies that an entry serves.
#[derive(Debug)]
pub struct CopyScheduler {
    /// Bandwidth of the own link, in bits per second.
    link_bits_per_s: f64,
    /// When the link has transmitted all scheduled copies.
    link_idle_at: Option<Instant>,
    /// Entries that received a copy, and when each can serve another one.
    served: VecDeque<(Instant, SocketAddr)>,
}

impl CopyScheduler {
    /// Creates the scheduler of an entry whose link has a bandwidth of `megabits` per second.
    pub fn new(megabits: f64) -> Self {
        Self {
            link_bits_per_s: (megabits * 1e6).max(1.0),
            link_idle_at: None,
            served: VecDeque::new(),
        }
    }

    /// Decides where the entry at `asker` gets a copy of `bytes` from. With `requires_direct`
    /// it isn't redirected to a relay.
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

    /// Picks an idle entry that has a copy, and reserves it for `receive_time`.
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
