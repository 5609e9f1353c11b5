//! The loop that talks to the platform: head row, instance list and seats.

use base::prelude::*;
use steer::{ConfigVersion, SeatAction, SeatEvent, SeatRow, VersionVerdict};
use store::{Commit, Error, HeadStore, InstanceList, PlatformClient, RowWrite, TableService};

use crate::core::SteerCore;

const SEAT_TABLE: &str = "seats";
/// Time between two looks at the seats that wait to be written.
const SEAT_PERIOD: Duration = Duration::from_millis(300);

/// Talks to the platform.
pub(crate) struct PlatformLoop {
    core: SteerCore,
    heads: HeadStore<PlatformClient>,
    region: RegionId,
    period: Duration,
}

impl PlatformLoop {
    pub(crate) fn new(
        core: SteerCore,
        client: PlatformClient,
        region: &RegionId,
        period: Duration,
    ) -> Self {
        Self {
            core,
            heads: HeadStore::new(client),
            region: region.clone(),
            period,
        }
    }

    /// Runs for as long as the process.
    pub(crate) async fn run(self) {
        let mut read_at: Option<Instant> = None;
        let mut reread = false;
        loop {
            let due = read_at.is_none_or(|at| at.elapsed() >= self.period);
            if due || reread {
                read_at = Some(Instant::now());
                if let Err(error) = self.read_all().await {
                    log::warn!(error:% = error; "the platform was not read");
                }
            }
            reread = self.write_seats().await;
            tokio::time::sleep(SEAT_PERIOD).await;
        }
    }

    async fn read_all(&self) -> store::Result<()> {
        self.read_head().await?;
        self.read_seats().await?;
        let list = self.heads.platform().instances().await?;
        self.core.lock().on_list(Instant::now(), &list);
        Ok(())
    }

    async fn read_head(&self) -> store::Result<()> {
        let Some(head) = self.heads.head().await? else {
            return Ok(());
        };
        let version = ConfigVersion {
            number: head.version,
            hash: head.hash,
        };
        let verdict = self.core.lock().versions.on_store(&version);
        if verdict == VersionVerdict::Fetch {
            let content = self.heads.content(&version.hash).await?;
            self.core
                .lock()
                .on_content(Instant::now(), &version, &content);
        }
        Ok(())
    }

    async fn read_seats(&self) -> store::Result<()> {
        let prefix = format!("{}.", self.region);
        let rows = self.heads.platform().list(SEAT_TABLE, &prefix).await?;
        let mut seats = Vec::new();
        for row in rows {
            let index = row
                .key
                .strip_prefix(&prefix)
                .and_then(|text| text.parse().ok());
            let seat = serde_json::from_str::<SeatRow>(&row.row.value);
            let (Some(index), Ok(seat)) = (index, seat) else {
                log::warn!(key = row.key.as_str(); "a seat's row can't be read");
                continue;
            };
            seats.push((index, row.row.revision, seat));
        }
        let event = SeatEvent::Rows(seats);
        self.core.lock().seat_event(Instant::now(), &event);
        Ok(())
    }

    /// Writes the seats that wait; tells whether the rows should be read again at once.
    async fn write_seats(&self) -> bool {
        let writes = {
            let mut state = self.core.lock();
            state.seat_event(Instant::now(), &SeatEvent::Tick);
            state.take_seat_writes()
        };
        let mut failed = false;
        for SeatAction::Write { index, expect, row } in writes {
            let event = self.write_seat(index, expect, &row).await;
            failed |= matches!(event, SeatEvent::NotWritten { .. });
            self.core.lock().seat_event(Instant::now(), &event);
        }
        failed
    }

    async fn write_seat(&self, index: u16, expect: u64, row: &SeatRow) -> SeatEvent {
        let Ok(value) = serde_json::to_string(row) else {
            let certain = true;
            return SeatEvent::NotWritten { index, certain };
        };
        let key = format!("{}.{index}", self.region);
        let write = RowWrite::new(SEAT_TABLE, &key, expect, &value);
        match self.heads.platform().commit(&[write]).await {
            Ok(Commit::Done) => SeatEvent::Written { index },
            Ok(Commit::Conflict) | Err(Error::Unavailable(_)) => {
                let certain = true;
                SeatEvent::NotWritten { index, certain }
            }
            Err(error) => {
                log::warn!(seat = index, error:% = error; "nobody knows whether the seat was written");
                let certain = false;
                SeatEvent::NotWritten { index, certain }
            }
        }
    }
}
