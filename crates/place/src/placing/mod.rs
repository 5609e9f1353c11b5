//! Server selection and the estimates that it learns from answers.

pub mod cache_likelihood;
pub mod candidates;
pub mod choice;
pub mod load;
pub mod placer;
pub mod round_trip;
pub mod timing;
pub mod work;
