//! Entry point of `lh-burn`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::report_exit(lh_burn::run(), lh_burn::Error::class)
}
