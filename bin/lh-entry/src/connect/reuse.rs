//! Returns connections to the pool after responses that are not forwarded to callers.

use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::HeaderMap;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::body_reader::JobBody;
use crate::pool::ConnectionLease;
use crate::state::InstanceState;

/// Maximum size of a body that is read only to reuse its connection, in bytes.
const MAX_UNREAD_BYTES: usize = 16 << 10;
/// Time for reading it. A server that rejects requests sends the body with the headers.
const MAX_READ_TIME: Duration = Duration::from_secs(1);

/// Reads the rest of the response with `headers`, and returns its connection to the pool if
/// another request can use it. Does not delay the caller's request.
///
/// The connection is closed if the request body `sent` is a stream, which the server may not have
/// read to its end.
pub(crate) fn release_unread(
    state: &Rc<InstanceState>,
    lease: ConnectionLease,
    (headers, body): (HeaderMap, Incoming),
    sent: &JobBody,
) {
    if sent.buffered().is_none() {
        return;
    }
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        let reading = Limited::new(body, MAX_UNREAD_BYTES).collect();
        if matches!(timeout(MAX_READ_TIME, reading).await, Ok(Ok(_))) {
            state.pool.release(lease, &headers);
        }
    });
}
