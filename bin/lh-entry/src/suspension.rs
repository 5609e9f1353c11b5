//! Detects that the machine was suspended. `CLOCK_BOOTTIME` counts the time of a suspension,
//! `CLOCK_MONOTONIC` does not.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};

/// Smaller differences are caused by an interruption between the readings of the two clocks.
const MIN_SUSPENSION: Duration = Duration::from_millis(20);

/// Detects suspensions by comparing the two clocks.
#[derive(Debug, Default)]
pub(crate) struct SuspensionDetector {
    /// Offset between the clocks at the first call or the last detected suspension.
    clock_offset: Option<Duration>,
}

impl SuspensionDetector {
    /// Returns how long the machine was suspended since the last call, if it was.
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

/// Returns a lower bound of how far `CLOCK_BOOTTIME` is ahead of `CLOCK_MONOTONIC`.
fn clock_offset() -> Duration {
    let boottime = to_duration(clock_gettime(ClockId::Boottime));
    let monotonic = to_duration(clock_gettime(ClockId::Monotonic));
    boottime.saturating_sub(monotonic)
}

fn to_duration(time: Timespec) -> Duration {
    Duration::try_from(time).unwrap_or_default()
}
