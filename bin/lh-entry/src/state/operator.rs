//! Applies what the operator requests: desired states, evacuations and rollouts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use place::fleet::store_progress::StoreProgress;
use place::prelude::*;
use platform::desired::OperatorChange;
use team::index::TeamIndex;

use crate::admission;
use crate::state::InstanceState;

impl InstanceState {
    /// Applies an operator's change; a desired state only if it is newer.
    pub(crate) fn on_operator_change(&self, change: &OperatorChange) {
        match change {
            OperatorChange::Desired(desired) => self.apply_desired_state(desired),
            OperatorChange::Evacuate(domain) => {
                let fresh = self.evacuated.borrow_mut().insert(domain.clone());
                if fresh {
                    log::info!(domain = domain.as_str(); "evacuation in force");
                    self.update_evacuations();
                }
            }
            OperatorChange::Restore(domain) => {
                let known = self.evacuated.borrow_mut().remove(domain);
                if known {
                    log::info!(domain = domain.as_str(); "evacuation taken back");
                    self.update_evacuations();
                }
            }
            OperatorChange::Rollout(order) => self.rollouts.on_order(order),
            OperatorChange::CancelRollout(service) => self.rollouts.on_withdrawn(service),
        }
    }

    /// Applies the evacuations from a lead with the given progress. A response to a request
    /// for everything (`is_whole`) is applied even if it appears older.
    pub(crate) fn on_peer_operator(
        &self,
        progress: &StoreProgress,
        evacuated: &[String],
        is_whole: bool,
    ) {
        if progress.operator <= self.fleet.known().operator && !is_whole {
            return;
        }
        for domain in evacuated {
            self.on_operator_change(&OperatorChange::Evacuate(domain.clone()));
        }
        self.restore_domains_except(evacuated);
        self.fleet
            .update_known(|known| known.replace_operator(progress));
    }

    /// Applies the complete set of the operator's rows: evacuations and rollouts that are
    /// missing from it have been cancelled.
    pub(crate) fn on_operator_rows(&self, changes: &[OperatorChange]) {
        let (mut domains, mut orders) = (Vec::new(), Vec::new());
        for change in changes {
            self.on_operator_change(change);
            match change {
                OperatorChange::Evacuate(domain) => domains.push(domain.clone()),
                OperatorChange::Rollout(order) => orders.push(order),
                _ => {}
            }
        }
        self.restore_domains_except(&domains);
        self.rollouts.on_all_orders(&orders);
    }

    /// Cancels the evacuations of all failure domains except `domains`.
    fn restore_domains_except(&self, domains: &[String]) {
        let evacuated = self.evacuated.borrow().clone();
        for domain in evacuated {
            if !domains.contains(&domain) {
                self.on_operator_change(&OperatorChange::Restore(domain));
            }
        }
    }

    /// Applies a desired state if it is newer than the one in force.
    pub(crate) fn apply_desired_state(&self, desired: &DesiredState) {
        let known = self.version();
        if desired.version <= known {
            if desired.version < known {
                log::warn!(version = desired.version, known; "older desired state ignored");
            }
            return;
        }
        self.limits.set(desired.limits);
        self.placer.borrow_mut().set_desired(desired);
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(desired));
        self.set_teams(desired);
        *self.desired.borrow_mut() = Some(Rc::new(desired.clone()));
        self.metrics.version.set(desired.version as i64);
        log::info!(version = desired.version, before = known, routes = desired.routes.len(); "desired state in force");
        self.fleet
            .update_known(|known| known.desired = desired.version);
    }

    fn set_teams(&self, desired: &DesiredState) {
        let teams = TeamIndex::new(&desired.teams);
        for key in teams.shared_keys() {
            log::error!(key:%, version = desired.version; "key of two teams; it names neither");
        }
        let logged_home_conflicts =
            admission::log_region_conflicts(desired, &self.logged_home_conflicts.borrow());
        *self.logged_home_conflicts.borrow_mut() = logged_home_conflicts;
        let mut quota = self.quota.borrow_mut();
        quota.set_teams(Instant::now(), &desired.teams);
        self.fairness.borrow_mut().set_teams(&desired.teams);
        *self.teams.borrow_mut() = Rc::new(teams);
    }

    fn update_evacuations(&self) {
        let domains = self.evacuated.borrow().clone();
        let mut placer = self.placer.borrow_mut();
        let warmup: Duration = placer.longest_warmup();
        placer
            .catalog
            .set_evacuated(Instant::now(), domains, warmup);
    }
}
