//! Plays a case of the review: `review-case CASE RECORD`. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case couldn't run. With `TROUBLE=0` the disruption is left out.

mod behind;
mod client;
mod close;
mod http;
mod late;
mod left;
mod rig;
mod server;
mod stop;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use crate::rig::{Outcome, Record};

/// Time after which a case has failed to run.
const CASE_TIME: Duration = Duration::from_secs(100);

async fn play(name: &str, record: &Record, has_trouble: bool) -> Outcome<bool> {
    match name {
        "behind" => behind::run(record, has_trouble).await,
        "close" => close::run(record, has_trouble).await,
        "late" => late::run(record, has_trouble).await,
        "left" => left::run(record, has_trouble).await,
        "stop" => stop::run(record, has_trouble).await,
        _ => Err("unknown case".into()),
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE RECORD");
        return ExitCode::from(2);
    };
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = tokio::time::timeout(CASE_TIME, play(&name, &record, has_trouble)).await;
    let (text, code) = match played {
        Ok(Ok(true)) => ("the rule was broken".to_owned(), 1),
        Ok(Ok(false)) => ("the rule held".to_owned(), 0),
        Ok(Err(error)) => (format!("couldn't run: {error}"), 2),
        Err(_) => ("couldn't run: it took too long".to_owned(), 2),
    };
    record.line(&text);
    println!("{name}: {text}");
    ExitCode::from(code)
}
