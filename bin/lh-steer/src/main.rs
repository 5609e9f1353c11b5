//! The program `lh-steer`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lh_steer::run(), lh_steer::Error::class)
}
