//! Entry point of `lh-soak`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::report_exit(lh_soak::run(), lh_soak::Error::class)
}
