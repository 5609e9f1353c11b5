//! Teams: authentication by key, request quotas and allowed regions.
//!
//! This crate contains only decision logic: no sockets, clocks or threads. Keys are held as
//! digests, so nothing that is stored, sent or logged can be used as a key.

pub mod access;
pub mod bucket;
pub mod error;
pub mod fairness;
pub mod index;
pub mod key;
pub mod prelude;
pub mod quota;
pub mod regions;
pub mod spec;
