//! The report as plain text for a terminal.

use std::fmt::Write as _;

use crate::objective::{BURN_WINDOWS, BurnRow};
use crate::slice::BurnSlice;

/// Renders a row for each objective, followed by the planned stops of instances.
pub fn text_report(rows: &[BurnRow], slices: &[BurnSlice]) -> String {
    let mut text = format!(
        "{:<18} {:<16} {:<13} {:>8} {:>8}",
        "service", "region", "objective", "goal", "reached"
    );
    for window in BURN_WINDOWS {
        let _ = write!(text, " {:>7}", window.name);
    }
    let _ = writeln!(text, " {:>8}", "budget");
    for row in rows {
        let _ = write!(
            text,
            "{:<18} {:<16} {:<13} {:>7.2}% {:>7.2}%",
            row.key.service,
            row.key.region,
            row.kind.as_str(),
            row.goal * 100.0,
            row.reached * 100.0
        );
        for rate in &row.rates {
            match rate {
                Some(rate) => {
                    let _ = write!(text, " {rate:>7.2}");
                }
                None => text.push_str("       -"),
            }
        }
        let mark = if row.alarm { "  <- burns too fast" } else { "" };
        let _ = writeln!(text, " {:>7.0}%{mark}", row.budget_left * 100.0);
    }
    for slice in slices {
        for (instance, seconds) in &slice.drains {
            let _ = writeln!(text, "planned stop of {instance}: {seconds:.1} s");
        }
    }
    text
}
