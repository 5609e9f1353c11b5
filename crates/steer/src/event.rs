//! What happens at a region's door, and what the door answers.

use base::prelude::*;

use crate::message::EntryMessage;
use crate::refusal::Refusal;

/// A request at one entry process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Where a request came from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller; `home` is its region where known.
    Caller {
        /// The caller's home region.
        home: Option<RegionId>,
    },
    /// An instance of another region handed it over.
    Instance {
        /// The region of that instance.
        region: RegionId,
    },
}

/// A request that has been read and wants a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The request.
    pub request: RequestId,
    /// The service.
    pub service: ServiceId,
    /// When an answer becomes useless.
    pub deadline: Instant,
    /// Where it came from.
    pub origin: Origin,
    /// Whether it may be handed to another region.
    pub may_spill: bool,
}

/// How a run on a backend server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunResult {
    /// The complete answer came back.
    Answered,
    /// The server said that it sheds load and did not run the request.
    Shed,
    /// The server could not be reached.
    Unreachable,
    /// The server failed or was too late.
    Failed,
}

/// Something that happens at the door.
#[derive(Debug, Clone, PartialEq)]
pub enum GateEvent {
    /// A request arrives.
    Arrive(Arrival),
    /// A dispatched request has ended and its slot is free.
    Finished {
        /// The request.
        request: RequestId,
        /// How the run ended.
        result: RunResult,
    },
    /// The caller has gone while the request waited.
    Abandon {
        /// The request.
        request: RequestId,
    },
    /// Another entry process sent a message.
    Message {
        /// The sender.
        from: NodeId,
        /// What it said.
        body: EntryMessage,
    },
    /// Time passes; sent at least every 50 ms.
    Tick,
}

/// What the door wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum GateAction {
    /// Send the request to `server` and end the run at `until` at the latest.
    Dispatch {
        /// The request.
        request: RequestId,
        /// The backend server whose slot it holds.
        server: BackendServerId,
        /// When the slot must be given back.
        until: Instant,
    },
    /// Answer the request now: it was not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
    /// Hand the request to another region.
    Spill {
        /// The request.
        request: RequestId,
        /// The region.
        region: RegionId,
        /// The instance of that region to try.
        node: NodeId,
    },
    /// Send a message to another entry process.
    Send {
        /// The receiver.
        to: NodeId,
        /// What to say.
        body: EntryMessage,
    },
}
