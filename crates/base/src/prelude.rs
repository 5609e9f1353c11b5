//! Types that most modules use.

pub use std::time::{Duration, Instant};

pub use crate::id::{
    BackendServerId, FailureDomainId, Incarnation, InstanceId, NodeId, RegionId, ServiceId,
};
pub use crate::outcome::Outcome;
