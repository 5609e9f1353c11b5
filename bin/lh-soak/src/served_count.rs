//! Counts of requests and of those that were served.

/// Numbers of requests and of those that were served.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct ServedCount {
    pub(crate) requests: usize,
    pub(crate) served: usize,
}

impl ServedCount {
    pub(crate) fn add(&mut self, is_served: bool) {
        self.requests += 1;
        self.served += usize::from(is_served);
    }

    /// Share of the requests that were served; 0 without requests.
    pub(crate) fn share(self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }
}
