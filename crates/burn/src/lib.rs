//! burn
