//! Membership and state dissemination among the entries of a fleet.
//!
//! Each region has two leads, selected without a vote: the reader, which reads the store,
//! and a deputy. All other entries send heartbeats to these two and receive digests from
//! both. A digest holds version numbers only; an entry that finds itself behind pulls the
//! missing data from the sender. Leads also exchange digests with the leads of other
//! regions. Traffic and store calls per entry therefore do not grow with the size of the
//! fleet, except for the two leads of each region.
//!
//! [`member::FleetMember`] is the state machine; the other modules hold its parts and the
//! messages.

pub mod advertise;
pub mod candidate;
pub mod clock;
pub mod conflict;
pub mod content_hash;
pub mod copies;
pub mod leads;
pub mod list;
pub mod log;
pub mod member;
pub mod message;
pub mod position;
pub mod pull;
pub mod read_intervals;
pub mod reading;
pub mod regions;
pub mod registry;
pub mod roster;
pub mod search;
pub mod store_progress;
