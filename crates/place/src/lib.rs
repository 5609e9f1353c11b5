//! Where a request goes on an entry that serves callers directly: routes, the
//! catalog of backend servers, and the choice among them.
//!
//! [`fleet`] is how entries hear of each other and of the store, [`placing`] the choice of a
//! server, [`limits`] the bounds that all entries share; the modules beside them are what
//! these speak of.
//!
//! Everything here is decision code: no sockets, clocks, threads or unseeded
//! randomness. Callers pass `now`; the same code runs in the daemon and in tests
//! under virtual time.

pub mod blocks;
pub mod catalog;
pub mod crash;
pub mod departure;
pub mod desired;
pub mod directory;
pub mod fleet;
pub mod limits;
pub mod placing;
pub mod prelude;
pub mod rank;
pub mod request;
pub mod routes;
pub mod server;
pub mod snapshot;
