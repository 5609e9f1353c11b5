//! Result table of the `callers` command.

use standin::PhaseReport;

/// Formats the table header.
pub(crate) fn header() -> String {
    format!(
        "{:<22} {:>6} {:>6} {:>6} {:>5} {:>6} {:>5} {:>6} {:>6} {:>6} {:>8} {:>8} {:>6} {:>6}",
        "phase",
        "sent",
        "done",
        "refus",
        "unkn",
        "noansw",
        "lost",
        "double",
        "falsef",
        "wrong",
        "p50 ms",
        "p99 ms",
        "shed",
        "late"
    )
}

/// Formats a row of the table.
pub(crate) fn row(phase: &str, report: &PhaseReport, shed: u64, late: u64) -> String {
    format!(
        "{:<22} {:>6} {:>6} {:>6} {:>5} {:>6} {:>5} {:>6} {:>6} {:>6} {:>8.1} {:>8.1} {:>6} {:>6}",
        phase,
        report.requests,
        report.done,
        report.refused,
        report.unknown,
        report.unanswered,
        report.lost,
        report.doubled,
        report.false_refusals,
        report.wrong,
        report.p50.as_secs_f64() * 1e3,
        report.p99.as_secs_f64() * 1e3,
        shed,
        late
    )
}
