//! Progressive rollouts: moves a service's traffic to another version, and rolls back if that
//! version turns out to be bad.
//!
//! An operator orders a version and a duration ([`order`]). Every entry follows the same
//! [`schedule`] and counts outcomes of requests on both versions ([`evidence`]). Entries
//! exchange their counts ([`report`]), so that each can judge the version for the whole fleet.
//! The [`controller`] holds the state of one entry and makes its decisions.
//!
//! This crate contains only decision logic: no sockets, clocks, threads or randomness.

pub mod controller;
pub mod detector;
pub mod evidence;
pub mod exposure;
pub mod filter;
pub mod order;
pub mod prelude;
pub mod report;
pub mod schedule;
pub mod sends;
pub mod versions;
