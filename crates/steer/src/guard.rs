//! Whether this instance may still use its seats.

use base::prelude::*;

/// How long one sign of a peer keeps a lapsed lease usable.
const PEER_WINDOW: Duration = Duration::from_secs(3);

/// Permission to use seats, checked before every admission.
///
/// The lease is counted from before it was asked for. Past its end the permission
/// goes on only through an unbroken chain of messages from peers, since nobody
/// takes over a holder that a peer hears. A process that was paused past the end
/// of its permission finds the chain broken and needs a new lease.
///
/// ```
/// use std::time::{Duration, Instant};
/// use steer::SeatGuard;
///
/// let now = Instant::now();
/// let mut guard = SeatGuard::new();
/// guard.on_lease(now, Duration::from_secs(10));
/// assert!(guard.permits(now + Duration::from_secs(9)));
/// assert!(!guard.permits(now + Duration::from_secs(11)));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SeatGuard {
    leased_until: Option<Instant>,
    heard_until: Option<Instant>,
}

impl SeatGuard {
    /// Without any permission.
    pub fn new() -> Self {
        Self::default()
    }

    /// The lease that ends first has `remaining` time left, asked for at `asked_at`.
    pub fn on_lease(&mut self, asked_at: Instant, remaining: Duration) {
        self.leased_until = Some(asked_at + remaining);
    }

    /// The seats are lost.
    pub fn on_lost(&mut self) {
        *self = Self::default();
    }

    /// A peer's message came in.
    pub fn on_peer(&mut self, now: Instant) {
        if self.permits(now) {
            self.heard_until = Some(now + PEER_WINDOW);
        }
    }

    /// Whether work may be admitted at `now`.
    pub fn permits(&self, now: Instant) -> bool {
        let before = |until: Option<Instant>| until.is_some_and(|until| now < until);
        before(self.leased_until) || before(self.heard_until)
    }
}
