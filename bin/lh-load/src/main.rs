//! The program `lh-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    kernel::finish(lh_load::run(), |_| kernel::ExitClass::Refused)
}
