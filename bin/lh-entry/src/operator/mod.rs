//! What operators ask an entry.

pub(crate) mod refusals;
