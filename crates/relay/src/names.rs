//! Names of the headers between callers, instances and backend servers.

/// Header with the ticket of a request that must not repeat.
pub const TICKET_HEADER: &str = "laurelhill-ticket";
/// Header with the caller's number under the ticket.
pub const NUMBER_HEADER: &str = "laurelhill-number";
/// Header with the number of the caller's attempt under one key; the first is 1.
pub const ATTEMPT_HEADER: &str = "laurelhill-attempt";
/// Header with the caller's own idempotency key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "laurelhill-deadline-ms";
/// Header with the region of the instance that handed the request over.
pub const HOP_HEADER: &str = "laurelhill-hop";
