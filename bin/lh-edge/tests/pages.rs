//! The pages for operators are in step with the program.

mod world;

use std::collections::BTreeSet;
use std::path::PathBuf;

use platform_standin::Behavior;
use serde_json::Value;
use world::{EdgeProcess, World, until};

fn page(path: &str) -> String {
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    std::fs::read_to_string(root.join(path)).unwrap()
}

/// Promise: each setting of the platform's template has its row, and each row its
/// setting.
#[test]
fn each_setting_has_its_row() {
    let mut section = String::new();
    let mut keys = BTreeSet::from(["[entry] metrics-port".to_owned()]);
    for line in page("platform/edge.ini").lines() {
        if line.starts_with('[') {
            line.clone_into(&mut section);
        } else if let Some((key, _)) = line.split_once(" = ") {
            let key = if section == "[regions]" {
                "DOMAIN"
            } else {
                key
            };
            keys.insert(format!("{section} {key}"));
        }
    }
    let text = page("docs/SETTINGS.md");
    let (_, table) = text.split_once("## lh-edge").unwrap();
    let (table, _) = table.split_once("\n## ").unwrap();
    let rows: BTreeSet<String> = table
        .lines()
        .filter_map(|line| line.strip_prefix("| `")?.split_once('`'))
        .map(|(key, _)| key.to_owned())
        .collect();
    assert_eq!(rows, keys);
}

/// Promise: each metric has its row with its labels and its help.
#[tokio::test]
async fn each_metric_has_its_row() {
    let world = World::new(1).await;
    let edge = EdgeProcess::ready(&world, "n1").await;
    edge.send("GET", "/board/x", "a").await;
    world.backends[0].set_behavior(Behavior::Full);
    edge.send("GET", "/board/x", "full").await;
    world
        .store
        .put("op", "evacuate/zone-a", &serde_json::json!({}));
    until("a request is refused", async || {
        edge.send("GET", "/board/x", "b").await.status == 503
    })
    .await;
    let text = page("docs/METRICS.md");
    let (_, table) = text.split_once("## lh-edge").unwrap();
    let metrics = edge.metrics().await;
    let mut found = 0;
    for line in metrics.lines() {
        let Some((name, help)) = line
            .strip_prefix("# HELP ")
            .and_then(|rest| rest.split_once(' '))
        else {
            continue;
        };
        found += 1;
        let row = table
            .lines()
            .find(|row| row.starts_with(&format!("| `{name}` |")));
        let row = row.unwrap_or_else(|| panic!("docs/METRICS.md lacks {name}"));
        assert!(row.ends_with(&format!("| {help} |")), "{row}");
        for label in labels(&metrics, name) {
            assert!(row.contains(&label), "{row} lacks {label}");
        }
    }
    assert_eq!(found, table.matches("| `laurelhill_").count(), "{metrics}");
}

fn labels(metrics: &str, name: &str) -> Vec<String> {
    let sample = metrics
        .lines()
        .find(|line| line.starts_with(&format!("{name}{{")));
    let Some((_, rest)) = sample.and_then(|line| line.split_once('{')) else {
        return Vec::new();
    };
    let labels = rest.split_once('}').map_or("", |(labels, _)| labels);
    labels
        .split("\",")
        .filter_map(|pair| pair.split_once('='))
        .map(|(label, _)| label.to_owned())
        .collect()
}

/// Promise: the request lines that the operators' page quotes have the fields that
/// the program writes.
#[tokio::test]
async fn quoted_lines_have_the_programs_fields() {
    let world = World::new(1).await;
    let edge = EdgeProcess::ready(&world, "n1").await;
    edge.send("GET", "/board/x", "quote").await;
    until("the line is written", async || {
        !edge.logged("\"quote\"").is_empty()
    })
    .await;
    let written: Value = serde_json::from_str(&edge.logged("\"quote\"")[0]).unwrap();
    let fields =
        |line: &Value| -> BTreeSet<String> { line.as_object().unwrap().keys().cloned().collect() };
    let text = page("docs/OPERATIONS.md");
    let quoted: Vec<Value> = text
        .lines()
        .filter(|line| line.contains("\"event\":\"request\""))
        .map(|line| serde_json::from_str(line.trim()).unwrap())
        .collect();
    assert!(
        quoted.len() >= 3,
        "three kinds of failed request are explained"
    );
    for line in quoted {
        assert_eq!(fields(&line), fields(&written));
    }
}
