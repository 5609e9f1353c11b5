//! The store's rows of requests in quarantine: what must outlive all entries.

use std::rc::Rc;
use std::time::Duration;

use place::crash::print::RequestFingerprint;
use place::crash::word::StoredQuarantine;
use platform::tables::PlatformClient;
use store::{QuarantineRow, Row, RowWrite, TableService};

use crate::state::InstanceState;
use crate::watch::STORE_TIMEOUT;

/// What `rows` say of requests in quarantine.
pub(crate) fn read(rows: &[&Row]) -> Vec<StoredQuarantine> {
    let mut kept = Vec::new();
    for row in rows {
        if !QuarantineRow::is_quarantine_key(row) {
            continue;
        }
        let read = QuarantineRow::read(row)
            .and_then(|row| RequestFingerprint::parse(&row.print).map(|print| (print, row)));
        let Some((print, QuarantineRow { age, lifted, .. })) = read else {
            log::warn!(key = row.key.as_str(); "row of a request in quarantine left out");
            continue;
        };
        kept.push(StoredQuarantine { print, age, lifted });
    }
    kept
}

/// Writes a row for each of `quarantines`, which began so long ago.
pub(crate) async fn keep(
    state: Rc<InstanceState>,
    quarantines: Vec<(RequestFingerprint, Duration)>,
) {
    let writes = quarantines.iter();
    let writes = writes.map(|(print, age)| QuarantineRow::begin_write(&print.key(), *age));
    commit(&state, &writes.collect::<Vec<_>>()).await;
}

/// Deletes the rows of `prints`.
pub(crate) async fn drop_rows(state: Rc<InstanceState>, prints: Vec<RequestFingerprint>) {
    let writes = prints
        .iter()
        .map(|print| QuarantineRow::delete_write(&print.key()));
    commit(&state, &writes.collect::<Vec<_>>()).await;
}

async fn commit(state: &InstanceState, writes: &[RowWrite]) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(STORE_TIMEOUT);
    let result = client.commit(writes).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("quarantine", error);
    if let Err(error) = result {
        // The next look at the rows finds what is missing or over.
        log::info!(error:%; "rows of requests in quarantine not written");
    }
}
