//! Finds response headers in which servers describe themselves and that are not read.

use std::cell::RefCell;
use std::collections::HashSet;
use std::time::Instant;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use platform::headers;

use crate::logs::LogRateLimiter;
use crate::metrics::EntryMetrics;

/// Number of header names that are counted by name, since servers choose the names.
const MAX_NAMES: usize = 16;
/// Label of all further names.
const OTHER_NAMES: &str = "other";

/// The unread header names found so far.
#[derive(Debug, Default)]
pub(crate) struct HeaderAudit {
    names: RefCell<HashSet<HeaderName>>,
    invalid_log_limit: LogRateLimiter,
}

impl HeaderAudit {
    /// Counts the unread headers of a response of `server`, and logs each name once.
    pub(crate) fn on_response(&self, server: &str, headers: &HeaderMap, metrics: &EntryMetrics) {
        for name in headers::unread_server_headers(headers) {
            let mut names = self.names.borrow_mut();
            if names.contains(name) {
                metrics.on_unread_header(name.as_str());
            } else if names.len() < MAX_NAMES {
                names.insert(name.clone());
                metrics.on_unread_header(name.as_str());
                log::warn!(server, header = name.as_str(); "header of servers is not read");
            } else {
                metrics.on_unread_header(OTHER_NAMES);
            }
        }
    }

    /// Counts a header of a response of `server` whose value makes no sense, and logs it.
    pub(crate) fn on_invalid(&self, server: &str, name: &HeaderName, metrics: &EntryMetrics) {
        metrics.on_unread_header(name.as_str());
        if self.invalid_log_limit.take(Instant::now()) {
            log::warn!(server, header = name.as_str(); "header of server ignored: its value makes no sense");
        }
    }
}
