//! Requests under which servers end.

pub mod print;
