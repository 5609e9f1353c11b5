//! Moves a service's traffic to servers of another version, and back where that version
//! turns out to be bad.
//!
//! An operator orders a version and a time ([`order`]). Every entry follows the same
//! [`schedule`] and counts how requests fare on either version ([`evidence`]); entries tell
//! each other their counts ([`report`]), so that each of them can judge for the whole fleet.
//! [`controller`] is what one entry knows and does.
//!
//! Everything here is decision code: no sockets, clocks, threads or randomness.

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
