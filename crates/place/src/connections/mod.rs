//! Decides to which servers an entry opens connections ahead of requests.
//!
//! A request to a server without an open connection takes an additional round trip. Where that
//! costs a noticeable part of the route's objective, connections are opened for servers that
//! are expected to get a request before an idle connection would be closed.

mod pause;
pub mod planner;
mod usage;
