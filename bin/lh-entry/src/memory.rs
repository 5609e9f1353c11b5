//! Leases of the memory that callers make the entry hold, and the signals by which their holders
//! learn that they have to yield.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Instant;

use hold::account::{ClaimRefused, HoldAccount, HolderId};
use place::rank::stable_hash;
use tokio::sync::oneshot;

/// Tells a holder that its lease was revoked.
#[derive(Debug, Default)]
struct RevokeSignal {
    is_revoked: Cell<bool>,
    waker: RefCell<Option<Waker>>,
    /// Told when the holder has dropped its lease.
    released: RefCell<Option<oneshot::Sender<()>>>,
}

impl RevokeSignal {
    fn revoke(&self) {
        self.is_revoked.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// The memory that all bodies of callers share. Its places are services.
#[derive(Debug, Clone)]
pub(crate) struct SharedMemory(Rc<MemoryState>);

#[derive(Debug)]
struct MemoryState {
    account: RefCell<HoldAccount<u64>>,
    signals: RefCell<HashMap<HolderId, Rc<RevokeSignal>>>,
}

impl SharedMemory {
    /// Creates the account of `limit_bytes`.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self(Rc::new(MemoryState {
            account: RefCell::new(HoldAccount::new(limit_bytes)),
            signals: RefCell::default(),
        }))
    }

    /// Opens a lease without memory.
    pub(crate) fn lease(&self) -> MemoryLease {
        let id = self.0.account.borrow_mut().open();
        let signal = Rc::new(RevokeSignal::default());
        self.0.signals.borrow_mut().insert(id, Rc::clone(&signal));
        MemoryLease {
            memory: self.clone(),
            id,
            signal,
        }
    }

    /// Revokes the lease that has waited longest for its caller, and with it the caller's request.
    /// `false` if none may be revoked.
    pub(crate) fn revoke_longest(&self) -> bool {
        let revoked = self.0.account.borrow_mut().revoke_longest(Instant::now());
        let signal = revoked.and_then(|id| self.0.signals.borrow().get(&id).cloned());
        signal.is_some_and(|signal| {
            signal.revoke();
            true
        })
    }

    /// Revokes the lease at `service` that has waited longest for its caller, if any may be
    /// revoked. The receiver completes once it has been dropped.
    pub(crate) fn revoke_at(&self, now: Instant, service: &str) -> Option<oneshot::Receiver<()>> {
        let place = stable_hash(service.as_bytes());
        let id = self.0.account.borrow_mut().revoke_at(now, &place)?;
        let signal = self.0.signals.borrow().get(&id).cloned()?;
        let (released, receiver) = oneshot::channel();
        signal.released.replace(Some(released));
        signal.revoke();
        Some(receiver)
    }
}

/// A share of the memory. It is returned when the lease is dropped.
#[derive(Debug)]
pub(crate) struct MemoryLease {
    memory: SharedMemory,
    id: HolderId,
    signal: Rc<RevokeSignal>,
}

impl MemoryLease {
    /// Raises the lease to `bytes`. Whoever has to yield for it is told.
    ///
    /// # Errors
    /// Returns [`ClaimRefused`] if there is not enough memory.
    pub(crate) fn claim(&self, bytes: usize) -> Result<(), ClaimRefused> {
        let state = &self.memory.0;
        let revoked = state
            .account
            .borrow_mut()
            .claim(Instant::now(), self.id, bytes)?;
        let signals = state.signals.borrow();
        for id in revoked {
            if let Some(signal) = signals.get(&id) {
                signal.revoke();
            }
        }
        Ok(())
    }

    /// Lowers the lease to `bytes`.
    pub(crate) fn release(&self, bytes: usize) {
        self.memory.0.account.borrow_mut().release(self.id, bytes);
    }

    /// Records that the holder waits for its caller.
    pub(crate) fn on_waiting(&self) {
        let mut account = self.memory.0.account.borrow_mut();
        account.on_waiting(Instant::now(), self.id);
    }

    /// Records that the caller has moved, or that the holder doesn't wait for it any more.
    pub(crate) fn on_moved(&self) {
        self.memory.0.account.borrow_mut().on_moved(self.id);
    }

    /// Records that the holder occupies a slot of a server of `service`.
    pub(crate) fn occupy(&self, service: &str) {
        let place = stable_hash(service.as_bytes());
        self.memory.0.account.borrow_mut().occupy(self.id, place);
    }

    /// Whether the holder has to drop the lease; otherwise wakes the task when it has to.
    pub(crate) fn poll_revoked(&self, context: &Context<'_>) -> Poll<()> {
        if self.signal.is_revoked.get() {
            return Poll::Ready(());
        }
        self.signal.waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }

    /// Completes when the holder has to drop the lease.
    pub(crate) async fn revoked(&self) {
        poll_fn(|context| self.poll_revoked(context)).await;
    }
}

impl Drop for MemoryLease {
    fn drop(&mut self) {
        let state = &self.memory.0;
        state.account.borrow_mut().close(self.id);
        state.signals.borrow_mut().remove(&self.id);
        if let Some(released) = self.signal.released.take() {
            // Whoever waited for it may have been answered meanwhile.
            let _ = released.send(());
        }
    }
}
