//! Tracks what a caller's connection waits for, for its timeouts.

use std::cell::{Cell, RefCell};
use std::task::Waker;
use std::time::{Duration, Instant};

/// A timeout that has expired on a connection.
pub(super) enum ConnectionTimeout {
    /// The headers of a request have started but not arrived completely.
    Head,
    /// No next request has arrived.
    Idle,
    /// The caller takes none of the bytes of its response.
    Unread,
}

/// Tracks whether a connection is idle, receives headers, or waits for a response.
#[derive(Debug)]
pub(super) struct ConnectionProgress {
    since: Cell<Instant>,
    head_started: Cell<bool>,
    responding: Cell<bool>,
    /// Since when the caller has taken none of the bytes that wait for it.
    blocked_since: Cell<Option<Instant>>,
    /// Wakes the task that waits for the next request.
    reader: RefCell<Option<Waker>>,
}

impl ConnectionProgress {
    pub(super) fn new() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            head_started: Cell::new(false),
            responding: Cell::new(false),
            blocked_since: Cell::new(None),
            reader: RefCell::default(),
        }
    }

    /// Whether a request has no response yet.
    pub(super) fn is_responding(&self) -> bool {
        self.responding.get()
    }

    pub(super) fn on_bytes_read(&self) {
        if self.responding.get() || self.head_started.get() {
            return;
        }
        self.head_started.set(true);
        self.since.set(Instant::now());
    }

    pub(super) fn on_request(&self) {
        self.head_started.set(false);
        self.responding.set(true);
    }

    pub(super) fn on_response(&self) {
        self.responding.set(false);
        self.head_started.set(false);
        self.since.set(Instant::now());
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Records a write, and whether the caller took any bytes.
    pub(super) fn on_write(&self, is_taken: bool) {
        let since = self.blocked_since.get();
        self.blocked_since
            .set((!is_taken).then(|| since.unwrap_or_else(Instant::now)));
    }

    /// Wakes `reader` after the next response: the request behind it may have been read already.
    pub(super) fn wake_after_response(&self, reader: &Waker) {
        self.reader.replace(Some(reader.clone()));
    }

    pub(super) fn expired(&self, head: Duration, idle: Duration) -> Option<ConnectionTimeout> {
        let blocked_since = self.blocked_since.get();
        if blocked_since.is_some_and(|since| since.elapsed() > idle) {
            return Some(ConnectionTimeout::Unread);
        }
        if self.responding.get() {
            return None;
        }
        let wait_time = self.since.get().elapsed();
        if self.head_started.get() {
            return (wait_time > head).then_some(ConnectionTimeout::Head);
        }
        (wait_time > idle).then_some(ConnectionTimeout::Idle)
    }
}
