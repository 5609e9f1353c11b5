//! Messages between entries about requests that were in flight when servers crashed.

use std::time::Duration;

use crate::crash::fingerprint::RequestFingerprint;

/// The quarantine of a request as stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// The request.
    pub print: RequestFingerprint,
    /// How long ago the quarantine began or was lifted.
    pub age: Duration,
    /// Whether an operator has lifted it.
    pub lifted: bool,
}

base::common! {
    /// Reports that a request was in flight at a server run when it crashed.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    pub struct CrashReport {
        /// Hash of the server's run.
        pub run: u64,
        /// The request.
        pub print: RequestFingerprint,
    }

    /// How a request is treated.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum RequestStatus {
        /// Served like any other; one successful answer clears it.
        Suspect,
        /// Refused immediately.
        Quarantined,
    }

    /// The status of a request, as sent between entries.
    #[derive(Copy, Eq)]
    pub struct RequestStatusReport {
        /// The request.
        pub print: RequestFingerprint,
        /// The status.
        pub status: RequestStatus,
        /// Milliseconds since the request got this status.
        pub age: u32,
    }

    /// A request that a server answered successfully.
    #[derive(Copy, Eq)]
    pub struct ClearedRequest {
        /// The request.
        pub print: RequestFingerprint,
        /// Milliseconds since the answer.
        pub age: u32,
    }

    /// A datagram about requests that may crash servers.
    #[derive(Eq, Default)]
    pub struct CrashMessage {
        /// Requests that were in flight at servers when these crashed.
        pub reports: Vec<CrashReport>,
        /// Requests that were answered successfully since.
        pub cleared: Vec<ClearedRequest>,
        /// The status of all requests known to the sender.
        pub statuses: Vec<RequestStatusReport>,
    }
}

impl CrashMessage {
    /// Returns whether the message is empty.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.cleared.is_empty() && self.statuses.is_empty()
    }
}
