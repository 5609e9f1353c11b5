//! Stores each slice as an object in the platform's object store.

use std::time::{SystemTime, UNIX_EPOCH};

use burn::{BurnSlice, SLICE_LENGTH};
use platform::tables::PlatformClient;
use store::ObjectStore;

use crate::error::Result;

/// The number of the current slice.
pub(crate) fn current_slice() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_secs() / SLICE_LENGTH.as_secs()
}

/// Loads the slice `number`; `None` if it doesn't exist or is malformed.
pub(crate) async fn load(platform: &PlatformClient, number: u64) -> Result<Option<BurnSlice>> {
    let content = platform.get(&format!("burn-{number}")).await?;
    Ok(content.and_then(|content| serde_json::from_slice(&content).ok()))
}

/// Stores a slice and overwrites its earlier state.
pub(crate) async fn store(platform: &PlatformClient, slice: &BurnSlice) -> Result<()> {
    let content = serde_json::to_vec(slice).unwrap_or_default();
    platform
        .put(&format!("burn-{}", slice.number), &content)
        .await?;
    Ok(())
}
