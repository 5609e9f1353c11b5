//! Teams: whose request it is, what a team may ask for, and where it may be served.
//!
//! Everything here is decision code: no sockets, clocks or threads. Keys are held as
//! digests only, so that nothing that is stored, told or logged can be used as a key.

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
