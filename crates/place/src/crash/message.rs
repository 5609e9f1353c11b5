//! What entries tell each other of requests under which servers ended.

use std::time::Duration;

use crate::crash::fingerprint::RequestFingerprint;

/// What the store keeps of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredQuarantine {
    /// The request.
    pub print: RequestFingerprint,
    /// How long ago its quarantine began, or was lifted.
    pub age: Duration,
    /// Whether an operator has lifted it.
    pub lifted: bool,
}

base::common! {
    /// A request that was at a run of a server when it ended.
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
        /// Served as any other; one good answer clears it.
        Suspect,
        /// Refused at once.
        Quarantined,
    }

    /// The status of a request as entries tell it.
    #[derive(Copy, Eq)]
    pub struct RequestStatusMessage {
        /// The request.
        pub print: RequestFingerprint,
        /// How it is treated.
        pub status: RequestStatus,
        /// Milliseconds since it got this status.
        pub age: u32,
    }

    /// A request that a server has answered well.
    #[derive(Copy, Eq)]
    pub struct ClearedRequest {
        /// The request.
        pub print: RequestFingerprint,
        /// Milliseconds since the answer.
        pub age: u32,
    }

    /// One datagram about such requests.
    #[derive(Eq, Default)]
    pub struct CrashMessage {
        /// Requests that were at servers when these ended.
        pub reports: Vec<CrashReport>,
        /// Requests that were answered well all the same.
        pub cleared: Vec<ClearedRequest>,
        /// What the sender knows of requests.
        pub statuses: Vec<RequestStatusMessage>,
    }
}

impl CrashMessage {
    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.cleared.is_empty() && self.statuses.is_empty()
    }
}
