//! Entry point of `lhctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::report_exit(lhctl::run(), lhctl::Error::class)
}
