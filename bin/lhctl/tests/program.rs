//! Runs `lhctl` against a fake of the platform's store.

mod common;

use common::{path, run_lhctl, settings_folder};
use platform_standin::{FakeStore, FaultPlan};

const OVERLAY: &str = "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:2\nslots = 3\n";

/// Quarantines are listed, and lifted by a fingerprint prefix that matches exactly one of them.
/// Lifting one that is lifted already is refused.
#[tokio::test(flavor = "multi_thread")]
async fn quarantines_are_listed_and_lifted_by_prefix() {
    let store = FakeStore::start().await;
    let address = store.address();
    let table = "laurelhill-entries";
    let text = run_lhctl(address, &["quarantines"]).await;
    assert_eq!(text, (0, "no request is in quarantine\n".to_owned()));
    store.put_bytes(table, "quarantine/ab12cd", b"1000");
    store.put_bytes(table, "quarantine/ab99cd", b"1000");
    store.put_bytes(table, "leads/north", b"10.0.0.1:7000");
    let (_, text) = run_lhctl(address, &["quarantines"]).await;
    assert_eq!(text.matches("in quarantine for").count(), 2, "{text}");
    assert_eq!(run_lhctl(address, &["lift", "ab"]).await.0, 1);
    assert_eq!(run_lhctl(address, &["lift", "77"]).await.0, 1);
    assert_eq!(run_lhctl(address, &["lift", "ab12"]).await.0, 0);
    assert_eq!(run_lhctl(address, &["lift", "ab12"]).await.0, 1);
    let (_, text) = run_lhctl(address, &["quarantines"]).await;
    assert_eq!(text.matches(" lifted for").count(), 1, "{text}");
}

/// `apply` writes the desired state that entries follow. Drains are stored separately, so
/// applying another folder doesn't end them.
#[tokio::test(flavor = "multi_thread")]
async fn drains_survive_an_apply() {
    let store = FakeStore::start().await;
    let address = store.address();
    let first = settings_folder(OVERLAY);
    assert_eq!(
        run_lhctl(address, &["apply", path(&first)]).await,
        (0, "version 1 is accepted\n".to_owned())
    );
    let state = store.row("op", "config").unwrap();
    assert_eq!(state["version"], 1);
    assert_eq!(state["resources"][0]["spec"]["prefix"], "/board/");
    let (code, text) = run_lhctl(address, &["apply", path(&first)]).await;
    assert_eq!(code, 1, "{text}");
    assert_eq!(run_lhctl(address, &["drain", "domain", "n-1"]).await.0, 0);
    assert!(store.row("op", "evacuate/n-1").is_some());
    let (code, text) = run_lhctl(address, &["drain", "region", "north"]).await;
    assert!(code == 1 && text.contains("already drained"), "{text}");
    let second = settings_folder(&OVERLAY.replace("slots = 3", "slots = 4"));
    let (_, text) = run_lhctl(address, &["diff", path(&second)]).await;
    assert!(
        text.contains("~ [pool board n-1] slots = 3 -> 4") && !text.contains("drain"),
        "{text}"
    );
    assert_eq!(run_lhctl(address, &["apply", path(&second)]).await.0, 0);
    assert_eq!(store.row("op", "config").unwrap()["version"], 2);
    assert!(store.row("op", "evacuate/n-1").is_some());
    assert_eq!(
        run_lhctl(address, &["undrain", "region", "north"]).await.0,
        0
    );
    assert!(store.row("op", "evacuate/n-1").is_none());
    assert_eq!(run_lhctl(address, &["undrain", "domain", "n-1"]).await.0, 1);
}

/// If the desired state was set directly, without configuration files, `apply` takes a higher
/// version. Entries would ignore a lower one.
#[tokio::test(flavor = "multi_thread")]
async fn apply_takes_a_version_above_the_desired_state() {
    let store = FakeStore::start().await;
    let foreign = platform_standin::desired_state(40, &[]);
    store.put("op", "config", &foreign);
    let first = settings_folder(OVERLAY);
    let applied = run_lhctl(store.address(), &["apply", path(&first)]).await;
    assert_eq!(applied, (0, "version 41 is accepted\n".to_owned()));
    assert_eq!(store.row("op", "config").unwrap()["baseVersion"], 40);
}

/// An edit of an outdated version is rejected with the author and number of the current one.
#[tokio::test(flavor = "multi_thread")]
async fn apply_reports_a_version_conflict() {
    let store = FakeStore::start().await;
    let address = store.address();
    let first = settings_folder(OVERLAY);
    run_lhctl(address, &["apply", path(&first)]).await;
    let second = settings_folder(&OVERLAY.replace("slots = 3", "slots = 4"));
    let winner = ["apply", path(&second), "--edited", "1", "--author", "anna"];
    assert_eq!(run_lhctl(address, &winner).await.0, 0);
    let third = settings_folder(&OVERLAY.replace("slots = 3", "slots = 5"));
    let (code, text) = run_lhctl(address, &["apply", path(&third), "--edited", "1"]).await;
    assert_eq!(code, 1);
    assert!(text.contains("anna has published version 2"), "{text}");
}

/// During an outage of the store `apply` exits with 1 and writes nothing.
#[tokio::test(flavor = "multi_thread")]
async fn apply_fails_without_writing_during_an_outage() {
    let store = FakeStore::start().await;
    let first = settings_folder(OVERLAY);
    store.set_faults(FaultPlan::outage());
    let (code, text) = run_lhctl(store.address(), &["apply", path(&first)]).await;
    assert!(code == 1 && text.contains("nothing was written"), "{text}");
    assert!(store.row("op", "config").is_none());
}

/// If the store's answer is lost, the outcome is determined by reading back. If that fails too,
/// the exit code is 3 and the message says what to run next.
#[tokio::test(flavor = "multi_thread")]
async fn apply_resolves_lost_answers_or_reports_unknown_outcome() {
    let store = FakeStore::start().await;
    store.set_faults(FaultPlan::lost_answers());
    let first = settings_folder(OVERLAY);
    let (code, text) = run_lhctl(store.address(), &["apply", path(&first)]).await;
    assert_eq!((code, text.as_str()), (0, "version 1 is accepted\n"));
    let second = settings_folder(&OVERLAY.replace("slots = 3", "slots = 4"));
    store.set_faults(FaultPlan::silence_after_write());
    let (code, text) = run_lhctl(store.address(), &["apply", path(&second)]).await;
    assert!(code == 3 && text.contains("lhctl diff"), "{code}: {text}");
}

/// Invalid settings and invalid usage exit with 2.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_and_usage_exit_with_2() {
    let store = FakeStore::start().await;
    let address = store.address();
    let bad = settings_folder("[pool board n-9]\nservers = 127.0.0.1:1\nslots = 3\n");
    for args in [
        vec!["check", path(&bad)],
        vec!["apply", path(&bad)],
        vec!["drain", "planet", "x"],
        vec!["nonsense"],
    ] {
        let (code, text) = run_lhctl(address, &args).await;
        assert_eq!(code, 2, "{args:?}: {text}");
    }
    let good = settings_folder(OVERLAY);
    let (code, text) = run_lhctl(address, &["check", path(&good), "--json"]).await;
    assert!(code == 0 && text.contains("\"pools\":1"), "{text}");
}
