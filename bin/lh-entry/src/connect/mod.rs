//! Keeps connections to backend servers open for the requests to come.

pub(crate) mod ahead;
pub(crate) mod dialer;
pub(crate) mod metrics;
pub(crate) mod reuse;
pub(crate) mod stream;
