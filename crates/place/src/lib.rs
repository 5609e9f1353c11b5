//! Where a request goes on an entry that serves callers directly: routes, the
//! catalog of backend servers, and the choice among them.
//!
//! Everything here is decision code: no sockets, clocks, threads or unseeded
//! randomness. Callers pass `now`; the same code runs in the daemon and in tests
//! under virtual time.

pub mod blocks;
pub mod budget;
pub mod candidates;
pub mod catalog;
pub mod choice;
pub mod desired;
pub mod directory;
pub mod fleet;
pub mod load;
pub mod placer;
pub mod prelude;
pub mod ramp;
pub mod rank;
pub mod refusal;
pub mod request;
pub mod routes;
pub mod server;
pub mod shift;
pub mod split;
pub mod timing;
pub mod trip;
pub mod warmth;
pub mod work;
