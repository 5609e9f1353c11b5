//! Requests that must not repeat: tickets that bind them to one run of one instance,
//! and the records by which that run answers repeats. Nothing here does input or output.

mod table;
mod ticket;

pub use table::{OnceKey, OnceState, OnceTable, OnceVerdict, StoredAnswer};
pub use ticket::{StampKey, Ticket, TicketVerdict};
