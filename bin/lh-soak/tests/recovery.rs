//! Tests of the judge's checks of the recovery from a loss of power, with constructed histories,
//! and a short run of real entries.

use std::path::Path;
use std::process::Command;

use lh_soak::history::{RunEvent, RunHistory, TimedEvent};
use lh_soak::judge::{SoakReport, judge};
use lh_soak::power::draw_losses;

/// Times at which the power is lost, and at which all machines are back.
const LOST_AT: u64 = 20_000;
const BACK_AT: u64 = 22_000;
/// Interval between two requests.
const INTERVAL: u64 = 100;

fn ended(at: u64, number: u64, status: u16) -> TimedEvent {
    let request = format!("1-0-{number}");
    let event = match status {
        0 => RunEvent::Unconnected { request },
        _ => RunEvent::Answered {
            request,
            status,
            body: String::new(),
        },
    };
    TimedEvent { at, event }
}

/// Judges a run in which requests end with 200 before the loss, and with `status` after it.
fn report_of(status: impl Fn(u64) -> u16) -> SoakReport {
    let power = |at, is_back| TimedEvent {
        at,
        event: RunEvent::Power { is_back },
    };
    let mut events = vec![power(LOST_AT, false), power(BACK_AT, true)];
    for (number, at) in (0..BACK_AT + 25_000).step_by(INTERVAL as usize).enumerate() {
        let status = match at {
            ..LOST_AT => 200,
            LOST_AT..BACK_AT => 0,
            _ => status(at - BACK_AT),
        };
        events.push(ended(at, number as u64, status));
    }
    events.sort_by_key(|event| event.at);
    judge(&RunHistory { seed: 1, events })
}

/// Requests that are refused, or find no process, 15 s after the return are a violation; those
/// before aren't.
#[test]
fn service_that_does_not_return_is_a_violation() {
    for status in [503, 0] {
        assert_eq!(report_of(|_| status).recovery_violations.len(), 1);
        let late = report_of(|after| if after < 14_000 { status } else { 200 });
        assert!(late.recovery_violations.is_empty());
        let down_again = report_of(|after| if after < 14_000 { 200 } else { status });
        assert_eq!(down_again.recovery_violations.len(), 1);
    }
}

/// A fifth of the requests less than before is a violation, one in twenty isn't.
#[test]
fn service_that_returns_in_part_is_a_violation() {
    let one_in = |part: u64| {
        move |after: u64| {
            if after.is_multiple_of(part * INTERVAL) {
                503
            } else {
                200
            }
        }
    };
    assert_eq!(report_of(one_in(5)).recovery_violations.len(), 1);
    assert!(report_of(one_in(20)).recovery_violations.is_empty());
}

/// A run without any request after the return is a violation.
#[test]
fn a_run_that_ends_with_the_return_is_a_violation() {
    let power = |at, is_back| TimedEvent {
        at,
        event: RunEvent::Power { is_back },
    };
    let before = (0..100).map(|number| ended(number * INTERVAL, number, 200));
    let mut events: Vec<TimedEvent> = before.collect();
    events.extend([power(LOST_AT, false), power(BACK_AT, true)]);
    let report = judge(&RunHistory { seed: 1, events });
    assert_eq!(report.recovery_violations.len(), 1);
}

/// The end of a cold server that got too many requests is reported.
#[test]
fn an_overloaded_cold_server_is_a_violation() {
    let event = RunEvent::Crashed {
        server: "i-0001".to_owned(),
    };
    let events = vec![TimedEvent { at: 5, event }];
    let report = judge(&RunHistory { seed: 1, events });
    assert_eq!(report.cold_violations.len(), 1);
}

/// The same seed draws the same losses.
#[test]
fn losses_are_reproducible() {
    for seed in 0..20 {
        let losses = draw_losses(seed);
        assert_eq!(losses, draw_losses(seed));
        assert!((1..=3).contains(&losses.len()));
    }
}

/// After all entries and servers have lost power, service comes back, and what must hold under all
/// faults does.
#[test]
fn service_returns_after_a_loss_of_power() {
    let program = Path::new(env!("CARGO_BIN_EXE_lh-soak"));
    let entry = program.with_file_name("lh-entry");
    let folder = tempfile::tempdir().unwrap();
    let output = Command::new(program)
        .args(["--seed", "3", "--seconds", "45", "--entries", "12"])
        .args(["--servers", "30", "--power-losses", "--keep"])
        .arg(folder.path())
        .arg("--entry-program")
        .arg(&entry)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let history = RunHistory::read(&folder.path().join("history.json")).unwrap();
    let report = judge(&history);
    let unconditional = [
        &report.recovery_violations,
        &report.readmissions,
        &report.once_violations,
        &report.key_violations,
        &report.home_violations,
        &report.order_violations,
        &report.quota_violations,
    ];
    assert!(unconditional.iter().all(|kind| kind.is_empty()), "{stdout}");
    assert!(report.faults.contains_key("power-lost"), "{stdout}");
}
