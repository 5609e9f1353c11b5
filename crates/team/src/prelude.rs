//! The most commonly used types of this crate.

pub use crate::access::{Access, AccessBounds, KeyClaim};
pub use crate::bucket::QuotaBounds;
pub use crate::index::TeamIndex;
pub use crate::key::KeyDigest;
pub use crate::quota::{QuotaLimiter, QuotaReport};
pub use crate::spec::{TeamQuota, TeamSpec};
