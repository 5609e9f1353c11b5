//! What happens in a trial, in the order of time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use place::placing::load::LoadReport;

/// Microseconds from the start.
pub(crate) type Micros = u64;

/// Something that happens. Numbers are places in the trial's lists.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A new request arrives.
    Arrive,
    /// A request asks its entry, for the first time or again.
    Ask(usize),
    /// An attempt reaches its server.
    Reach(usize),
    /// The work of an attempt ends, in that run of the server.
    Finish(usize, u64),
    /// An attempt is answered, and whether it ran.
    Answer(usize, bool),
    /// An attempt's time is over.
    OutOfTime(usize),
    /// An entry tells its load.
    Load(usize),
    /// An entry hears another's load.
    Hear(usize, u64, LoadReport),
    /// A fault begins.
    FaultBegins(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// The events to come; those of one moment in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    order: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
}

impl EventQueue {
    /// Lets `event` happen at `at`.
    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    /// The next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
