//! Graceful shutdown: callers are redirected first, then pending requests are completed.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::error::Result;
use crate::fleet;
use crate::state::InstanceState;

/// Time from which on new requests are refused, so that all accepted requests are answered
/// before the process is killed. Callers that use a look-up's response for three times its TTL
/// have switched to other entries by then.
const REFUSE_AFTER: Duration = Duration::from_millis(3200);
/// Safety margin between the exit of the process and SIGKILL.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// Interval at which the shutdown checks for pending requests.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for transmitting the last response of other entries' requests.
const CLOSE_DELAY: Duration = Duration::from_millis(150);

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    Serving,
    /// New requests are served; connections are closed after their responses.
    Draining,
    /// New requests are refused.
    Refusing,
}

/// Waits for SIGTERM, then returns when all accepted requests are answered or the grace period
/// ends.
///
/// # Errors
/// Fails if signal handlers can't be installed.
pub(crate) async fn run(state: &Rc<InstanceState>) -> Result<()> {
    kernel::wait_for_termination().await?;
    let begun = Instant::now();
    log::info!(in_flight = state.in_flight.get(); "stop requested");
    set_phase(state, StopPhase::Draining);
    fleet::update_local_state(state);
    let refuse_after = REFUSE_AFTER.min(state.config.grace / 2);
    tokio::time::sleep(refuse_after).await;
    state.metrics.set_draining_time(begun.elapsed());
    set_phase(state, StopPhase::Refusing);
    let exit_deadline = state.config.grace.saturating_sub(EXIT_MARGIN);
    // A response that is handed to its connection may still wait for its caller.
    let is_pending = || state.in_flight.get() > 0 || state.metrics.connections.get() > 0;
    while is_pending() && begun.elapsed() < exit_deadline {
        state.metrics.set_draining_time(begun.elapsed());
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    tokio::time::sleep(CLOSE_DELAY.min(exit_deadline.saturating_sub(begun.elapsed()))).await;
    log::info!(unanswered = state.in_flight.get(), took_ms = begun.elapsed().as_millis() as u64; "stopped");
    Ok(())
}

fn set_phase(state: &InstanceState, phase: StopPhase) {
    state.stop.set(phase);
    state.stopping.send_replace(phase);
}
