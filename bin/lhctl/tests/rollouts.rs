//! Runs `lhctl rollout` against a fake of the platform's store.

mod common;

use common::{path, run_lhctl, settings_folder};
use platform_standin::FakeStore;
use serde_json::json;

const OVERLAY: &str = "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:2\nslots = 3\n";

/// A rollout order is validated and written, its status is shown, and it can be aborted only
/// while the rollout is running.
#[tokio::test(flavor = "multi_thread")]
async fn rollouts_are_started_listed_and_aborted() {
    let store = FakeStore::start().await;
    let address = store.address();
    let folder = settings_folder(OVERLAY);
    assert_eq!(run_lhctl(address, &["apply", path(&folder)]).await.0, 0);
    let start = |service: &'static str, within: &'static str| {
        [
            "rollout", "start", service, "--to", "v2", "--within", within,
        ]
    };
    let (code, text) = run_lhctl(address, &start("desk", "90s")).await;
    assert!(
        code == 1 && text.contains("its services are: board"),
        "{text}"
    );
    let (code, text) = run_lhctl(address, &start("board", "soon")).await;
    assert!(code == 2 && text.contains("90s"), "{text}");
    assert_eq!(run_lhctl(address, &start("board", "1s")).await.0, 2);
    assert_eq!(
        run_lhctl(address, &["rollout", "abort", "board"]).await.0,
        1
    );
    assert_eq!(run_lhctl(address, &start("board", "90s")).await.0, 0);
    let order = json!({"service": "board", "to": "v2", "duration": "90000ms"});
    assert_eq!(store.row("op", "rollout/board").unwrap(), order);
    let (_, text) = run_lhctl(address, &["rollout", "status"]).await;
    assert_eq!(text, "no rollout has started\n");
    store.put(
        "status",
        "rollout/board",
        &json!({"state": "running", "to": "v2"}),
    );
    let (_, text) = run_lhctl(address, &["rollout", "status", "board"]).await;
    assert_eq!(text, "board v2 running\n");
    assert_eq!(
        run_lhctl(address, &["rollout", "abort", "board"]).await.0,
        0
    );
    assert!(store.row("op", "rollout/board").is_none());
    assert_eq!(run_lhctl(address, &start("board", "90s")).await.0, 0);
    store.put(
        "status",
        "rollout/board",
        &json!({"state": "completed", "to": "v2"}),
    );
    let (code, text) = run_lhctl(address, &["rollout", "abort", "board"]).await;
    assert!(code == 1 && text.contains("has ended"), "{text}");
}
