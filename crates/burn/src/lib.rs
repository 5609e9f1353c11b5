//! Error budget burn: how fast each service uses up the error budgets of its objectives, by
//! region, over short and long windows.
//!
//! The counters of instances are aggregated into slices of five minutes, which outlive the
//! instances; the report is computed from slices alone.

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
