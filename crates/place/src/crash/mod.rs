//! Requests that end the servers that run them.
//!
//! A server that ends takes along all requests that were at it, and their callers send
//! them again. One of them may be the cause, and ends each further server that gets it.
//! Entries tell their leads which requests were at which run of a server when it ended;
//! leads tell each other, so that each decides by what all entries saw. A request that
//! alone explains enough ends is in quarantine at all entries: it is refused at once.
//! Whatever a server answers well is cleared.
//!
//! What an entry sends and hears for this doesn't grow with the fleet: it tells its two
//! leads of its own broken requests, and hears from them which are in quarantine.

pub mod fingerprint;
pub mod ledger;
pub mod message;
pub mod outbox;
pub mod quarantine;
