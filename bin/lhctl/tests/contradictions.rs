//! Runs `lhctl status` against fake entries that act on different states.

mod common;

use common::{run_lhctl, serve_status};
use platform_standin::FakeStore;
use serde_json::{Value, json};

fn status(name: &str, operator: &str, evacuated: &Value, phase: &str) -> Value {
    json!({
        "instance": name, "version": 7, "evacuated": evacuated,
        "positions": {"operator": operator, "rollouts": "0:9"},
        "rollouts": [{"service": "board", "version": "v2", "phase": phase, "share": 0.3}],
    })
}

async fn show(statuses: Vec<Value>) -> String {
    let store = FakeStore::start().await;
    let mut addresses = Vec::new();
    for status in statuses {
        addresses.push(serve_status(status).await.to_string());
    }
    let arguments = ["status", "--instances", &addresses.join(",")];
    let (code, text) = run_lhctl(store.address(), &arguments).await;
    assert_eq!(code, 0, "{text}");
    text
}

/// An entry that missed an evacuation states the position of those that act on it.
#[tokio::test(flavor = "multi_thread")]
async fn different_states_at_the_same_position_are_shown() {
    let text = show(vec![
        status("n1", "0:14", &json!(["zone-b", "zone-c"]), "running"),
        status("n2", "0:14", &json!(["zone-c"]), "rolled-back"),
        status("n3", "0:14", &json!(["zone-c", "zone-b"]), "running"),
    ])
    .await;
    for expected in [
        "CONTRADICTION in evacuated at the same position (operator 0:14): \
         zone-b, zone-c at n1 and n3; zone-c at n2",
        "CONTRADICTION in rollouts at the same position (operator 0:14, rollouts 0:9): \
         board v2 rolled-back at n2; board v2 running at n1 and n3",
    ] {
        assert!(text.contains(expected), "{expected}\nnot in\n{text}");
    }
    assert!(!text.contains("in version"), "{text}");
}

/// Entries that don't know the latest changes yet are behind, not wrong.
#[tokio::test(flavor = "multi_thread")]
async fn different_positions_are_no_contradiction() {
    let text = show(vec![
        status("n1", "0:14", &json!(["zone-b"]), "running"),
        status("n2", "0:12", &json!([]), "running"),
        json!({"instance": "n3", "version": 6, "evacuated": ["zone-x"]}),
    ])
    .await;
    assert!(!text.contains("CONTRADICTION"), "{text}");
}
