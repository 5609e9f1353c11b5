//! Callers that were refused and asked to come back.
//!
//! A refusal is a promise: the entry notes the request, its deadline and when its caller is due,
//! and tells the other entries that get requests. Whichever entry the caller returns to
//! recognizes it by the same object and the same end of its time, and prefers it to new requests.
//! A promise that nobody comes for lapses.

pub mod ledger;
pub mod message;
pub mod reserve;
pub mod waits;
