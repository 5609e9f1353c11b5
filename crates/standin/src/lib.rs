//! Test doubles for tests and the demo: simulated backend servers without sockets, and
//! simulated callers that use the caller interface of the product.
//!
//! Backend servers count every execution and every shed request. Callers keep a ledger of
//! their requests and the responses. [`verify_ledger`] compares the two.

mod caller;
mod control;
mod error;
mod ledger;
mod load;
mod local;
mod server;

pub use caller::{CallResult, CallSpec, CallerSim, CallerSpec};
pub use control::control_routes;
pub use error::{Error, Result};
pub use ledger::{
    LedgerEntry, PhaseReport, REQUEST_ID_HEADER, RunCounts, checksum, response_body, verify_ledger,
};
pub use load::{LoadClass, LoadSpec, run_load};
pub use local::free_address;
pub use server::{BackendReport, BackendSim, BackendSpec, ServerMode, ServerView, SlotGuard};
