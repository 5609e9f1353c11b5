//! The plan in force as the request path and the look-ups use it.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, PoisonError, RwLock};

use base::prelude::*;
use conf::Service;
use steer::{BlockTable, BlockTableBuilder, LookupBook, MemberPlan, Plan, parse_block};

/// A plan with everything that is derived from it.
#[derive(Debug)]
pub struct RelaySnapshot {
    plan: Plan,
    book: LookupBook,
    blocks: BlockTable,
    regions: Vec<RegionId>,
}

impl RelaySnapshot {
    /// Prepares `plan` for use.
    pub fn new(plan: Plan) -> Self {
        let book = LookupBook::new(&plan);
        let mut builder = BlockTableBuilder::new();
        let mut regions = Vec::new();
        for (site, region) in (0_u16..).zip(plan.deployment.regions.values()) {
            regions.push(region.id.clone());
            for block in &region.client_blocks {
                let Ok((address, length)) = parse_block(block) else {
                    log::warn!(block:% = block; "client block can't be read");
                    continue;
                };
                builder = builder.with_block(address, length, site);
            }
        }
        Self {
            book,
            blocks: builder.build(),
            regions,
            plan,
        }
    }

    /// The plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// The look-up answers.
    pub fn book(&self) -> &LookupBook {
        &self.book
    }

    /// A service by name.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.plan.deployment.services.get(id)
    }

    /// The home region of a caller.
    pub fn home(&self, address: IpAddr) -> Option<&RegionId> {
        let site = self.blocks.find(address)?;
        self.regions.get(usize::from(site))
    }

    /// The instance that runs as `node`.
    pub fn member(&self, node: &NodeId) -> Option<&MemberPlan> {
        self.plan.members.iter().find(|member| member.node == *node)
    }

    /// Whether `address` belongs to an instance.
    pub fn is_member(&self, address: IpAddr) -> bool {
        self.plan
            .members
            .iter()
            .any(|member| member.relay.ip() == address)
    }

    /// Addresses at which entries hear messages.
    pub fn mesh_addresses(&self) -> impl Iterator<Item = (&NodeId, SocketAddr)> {
        let members = self.plan.members.iter();
        members.map(|member| (&member.node, member.mesh))
    }
}

/// Holds the snapshot in force.
#[derive(Debug, Default)]
pub struct SnapshotCell {
    present: RwLock<Option<Arc<RelaySnapshot>>>,
}

impl SnapshotCell {
    /// An empty cell.
    pub fn new() -> Self {
        Self::default()
    }

    /// The snapshot in force; `None` before the first plan.
    pub fn get(&self) -> Option<Arc<RelaySnapshot>> {
        let present = self.present.read().unwrap_or_else(PoisonError::into_inner);
        present.clone()
    }

    /// Puts a snapshot in force, unless its configuration is older than the present one.
    pub fn set(&self, snapshot: RelaySnapshot) -> bool {
        let mut present = self.present.write().unwrap_or_else(PoisonError::into_inner);
        let older = present
            .as_ref()
            .is_some_and(|known| known.plan.version > snapshot.plan.version);
        if older {
            return false;
        }
        *present = Some(Arc::new(snapshot));
        true
    }
}
