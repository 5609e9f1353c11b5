//! Promises that entries tell each other.

base::common! {
    /// A caller that was refused and is expected back.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct ReturnPromise {
        /// Short hash of the route and the object of the request.
        pub key: u32,
        /// Milliseconds until the caller is due.
        pub due_in_ms: u32,
        /// Milliseconds until the caller's deadline.
        pub remaining_ms: u32,
    }

    /// Promises that an entry made since its last report.
    #[derive(Eq, Default, PartialOrd, Ord)]
    pub struct ReturnReport {
        /// The promises.
        pub promises: Vec<ReturnPromise>,
    }

    /// The promises of one entry.
    #[derive(Eq)]
    pub struct ReturnMessage {
        /// Hash of the entry's name.
        pub entry: u64,
        /// The promises.
        pub report: ReturnReport,
    }
}
