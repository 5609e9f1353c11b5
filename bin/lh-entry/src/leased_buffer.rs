//! Reads a body into memory that was claimed for it.

use bytes::Bytes;

use crate::memory::MemoryLease;

/// Smallest buffer for a body whose length is unknown, in bytes.
const MIN_BUFFER_BYTES: usize = 4 << 10;

/// The start of a body, in leased memory.
#[derive(Debug)]
pub(crate) struct LeasedBuffer {
    bytes: Vec<u8>,
    lease: MemoryLease,
    /// Length of the whole body, if it was stated.
    stated: Option<u64>,
}

impl LeasedBuffer {
    /// Creates an empty buffer.
    pub(crate) fn new(lease: MemoryLease, stated: Option<u64>) -> Self {
        Self {
            bytes: Vec::new(),
            lease,
            stated,
        }
    }

    /// Number of bytes so far.
    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(crate) fn lease(&self) -> &MemoryLease {
        &self.lease
    }

    /// Adds `data`. Returns it if there is no memory for it.
    pub(crate) fn add(&mut self, data: Bytes) -> Option<Bytes> {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let roomy = needed.max(2 * self.bytes.capacity()).max(MIN_BUFFER_BYTES);
            let stated = self.stated.unwrap_or(u64::MAX).try_into();
            let capacity = roomy.min(stated.unwrap_or(usize::MAX)).max(needed);
            if self.lease.claim(capacity).is_err() {
                return Some(data);
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(&data);
        None
    }

    /// Returns the bytes and the lease of their memory.
    pub(crate) fn into_parts(self) -> (Bytes, MemoryLease) {
        (self.bytes.into(), self.lease)
    }
}
