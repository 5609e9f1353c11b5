//! The planned stop: told to callers first, then served to the end.

use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::error::Result;
use crate::fleet;
use crate::state::InstanceState;

/// Callers that keep an answer of the look-up three times its life have left by
/// then; requests that come later are refused, so that all that was read is
/// answered before the process is killed.
const REFUSE_AFTER: Duration = Duration::from_millis(3200);
/// Kept between the exit and the kill.
const EXIT_MARGIN: Duration = Duration::from_millis(350);
/// How often the stop looks whether everything is answered.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// After the last answer, connections get this long to carry it away.
const CLOSE_DELAY: Duration = Duration::from_millis(150);

/// How far the stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// No stop.
    Serving,
    /// New requests are served; connections close after their answers.
    Draining,
    /// New requests are refused.
    Refusing,
}

/// Waits for SIGTERM, then returns when everything that was read is answered.
///
/// # Errors
/// Where the signals can't be had.
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
    while state.in_flight.get() > 0 && begun.elapsed() < exit_deadline {
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
