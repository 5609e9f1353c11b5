//! The most commonly used types of this crate.

pub use crate::controller::{RolloutConfig, RolloutController, ServerCounts};
pub use crate::filter::{VersionChoice, VersionFilter};
pub use crate::order::{RolloutOrder, RolloutPhase, RolloutRecord};
pub use crate::report::RolloutReport;
pub use crate::schedule::{CanarySchedule, RolloutStage, ShareSchedule};
pub use crate::sends::{SendOutcome, SendToken, VersionSend};
