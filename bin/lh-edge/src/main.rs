//! The program `lh-edge`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lh_edge::run(), lh_edge::Error::class)
}
