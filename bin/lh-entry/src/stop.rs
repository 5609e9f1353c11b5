//! Graceful shutdown: callers are redirected first, then pending requests are completed, and what
//! is left at the end gets a final response.

use std::rc::Rc;
use std::time::{Duration, Instant};

use place::desired::RouteSpec;
use tokio::time::sleep_until;

use crate::error::Result;
use crate::fleet;
use crate::state::InstanceState;

/// Time from which on new requests are refused. Callers that use a look-up's response for three
/// times its TTL have switched to other entries by then.
const REFUSE_AFTER: Duration = Duration::from_millis(3200);
/// Safety margin between the exit of the process and SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// Time before the exit for the final responses of requests that are still pending.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(100);
/// Interval at which the shutdown checks for pending requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for transmitting the last response of other entries' requests.
const CLOSE_DELAY: Duration = Duration::from_millis(150);
/// Share of a route's recent requests that must have finished in the time that is left for a new
/// one. All of them where a caller can't repeat a request without knowing whether it has run.
const REPEATABLE_SHARE: f64 = 0.95;
const UNREPEATABLE_SHARE: f64 = 1.0;

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// Requests that can be expected to finish in time are served; connections are closed after
    /// their responses.
    Draining,
    /// New requests are refused.
    Refusing,
    /// Pending requests get a final response.
    Ending,
}

/// The request's time has passed, or the entry is about to exit.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OutOfTime;

/// Waits for SIGTERM, then returns when all accepted requests are answered or the grace period
/// ends.
///
/// # Errors
/// Fails if signal handlers can't be installed.
pub(crate) async fn run(state: &Rc<InstanceState>) -> Result<()> {
    kernel::wait_for_termination().await?;
    let begun = Instant::now();
    log::info!(in_flight = state.in_flight.get(); "stop requested");
    let exit_deadline = state.config.grace.saturating_sub(EXIT_MARGIN);
    let answer_deadline = exit_deadline.saturating_sub(FINAL_RESPONSE_TIME);
    state.answer_by.set(Some(begun + answer_deadline));
    set_phase(state, StopPhase::Draining);
    fleet::update_local_state(state);
    let refuse_after = REFUSE_AFTER.min(state.config.grace / 2);
    tokio::time::sleep(refuse_after.min(answer_deadline)).await;
    state.metrics.set_draining_time(begun.elapsed());
    set_phase(state, StopPhase::Refusing);
    wait_for_pending(state, begun, answer_deadline).await;
    if state.in_flight.get() > 0 {
        log::warn!(in_flight = state.in_flight.get(); "grace period ends before all requests have");
        set_phase(state, StopPhase::Ending);
    }
    wait_for_pending(state, begun, exit_deadline).await;
    tokio::time::sleep(CLOSE_DELAY.min(exit_deadline.saturating_sub(begun.elapsed()))).await;
    log::info!(unanswered = state.in_flight.get(), took_ms = begun.elapsed().as_millis() as u64; "stopped");
    Ok(())
}

/// Waits until nothing is pending, until `deadline` after `begun` at most. A response that is handed
/// to its connection may still wait for its caller.
async fn wait_for_pending(state: &InstanceState, begun: Instant, deadline: Duration) {
    let is_pending = || state.in_flight.get() > 0 || state.metrics.connections.get() > 0;
    while is_pending() && begun.elapsed() < deadline {
        state.metrics.set_draining_time(begun.elapsed());
        let rest = deadline.saturating_sub(begun.elapsed());
        tokio::time::sleep(POLL_INTERVAL.min(rest)).await;
    }
}

/// Returns whether a request that may take `time_limit` can be expected to finish before the entry
/// exits, by its route's recent requests.
pub(crate) fn may_take(state: &InstanceState, route: &RouteSpec, time_limit: Duration) -> bool {
    if state.stop.get() >= StopPhase::Refusing {
        return false;
    }
    let Some(answer_by) = state.answer_by.get() else {
        return true;
    };
    let now = Instant::now();
    let share = if route.kind.may_repeat() {
        REPEATABLE_SHARE
    } else {
        UNREPEATABLE_SHARE
    };
    let mut durations = state.durations.borrow_mut();
    let recent = durations.finished_within(now, &route.name, share);
    let expected = recent.map_or(time_limit, |recent| recent.min(time_limit));
    expected <= answer_by.saturating_duration_since(now)
}

/// Returns the deadline of a request that must be answered by `deadline_at`, and before the entry
/// exits.
pub(crate) fn limit_deadline(state: &InstanceState, deadline_at: Instant) -> Instant {
    let answer_by = state.answer_by.get();
    answer_by.map_or(deadline_at, |answer_by| answer_by.min(deadline_at))
}

/// Completes with `future`. Fails at `deadline_at`, and when the entry is about to exit.
pub(crate) async fn in_time<F: Future>(
    state: &InstanceState,
    deadline_at: Instant,
    future: F,
) -> std::result::Result<F::Output, OutOfTime> {
    let mut stopping = state.stopping.subscribe();
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(deadline_at.into()) => Err(OutOfTime),
        _ = stopping.wait_for(|phase| *phase == StopPhase::Ending) => Err(OutOfTime),
    }
}

fn set_phase(state: &InstanceState, phase: StopPhase) {
    state.stop.set(phase);
    state.stopping.send_replace(phase);
}
