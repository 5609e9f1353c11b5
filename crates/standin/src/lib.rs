//! Stand-ins for tests and the demo: backend servers without their sockets, and
//! callers on the product's own interface.
//!
//! They are small and honest: a backend server counts every run and every request
//! that it sheds; callers keep a ledger of what they sent and got.

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
