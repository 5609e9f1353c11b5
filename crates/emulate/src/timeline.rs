//! The event queue of a trial.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use place::overdue::message::OverdueReport;
use place::placing::load::LoadReport;
use place::statement::message::StatementReport;

/// Microseconds from the start.
pub(crate) type Micros = u64;

/// An event. `usize` values are indices into the trial's lists.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A new request arrives at its entry.
    RequestArrives,
    /// An entry places a request, for the first time or after a refusal.
    PlaceRequest(usize),
    /// An attempt reaches its server.
    AttemptArrives(usize),
    /// The work of an attempt ends; ignored if the server has crashed since that epoch.
    WorkDone(usize, u64),
    /// The answer to an attempt arrives; the flag says whether the server accepted it.
    ReceiveAnswer(usize, bool),
    /// The timeout of an attempt expires.
    AttemptTimesOut(usize),
    /// An entry sends its load to the others.
    SendLoad(usize),
    /// An entry receives the load of the entry with this hash.
    ReceiveLoad(usize, u64, LoadReport),
    /// An entry receives what the entry with this hash knows of servers.
    ReceiveStatements(usize, u64, StatementReport),
    /// An entry receives what the entry with this hash knows of overdue requests.
    ReceiveOverdue(usize, u64, OverdueReport),
    /// A fault starts.
    FaultStarts(usize),
    /// A fault ends.
    FaultEnds(usize),
}

/// Pending events; events with the same time are in the order in which they were scheduled.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    next_sequence: u64,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Micros, event: Event) {
        self.next_sequence += 1;
        self.events.push(Reverse((at, self.next_sequence, event)));
    }

    /// Removes the next event and returns it with its time.
    pub(crate) fn pop(&mut self) -> Option<(Micros, Event)> {
        let Reverse((at, _, event)) = self.events.pop()?;
        Some((at, event))
    }
}
