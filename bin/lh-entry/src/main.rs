//! The `lh-entry` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::report_exit(lh_entry::run(), lh_entry::Error::class)
}
