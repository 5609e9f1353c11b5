//! The store's rows of requests in quarantine: what must outlive all entries.

use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use place::crash::print::RequestPrint;
use platform::tables::PlatformClient;
use store::{ENTRY_TABLE, QUARANTINE_PREFIX, Row, RowWrite, TableService};

use crate::state::InstanceState;
use crate::watch::PATIENCE;

/// The requests in quarantine among `rows`, and how long ago they were put there.
pub(crate) fn read(rows: &[&Row]) -> Vec<(RequestPrint, Duration)> {
    let now = unix_time();
    let mut quarantines = Vec::new();
    for row in rows {
        let Some(key) = row.key.strip_prefix(QUARANTINE_PREFIX) else {
            continue;
        };
        match (RequestPrint::parse(key), row.value.parse()) {
            // Another entry's clock may be ahead.
            (Some(print), Ok(millis)) => {
                quarantines.push((print, now.saturating_sub(Duration::from_millis(millis))));
            }
            _ => log::warn!(key = row.key.as_str(); "row of a request in quarantine left out"),
        }
    }
    quarantines
}

/// Writes a row for each of `quarantines`, which began so long ago.
pub(crate) async fn keep(state: Rc<InstanceState>, quarantines: Vec<(RequestPrint, Duration)>) {
    let now = unix_time();
    let write = |(print, age): &(RequestPrint, Duration)| {
        let since = now.saturating_sub(*age).as_millis().to_string();
        RowWrite::new(ENTRY_TABLE, &row_key(*print), &since)
    };
    commit(&state, &quarantines.iter().map(write).collect::<Vec<_>>()).await;
}

/// Deletes the rows of `prints`.
pub(crate) async fn drop_rows(state: Rc<InstanceState>, prints: Vec<RequestPrint>) {
    let delete = |print: &RequestPrint| RowWrite::delete(ENTRY_TABLE, &row_key(*print));
    commit(&state, &prints.iter().map(delete).collect::<Vec<_>>()).await;
}

async fn commit(state: &InstanceState, writes: &[RowWrite]) {
    let client = PlatformClient::new(state.config.store).with_patience(PATIENCE);
    let result = client.commit(writes).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("quarantine", error);
    if let Err(error) = result {
        // The next look at the rows finds what is missing or over.
        log::info!(error:%; "rows of requests in quarantine not written");
    }
}

fn row_key(print: RequestPrint) -> String {
    format!("{QUARANTINE_PREFIX}{}", print.key())
}

fn unix_time() -> Duration {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default()
}
