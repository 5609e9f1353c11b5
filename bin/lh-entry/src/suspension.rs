//! Notices that the machine stood still: the steady clock doesn't count that time, another
//! one does.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Differences below this are readings that were interrupted.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Compares the two clocks.
#[derive(Debug, Default)]
pub(crate) struct SuspensionDetector {
    /// What the second clock was ahead of the first when last something was noticed.
    clock_offset: Option<Duration>,
}

impl SuspensionDetector {
    /// How long the machine stood still since the last call; `None` where it didn't.
    pub(crate) fn detect(&mut self) -> Option<Duration> {
        let clock_offset = clock_offset();
        let last_offset = *self.clock_offset.get_or_insert(clock_offset);
        let span = clock_offset.saturating_sub(last_offset);
        if span < MIN_SUSPENSION {
            return None;
        }
        self.clock_offset = Some(clock_offset);
        Some(span)
    }
}

/// What the clock that goes on is ahead of the steady one, at least.
fn clock_offset() -> Duration {
    let boottime = to_duration(clock_gettime(ClockId::Boottime));
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    boottime.saturating_sub(monotonic)
}

fn to_duration(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
