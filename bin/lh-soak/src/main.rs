//! The program `lh-soak`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lh_soak::run(), lh_soak::Error::class)
}
