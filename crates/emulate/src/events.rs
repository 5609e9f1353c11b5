//! What happens in a trial, in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use place::placing::load::LoadUpdate;

/// Microseconds from the start.
pub(crate) type Micros = u64;

/// Something that happens. Numbers are places in the trial's lists.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A new request arrives.
    RequestArrives,
    /// A request asks its entry, for the first time or again.
    PlaceRequest(usize),
    /// An attempt reaches its server.
    AttemptArrives(usize),
    /// The work of an attempt ends, in that run of the server.
    WorkDone(usize, u64),
    /// An attempt is answered, and whether it ran.
    ReceiveAnswer(usize, bool),
    /// An attempt's time is over.
    AttemptTimesOut(usize),
    /// An entry tells its load.
    SendLoad(usize),
    /// An entry hears another's load.
    ReceiveLoad(usize, u64, LoadUpdate),
    /// A fault begins.
    FaultStarts(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// The events to come; those of one moment in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    next_sequence: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
}

impl EventQueue {
    /// Lets `event` happen at `at`.
    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.next_sequence += 1;
        self.events.push(Reverse((at, self.next_sequence, event)));
    }

    /// The next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
