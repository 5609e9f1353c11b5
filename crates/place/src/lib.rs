//! Request routing for entries, the proxies that callers connect to: routes, the catalog of
//! backend servers, and load balancing among them.
//!
//! [`fleet`] is the protocol by which entries exchange their state and follow the store,
//! [`placing`] selects a server for a request, [`limits`] enforces limits shared by all
//! entries, and [`statement`] holds what servers say of themselves. The other modules define the types that these work on.
//!
//! All code here is deterministic decision logic without sockets, clocks, threads or unseeded
//! randomness. Callers pass `now`, so the same code runs in the daemon and in tests under
//! virtual time.

pub mod blocks;
pub mod catalog;
pub mod connections;
pub mod crash;
pub mod departure;
pub mod desired;
pub mod directory;
pub mod durations;
pub mod fleet;
pub mod limits;
pub mod paths;
pub mod placing;
pub mod prelude;
pub mod rank;
pub mod request;
pub mod returns;
pub mod routes;
pub mod server;
pub mod shares;
pub mod snapshot;
pub mod statement;
