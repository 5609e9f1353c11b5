//! Fingerprints of requests: requests that are identical to a server have the same one.

use std::fmt;

/// Number of hex digits shown in logs: enough to look the fingerprint up.
const DISPLAY_DIGITS: usize = 12;

base::common! {
    /// Hash of everything that a server receives of a request, except for what differs between
    /// two attempts of the same caller.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct RequestFingerprint(pub u128);
}

impl RequestFingerprint {
    /// Formats the full fingerprint, as used for keys in the store.
    pub fn key(self) -> String {
        format!("{:032x}", self.0)
    }

    /// Parses a fingerprint that [`RequestFingerprint::key`] formatted.
    pub fn parse(key: &str) -> Option<Self> {
        u128::from_str_radix(key, 16).ok().map(Self)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.key()[..DISPLAY_DIGITS])
    }
}
