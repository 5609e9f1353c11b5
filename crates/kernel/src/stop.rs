//! Planned stops: one trigger, any number of listeners.

use tokio::sync::watch;

/// Sends the stop.
#[derive(Debug)]
pub struct StopTrigger(watch::Sender<bool>);

/// Waits for the stop.
#[derive(Debug, Clone)]
pub struct StopSignal(watch::Receiver<bool>);

/// Makes a connected trigger and signal.
pub fn stop_channel() -> (StopTrigger, StopSignal) {
    let (sender, receiver) = watch::channel(false);
    (StopTrigger(sender), StopSignal(receiver))
}

impl StopTrigger {
    /// Tells every listener to stop. Repeated calls change nothing.
    pub fn stop(&self) {
        self.0.send_replace(true);
    }
}

impl StopSignal {
    /// Whether the stop has been sent.
    pub fn is_stopped(&self) -> bool {
        *self.0.borrow()
    }

    /// Returns once the stop has been sent or the trigger is gone.
    pub async fn stopped(&mut self) {
        while !*self.0.borrow_and_update() {
            if self.0.changed().await.is_err() {
                return;
            }
        }
    }
}

/// Returns when this process gets SIGTERM or SIGINT.
///
/// # Errors
/// When the signal handlers can't be installed.
pub async fn terminated() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stop requested");
    Ok(())
}
