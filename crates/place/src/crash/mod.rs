//! Detection and quarantine of requests that crash the servers that run them.
//!
//! A server that crashes takes down all requests in flight at it, and their callers send them
//! again. One of them may be the cause and crash each further server that receives it. Entries
//! report to the leads of their region which requests were in flight at which server run when
//! it crashed. Leads exchange these reports, so each of them decides from what all entries saw.
//! A request that alone explains enough crashes is quarantined at all entries, which then
//! refuse it immediately. A successful answer clears a request.
//!
//! The traffic of an entry for this doesn't grow with the fleet: it reports its own broken
//! requests to its two leads and receives the list of quarantined requests from them.

pub mod fingerprint;
pub mod ledger;
pub mod message;
pub mod outbox;
pub mod quarantine;
