//! How the entries of a fleet hear of each other and of what the store holds.
//!
//! Two entries of each region lead it, without a vote: the reader, which reads the
//! store, and a deputy. All others send their beats to these two and hear from both in
//! digests: short lists of versions. Whoever is behind a digest asks its sender for the
//! rest. Leads hear the digests of the other regions' leads. So what an entry sends,
//! hears and asks of the store does not grow with the number of entries, but for two of
//! a region.
//!
//! [`member::FleetMember`] decides all of this; the rest of this area are its parts and
//! the messages.

pub mod candidate;
pub mod clock;
pub mod conflict;
pub mod copies;
pub mod front;
pub mod known;
pub mod leads;
pub mod list;
pub mod log;
pub mod mark;
pub mod member;
pub mod message;
pub mod pace;
pub mod pull;
pub mod reading;
pub mod regions;
pub mod roster;
pub mod search;
