//! The commands `quarantines` and `lift`, for requests that entries refuse because backend
//! servers crashed while handling them.

use std::net::SocketAddr;
use std::time::Duration;

use platform::tables::PlatformClient;
use store::{CommitOutcome, ENTRY_TABLE, QuarantineRow, Row, TableService};

use crate::error::{Error, Result};

/// Longest time to wait for an answer from the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Prints the quarantine rows in the store, including lifted ones.
pub(crate) async fn list(platform: SocketAddr, json: bool) -> Result<()> {
    let rows = read_quarantines(&client(platform)).await?;
    for (_, row) in &rows {
        let state = if row.lifted {
            "lifted"
        } else {
            "in quarantine"
        };
        let seconds = row.age.as_secs();
        if json {
            let line = serde_json::json!({"print": row.print, "state": state, "seconds": seconds});
            println!("{line}");
        } else {
            println!("{} {state} for {seconds} s", row.print);
        }
    }
    if rows.is_empty() && !json {
        println!("no request is in quarantine");
    }
    Ok(())
}

/// Lifts the quarantine of the request whose fingerprint begins with `prefix`. Refused unless
/// exactly one quarantined request matches.
pub(crate) async fn lift(platform: SocketAddr, prefix: &str, json: bool) -> Result<()> {
    let client = client(platform);
    let rows = read_quarantines(&client).await?;
    let mut matching = rows
        .iter()
        .filter(|(_, row)| row.print.starts_with(prefix) && !row.lifted);
    let Some((stored, row)) = matching.next() else {
        return Err(Error::Refused(format!(
            "no quarantined request has a fingerprint that begins with {prefix}; \
             'lhctl quarantines' lists them"
        )));
    };
    if matching.next().is_some() {
        return Err(Error::Refused(format!(
            "several quarantined requests have fingerprints that begin with {prefix}; use a \
             longer prefix"
        )));
    }
    let write = QuarantineRow::lift_write(&row.print).with_expected(stored.revision);
    if client.commit(&[write]).await? == CommitOutcome::Conflict {
        return Err(Error::Refused(
            "the row was changed concurrently; run the command again".to_owned(),
        ));
    }
    if json {
        println!("{}", serde_json::json!({"lifted": row.print}));
    } else {
        println!("{} will be accepted again within 15 s", row.print);
    }
    Ok(())
}

fn client(platform: SocketAddr) -> PlatformClient {
    PlatformClient::new(platform).with_answer_timeout(ANSWER_TIMEOUT)
}

async fn read_quarantines(client: &PlatformClient) -> Result<Vec<(Row, QuarantineRow)>> {
    let rows = client.list(ENTRY_TABLE).await?;
    let decode = |row: Row| QuarantineRow::read(&row).map(|quarantine| (row, quarantine));
    Ok(rows.into_iter().filter_map(decode).collect())
}
