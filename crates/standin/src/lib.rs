//! Stand-ins for tests and the demo: the platform, backend servers and callers.
//!
//! They are small and honest: the platform's transactions are real, its outages,
//! delays and lost answers come on demand; a backend server counts every run and
//! every moment beyond its slots; callers keep a ledger of what they sent and got.

mod caller;
mod error;
mod fault;
mod ledger;
mod load;
mod local;
mod platform;
mod platform_http;
mod server;
mod server_http;

pub use caller::{CallResult, CallSpec, CallerSim, CallerSpec};
pub use error::{Error, Result};
pub use fault::FaultPlan;
pub use ledger::{
    LedgerEntry, PhaseReport, REQUEST_ID_HEADER, RunLedger, checksum, judge, payload,
};
pub use load::{LoadMix, LoadSpec, run_load};
pub use local::{free_address, spawn_platform};
pub use platform::{FakePlatform, PlatformState};
pub use platform_http::platform_routes;
pub use server::{BackendSim, BackendSpec, ServerMode, ServerView};
pub use server_http::{control_routes, serve_backend};
