//! Divides the memory and descriptors of an entry among what it holds for callers.

/// Bodies of requests and responses may use one in this many bytes of the memory.
const BODY_DIVISOR: usize = 4;
/// Callers may use one in this many of the descriptors.
const CALLER_DIVISOR: usize = 2;
/// Each other address may use one in this many of the descriptors.
const INTERNAL_DIVISOR: usize = 16;
/// What waits unread in the sockets of callers may use one in this many bytes of the memory, beyond
/// the smallest receive buffers.
const RECEIVE_DIVISOR: usize = 8;
/// What may wait unread in a socket whose receive buffer the system chooses, in bytes, as long as
/// the entry has read little from it.
const UNREAD_BYTES: usize = 64 << 10;
/// Maximum number of connections that wait to be accepted at one address.
const MOST_WAITING: usize = 1024;

/// The memory and descriptors that callers may make an entry hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldBudget {
    /// Memory for bodies, in bytes.
    pub body_bytes: usize,
    /// Number of connections of callers.
    pub caller_connections: usize,
    /// Number of callers' connections beyond which new ones get small receive buffers.
    pub roomy_connections: usize,
    /// Number of connections at each other address.
    pub internal_connections: usize,
    /// Number of connections that wait to be accepted at one address. Each may have filled the
    /// receive buffer that the system chooses, whatever is set once it has been accepted.
    pub waiting_connections: usize,
}

impl HoldBudget {
    /// The budget of an entry with `memory_bytes` and `descriptors`.
    pub const fn new(memory_bytes: usize, descriptors: usize) -> Self {
        let roomy = memory_bytes / RECEIVE_DIVISOR / UNREAD_BYTES;
        Self {
            body_bytes: memory_bytes / BODY_DIVISOR,
            caller_connections: descriptors / CALLER_DIVISOR,
            roomy_connections: roomy,
            internal_connections: descriptors / INTERNAL_DIVISOR,
            waiting_connections: if roomy < MOST_WAITING {
                roomy
            } else {
                MOST_WAITING
            },
        }
    }
}
