//! Entry point of `lh-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::report_exit(lh_load::run(), |_| kernel::ExitClass::Refused)
}
