//! Reports whether this entry has a path to the servers of each service.

use place::paths::PathChange;

use crate::state::InstanceState;

/// Logs and counts changes of the paths to servers.
pub(crate) fn report_changes(state: &InstanceState) {
    let mut placer = state.placer.borrow_mut();
    let changes = placer.take_path_changes();
    if changes.is_empty() {
        return;
    }
    let lost_paths = placer.lost_paths();
    drop(placer);
    state.metrics.lost_paths.set(lost_paths as i64);
    for change in changes {
        match change {
            PathChange::Lost { service, missed } => {
                state.metrics.path_losses.inc();
                log::warn!(service, missed, lost_paths; "no path to the servers of a service");
            }
            PathChange::Restored { service, after } => {
                let after_ms = after.as_millis() as u64;
                log::info!(service, after_ms, lost_paths; "path to the servers of a service restored");
            }
        }
    }
}
