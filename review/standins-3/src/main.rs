//! Stand-ins and judges of the review's scripts. Each case starts a store, servers and clients
//! in this process, and the project's entries as separate processes.

mod closed_early;
mod entry;
mod http;
mod pipelined_stream;
mod record;
mod server;
mod slow_reader;
mod unread_upload;
mod world;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

use crate::pipelined_stream::Trouble;

/// Time of work on a large answer, in the case in which a server crashes meanwhile.
const CRASH_WORK: Duration = Duration::from_millis(3000);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new(&folder);
    let result = match case.as_str() {
        "closed-early" => closed_early::run(&record, trouble),
        "slow-reader" => slow_reader::run(&record, trouble),
        "pipelined-stream" => {
            let trouble = if trouble { Trouble::Slow } else { Trouble::None };
            pipelined_stream::run(&record, pipelined_stream::WORK, trouble)
        }
        "pipelined-crash" => {
            let trouble = if trouble { Trouble::Crash } else { Trouble::None };
            pipelined_stream::run(&record, CRASH_WORK, trouble)
        }
        "unread-upload" => unread_upload::run(&record, trouble),
        _ => Err(format!("unknown case {case:?}")),
    };
    let code = match result {
        Ok(broken) => {
            record.line(if broken { "RESULT: the rule was broken" } else { "RESULT: the rule held" });
            i32::from(broken)
        }
        Err(reason) => {
            record.line(&format!("RESULT: could not run: {reason}"));
            2
        }
    };
    exit(code);
}
