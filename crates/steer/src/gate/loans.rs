//! Trading rights with the peers of the region: asks, grants, returns.

use base::prelude::*;

use super::RegionGate;
use crate::event::GateAction;
use crate::message::{AskId, EntryMessage, LoanId};
use crate::plan::MemberPlan;
use crate::pool::{OpenAsk, PeerAsk};
use crate::rights::NewLoan;

/// Peers that one waiting request asks for a right.
const ASK_FANOUT: usize = 3;
/// Peers of the region that an instance trades rights with.
const LOAN_GROUP: usize = 16;
/// Longest use of a borrowed right, in deadlines of its service.
const LOAN_TERM: u32 = 2;

impl RegionGate {
    /// Asks peers for rights, as long as more requests wait than asks are open.
    pub(super) fn ask_peers(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(pool) = self.pools.get(service) else {
            return;
        };
        if pool.queue.is_empty() || pool.asks.len() >= pool.queue.len() * ASK_FANOUT {
            return;
        }
        let term = pool.service.deadline * LOAN_TERM;
        let wait = pool.service.deadline;
        for lender in self.lenders(now, service) {
            let ask = AskId(self.next_ask);
            self.next_ask += 1;
            let open = OpenAsk {
                lender: lender.clone(),
                sent: now,
                term,
            };
            if let Some(pool) = self.pools.get_mut(service) {
                pool.asks.insert(ask, open);
            }
            actions.push(GateAction::Send {
                to: lender,
                body: EntryMessage::Ask {
                    ask,
                    service: service.clone(),
                    term,
                    wait,
                },
            });
        }
    }

    /// Peers of the region to ask: those that tell of most spare rights, then round robin.
    pub(super) fn lenders(&mut self, now: Instant, service: &ServiceId) -> Vec<NodeId> {
        let near = &self.near;
        if near.is_empty() {
            return Vec::new();
        }
        let start = self.next_peer % near.len();
        let mut ranked: Vec<(u16, NodeId)> = near[start..]
            .iter()
            .chain(&near[..start])
            .map(|peer| (self.spare_of(now, &peer.node, service), peer.node.clone()))
            .collect();
        ranked.sort_by_key(|(spare, _)| std::cmp::Reverse(*spare));
        self.next_peer = self.next_peer.wrapping_add(1);
        let best = ranked.into_iter().take(ASK_FANOUT);
        best.map(|(_, node)| node).collect()
    }

    /// Lends a right to the first peer that waits; `false` where there is none to lend.
    pub(super) fn lend_one(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let link_open = self.link_open();
        let Some(pool) = self.pools.get_mut(service) else {
            return false;
        };
        let Some(ask) = pool.peer_asks.front() else {
            return false;
        };
        if !link_open || !pool.rights.has_spare(now) {
            return false;
        }
        let number = LoanId(self.next_loan);
        self.next_loan += 1;
        let loan = pool.rights.lend(now, number, &ask.from, ask.ask, ask.term);
        let Some(ask) = pool.peer_asks.pop_front() else {
            return false;
        };
        let Some(loan) = loan else {
            return true;
        };
        actions.push(GateAction::Send {
            to: ask.from,
            body: EntryMessage::Grant {
                ask: ask.ask,
                loan: loan.loan,
                server: loan.server,
                term: ask.term,
            },
        });
        true
    }

    /// Withdraws asks that no request waits for, and returns idle borrowed rights.
    pub(super) fn settle_asks(
        &mut self,
        now: Instant,
        service: &ServiceId,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        while pool.asks.len() > pool.queue.len() * ASK_FANOUT {
            let Some((ask, open)) = pool.asks.pop_first() else {
                break;
            };
            pool.withdrawn.insert(ask, now);
            actions.push(GateAction::Send {
                to: open.lender,
                body: EntryMessage::Withdraw { ask },
            });
        }
        for (lender, loan) in pool.rights.release_idle() {
            actions.push(return_loan(lender, loan));
        }
    }

    pub(super) fn on_ask(
        &mut self,
        now: Instant,
        service: &ServiceId,
        ask: PeerAsk,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        if pool.peer_asks.len() < pool.service.queue {
            pool.peer_asks.push_back(ask);
        }
        self.serve(now, service, actions);
    }

    pub(super) fn on_grant(
        &mut self,
        now: Instant,
        from: &NodeId,
        ask: AskId,
        loan: &NewLoan,
        term: Duration,
        actions: &mut Vec<GateAction>,
    ) {
        let Some(service) = self.service_of_ask(ask) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&service) else {
            return;
        };
        if pool.withdrawn.remove(&ask).is_some() {
            actions.push(return_loan(from.clone(), loan.loan));
            return;
        }
        let Some(open) = pool.asks.remove(&ask) else {
            return;
        };
        let ends = open.sent + term.min(open.term);
        if open.lender == *from && ends > now {
            pool.rights.borrow(from, loan, ends);
        }
        self.serve(now, &service, actions);
    }

    pub(super) fn service_of_ask(&self, ask: AskId) -> Option<ServiceId> {
        self.pools
            .iter()
            .find(|(_, pool)| pool.asks.contains_key(&ask) || pool.withdrawn.contains_key(&ask))
            .map(|(service, _)| service.clone())
    }

    pub(super) fn on_withdraw(&mut self, from: &NodeId, ask: AskId) {
        for pool in self.pools.values_mut() {
            pool.peer_asks
                .retain(|known| known.ask != ask || known.from != *from);
        }
    }

    pub(super) fn on_return(
        &mut self,
        now: Instant,
        from: &NodeId,
        loan: LoanId,
        actions: &mut Vec<GateAction>,
    ) {
        // Loan numbers are unique to the pool that lent, so the borrower's name decides.
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            if let Some(pool) = self.pools.get_mut(&service) {
                pool.rights.on_return(from, loan);
            }
            self.serve(now, &service, actions);
        }
    }
}

/// The peers that follow `node` in the order of names, at most [`LOAN_GROUP`], so that
/// every instance trades with a bounded group and the groups overlap.
pub(super) fn loan_group(node: &NodeId, mut near: Vec<MemberPlan>) -> Vec<MemberPlan> {
    near.sort_by(|a, b| a.node.cmp(&b.node));
    let after = near.partition_point(|peer| peer.node < *node);
    near.rotate_left(after);
    near.truncate(LOAN_GROUP);
    near
}

fn return_loan(lender: NodeId, loan: LoanId) -> GateAction {
    GateAction::Send {
        to: lender,
        body: EntryMessage::Return { loan },
    }
}
