//! Identifiers of the machines, places and processes that laurelhill steers.

use serde::{Deserialize, Serialize};

crate::text_id! {
    /// A region: a group of failure domains that share one capacity guard.
    RegionId;
    /// A failure domain inside a region.
    FailureDomainId;
    /// A service that callers ask for, such as `booking-desk`.
    ServiceId;
    /// A backend server, named by its address.
    BackendServerId;
    /// An instance of laurelhill, named by the platform.
    InstanceId;
}

/// One run of one process. A restarted process gets a new value, so that
/// nothing addressed to the former run reaches the new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl std::fmt::Display for Incarnation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An instance in one of its incarnations: the holder of seats and rights.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId {
    /// The instance.
    pub instance: InstanceId,
    /// The run of its entry process.
    pub incarnation: Incarnation,
}

impl NodeId {
    /// Names `instance` in its run `incarnation`.
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
