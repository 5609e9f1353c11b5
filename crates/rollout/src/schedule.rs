//! Schedules that move traffic to a version over the duration of a rollout.

use std::time::Duration;

/// What the new version gets at a point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutStage {
    /// This fraction of all requests, from 0 to 1.
    Share(f64),
    /// All requests that it has capacity for.
    Preferred,
    /// All requests; old versions get none any more.
    Exclusive,
}

/// How the share of a version grows unless it is found to be bad.
pub trait ShareSchedule {
    /// Returns the stage at `elapsed` since the start of a rollout of length `duration`.
    /// `response_time` is the usual response time of the service.
    fn stage(&self, elapsed: Duration, duration: Duration, response_time: Duration)
    -> RolloutStage;
}

/// Time before the deadline in which old versions get no requests, so that they finish those in
/// flight before they terminate; less in short rollouts.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// Maximum of that time as a fraction of the rollout's duration.
const MAX_DRAIN_FRACTION: f64 = 0.2;
/// Time for writing the completion to the store, including one failed attempt.
const STORE_WRITE_TIME: Duration = Duration::from_millis(500);
/// Fractions of the rollout's duration that the last stages take, latest first. The wide stage
/// has a minimum and a maximum and depends on the response time: faults that occur only under
/// load must show in it.
const PREFERRED_FRACTION: f64 = 0.05;
const WIDE_FRACTION: (f64, f64) = (0.06, 0.15);
const NARROW_FRACTION: f64 = 0.1;
/// Duration of the wide stage as a multiple of the response time, enough for slow answers to be
/// noticed and reported.
const WIDE_RESPONSE_TIMES: f64 = 2.7;
/// The share of each stage as a multiple of the exposure that a bad version is allowed. All
/// stages before the preferred one together use less than half of the exposure, so that a
/// version that turns bad under full load can still be rolled back within the limit.
const WIDE_FACTOR: f64 = 2.0;
const NARROW_FACTOR: f64 = 0.8;
const CANARY_FACTOR: f64 = 0.2;

/// Keeps the share small for most of the time and moves all traffic shortly before the
/// deadline: a version that turns bad at any time has had few requests until then.
#[derive(Debug, Clone, Copy)]
pub struct CanarySchedule {
    /// Fraction of all requests that a bad version may get over the whole rollout.
    exposure: f64,
}

impl CanarySchedule {
    /// Creates a schedule by which a bad version gets at most about `exposure` of all requests.
    pub fn new(exposure: f64) -> Self {
        Self { exposure }
    }

    /// Returns the time before the deadline at which old versions get their last request.
    pub fn drain_time(duration: Duration) -> Duration {
        DRAIN_TIME.min(duration.mul_f64(MAX_DRAIN_FRACTION)) + STORE_WRITE_TIME.min(duration / 10)
    }
}

impl ShareSchedule for CanarySchedule {
    fn stage(
        &self,
        elapsed: Duration,
        duration: Duration,
        response_time: Duration,
    ) -> RolloutStage {
        let exclusive_at = duration.saturating_sub(Self::drain_time(duration));
        let remaining = exclusive_at.saturating_sub(elapsed).as_secs_f64();
        let total = duration.as_secs_f64().max(0.001);
        let remaining = remaining / total;
        let (least, most) = WIDE_FRACTION;
        let wide = (WIDE_RESPONSE_TIMES * response_time.as_secs_f64() / total).clamp(least, most);
        let share = |factor: f64| RolloutStage::Share((factor * self.exposure).min(1.0));
        if elapsed >= exclusive_at {
            RolloutStage::Exclusive
        } else if remaining <= PREFERRED_FRACTION {
            RolloutStage::Preferred
        } else if remaining <= PREFERRED_FRACTION + wide {
            share(WIDE_FACTOR)
        } else if remaining <= PREFERRED_FRACTION + wide + NARROW_FRACTION {
            share(NARROW_FACTOR)
        } else {
            share(CANARY_FACTOR)
        }
    }
}

/// Equal steps over the whole duration. Kept for comparison: by the time a version turns bad
/// late, it has had most of the traffic.
#[derive(Debug, Clone, Copy)]
pub struct LinearSchedule {
    /// Number of steps.
    pub steps: u32,
}

impl ShareSchedule for LinearSchedule {
    fn stage(
        &self,
        elapsed: Duration,
        duration: Duration,
        _response_time: Duration,
    ) -> RolloutStage {
        let transition = duration.saturating_sub(CanarySchedule::drain_time(duration));
        if elapsed >= transition {
            return RolloutStage::Exclusive;
        }
        let part = elapsed.as_secs_f64() / transition.as_secs_f64().max(0.001);
        let step = (part * f64::from(self.steps)).floor() + 1.0;
        RolloutStage::Share((step / f64::from(self.steps + 1)).min(1.0))
    }
}
