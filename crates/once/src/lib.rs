//! At-most-once requests: tickets that bind requests to one run of one instance, and the
//! records from which that run answers repeats. This crate does no input or output.

mod table;
mod ticket;

pub use table::{OnceKey, OnceState, OnceTable, OnceVerdict, StoredAnswer};
pub use ticket::{StampKey, Ticket, TicketVerdict};
