//! Runs `lhctl explain-request` on log lines.

use std::io::Write as _;
use std::process::{Command, Output, Stdio};

const LOG: &str = concat!(
    r#"  12.5 edge-1 {"time_ms":1000,"node":"n1","level":"INFO","event":"server is cold","server":"i-1"}"#,
    "\n",
    r#"{"time_ms":1100,"node":"n1","level":"INFO","event":"server is cold","server":"i-9"}"#,
    "\n",
    r#"{"time_ms":1200,"node":"n2","level":"WARN","event":"dependency lost","dependency":"server registry"}"#,
    "\n",
    r#"{"time_ms":1300,"node":"n1","level":"WARN","event":"dependency lost","dependency":"server registry"}"#,
    "\n",
    r#"{"time_ms":2000,"node":"n1","level":"WARN","event":"request","request":"r7","route":"desk","outcome":"unknown","status":502,"took_ms":400,"attempts":"i-1(expected 300ms occupancy 1.0 warmth 0.90 rank 0) -> broke: connection reset at 399ms","reason":"","back_in_ms":0,"returning":true,"version":5,"servers_age_ms":700}"#,
    "\nnot a log line of an entry\n",
);

fn explain(args: &[&str]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lhctl"))
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child
        .stdin
        .take()
        .unwrap()
        .write_all(LOG.as_bytes())
        .unwrap();
    child.wait_with_output().unwrap()
}

/// The explanation has the attempts and the outcome of the request, and events of the same
/// entry that are about its dependencies or the servers that the request was sent to.
#[test]
fn explain_request_reports_attempts_outcome_and_events() {
    let output = explain(&["explain-request", "r7"]);
    let text = String::from_utf8_lossy(&output.stdout);
    for part in [
        "request r7 at entry n1, route desk",
        "as a retry after a refusal",
        "sent to i-1(expected 300ms",
        "broke: connection reset",
        "answered 502 (unknown) after 400 ms",
        "1000 server is cold server=\"i-1\"",
        "1300 dependency lost",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
    assert!(!text.contains("i-9") && !text.contains("1200"), "{text}");
}

/// For an ID without log lines the error says so and what to do.
#[test]
fn explain_request_rejects_an_unknown_id() {
    let output = explain(&["explain-request", "r8"]);
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(
        text.contains("r8") && text.contains("logs of all entries"),
        "{text}"
    );
}
