//! The program `lh-standin`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lh_standin::run(), lh_standin::Error::class)
}
