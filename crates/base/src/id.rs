//! Identifiers of regions, services, servers and laurelhill instances.

use serde::{Deserialize, Serialize};

crate::text_id! {
    /// A region: a group of failure domains that share a limit on their capacity.
    RegionId;
    /// A failure domain within a region.
    FailureDomainId;
    /// A service that callers request, such as `booking-desk`.
    ServiceId;
    /// A backend server, identified by its address.
    BackendServerId;
    /// An instance of laurelhill; the platform assigns its name.
    InstanceId;
}

/// Identifies one run of a process. A restarted process gets a new value, so that messages
/// for the previous run are not taken for messages to the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A specific run of an instance. Leases and roles are granted to a run, so that they end
/// with it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId {
    /// The instance.
    pub instance: InstanceId,
    /// The run of the instance's entry process.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// The run `incarnation` of `instance`.
    pub fn new(instance: &InstanceId, incarnation: Incarnation) -> Self {
        Self {
            instance: instance.clone(),
            incarnation,
        }
    }
}

impl std::fmt::Display for NodeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}@{}", self.instance, self.incarnation)
    }
}
