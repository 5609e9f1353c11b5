//! Account of what callers make an entry hold: memory, and places at backend servers and among
//! connections. Decides who gets more and who yields; performs no I/O.

pub mod account;
pub mod budget;
pub mod connections;
