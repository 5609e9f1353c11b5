//! Account of the memory that bodies use, and of who yields when it is used up.
//!
//! Memory is claimed before it is used. A claim that doesn't fit takes the memory of holders that
//! have waited longest for their callers; those whose callers send or read at any pace keep theirs
//! while there is room.

use std::collections::BTreeMap;
use std::time::Duration;

use base::prelude::Instant;

/// A holder may be revoked after it has waited this long for its caller.
pub const STALL_TIME: Duration = Duration::from_secs(1);
/// Claims up to this many bytes may use all of the memory.
const SMALL_CLAIM_BYTES: usize = 16 << 10;
/// Part of the memory that is kept for small claims, as a divisor.
const SMALL_DIVISOR: usize = 4;

/// Identifies a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

#[derive(Debug, Clone)]
struct Holder<T> {
    bytes: usize,
    /// The place that it occupies beside its memory.
    place: Option<T>,
    /// Since when it has waited for its caller.
    waiting_since: Option<Instant>,
    is_revoked: bool,
}

impl<T> Holder<T> {
    fn is_stalled(&self, now: Instant) -> bool {
        let waiting = self.waiting_since.map(|since| now.duration_since(since));
        !self.is_revoked && waiting.is_some_and(|time| time >= STALL_TIME)
    }
}

/// A claim that doesn't fit, even without the holders that may be revoked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimRefused;

/// The memory that bodies hold. `T` names the places that holders occupy beside it.
#[derive(Debug)]
pub struct HoldAccount<T> {
    limit_bytes: usize,
    used_bytes: usize,
    next: u64,
    holders: BTreeMap<HolderId, Holder<T>>,
    /// Number of holders that occupy a place.
    placed: usize,
}

impl<T: PartialEq> HoldAccount<T> {
    /// Creates an account of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            used_bytes: 0,
            next: 0,
            holders: BTreeMap::new(),
            placed: 0,
        }
    }

    /// Bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Adds a holder without memory.
    pub fn open(&mut self) -> HolderId {
        let id = HolderId(self.next);
        self.next += 1;
        let holder = Holder {
            bytes: 0,
            place: None,
            waiting_since: None,
            is_revoked: false,
        };
        self.holders.insert(id, holder);
        id
    }

    /// Removes a holder and returns its memory.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used_bytes -= holder.bytes;
            self.placed -= usize::from(holder.place.is_some());
        }
    }

    /// Raises the memory of `id` to `bytes`. Returns the holders that have to drop theirs for it.
    ///
    /// # Errors
    /// Returns [`ClaimRefused`] if there is not enough memory, or if `id` itself was revoked.
    pub fn claim(
        &mut self,
        now: Instant,
        id: HolderId,
        bytes: usize,
    ) -> Result<Vec<HolderId>, ClaimRefused> {
        let holder = self.holders.get(&id).filter(|holder| !holder.is_revoked);
        let more = bytes.saturating_sub(holder.ok_or(ClaimRefused)?.bytes);
        let most = if bytes <= SMALL_CLAIM_BYTES {
            self.limit_bytes
        } else {
            self.limit_bytes - self.limit_bytes / SMALL_DIVISOR
        };
        let excess = (self.used_bytes + more).saturating_sub(most);
        let revoked = self.longest_stalled(now, id, excess)?;
        for revoked_id in &revoked {
            self.revoke(*revoked_id);
        }
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.bytes += more;
            self.used_bytes += more;
        }
        Ok(revoked)
    }

    /// Lowers the memory of `id` to `bytes`.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let released = holder.bytes.saturating_sub(bytes);
            holder.bytes -= released;
            self.used_bytes -= released;
        }
    }

    /// Handles that `id` waits for its caller, as of `now` or earlier.
    pub fn on_waiting(&mut self, now: Instant, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waiting_since.get_or_insert(now);
        }
    }

    /// Handles that the caller of `id` has moved, or that `id` doesn't wait for it any more.
    pub fn on_moved(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.waiting_since = None;
        }
    }

    /// Handles that `id` occupies `place`.
    pub fn occupy(&mut self, id: HolderId, place: T) {
        if let Some(holder) = self.holders.get_mut(&id) {
            let former = holder.place.replace(place);
            self.placed += usize::from(former.is_none());
        }
    }

    /// Revokes the holder at `place` that has waited longest for its caller, if any may be revoked.
    pub fn revoke_at(&mut self, now: Instant, place: &T) -> Option<HolderId> {
        if self.placed == 0 {
            return None;
        }
        let stalled = self.holders.iter().filter(|(_, holder)| {
            holder.is_stalled(now) && holder.place.as_ref().is_some_and(|at| at == place)
        });
        let (id, _) = stalled.min_by_key(|(_, holder)| holder.waiting_since)?;
        let id = *id;
        self.revoke(id);
        Some(id)
    }

    /// Revokes the holder that has waited longest for its caller, if any may be revoked.
    pub fn revoke_longest(&mut self, now: Instant) -> Option<HolderId> {
        let stalled = self
            .holders
            .iter()
            .filter(|(_, holder)| holder.is_stalled(now));
        let (id, _) = stalled.min_by_key(|(_, holder)| holder.waiting_since)?;
        let id = *id;
        self.revoke(id);
        Some(id)
    }

    /// Returns the holders that have waited longest, other than `claimant`, with `bytes` together.
    fn longest_stalled(
        &self,
        now: Instant,
        claimant: HolderId,
        bytes: usize,
    ) -> Result<Vec<HolderId>, ClaimRefused> {
        if bytes == 0 {
            return Ok(Vec::new());
        }
        let mut stalled: Vec<_> = self
            .holders
            .iter()
            .filter(|(id, holder)| **id != claimant && holder.bytes > 0 && holder.is_stalled(now))
            .collect();
        stalled.sort_by_key(|(_, holder)| holder.waiting_since);
        let mut freed = 0;
        let mut chosen = Vec::new();
        for (id, holder) in stalled {
            chosen.push(*id);
            freed += holder.bytes;
            if freed >= bytes {
                return Ok(chosen);
            }
        }
        Err(ClaimRefused)
    }

    fn revoke(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            self.used_bytes -= holder.bytes;
            holder.bytes = 0;
            holder.is_revoked = true;
        }
    }
}
