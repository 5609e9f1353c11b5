//! How a service's traffic moves to a version over the time of a rollout.

use std::time::Duration;

/// What the new version gets at some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RolloutStage {
    /// This part of all requests, 0 to 1.
    Share(f64),
    /// All requests that it has room for.
    Preferred,
    /// All requests; nothing goes to the old versions any more.
    Exclusive,
}

/// How the share of a version grows while nothing speaks against it.
pub trait ShareSchedule {
    /// The stage at `elapsed` since the start of a rollout that is to take `duration`, of a
    /// service whose answers usually take `response_time`.
    fn stage(&self, elapsed: Duration, duration: Duration, response_time: Duration)
    -> RolloutStage;
}

/// Time before the end in which nothing goes to the old versions, so that what they run is
/// answered before they end; less in short rollouts.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// The same as a part of the rollout's time at most.
const MAX_DRAIN_FRACTION: f64 = 0.2;
/// Time for writing down that the rollout is completed, a failed attempt included.
const STORE_WRITE_TIME: Duration = Duration::from_millis(500);
/// Parts of the rollout's time that the steps before the end take, latest first. The wide one
/// takes between these, as answers take long: what shows under load only must show in it.
const PREFERRED_FRACTION: f64 = 0.05;
const WIDE_FRACTION: (f64, f64) = (0.06, 0.15);
const NARROW_FRACTION: f64 = 0.1;
/// Time of the wide step, as a multiple of what answers take: those that are slow have been
/// noticed by then, and told.
const WIDE_RESPONSE_TIMES: f64 = 2.7;
/// What the version gets in each step, as a multiple of the exposure that is allowed for a
/// bad one. All steps before the preferred one together use less than half of it, so that a version
/// that turns bad under full load can still be rolled back within the bound.
const WIDE_FACTOR: f64 = 2.0;
const NARROW_FACTOR: f64 = 0.8;
const CANARY_FACTOR: f64 = 0.2;

/// A small share for most of the time, everything shortly before the end: a version that
/// turns bad at any moment has had little until then.
#[derive(Debug, Clone, Copy)]
pub struct CanarySchedule {
    /// Part of all requests that a bad version may get over the whole time.
    exposure: f64,
}

impl CanarySchedule {
    /// A schedule by which a bad version gets about `exposure` of all requests at most.
    pub fn new(exposure: f64) -> Self {
        Self { exposure }
    }

    /// Time before the end at which the old versions get their last request.
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

/// Equal steps over the whole time. Kept for comparison: a version that turns bad late has
/// had most of the traffic by then.
#[derive(Debug, Clone, Copy)]
pub struct LinearSchedule {
    /// Number of steps.
    pub steps: u32,
}

impl ShareSchedule for LinearSchedule {
    fn stage(&self, elapsed: Duration, duration: Duration, _answer: Duration) -> RolloutStage {
        let transition = duration.saturating_sub(CanarySchedule::drain_time(duration));
        if elapsed >= transition {
            return RolloutStage::Exclusive;
        }
        let part = elapsed.as_secs_f64() / transition.as_secs_f64().max(0.001);
        let step = (part * f64::from(self.steps)).floor() + 1.0;
        RolloutStage::Share((step / f64::from(self.steps + 1)).min(1.0))
    }
}
