//! Service-level burn: how fast each service uses up what its objectives allow, by
//! region, over fast and slow windows.
//!
//! Counters of instances are turned into slices of five minutes, which outlive the
//! instances; the report is worked out from slices alone.

mod error;
mod html;
mod objective;
mod report;
mod scrape;
mod slice;

pub use error::{Error, Result};
pub use html::html_page;
pub use objective::{BURN_WINDOWS, BurnKind, BurnRow, BurnWindow, burn_rows};
pub use report::text_report;
pub use scrape::{CounterSet, Scrape, ServiceCounters, parse_scrape};
pub use slice::{BurnSlice, SLICE_LENGTH, SliceKey, SliceRecorder, SliceSums};
