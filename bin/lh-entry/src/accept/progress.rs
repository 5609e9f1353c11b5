//! Tracks what a caller's connection waits for, for its timeouts.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

use hold::connections::Standing;
use hyper::Version;

use crate::body::CountGuard;
use crate::memory::MemoryLease;

/// A timeout that has expired on a connection.
pub(crate) enum ConnectionTimeout {
    /// The headers of a request have started but not arrived completely.
    Head,
    /// No next request has arrived.
    Idle,
    /// The caller takes none of the bytes of its response.
    Unread,
}

/// Tracks whether a connection is idle, receives headers, or waits for a response.
#[derive(Debug)]
pub(crate) struct ConnectionProgress {
    since: Cell<Instant>,
    head_started: Cell<bool>,
    responding: Cell<bool>,
    /// Number of response bodies that the connection hasn't taken completely.
    open_bodies: Rc<Cell<usize>>,
    /// Since when the caller has taken none of the bytes that wait for it.
    blocked_since: Cell<Option<Instant>>,
    /// Whether the caller takes the end of the connection for the end of a response of unknown
    /// length.
    ends_by_close: Cell<bool>,
    /// Whether a response was broken off.
    is_broken_off: Cell<bool>,
    /// Whether any request has arrived.
    has_requested: Cell<bool>,
    /// Whether the entry has closed its side of the connection.
    is_closing: Cell<bool>,
    /// Memory of the response that is being sent.
    response: RefCell<Weak<MemoryLease>>,
    /// Wakes the task that waits for the next request.
    reader: RefCell<Option<Waker>>,
}

impl ConnectionProgress {
    pub(crate) fn new() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            head_started: Cell::new(false),
            responding: Cell::new(false),
            open_bodies: Rc::default(),
            blocked_since: Cell::new(None),
            ends_by_close: Cell::new(false),
            is_broken_off: Cell::new(false),
            has_requested: Cell::new(false),
            is_closing: Cell::new(false),
            response: RefCell::default(),
            reader: RefCell::default(),
        }
    }

    /// Whether a request has no response yet.
    pub(crate) fn is_responding(&self) -> bool {
        self.responding.get()
    }

    pub(crate) fn on_bytes_read(&self) {
        if self.responding.get() || self.head_started.get() {
            return;
        }
        self.head_started.set(true);
        self.since.set(Instant::now());
    }

    pub(crate) fn on_request(&self, version: Version) {
        self.ends_by_close.set(version < Version::HTTP_11);
        self.head_started.set(false);
        self.responding.set(true);
        self.has_requested.set(true);
    }

    pub(crate) fn on_response(&self) {
        self.responding.set(false);
        self.head_started.set(false);
        self.since.set(Instant::now());
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Returns a guard for the body of a response, to be kept until the connection has taken it.
    pub(crate) fn body_guard(&self) -> CountGuard {
        CountGuard::new(&self.open_bodies, 1)
    }

    /// Records a write, and whether the caller took any bytes.
    pub(crate) fn on_write(&self, is_taken: bool) {
        let since = self.blocked_since.get();
        self.blocked_since
            .set((!is_taken).then(|| since.unwrap_or_else(Instant::now)));
        if let Some(lease) = self.response.borrow().upgrade() {
            if is_taken {
                lease.on_moved();
            } else {
                lease.on_waiting();
            }
        }
    }

    /// Records the memory of the response that is sent next.
    pub(crate) fn on_response_memory(&self, lease: Option<&Rc<MemoryLease>>) {
        self.response
            .replace(lease.map(Rc::downgrade).unwrap_or_default());
    }

    /// Completes when the memory of the response that is being sent is needed for others.
    pub(crate) async fn response_revoked(&self) {
        poll_fn(|context| match self.response.borrow().upgrade() {
            Some(lease) => lease.poll_revoked(context),
            None => Poll::Pending,
        })
        .await;
    }

    /// Records that the entry has closed its side of the connection.
    pub(crate) fn on_closing(&self) {
        self.is_closing.set(true);
        self.since.set(Instant::now());
    }

    /// Whether any request has arrived.
    pub(crate) fn has_requested(&self) -> bool {
        self.has_requested.get()
    }

    /// Returns what the connection is doing, and since when.
    pub(crate) fn standing(&self) -> (Standing, Instant) {
        let standing = if self.is_closing.get() {
            Standing::Closing
        } else if !self.has_requested.get() {
            Standing::Silent
        } else if self.responding.get()
            || self.open_bodies.get() > 0
            || self.blocked_since.get().is_some()
        {
            Standing::Busy
        } else {
            Standing::Idle
        };
        (standing, self.since.get())
    }

    /// Records that a response was broken off in the middle of its body.
    pub(crate) fn on_broken_off(&self) {
        self.is_broken_off.set(true);
    }

    /// Handles that the entry is about to exit. Returns whether the connection must be reset now,
    /// since its caller would take its end for the end of a response that isn't complete.
    pub(crate) fn on_ending(&self) -> bool {
        if self.ends_by_close.get() && self.open_bodies.get() > 0 {
            self.on_broken_off();
        }
        self.needs_reset()
    }

    /// Whether the connection must be reset, since an ordinary close would make a response look
    /// complete that isn't.
    pub(crate) fn needs_reset(&self) -> bool {
        self.ends_by_close.get() && self.is_broken_off.get()
    }

    /// Wakes `reader` after the next response: the request behind it may have been read already.
    pub(crate) fn wake_after_response(&self, reader: &Waker) {
        self.reader.replace(Some(reader.clone()));
    }

    pub(crate) fn expired(&self, head: Duration, idle: Duration) -> Option<ConnectionTimeout> {
        let blocked_since = self.blocked_since.get();
        if blocked_since.is_some_and(|since| since.elapsed() > idle) {
            return Some(ConnectionTimeout::Unread);
        }
        if self.responding.get() {
            return None;
        }
        if self.open_bodies.get() > 0 || blocked_since.is_some() {
            // The next request is due once this response has been sent.
            self.since.set(Instant::now());
            return None;
        }
        let wait_time = self.since.get().elapsed();
        if self.head_started.get() {
            return (wait_time > head).then_some(ConnectionTimeout::Head);
        }
        (wait_time > idle).then_some(ConnectionTimeout::Idle)
    }
}
