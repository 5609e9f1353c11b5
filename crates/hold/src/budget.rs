//! Divides the memory of an entry among the kinds of things that it holds.

/// Bodies of requests and responses may use one in this many bytes of the memory.
const BODY_DIVISOR: usize = 4;
/// Receive buffers of connections may use one in this many bytes of the memory beyond the smallest
/// buffer of each.
const RECEIVE_DIVISOR: usize = 8;
/// Callers may use one in this many of the descriptors.
const CALLER_DIVISOR: usize = 2;
/// Each other address of an entry may use one in this many of the descriptors.
const INTERNAL_DIVISOR: usize = 16;

/// The memory and descriptors that callers may make an entry hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HoldBudget {
    /// Memory for bodies, in bytes.
    pub body_bytes: usize,
    /// Memory for receive buffers beyond the smallest ones, in bytes.
    pub receive_bytes: usize,
    /// Number of connections of callers.
    pub caller_connections: usize,
    /// Number of connections at each other address.
    pub internal_connections: usize,
}

impl HoldBudget {
    /// The budget of an entry with `memory_bytes` and `descriptors`.
    pub const fn new(memory_bytes: usize, descriptors: usize) -> Self {
        Self {
            body_bytes: memory_bytes / BODY_DIVISOR,
            receive_bytes: memory_bytes / RECEIVE_DIVISOR,
            caller_connections: descriptors / CALLER_DIVISOR,
            internal_connections: descriptors / INTERNAL_DIVISOR,
        }
    }
}
