//! The command `explain-request`: reconstructs from the entries' logs how a request was handled,
//! what its outcome was, and which events its entry logged around that time.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use serde_json::Value;

use crate::error::{Error, Result};

/// How long before the start of a request events of its entry are included, in milliseconds.
const EVENTS_BEFORE_MS: i64 = 5000;
/// How long after the answer events of its entry are included, in milliseconds.
const EVENTS_AFTER_MS: i64 = 1000;
/// Events that are included only for servers that the request was sent to.
const SERVER_EVENTS: [&str; 7] = [
    "server joined",
    "server is leaving",
    "server is gone",
    "server is cold",
    "server's entry missing, kept for now",
    "server ended under requests",
    "server broke off requests and runs on",
];

/// A log line, parsed as JSON.
#[derive(Debug, Clone)]
struct LogLine(Value);

impl LogLine {
    fn text(&self, field: &str) -> &str {
        self.0[field].as_str().unwrap_or("")
    }

    fn number(&self, field: &str) -> i64 {
        let value = &self.0[field];
        value
            .as_i64()
            .unwrap_or_else(|| value.as_f64().unwrap_or(0.0) as i64)
    }

    fn time(&self) -> i64 {
        self.number("time_ms")
    }

    fn is_request(&self, id: &str) -> bool {
        self.text("event") == "request" && self.text("request") == id
    }
}

/// Prints what the lines in `logs` say about the request `id`.
///
/// # Errors
/// If a file can't be read, or if no line is about the request.
pub(crate) fn explain(id: &str, logs: &[PathBuf], json: bool) -> Result<()> {
    let lines = read_lines(logs)?;
    let mut requests: Vec<&LogLine> = lines.iter().filter(|line| line.is_request(id)).collect();
    requests.sort_by_key(|line| line.time());
    if requests.is_empty() {
        return Err(Error::Refused(format!(
            "no line is about request {id}; pass the logs of all entries, and check for \
             \"lines left out\" around the time of the request"
        )));
    }
    for request in requests {
        let events = nearby_events(request, &lines);
        if json {
            print_json(request, &events);
        } else {
            print!("{}", format_explanation(request, &events));
        }
    }
    Ok(())
}

fn read_lines(logs: &[PathBuf]) -> Result<Vec<LogLine>> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        parse_lines(std::io::stdin().lock(), &mut lines)?;
    }
    for path in logs {
        let file = std::fs::File::open(path).map_err(|cause| {
            Error::Usage(format!("can't read the log {}: {cause}", path.display()))
        })?;
        parse_lines(BufReader::new(file), &mut lines)?;
    }
    Ok(lines)
}

fn parse_lines(source: impl BufRead, lines: &mut Vec<LogLine>) -> Result<()> {
    for line in source.lines() {
        let line = line?;
        // Log collectors may prefix lines with text of their own.
        let Some(start) = line.find('{') else {
            continue;
        };
        if let Ok(value) = serde_json::from_str(&line[start..]) {
            lines.push(LogLine(value));
        }
    }
    Ok(())
}

fn nearby_events(request: &LogLine, lines: &[LogLine]) -> Vec<LogLine> {
    let started = request.time() - request.number("took_ms");
    let servers = attempted_servers(request);
    let mut events: Vec<LogLine> = lines
        .iter()
        .filter(|line| line.text("event") != "request" && line.text("node") == request.text("node"))
        .filter(|line| {
            (started - EVENTS_BEFORE_MS..=request.time() + EVENTS_AFTER_MS).contains(&line.time())
        })
        .filter(|line| {
            let is_server_event = SERVER_EVENTS.contains(&line.text("event"));
            !is_server_event || servers.contains(line.text("server"))
        })
        .cloned()
        .collect();
    events.sort_by_key(LogLine::time);
    events
}

fn attempted_servers(request: &LogLine) -> BTreeSet<&str> {
    let attempts = request.text("attempts").split("; ");
    attempts
        .filter_map(|attempt| attempt.split('(').next())
        .collect()
}

fn format_explanation(request: &LogLine, events: &[LogLine]) -> String {
    let mut text = String::new();
    let started = request.time() - request.number("took_ms");
    let _ = writeln!(
        text,
        "request {} at entry {}, route {}{}",
        request.text("request"),
        request.text("node"),
        request.text("route"),
        match request.text("team") {
            "" => String::new(),
            team => format!(", of team {team}"),
        }
    );
    let _ = writeln!(
        text,
        "  {started} read{}; desired state {} confirmed {} ms before the answer, server registry \
         read {} ms before it",
        if request.0["returning"] == true {
            ", as a retry after a refusal"
        } else {
            ""
        },
        request.number("version"),
        request.number("state_age_ms"),
        request.number("servers_age_ms")
    );
    for attempt in request
        .text("attempts")
        .split("; ")
        .filter(|text| !text.is_empty())
    {
        let _ = writeln!(text, "  sent to {attempt}");
    }
    if !request.text("reason").is_empty() {
        let reason = request.text("reason");
        let _ = writeln!(
            text,
            "  refused ({reason}{}), {}",
            describe_reason(reason),
            match request.number("back_in_ms") {
                0 => "caller not asked to retry".to_owned(),
                wait => format!("caller asked to retry in {wait} ms"),
            }
        );
    }
    let _ = writeln!(
        text,
        "  {} answered {} ({}) after {} ms",
        request.time(),
        request.number("status"),
        request.text("outcome"),
        request.number("took_ms")
    );
    if !events.is_empty() {
        let _ = writeln!(text, "  events at the same entry around that time:");
    }
    for event in events {
        let _ = writeln!(
            text,
            "    {} {}{}",
            event.time(),
            event.text("event"),
            format_fields(event)
        );
    }
    text
}

/// Explains why a request was refused before it was sent to a server.
fn describe_reason(reason: &str) -> &'static str {
    match reason {
        "key-missing" => ": the request has no key, and its route isn't public",
        "key-malformed" => ": the credentials aren't a single key in the platform's scheme",
        "key-unknown" => ": no team had this key in the desired state given above",
        "key-unheard" => {
            ": the entry knew no team with this key, but its information was too old to reject it"
        }
        "keys-stale" => ": the entry's information on valid keys was too old",
        "quota" => ": the team exceeded its quota across all entries",
        "no-home" => ": the regions allowed for the team and for the route don't overlap",
        _ => "",
    }
}

fn format_fields(event: &LogLine) -> String {
    let mut fields = String::new();
    let Some(map) = event.0.as_object() else {
        return fields;
    };
    for (name, value) in map {
        if !matches!(name.as_str(), "time_ms" | "node" | "level" | "event") {
            let _ = write!(fields, " {name}={value}");
        }
    }
    fields
}

fn print_json(request: &LogLine, events: &[LogLine]) {
    let events: Vec<&Value> = events.iter().map(|line| &line.0).collect();
    println!(
        "{}",
        serde_json::json!({"request": request.0, "around": events})
    );
}
