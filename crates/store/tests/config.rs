//! Publishing configurations: versions only increase, also if the store loses answers.

use std::collections::BTreeMap;

use platform::tables::PlatformClient;
use platform_standin::{FakeStore, FaultPlan};
use store::{ConfigChange, ConfigStore, Error, PublishOutcome, RowWrite, TableService};

const ANSWER_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(300);

fn files(text: &str) -> BTreeMap<String, String> {
    BTreeMap::from([("base.ini".to_owned(), text.to_owned())])
}

async fn publish<P: TableService>(
    configs: &ConfigStore<P>,
    base_version: u64,
    text: &str,
    token: &str,
) -> store::Result<PublishOutcome> {
    let activation_writes = [RowWrite::new("op", "config", text)];
    let change = ConfigChange {
        base_version,
        version: base_version + 1,
        files: &files(text),
        author: "author",
        token,
        activation_writes: &activation_writes,
    };
    configs.publish(&change).await
}

/// A change without activation writes.
fn files_only_change(base_version: u64, files: &BTreeMap<String, String>) -> ConfigChange<'_> {
    ConfigChange {
        base_version,
        version: base_version + 1,
        files,
        author: "author",
        token: "t",
        activation_writes: &[],
    }
}

async fn configs() -> (FakeStore, ConfigStore<PlatformClient>) {
    let store = FakeStore::start().await;
    let client = PlatformClient::new(store.address()).with_answer_timeout(ANSWER_TIMEOUT);
    (store, ConfigStore::new(client))
}

/// Of two concurrent changes exactly one is accepted, and the other is told the new head.
#[tokio::test]
async fn a_concurrent_change_reports_the_winning_head() {
    let (_store, configs) = configs().await;
    assert!(matches!(
        publish(&configs, 0, "one", "t1").await,
        Ok(PublishOutcome::Accepted(_))
    ));
    let (a, b) = tokio::join!(
        publish(&configs, 1, "a", "ta"),
        publish(&configs, 1, "b", "tb")
    );
    let outcomes = [a.unwrap(), b.unwrap()];
    let mut winners = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, PublishOutcome::Accepted(_)));
    let Some(PublishOutcome::Accepted(winner)) = winners.next() else {
        panic!("no change was accepted: {outcomes:?}");
    };
    assert!(winners.next().is_none());
    assert!(outcomes.contains(&PublishOutcome::Conflict(Some(winner.clone()))));
    assert_eq!(configs.current().await.unwrap().unwrap().head.version, 2);
}

/// A change whose answer was lost is recognized by its token and reported as accepted, and
/// the same change under another token is not applied a second time.
#[tokio::test]
async fn a_lost_answer_is_resolved_by_the_token() {
    let (store, configs) = configs().await;
    store.set_faults(FaultPlan::lost_answers());
    let first = publish(&configs, 0, "one", "t1").await;
    assert!(
        matches!(first, Ok(PublishOutcome::Accepted(_))),
        "{first:?}"
    );
    let again = publish(&configs, 0, "one", "t2").await;
    assert!(
        matches!(again, Ok(PublishOutcome::Conflict(Some(_)))),
        "{again:?}"
    );
    store.set_faults(FaultPlan::default());
    assert_eq!(configs.current().await.unwrap().unwrap().head.version, 1);
}

/// During an outage nothing is written, and the error says that the store is unavailable.
#[tokio::test]
async fn an_outage_writes_nothing() {
    let (store, configs) = configs().await;
    store.set_faults(FaultPlan::outage());
    assert!(matches!(
        publish(&configs, 0, "one", "t1").await,
        Err(Error::Unavailable(_))
    ));
    store.set_faults(FaultPlan::default());
    assert!(configs.current().await.unwrap().is_none());
}

/// Activation writes are applied together with the head or not at all.
#[tokio::test]
async fn a_conflict_leaves_the_desired_state_unchanged() {
    let (store, configs) = configs().await;
    publish(&configs, 0, "\"one\"", "t1").await.unwrap();
    publish(&configs, 1, "\"two\"", "t2").await.unwrap();
    let late = publish(&configs, 1, "\"late\"", "t3").await.unwrap();
    assert!(matches!(late, PublishOutcome::Conflict(Some(_))));
    assert_eq!(store.row("op", "config").unwrap(), "two");
}

/// A change writes only files that differ, and deletes files that were removed.
#[tokio::test]
async fn only_files_that_differ_are_written() {
    let (store, configs) = configs().await;
    let mut all: BTreeMap<String, String> = (0..60)
        .map(|site| (format!("site{site}.ini"), "same".to_owned()))
        .collect();
    configs.publish(&files_only_change(0, &all)).await.unwrap();
    let before = store.row_versions("laurelhill-config");
    all.insert("site7.ini".to_owned(), "other".to_owned());
    all.remove("site8.ini");
    configs.publish(&files_only_change(1, &all)).await.unwrap();
    let after = store.row_versions("laurelhill-config");
    let changed: Vec<&String> = after
        .iter()
        .filter(|(key, version)| before.get(*key) != Some(version))
        .map(|(key, _)| key)
        .collect();
    assert_eq!(changed, [".head", "site7.ini"]);
    assert!(!after.contains_key("site8.ini"));
    assert_eq!(configs.current().await.unwrap().unwrap().files, all);
}

/// Out of 14,000 changes, every seventh of them based on an outdated version, each accepted
/// one results in exactly one version.
#[tokio::test]
async fn every_accepted_change_is_one_version() {
    let store = FakeStore::start().await;
    let configs = ConfigStore::new(store.clone());
    let mut accepted = 0;
    for change in 0..14_000_u64 {
        let seen = if change % 7 == 0 {
            accepted - u64::from(accepted > 0)
        } else {
            accepted
        };
        let text = format!("change {change}");
        match publish(&configs, seen, &text, &format!("t{change}"))
            .await
            .unwrap()
        {
            PublishOutcome::Accepted(head) => {
                accepted += 1;
                assert_eq!(head.version, accepted);
            }
            PublishOutcome::Conflict(Some(head)) => assert_eq!(head.version, accepted),
            PublishOutcome::Conflict(None) => panic!("the head row is missing"),
        }
    }
    let current = configs.current().await.unwrap().unwrap();
    assert_eq!(current.head.version, accepted);
    assert!(accepted >= 12_000);
}
