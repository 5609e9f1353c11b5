//! Stand-ins and judges of the review's scripts. Each case starts a store, servers and clients
//! in this process, and the project's entries as separate processes.

mod entry;
#[path = "../../standins-2/src/http.rs"]
#[allow(dead_code, reason = "the store of the other cases needs only a part of it")]
mod http;
mod interim_flood;
mod message;
mod pipelined_crash;
mod record;
mod server;
#[path = "../../standins-2/src/store.rs"]
#[allow(dead_code, reason = "these cases delete no rows")]
mod store;
mod unread_upload;
mod world;

use std::path::PathBuf;
use std::process::exit;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new(&folder);
    let result = match case.as_str() {
        "pipelined-crash" => pipelined_crash::run(&record, trouble),
        "interim-flood" => interim_flood::run(&record, trouble),
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
