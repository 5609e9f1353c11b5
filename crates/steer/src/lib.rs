//! The decisions of laurelhill, free of sockets, clocks and threads.
//!
//! Every state machine here takes `now` and typed events and returns typed
//! actions, so the daemons, the tests, the benchmarks and other people's
//! programs run the same code. [`RegionGate`] decides about requests at the door
//! of a region, [`SeatKeeper`] about seats in the table, [`HealthView`] about
//! backend servers, [`MemberTable`] and [`VersionGuard`] about what is known of
//! the other instances and of the configuration.
//!
//! ```
//! use std::sync::Arc;
//! use std::time::{Duration, Instant};
//! use base::prelude::*;
//! use steer::{Arrival, GateAction, GateEvent, Origin, Plan, RegionGate, RequestId, SeatGrant, ServerPlan};
//!
//! let base = "[deployment]\nname = demo\n[region north]\ndomains = n-1\nseats = 1\n\
//!             [service board]\nrepeat = idempotent\n\
//!             [pool board n-1]\nservers = 10.0.0.1:80\nslots = 1\nwarm_up = 0s\n";
//! let bundle = conf::ConfigBundle::new().with_file("base.ini", base);
//! let server = ServerPlan { id: BackendServerId::new("10.0.0.1:80"), open: true, active_slots: 1 };
//! let plan = Plan {
//!     version: 1,
//!     hash: bundle.hash(),
//!     deployment: Arc::new(bundle.deployment()?),
//!     servers: vec![server],
//!     members: Vec::new(),
//! };
//! let node = NodeId::new(&InstanceId::new("i1"), Incarnation(1));
//! let now = Instant::now();
//! let mut gate = RegionGate::new(&node, &RegionId::new("north"), 7);
//! gate.apply_plan(now, &plan);
//! gate.apply_seats(now, now, &[SeatGrant {
//!     index: 0,
//!     epoch: 1,
//!     remaining: Duration::from_secs(10),
//!     contested: false,
//!     vacate: false,
//! }]);
//! let arrival = Arrival {
//!     request: RequestId(1),
//!     service: ServiceId::new("board"),
//!     deadline: now + Duration::from_secs(1),
//!     origin: Origin::Caller { home: None },
//!     may_spill: false,
//! };
//! let mut actions = Vec::new();
//! gate.on_event(now, &GateEvent::Arrive(arrival), &mut actions);
//! assert!(matches!(actions[0], GateAction::Dispatch { .. }));
//! # Ok::<(), conf::Error>(())
//! ```

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
