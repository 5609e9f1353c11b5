//! A short run of real entries. It checks only guarantees that don't depend on the speed of the
//! machine; longer runs check the time bounds.

use std::path::Path;
use std::process::Command;

use lh_soak::history::RunHistory;
use lh_soak::judge::judge;

const SEED: &str = "1";
const SECONDS: &str = "24";

/// Under all faults, no entry takes a server in again whose departure it has logged, at-most-once
/// requests are executed at most once, callers get the responses to their own requests in their
/// order, no revoked key runs, and homes and quotas are kept.
#[test]
fn no_entry_takes_in_a_server_that_left() {
    let program = Path::new(env!("CARGO_BIN_EXE_lh-soak"));
    let entry = program.with_file_name("lh-entry");
    assert!(
        entry.exists(),
        "build {} with `cargo build -p lh-entry`",
        entry.display()
    );
    let folder = tempfile::tempdir().unwrap();
    let output = Command::new(program)
        .args(["--seed", SEED, "--seconds", SECONDS, "--entries", "12"])
        .args(["--servers", "30", "--keep"])
        .arg(folder.path())
        .arg("--entry-program")
        .arg(&entry)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let history = RunHistory::read(&folder.path().join("history.json")).unwrap();
    let report = judge(&history);
    assert!(
        report.readmissions.is_empty() && report.once_violations.is_empty(),
        "{stdout}"
    );
    // These hold under all faults, too.
    let unconditional = [
        &report.key_violations,
        &report.home_violations,
        &report.order_violations,
        &report.quota_violations,
    ];
    assert!(unconditional.iter().all(|kind| kind.is_empty()), "{stdout}");
    assert!(
        report.servers_left > 20 && report.responses.0 > 100,
        "{stdout}"
    );
}

/// Callers of entries that can reach no server are served through other entries, also while the
/// store comes back from older copies, and what must hold under all faults does.
#[test]
fn promises_hold_while_entries_are_cut_off_and_the_store_is_restored() {
    let program = Path::new(env!("CARGO_BIN_EXE_lh-soak"));
    let entry = program.with_file_name("lh-entry");
    let folder = tempfile::tempdir().unwrap();
    let output = Command::new(program)
        .args(["--seed", "2", "--seconds", SECONDS, "--entries", "12"])
        .args(["--servers", "30", "--partitions", "--restorations"])
        .arg("--keep")
        .arg(folder.path())
        .arg("--entry-program")
        .arg(&entry)
        .output()
        .unwrap();
    let stdout = String::from_utf8_lossy(&output.stdout);
    let history = RunHistory::read(&folder.path().join("history.json")).unwrap();
    let report = judge(&history);
    let unconditional = [
        &report.path_violations,
        &report.readmissions,
        &report.once_violations,
        &report.key_violations,
        &report.home_violations,
        &report.order_violations,
        &report.quota_violations,
    ];
    assert!(unconditional.iter().all(|kind| kind.is_empty()), "{stdout}");
    for fault in ["partitioned", "store-restored"] {
        assert!(report.faults.contains_key(fault), "{stdout}");
    }
}
