//! What lh-steer and lh-entry of one instance tell each other.

use std::net::SocketAddr;
use std::sync::Arc;

use base::prelude::*;
use conf::Deployment;

base::common! {
    /// A seat that the entry may use, for as long as the lease runs.
    pub struct SeatGrant {
        /// The seat's number in its region.
        pub index: u16,
        /// The lease's epoch; a new epoch is a new tenure.
        pub epoch: u64,
        /// Time left, counted from when the entry asked.
        pub remaining: Duration,
        /// Whether the former holder may still have work on the seat's slots.
        pub contested: bool,
        /// Whether the entry is to empty the seat so that it can be released.
        pub vacate: bool,
    }

    /// A backend server as health and ramps see it.
    pub struct ServerPlan {
        /// The server.
        pub id: BackendServerId,
        /// Whether new work may go to it.
        pub open: bool,
        /// Slots that may be used now: all of them, or fewer while it warms up.
        pub active_slots: u16,
    }

    /// An instance that callers and other entries can reach.
    pub struct MemberPlan {
        /// The run of its entry process.
        pub node: NodeId,
        /// Its region.
        pub region: RegionId,
        /// Its failure domain.
        pub domain: FailureDomainId,
        /// Where it takes requests.
        pub relay: SocketAddr,
        /// Where it takes look-ups.
        pub lookup: SocketAddr,
        /// Where it takes messages of entries.
        pub mesh: SocketAddr,
        /// Its ticket stamp, which look-up answers carry.
        pub stamp: String,
        /// Whether it takes new work.
        pub open: bool,
    }

    /// Everything that the entry decides by.
    pub struct Plan {
        /// Version of the configuration.
        pub version: u64,
        /// Hash of the configuration.
        pub hash: String,
        /// The deployment.
        pub deployment: Arc<Deployment>,
        /// Backend servers of the instance's region.
        pub servers: Vec<ServerPlan>,
        /// Instances of every region, the own one included.
        pub members: Vec<MemberPlan>,
    }

    /// What the entry asks its lh-steer, several times a second.
    pub struct PollAsk {
        /// The run of the entry process.
        pub node: NodeId,
        /// Where the entry takes requests.
        pub relay: SocketAddr,
        /// Where it takes look-ups.
        pub lookup: SocketAddr,
        /// Where it takes messages.
        pub mesh: SocketAddr,
        /// Its present ticket stamp.
        pub stamp: String,
        /// Serial number of the plan in force here; 0 for none.
        pub serial: u64,
        /// Seats in use here, with their epochs: what a restarted lh-steer takes up again.
        pub seats: Vec<(u16, u64)>,
        /// Seats that are empty and may be released.
        pub vacated: Vec<u16>,
        /// Instances whose messages came in lately.
        pub heard: Vec<InstanceId>,
        /// Connection failures and answers by server since the last ask.
        pub seen: Vec<(BackendServerId, u32, u32)>,
        /// Whether the entry wants no new callers.
        pub leaving: bool,
        /// Whether the entry admits nothing more and gives its seats back.
        pub releasing: bool,
    }

    /// What lh-steer answers.
    pub struct PollAnswer {
        /// Serial number of the plan; changes with its content.
        pub serial: u64,
        /// The plan, where the entry doesn't have it already.
        pub plan: Option<Plan>,
        /// The seats; `None` while lh-steer doesn't know yet which are held.
        pub seats: Option<Vec<SeatGrant>>,
        /// Servers found idle, and how long ago, while a seat is contested.
        pub idle: Vec<(BackendServerId, Duration)>,
    }
}
