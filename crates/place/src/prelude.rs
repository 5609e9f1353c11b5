//! The types that most users of this crate need.

pub use crate::catalog::{CatalogSnapshot, ServerCatalog};
pub use crate::desired::{DesiredState, RequestKind, RequestLimits, RouteSpec, ServiceSpec};
pub use crate::fleet::member::{
    FleetAction, FleetChange, FleetEvent, FleetMember, LocalEntryState, WatchOutcome,
};
pub use crate::fleet::position::StorePosition;
pub use crate::placing::placer::{PlacerConfig, RequestPlacer};
pub use crate::request::{Placement, PlacementRequest, Refusal, RefusalReason, ServerOutcome};
pub use crate::routes::RouteTable;
pub use crate::server::{EntryState, ServerEntry, ServerReport};
