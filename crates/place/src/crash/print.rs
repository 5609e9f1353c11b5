//! Tells whether two requests are the same to a server.

use std::fmt;

/// Digits of a print that logs show: enough to find it again.
const SHOWN_DIGITS: usize = 12;

base::common! {
    /// A hash of all that a server gets of a request, but for what differs between two
    /// attempts of its caller.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct RequestPrint(pub u128);
}

impl fmt::Display for RequestPrint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = format!("{:032x}", self.0);
        formatter.write_str(&digits[..SHOWN_DIGITS])
    }
}
