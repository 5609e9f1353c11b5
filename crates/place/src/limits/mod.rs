//! Limits that all entries share: retries, requests to cold servers, shifts between regions,
//! the parts of a route, and when a refused caller should resubmit.

pub mod budget;
pub mod cold_rate;
pub mod refusal;
pub mod shift;
pub mod split;
