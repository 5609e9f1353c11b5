//! Stores requests in quarantine as rows, so that they survive a restart of all entries.

use std::rc::Rc;
use std::time::Duration;

use place::crash::fingerprint::RequestFingerprint;
use place::crash::message::StoredQuarantine;
use platform::tables::PlatformClient;
use store::{QuarantineRow, Row, RowWrite, TableService};

use crate::state::InstanceState;
use crate::watch::STORE_TIMEOUT;

/// Parses the quarantines in `rows`, and skips rows of other kinds or that are invalid.
pub(crate) fn parse_rows(rows: &[&Row]) -> Vec<StoredQuarantine> {
    let mut quarantines = Vec::new();
    for row in rows {
        if !QuarantineRow::is_quarantine_key(row) {
            continue;
        }
        let parsed = QuarantineRow::read(row).and_then(|row| {
            RequestFingerprint::parse(&row.print).map(|fingerprint| (fingerprint, row))
        });
        let Some((fingerprint, QuarantineRow { age, lifted, .. })) = parsed else {
            log::warn!(key = row.key.as_str(); "invalid quarantine row ignored");
            continue;
        };
        quarantines.push(StoredQuarantine {
            print: fingerprint,
            age,
            lifted,
        });
    }
    quarantines
}

/// Writes a row for each of `quarantines`, given with its age.
pub(crate) async fn write_rows(
    state: Rc<InstanceState>,
    quarantines: Vec<(RequestFingerprint, Duration)>,
) {
    let writes = quarantines.iter();
    let writes =
        writes.map(|(fingerprint, age)| QuarantineRow::begin_write(&fingerprint.key(), *age));
    commit(&state, &writes.collect::<Vec<_>>()).await;
}

/// Deletes the rows of `fingerprints`.
pub(crate) async fn delete_rows(state: Rc<InstanceState>, fingerprints: Vec<RequestFingerprint>) {
    let writes = fingerprints
        .iter()
        .map(|fingerprint| QuarantineRow::delete_write(&fingerprint.key()));
    commit(&state, &writes.collect::<Vec<_>>()).await;
}

async fn commit(state: &InstanceState, writes: &[RowWrite]) {
    let client = PlatformClient::new(state.config.store).with_answer_timeout(STORE_TIMEOUT);
    let result = client.commit(writes).await;
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("quarantine", error);
    if let Err(error) = result {
        // The next read of the rows finds what is missing or left over.
        log::info!(error:%; "failed to write quarantine rows");
    }
}
