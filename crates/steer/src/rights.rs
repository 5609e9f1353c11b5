//! Slot rights: who may put work on which slot of a backend server.
//!
//! One right is one slot of one server. An instance owns the rights of its seats,
//! lends them and borrows others'. The lender writes a right off before the
//! borrower may use it, and takes it back only when the borrower returns it or
//! the loan has ended by the lender's clock, which is later than by the
//! borrower's. So the rights in use never exceed the slots.

use std::collections::{BTreeMap, HashMap, HashSet};

use base::prelude::*;

use crate::event::RequestId;
use crate::message::{AskId, LoanId};

/// Added to a loan's end on the lender's side, for cancellations under way.
const LENDER_GRACE: Duration = Duration::from_millis(200);
/// Part of a loan's term added on the lender's side, for clocks that run apart.
const CLOCK_DRIFT: f64 = 0.01;
/// Time for which a server that could not be reached gets no new work.
const SUSPECT_TIME: Duration = Duration::from_millis(500);

/// Servers with a free slot that one choice looks at.
const PICK_AMONG: usize = 8;

/// The seat that owns slot `slot` of `server` in a region of `seats` seats.
pub fn slot_owner(server: &BackendServerId, slot: u16, seats: u16) -> u16 {
    let offset = server.as_str().bytes().fold(0_u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    let seat = (offset % u32::from(seats) + u32::from(slot)) % u32::from(seats);
    u16::try_from(seat).unwrap_or(0)
}

/// What this instance may use of a server by its own seats.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerGrant {
    /// The server.
    pub id: BackendServerId,
    /// Slots that this instance's seats own.
    pub own: u16,
    /// Whether new work may go there.
    pub open: bool,
}

#[derive(Debug, Clone)]
struct ServerRights {
    id: BackendServerId,
    own: u16,
    open: bool,
    lent: u16,
    used: u16,
    suspect_until: Option<Instant>,
}

impl ServerRights {
    fn free(&self, now: Instant) -> u16 {
        if !self.usable(now) {
            return 0;
        }
        self.own.saturating_sub(self.lent + self.used)
    }

    fn usable(&self, now: Instant) -> bool {
        self.open && self.suspect_until.is_none_or(|until| until <= now)
    }
}

#[derive(Debug, Clone)]
struct LentRight {
    to: NodeId,
    ask: AskId,
    server: BackendServerId,
    ends: Instant,
}

#[derive(Debug, Clone)]
struct BorrowedRight {
    lender: NodeId,
    loan: LoanId,
    server: BackendServerId,
    ends: Instant,
    used: bool,
}

#[derive(Debug, Clone)]
enum HeldRight {
    Own(BackendServerId),
    Borrowed(NodeId, LoanId),
}

/// A right that was taken for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TakenRight {
    /// The server whose slot it is.
    pub server: BackendServerId,
    /// When the slot must be given back.
    pub until: Instant,
}

/// A loan to write into a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewLoan {
    /// Names the loan.
    pub loan: LoanId,
    /// The server whose slot is lent.
    pub server: BackendServerId,
}

/// The rights of one service at one instance.
#[derive(Debug, Clone, Default)]
pub struct RightsBook {
    servers: Vec<ServerRights>,
    /// Places in `servers` by name.
    places: HashMap<BackendServerId, usize>,
    next_server: usize,
    lent: BTreeMap<LoanId, LentRight>,
    borrowed: Vec<BorrowedRight>,
    /// Own rights in use or lent.
    committed: u32,
    held: HashMap<RequestId, HeldRight>,
}

impl RightsBook {
    /// A book without servers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces what this instance's seats own. Work and loans on servers that are
    /// not named any more, or that own fewer slots now, go on until they end.
    pub fn set_grants(&mut self, grants: &[ServerGrant]) {
        let named: HashSet<&BackendServerId> = grants.iter().map(|grant| &grant.id).collect();
        for server in &mut self.servers {
            if named.contains(&server.id) {
                continue;
            }
            server.own = 0;
            server.open = false;
        }
        for grant in grants {
            match self.server_mut(&grant.id) {
                Some(server) => {
                    server.own = grant.own;
                    server.open = grant.open;
                }
                None => self.servers.push(ServerRights {
                    id: grant.id.clone(),
                    own: grant.own,
                    open: grant.open,
                    lent: 0,
                    used: 0,
                    suspect_until: None,
                }),
            }
        }
        self.servers
            .retain(|server| named.contains(&server.id) || server.lent + server.used > 0);
        let places = self.servers.iter().enumerate();
        self.places = places
            .map(|(place, server)| (server.id.clone(), place))
            .collect();
    }

    /// Takes a right for `request`, which ends at `deadline` at the latest; an own
    /// one only where `own_allowed`.
    pub fn take(
        &mut self,
        now: Instant,
        request: RequestId,
        deadline: Instant,
        own_allowed: bool,
    ) -> Option<TakenRight> {
        let own = if own_allowed { self.pick(now) } else { None };
        if let Some(server) = own {
            self.servers[server].used += 1;
            self.committed += 1;
            let id = self.servers[server].id.clone();
            self.held.insert(request, HeldRight::Own(id.clone()));
            return Some(TakenRight {
                server: id,
                until: deadline,
            });
        }
        self.take_borrowed(now, request, deadline)
    }

    fn take_borrowed(
        &mut self,
        now: Instant,
        request: RequestId,
        deadline: Instant,
    ) -> Option<TakenRight> {
        let loan = self
            .borrowed
            .iter_mut()
            .find(|loan| !loan.used && loan.ends >= deadline && loan.ends > now)?;
        loan.used = true;
        let taken = TakenRight {
            server: loan.server.clone(),
            until: deadline.min(loan.ends),
        };
        let held = HeldRight::Borrowed(loan.lender.clone(), loan.loan);
        self.held.insert(request, held);
        Some(taken)
    }

    /// The server with most free own slots among the next few that have any, so that
    /// the choice costs the same in a large region; ties go round.
    fn pick(&mut self, now: Instant) -> Option<usize> {
        let count = self.servers.len();
        let mut best: Option<(u16, usize)> = None;
        let mut seen = 0;
        for step in 0..count {
            let index = (self.next_server + step) % count;
            let free = self.servers[index].free(now);
            if free == 0 {
                continue;
            }
            if free > best.map_or(0, |(most, _)| most) {
                best = Some((free, index));
            }
            seen += 1;
            if seen == PICK_AMONG {
                break;
            }
        }
        let (_, index) = best?;
        self.next_server = (index + 1) % count;
        Some(index)
    }

    /// Gives back the right that `request` held.
    pub fn finish(&mut self, request: RequestId) {
        match self.held.remove(&request) {
            Some(HeldRight::Own(id)) => {
                if let Some(server) = self.server_mut(&id) {
                    server.used = server.used.saturating_sub(1);
                }
                self.committed = self.committed.saturating_sub(1);
            }
            Some(HeldRight::Borrowed(lender, loan)) => {
                for right in &mut self.borrowed {
                    if right.loan == loan && right.lender == lender {
                        right.used = false;
                    }
                }
            }
            None => {}
        }
    }

    /// Sends no new work to `server` for a short while.
    pub fn suspect(&mut self, now: Instant, server: &BackendServerId) {
        if let Some(server) = self.server_mut(server) {
            server.suspect_until = Some(now + SUSPECT_TIME);
        }
    }

    /// Writes a free own right off and lends it to `to` for `term` as `loan`, a
    /// number never used before. `None` where none is free or the ask has one already.
    pub fn lend(
        &mut self,
        now: Instant,
        loan: LoanId,
        to: &NodeId,
        ask: AskId,
        term: Duration,
    ) -> Option<NewLoan> {
        if self
            .lent
            .values()
            .any(|lent| lent.to == *to && lent.ask == ask)
        {
            return None;
        }
        let index = self.pick(now)?;
        self.servers[index].lent += 1;
        self.committed += 1;
        let server = self.servers[index].id.clone();
        self.lent.insert(
            loan,
            LentRight {
                to: to.clone(),
                ask,
                server: server.clone(),
                ends: now + term.mul_f64(1.0 + CLOCK_DRIFT) + LENDER_GRACE,
            },
        );
        Some(NewLoan { loan, server })
    }

    /// The borrower has given `loan` back. Repeated and strange returns change nothing.
    pub fn on_return(&mut self, from: &NodeId, loan: LoanId) {
        let known = self.lent.get(&loan).is_some_and(|lent| lent.to == *from);
        if known {
            self.end_loan(loan);
        }
    }

    fn end_loan(&mut self, loan: LoanId) {
        let Some(lent) = self.lent.remove(&loan) else {
            return;
        };
        if let Some(server) = self.server_mut(&lent.server) {
            server.lent = server.lent.saturating_sub(1);
        }
        self.committed = self.committed.saturating_sub(1);
    }

    /// Takes a borrowed right in, usable until `ends` by this instance's clock.
    pub fn borrow(&mut self, lender: &NodeId, loan: &NewLoan, ends: Instant) {
        self.borrowed.push(BorrowedRight {
            lender: lender.clone(),
            loan: loan.loan,
            server: loan.server.clone(),
            ends,
            used: false,
        });
    }

    /// Removes the borrowed rights that no request uses, and names them with their
    /// lenders so that they can be returned.
    pub fn release_idle(&mut self) -> Vec<(NodeId, LoanId)> {
        let mut released = Vec::new();
        self.borrowed.retain(|right| {
            if !right.used {
                released.push((right.lender.clone(), right.loan));
            }
            right.used
        });
        released
    }

    /// Takes back the lent rights whose loans have ended by this instance's clock.
    pub fn expire(&mut self, now: Instant) {
        let ended: Vec<LoanId> = self
            .lent
            .iter()
            .filter(|(_, lent)| lent.ends <= now)
            .map(|(loan, _)| *loan)
            .collect();
        for loan in ended {
            self.end_loan(loan);
        }
    }

    /// Own rights that are neither used nor lent.
    pub fn spare(&self, now: Instant) -> u16 {
        self.servers.iter().map(|server| server.free(now)).sum()
    }

    /// Whether any own right is neither used nor lent.
    pub fn has_spare(&self, now: Instant) -> bool {
        self.servers.iter().any(|server| server.free(now) > 0)
    }

    /// Own rights on servers that take new work.
    pub fn owned(&self) -> u16 {
        let open = self.servers.iter().filter(|server| server.open);
        open.map(|server| server.own).sum()
    }

    /// Whether any right is borrowed.
    pub fn is_borrowing(&self) -> bool {
        !self.borrowed.is_empty()
    }

    /// Requests in flight on own and borrowed rights.
    pub fn in_flight(&self) -> usize {
        self.held.len()
    }

    /// Own rights in use or lent, which count against the own part of the link.
    pub fn committed(&self) -> u32 {
        self.committed
    }

    /// Whether uses and loans of every server fit the slots that are owned now.
    pub fn within_grants(&self) -> bool {
        self.servers
            .iter()
            .all(|server| server.lent + server.used <= server.own)
    }

    /// Rights in use on `server` by this instance, borrowed ones included.
    pub fn used_on(&self, server: &BackendServerId) -> u16 {
        let own = self
            .servers
            .iter()
            .find(|known| known.id == *server)
            .map_or(0, |known| known.used);
        let borrowed = self
            .borrowed
            .iter()
            .filter(|right| right.used && right.server == *server)
            .count();
        own + u16::try_from(borrowed).unwrap_or(u16::MAX)
    }

    fn server_mut(&mut self, id: &BackendServerId) -> Option<&mut ServerRights> {
        let place = *self.places.get(id)?;
        self.servers.get_mut(place)
    }
}
