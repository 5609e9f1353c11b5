//! Notices that the machine stood still: the steady clock doesn't count that time, another
//! one does.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Differences below this are readings that were interrupted.
const LEAST: Duration = Duration::from_millis(20);

/// Compares the two clocks.
#[derive(Debug, Default)]
pub(crate) struct SuspensionMeter {
    /// What the second clock was ahead of the first when last something was noticed.
    ahead: Option<Duration>,
}

impl SuspensionMeter {
    /// How long the machine stood still since the last call; `None` where it didn't.
    pub(crate) fn take(&mut self) -> Option<Duration> {
        let ahead = ahead();
        let known = *self.ahead.get_or_insert(ahead);
        let span = ahead.saturating_sub(known);
        if span < LEAST {
            return None;
        }
        self.ahead = Some(ahead);
        Some(span)
    }
}

/// What the clock that goes on is ahead of the steady one, at least.
fn ahead() -> Duration {
    let on = span(clock_gettime(ClockId::Boottime));
    let steady = span(clock_gettime(ClockId::Monotonic));
    on.saturating_sub(steady)
}

fn span(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
