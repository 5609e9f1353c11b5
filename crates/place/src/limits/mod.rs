//! Bounds that all entries share: repeats, cold servers, shifts between regions, parts of
//! a route, and when a caller that is refused comes back.

pub mod budget;
pub mod ramp;
pub mod refusal;
pub mod shift;
pub mod split;
