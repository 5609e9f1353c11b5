//! Home regions of client addresses, from the client block rows that operators write.

use std::net::IpAddr;

use place::blocks::{BlockTable, BlockTableBuilder, parse_block};
use store::{BLOCK_PREFIX, Row};

/// Table of the home regions of client addresses.
#[derive(Debug, Default)]
pub(crate) struct HomeRegionTable {
    regions: Vec<String>,
    table: Option<BlockTable>,
    /// Keys and revisions of the rows that the table was built from.
    rows: Vec<(String, u64)>,
}

impl HomeRegionTable {
    /// Rebuilds the table from the client block rows if any of them has changed.
    pub(crate) fn apply_block_rows(&mut self, rows: &[&Row]) {
        let revisions = rows.iter().map(|row| (row.key.clone(), row.revision));
        let revisions: Vec<_> = revisions.collect();
        if revisions == self.rows {
            return;
        }
        self.rows = revisions;
        self.regions.clear();
        let mut builder = BlockTableBuilder::new();
        for row in rows {
            let region = row.key.trim_start_matches(BLOCK_PREFIX);
            let Ok(site) = u16::try_from(self.regions.len()) else {
                log::error!(region; "too many regions with client blocks; ignoring the rest");
                break;
            };
            self.regions.push(region.to_owned());
            for text in row.value.split(',').filter(|text| !text.trim().is_empty()) {
                match parse_block(text) {
                    Ok((address, length)) => builder = builder.with_block(address, length, site),
                    Err(error) => log::warn!(region, error:%; "ignoring an invalid client block"),
                }
            }
        }
        self.table = Some(builder.build());
        log::info!(regions = self.regions.len(); "client blocks in force");
    }

    /// Returns the home region of `address`.
    pub(crate) fn find(&self, address: IpAddr) -> Option<&str> {
        let site = self.table.as_ref()?.find(address)?;
        self.regions.get(usize::from(site)).map(String::as_str)
    }
}
