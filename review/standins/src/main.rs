//! Stand-ins and cases of the review: `review-standins CASE FOLDER PROGRAM`.
//!
//! Exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run. With
//! `TROUBLE=0` in the environment it does the same without the disruption.

mod client;
mod deployment;
mod entry;
mod http;
mod json;
mod orders;
mod path;
mod record;
mod server;
mod silent;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

/// What a case runs with.
pub struct Setup {
    /// The program lh-entry.
    pub program: PathBuf,
    /// Temporary folder for settings and logs.
    pub work: PathBuf,
    pub record: record::Record,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, program] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let work = std::env::temp_dir().join(format!("review-{}-{}", case, std::process::id()));
    if std::fs::create_dir_all(&work).is_err() {
        return ExitCode::from(2);
    }
    let setup = Setup {
        program: PathBuf::from(program),
        work: work.clone(),
        record: record::Record::create(&PathBuf::from(folder).join("record.txt")),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match case.as_str() {
        "orders" => orders::run(&setup),
        "silent" => silent::run(&setup),
        _ => Verdict::NotRun("unknown case".to_owned()),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&work);
    }
    match verdict {
        Verdict::Held => {
            setup.record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            setup.record.say("THE RULE WAS BROKEN");
            ExitCode::from(1)
        }
        Verdict::NotRun(reason) => {
            setup
                .record
                .say(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}
