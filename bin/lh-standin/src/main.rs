//! Entry point of `lh-standin`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::report_exit(lh_standin::run(), lh_standin::Error::class)
}
