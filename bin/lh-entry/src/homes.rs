//! Home regions of client addresses, from the rows that operators write.

use std::net::IpAddr;

use place::blocks::{BlockTable, BlockTableBuilder, parse_block};
use store::{BLOCK_PREFIX, Row};

/// Finds the home region of an address.
#[derive(Debug, Default)]
pub(crate) struct HomeRegionTable {
    regions: Vec<String>,
    table: Option<BlockTable>,
    /// The rows behind the table, with their revisions.
    rows: Vec<(String, u64)>,
}

impl HomeRegionTable {
    /// Takes in the rows of client blocks, where one has changed.
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
                log::error!(region; "client blocks of too many regions");
                break;
            };
            self.regions.push(region.to_owned());
            for text in row.value.split(',').filter(|text| !text.trim().is_empty()) {
                match parse_block(text) {
                    Ok((address, length)) => builder = builder.with_block(address, length, site),
                    Err(error) => log::warn!(region, error:%; "client block left out"),
                }
            }
        }
        self.table = Some(builder.build());
        log::info!(regions = self.regions.len(); "client blocks in force");
    }

    /// The home region of `address`.
    pub(crate) fn find(&self, address: IpAddr) -> Option<&str> {
        let site = self.table.as_ref()?.find(address)?;
        self.regions.get(usize::from(site)).map(String::as_str)
    }
}
