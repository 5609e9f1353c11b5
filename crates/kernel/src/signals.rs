//! Termination signals.

/// Waits until this process receives SIGTERM or SIGINT.
///
/// # Errors
/// If the signal handlers can't be installed.
pub async fn wait_for_termination() -> std::io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
