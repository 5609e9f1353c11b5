//! The program `lh-burn`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lh_burn::run(), lh_burn::Error::class)
}
