//! The choice of a server for a request, and what it is learned from.

pub mod candidates;
pub mod choice;
pub mod load;
pub mod placer;
pub mod timing;
pub mod trip;
pub mod warmth;
pub mod work;
