//! The decisions of laurelhill, free of sockets, clocks and threads.
//!
//! Every state machine here takes `now` and typed events and returns typed
//! actions, so the daemons, the tests, the benchmarks and other people's
//! programs run the same code. [`RegionGate`] decides about requests at the door
//! of a region, [`SeatKeeper`] about seats in the table, [`HealthView`] about
//! backend servers, [`MemberTable`] and [`VersionGuard`] about what is known of
//! the other instances and of the configuration.

mod blocks;
mod event;
mod gate;
mod guard;
mod health;
mod lookup;
mod member;
mod message;
mod plan;
mod pool;
mod refusal;
mod retry;
mod rights;
mod seat;
mod shift;
mod version;

pub use blocks::{BlockParseError, BlockTable, BlockTableBuilder, parse_block};
pub use event::{Arrival, GateAction, GateEvent, Origin, RequestId, RunResult};
pub use gate::{GateStats, RegionGate, ServiceLoad};
pub use guard::SeatGuard;
pub use health::{HealthView, ProbeReport, ServerState, ServerVerdict};
pub use lookup::{LookupBook, LookupEntry};
pub use member::{GossipDigest, MemberRecord, MemberTable};
pub use message::{AskId, EntryMessage, Envelope, LoadDigest, LoanId, ShiftCounts};
pub use plan::{MemberPlan, Plan, PollAnswer, PollAsk, SeatGrant, ServerPlan};
pub use refusal::{Refusal, RefusalReason};
pub use retry::RetryBudget;
pub use rights::{NewLoan, RightsBook, ServerGrant, TakenRight, slot_owner};
pub use seat::{HeldSeatView, SeatAction, SeatEvent, SeatKeeper, SeatRow, SeatSettings};
pub use shift::ShiftLimiter;
pub use version::{ConfigVersion, VersionGuard, VersionVerdict};
