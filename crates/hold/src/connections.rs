//! Which connection makes room for a new one.

use base::prelude::Instant;

/// What a connection is doing, in the order in which connections make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// Closed by the entry; its caller hasn't closed it yet.
    Closing,
    /// No complete request has come yet.
    Silent,
    /// All requests so far have their responses.
    Idle,
    /// A request has no complete response yet. Never makes room.
    Busy,
}

/// Returns which of `connections` makes room: of those that do the least, the one that has done so
/// longest. `None` if all are busy.
pub fn choose_yielding<I>(
    connections: impl IntoIterator<Item = (I, Standing, Instant)>,
) -> Option<I> {
    let free = connections
        .into_iter()
        .filter(|(_, standing, _)| *standing != Standing::Busy);
    let yielding = free.min_by_key(|(_, standing, since)| (*standing, *since));
    yielding.map(|(id, ..)| id)
}
