//! The program `lhctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lhctl::run(), lhctl::Error::class)
}
