//! Ways to hold all entries within a team's quota, played against each other in virtual time:
//! entries that let requests in, words among them that take their time and get lost, cuts,
//! restarts, teams that ask for many times their usual.

mod play;
mod report;
mod ways;
mod world;

pub use play::{QuotaChange, QuotaPlay, TeamLoad};
pub use report::QuotaReport;
pub use ways::{EntryQuota, EqualParts, LeasedParts, ToldCounts};
pub use world::play_quota;
