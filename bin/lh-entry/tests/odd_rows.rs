//! Rows that another writer left must neither end an entry nor keep it from following the others.

mod world;

use std::time::Duration;

use platform_standin::server_entry;
use serde_json::{Value, json};
use store::ENTRY_TABLE;
use world::{EntryProcess, World, until};

/// Nesting that overflows the stack of a parser that recurses without a limit.
const NESTING_DEPTH: usize = 40_000;
/// Interval at which an odd row changes while others are followed.
const CHANGE_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a valid registration with `field` replaced by the literal `value`.
fn with_field(valid: &Value, field: &str, value: &str) -> Vec<u8> {
    const PLACEHOLDER: &str = "\"placeholder\"";
    let mut row = valid.clone();
    row[field] = json!("placeholder");
    row.to_string().replace(PLACEHOLDER, value).into_bytes()
}

/// Values that are nested deeply: lists and objects, closed and cut short.
fn nested_values() -> Vec<String> {
    let lists = "[".repeat(NESTING_DEPTH);
    let objects = "{\"a\":".repeat(NESTING_DEPTH);
    vec![
        format!("{lists}{}", "]".repeat(NESTING_DEPTH)),
        format!("{objects}1{}", "}".repeat(NESTING_DEPTH)),
        lists,
        objects,
    ]
}

/// Odd contents of a registration, each with a description.
fn odd_registrations(valid: &Value) -> Vec<(String, Vec<u8>)> {
    let numbers = [
        "-1",
        "0.5",
        "1e999",
        "-1e999",
        "18446744073709551615",
        "18446744073709551616",
        "null",
        "99999999999999999999999999999999999999999999999999",
    ];
    let ports = [
        "65536",
        "99999",
        "-1",
        "0",
        "",
        "99999999999999999999",
        "8080x",
    ];
    let spans = [
        "1e999s", "1e19s", "1e308ms", "-5s", "NaNs", "infs", "s", "1e30ms",
    ];
    let mut odd = Vec::new();
    let mut add = |field: &str, value: &str| {
        let shown: String = value.chars().take(40).collect();
        odd.push((format!("{field}: {shown}"), with_field(valid, field, value)));
    };
    for field in ["slots", "seq", "born", "unknown"] {
        for value in numbers {
            add(field, value);
        }
    }
    for port in ports {
        add("address", &format!("\"127.0.0.1:{port}\""));
    }
    for span in spans {
        add("coldRemaining", &format!("\"{span}\""));
    }
    for field in [
        "service",
        "address",
        "slots",
        "born",
        "coldRemaining",
        "unknown",
    ] {
        for value in nested_values() {
            add(field, &value);
        }
    }
    for value in nested_values() {
        odd.push((format!("{:.10}", value), value.into_bytes()));
    }
    odd.push(("no text".to_owned(), vec![0xff, 0xfe, 0x00, 0xc3]));
    odd.push(("nothing".to_owned(), Vec::new()));
    odd
}

/// Registers another server and waits until `entry` has taken it in.
async fn assert_follows(world: &World, entry: &mut EntryProcess, id: &str, after: &str) {
    let address = world.backends[0].address();
    let row = server_entry("board", address, "ready", 1);
    world.store.put("servers", id, &row);
    let quoted = format!("\"{id}\"");
    let is_joined = |line: &String| line.contains("server joined") && line.contains(&quoted);
    until(&format!("the entry follows after {after}"), async || {
        assert!(entry.is_running(), "the entry ended after {after}");
        entry.logged("server joined").iter().any(is_joined)
    })
    .await;
    world.store.delete_row("servers", id);
}

/// A running entry follows the registry past each odd row, under an id of its own and under that of
/// a live server; one that starts where all stand serves.
#[tokio::test]
async fn odd_registrations_neither_end_nor_stop_an_entry() {
    let world = World::new(2).await;
    let mut entry = EntryProcess::ready(&world, "n1").await;
    let valid = server_entry("board", world.backends[0].address(), "ready", 2);
    let live = (world.backends[1].id(), world.backends[1].address());
    let odd = odd_registrations(&valid);
    for (number, (name, bytes)) in odd.iter().enumerate() {
        world
            .store
            .put_bytes("servers", &format!("odd-{number}"), bytes);
        world.store.put_bytes("servers", live.0, bytes);
        assert_follows(&world, &mut entry, &format!("k-{number}"), name).await;
        let row = server_entry("board", live.1, "ready", 3 + number as u64);
        world.store.put("servers", live.0, &row);
    }
    assert_follows(&world, &mut entry, "last", "all").await;
    let mut late = EntryProcess::ready(&world, "n2").await;
    assert_eq!(late.send("GET", "/board/x", "a").await.status, 200);
    assert_follows(&world, &mut late, "later", "its start").await;
}

/// An odd row that changes all the time keeps no entry from following.
#[tokio::test]
async fn an_odd_registration_that_changes_stops_no_entry() {
    let world = World::new(1).await;
    let mut entry = EntryProcess::ready(&world, "n1").await;
    let store = world.store.clone();
    let writer = tokio::spawn(async move {
        for number in 0_u64.. {
            let text = format!("{{\"seq\": {number}, \"address\": \"127.0.0.1:99999\"");
            store.put_bytes("servers", "odd", text.as_bytes());
            tokio::time::sleep(CHANGE_INTERVAL).await;
        }
    });
    for number in 0..5 {
        assert_follows(&world, &mut entry, &format!("k-{number}"), "changes").await;
    }
    writer.abort();
}

/// Odd rows among those that entries keep in the store end no entry, nor do odd orders.
#[tokio::test]
async fn odd_rows_of_entries_and_orders_end_no_entry() {
    let world = World::new(1).await;
    let nested = nested_values();
    for (number, value) in nested.iter().enumerate() {
        let keys = [
            "leads/north",
            "leads/x",
            "quarantine/0",
            "rollout/board",
            "blocks/x",
        ];
        for key in keys {
            let key = format!("{key}{number}");
            world.store.put_bytes(ENTRY_TABLE, &key, value.as_bytes());
        }
        let key = format!("rollout/odd-{number}");
        world.store.put_bytes("op", &key, value.as_bytes());
    }
    let print = "f".repeat(32);
    let rows: [(&str, &[u8]); 6] = [
        ("leads/north", b"127.0.0.1:65536,127.0.0.1:99999,x"),
        ("leads/south", &[0xff, 0xfe]),
        (&format!("quarantine/{print}"), b"18446744073709551615"),
        ("quarantine/x", b"lifted 99999999999999999999999"),
        (
            "rollout/board",
            br#"{"order":{"service":"board","version":"v2","duration":{"secs":18446744073709551615,"nanos":0},"revision":18446744073709551615},"phase":"Running","begun":18446744073709551615,"barred":[]}"#,
        ),
        ("rollout/desk", br#"{"order":1e999}"#),
    ];
    for (key, bytes) in rows {
        world.store.put_bytes(ENTRY_TABLE, key, bytes);
    }
    for (number, span) in ["1e19s", "1e999s", "1.8e19s"].iter().enumerate() {
        let service = format!("odd-span-{number}");
        let order = json!({"service": service, "to": "v2", "duration": span});
        let key = format!("rollout/{service}");
        world.store.put("op", &key, &order);
    }
    let order = json!({"service": "board", "to": "v2", "duration": "1e19s"});
    world.store.put("op", "rollout/board", &order);
    let mut entry = EntryProcess::ready(&world, "n1").await;
    assert_eq!(entry.send("GET", "/board/x", "a").await.status, 200);
    assert_follows(&world, &mut entry, "k", "the start").await;
    until("the entry leads", async || {
        !entry.logged("leads its region").is_empty()
    })
    .await;
    // Leads read the rows again.
    tokio::time::sleep(Duration::from_secs(6)).await;
    assert_follows(&world, &mut entry, "l", "it read the rows again").await;
    assert_eq!(entry.send("GET", "/board/x", "b").await.status, 200);
}
