//! The operators' tool from outside, against the platform's stand-in.

mod tool;

use platform_standin::{FakeStore, FaultPlan};
use tool::{folder, lhctl, path};

const SITE: &str = "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:2\nslots = 3\n";

/// Promise: a quarantine is listed, lifted by the beginning of its print, and only once.
#[tokio::test(flavor = "multi_thread")]
async fn a_quarantine_is_listed_and_lifted() {
    let store = FakeStore::start().await;
    let address = store.address();
    let table = "laurelhill-entries";
    let text = lhctl(address, &["quarantines"]).await;
    assert_eq!(text, (0, "no request is in quarantine\n".to_owned()));
    store.put_bytes(table, "quarantine/ab12cd", b"1000");
    store.put_bytes(table, "quarantine/ab99cd", b"1000");
    store.put_bytes(table, "leads/north", b"10.0.0.1:7000");
    let (_, text) = lhctl(address, &["quarantines"]).await;
    assert_eq!(text.matches("in quarantine for").count(), 2, "{text}");
    assert_eq!(lhctl(address, &["lift", "ab"]).await.0, 1);
    assert_eq!(lhctl(address, &["lift", "77"]).await.0, 1);
    assert_eq!(lhctl(address, &["lift", "ab12"]).await.0, 0);
    assert_eq!(lhctl(address, &["lift", "ab12"]).await.0, 1);
    let (_, text) = lhctl(address, &["quarantines"]).await;
    assert_eq!(text.matches(" lifted for").count(), 1, "{text}");
}

/// Promise: what is applied is the desired state that entries follow, and a drain
/// lives on when another folder is applied.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_outlives_an_apply() {
    let store = FakeStore::start().await;
    let address = store.address();
    let first = folder(SITE);
    assert_eq!(
        lhctl(address, &["apply", path(&first)]).await,
        (0, "version 1 is accepted\n".to_owned())
    );
    let state = store.row("op", "config").unwrap();
    assert_eq!(state["version"], 1);
    assert_eq!(state["resources"][0]["spec"]["prefix"], "/board/");
    let (code, text) = lhctl(address, &["apply", path(&first)]).await;
    assert_eq!(code, 1, "{text}");
    assert_eq!(lhctl(address, &["drain", "domain", "n-1"]).await.0, 0);
    assert!(store.row("op", "evacuate/n-1").is_some());
    let (code, text) = lhctl(address, &["drain", "region", "north"]).await;
    assert!(code == 1 && text.contains("drained already"), "{text}");
    let second = folder(&SITE.replace("slots = 3", "slots = 4"));
    let (_, text) = lhctl(address, &["diff", path(&second)]).await;
    assert!(
        text.contains("~ [pool board n-1] slots = 3 -> 4") && !text.contains("drain"),
        "{text}"
    );
    assert_eq!(lhctl(address, &["apply", path(&second)]).await.0, 0);
    assert_eq!(store.row("op", "config").unwrap()["version"], 2);
    assert!(store.row("op", "evacuate/n-1").is_some());
    assert_eq!(lhctl(address, &["undrain", "region", "north"]).await.0, 0);
    assert!(store.row("op", "evacuate/n-1").is_none());
    assert_eq!(lhctl(address, &["undrain", "domain", "n-1"]).await.0, 1);
}

/// Promise: a desired state that somebody set without the files is never undercut.
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_desired_state_is_not_undercut() {
    let store = FakeStore::start().await;
    let foreign = platform_standin::desired_state(40, &[]);
    store.put("op", "config", &foreign);
    let first = folder(SITE);
    let applied = lhctl(store.address(), &["apply", path(&first)]).await;
    assert_eq!(applied, (0, "version 41 is accepted\n".to_owned()));
    assert_eq!(store.row("op", "config").unwrap()["baseVersion"], 40);
}

/// Promise: the loser of a race is told what changed under them, and nothing is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_race_names_the_change() {
    let store = FakeStore::start().await;
    let address = store.address();
    let first = folder(SITE);
    lhctl(address, &["apply", path(&first)]).await;
    let second = folder(&SITE.replace("slots = 3", "slots = 4"));
    let winner = ["apply", path(&second), "--edited", "1", "--author", "anna"];
    assert_eq!(lhctl(address, &winner).await.0, 0);
    let third = folder(&SITE.replace("slots = 3", "slots = 5"));
    let (code, text) = lhctl(address, &["apply", path(&third), "--edited", "1"]).await;
    assert_eq!(code, 1);
    assert!(text.contains("anna made version 2"), "{text}");
}

/// Promise: in an outage the exit code is 1 and nothing is written.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_has_its_exit_code() {
    let store = FakeStore::start().await;
    let first = folder(SITE);
    store.set_faults(FaultPlan::outage());
    let (code, text) = lhctl(store.address(), &["apply", path(&first)]).await;
    assert!(code == 1 && text.contains("nothing was written"), "{text}");
    assert!(store.row("op", "config").is_none());
}

/// Promise: a lost answer is settled by reading back; where that can't be done either,
/// the exit code is 3, with what to run next.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_are_settled_or_told() {
    let store = FakeStore::start().await;
    store.set_faults(FaultPlan::lost_answers());
    let first = folder(SITE);
    let (code, text) = lhctl(store.address(), &["apply", path(&first)]).await;
    assert_eq!((code, text.as_str()), (0, "version 1 is accepted\n"));
    let second = folder(&SITE.replace("slots = 3", "slots = 4"));
    store.set_faults(FaultPlan::silence_after_write());
    let (code, text) = lhctl(store.address(), &["apply", path(&second)]).await;
    assert!(code == 3 && text.contains("lhctl diff"), "{code}: {text}");
}

/// Wrong settings and usage end with 2.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_settings_end_with_two() {
    let store = FakeStore::start().await;
    let address = store.address();
    let bad = folder("[pool board n-9]\nservers = 127.0.0.1:1\nslots = 3\n");
    for words in [
        vec!["check", path(&bad)],
        vec!["apply", path(&bad)],
        vec!["drain", "planet", "x"],
        vec!["nonsense"],
    ] {
        let (code, text) = lhctl(address, &words).await;
        assert_eq!(code, 2, "{words:?}: {text}");
    }
    let good = folder(SITE);
    let (code, text) = lhctl(address, &["check", path(&good), "--json"]).await;
    assert!(code == 0 && text.contains("\"pools\":1"), "{text}");
}
