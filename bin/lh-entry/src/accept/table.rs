//! The open connections at an address. When their number is reached, one that does nothing makes
//! room for a new one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use hold::connections::choose_yielding;
use tokio::sync::Notify;

use crate::accept::progress::ConnectionProgress;

/// The connections at one address.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    /// Name of the address, for logs.
    purpose: &'static str,
    most: usize,
    next: Cell<u64>,
    open: RefCell<BTreeMap<u64, OpenConnection>>,
}

#[derive(Debug)]
struct OpenConnection {
    progress: Rc<ConnectionProgress>,
    eviction: Rc<Notify>,
}

impl ConnectionTable {
    /// Creates the table of an address that takes `most` connections.
    pub(crate) fn new(purpose: &'static str, most: usize) -> Rc<Self> {
        Rc::new(Self {
            purpose,
            most: most.max(1),
            next: Cell::default(),
            open: RefCell::default(),
        })
    }

    /// Adds a connection with `progress`, for which another one is closed if there are too many.
    /// If all others are busy, `end_request` may end one of their requests. `None` if it doesn't.
    pub(crate) fn admit(
        self: &Rc<Self>,
        progress: &Rc<ConnectionProgress>,
        end_request: impl FnOnce() -> bool,
    ) -> Option<ConnectionPlace> {
        if self.len() >= self.most && !self.evict() && !end_request() {
            log::warn!(
                address = self.purpose, most = self.most;
                "too many connections; one closed"
            );
            return None;
        }
        let id = self.next.get();
        self.next.set(id + 1);
        let eviction = Rc::new(Notify::new());
        let connection = OpenConnection {
            progress: Rc::clone(progress),
            eviction: Rc::clone(&eviction),
        };
        self.open.borrow_mut().insert(id, connection);
        Some(ConnectionPlace {
            table: Rc::clone(self),
            id,
            eviction,
        })
    }

    /// Number of connections.
    pub(crate) fn len(&self) -> usize {
        self.open.borrow().len()
    }

    fn evict(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let yielding = choose_yielding(open.iter().map(|(id, connection)| {
            let (standing, since) = connection.progress.standing();
            (*id, standing, since)
        }));
        let evicted = yielding.and_then(|id| open.remove(&id));
        evicted.is_some_and(|connection| {
            connection.eviction.notify_one();
            true
        })
    }
}

/// A connection's place in the table, until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPlace {
    table: Rc<ConnectionTable>,
    id: u64,
    eviction: Rc<Notify>,
}

impl ConnectionPlace {
    /// Completes when the connection has to make room for another one.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.table.open.borrow_mut().remove(&self.id);
    }
}
