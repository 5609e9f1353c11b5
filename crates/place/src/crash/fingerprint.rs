//! Tells whether two requests are the same to a server.

use std::fmt;

/// Digits of a print that logs show: enough to find it again.
const DISPLAY_DIGITS: usize = 12;

base::common! {
    /// A hash of all that a server gets of a request, but for what differs between two
    /// attempts of its caller.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct RequestFingerprint(pub u128);
}

impl RequestFingerprint {
    /// The print in full, for the store.
    pub fn key(self) -> String {
        format!("{:032x}", self.0)
    }

    /// The print that [`RequestFingerprint::key`] wrote.
    pub fn parse(key: &str) -> Option<Self> {
        u128::from_str_radix(key, 16).ok().map(Self)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.key()[..DISPLAY_DIGITS])
    }
}
