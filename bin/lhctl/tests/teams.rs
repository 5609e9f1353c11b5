//! Teams and keys in the operators' tool, against the platform's stand-in.

mod common;

use std::net::SocketAddr;

use common::{path, run_lhctl, settings_folder};
use platform_standin::FakeStore;
use serde_json::{Value, json};
use team::key::KeyDigest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TEAMS: &str = "; who asks\n[team red]\nrate = 5\n\n[team blue]\n";

/// An entry that answers each question with `status`.
async fn serve_status(status: Value) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = [0; 2048];
            let _ = stream.read(&mut head).await;
            let body = status.to_string();
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    address
}

fn status(name: &str, version: u64, age: u64) -> Value {
    json!({
        "instance": name, "version": version, "serves_keys": age < 5000, "keys_age_ms": age,
        "revoke_ms": 5000,
    })
}

/// Promise: a new key is shown once and kept as its digest; two are in force while they are
/// changed; the former one is revoked by the beginning of its digest. Nothing else of the
/// files changes, and no key in the clear is written anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn keys_are_rotated_and_revoked() {
    let store = FakeStore::start().await;
    let address = store.address();
    let folder = settings_folder(TEAMS);
    let rotate = ["team", "rotate", path(&folder), "red"];
    let mut keys = Vec::new();
    for _ in 0..2 {
        let (code, text) = run_lhctl(address, &rotate).await;
        assert_eq!(code, 0, "{text}");
        keys.push(text.lines().next().unwrap().to_owned());
    }
    let (code, text) = run_lhctl(address, &rotate).await;
    assert!(code == 1 && text.contains("has 2 keys"), "{text}");
    assert_ne!(keys[0], keys[1]);
    assert_eq!(run_lhctl(address, &["apply", path(&folder)]).await.0, 0);
    let row = store.row("op", "config").unwrap().to_string();
    let written = std::fs::read_to_string(folder.path().join("north.ini")).unwrap();
    assert!(written.starts_with("; who asks\n[team red]\n") && written.contains("rate = 5"));
    for key in &keys {
        let digest = KeyDigest::of(key.as_bytes());
        assert!(row.contains(&digest.to_text()) && written.contains(&digest.to_text()));
        assert!(!row.contains(key.as_str()) && !written.contains(key.as_str()));
    }
    let former = KeyDigest::of(keys[0].as_bytes()).to_string();
    let (_, text) = run_lhctl(address, &["team", "show", path(&folder), "red"]).await;
    assert!(
        text.contains(&former) && text.contains("5 requests a second"),
        "{text}"
    );
    let revoke = ["team", "revoke", "red", &former, path(&folder)];
    let (code, text) = run_lhctl(address, &revoke).await;
    assert!(
        code == 0 && text.contains("version 2 takes the key"),
        "{text}"
    );
    let row = store.row("op", "config").unwrap().to_string();
    assert!(!row.contains(&KeyDigest::of(keys[0].as_bytes()).to_text()));
    assert!(row.contains(&KeyDigest::of(keys[1].as_bytes()).to_text()));
    assert_eq!(run_lhctl(address, &revoke).await.0, 2);
}

/// Promise: who revokes a key is told which entries have heard, which haven't, and until when
/// these may serve it.
#[tokio::test(flavor = "multi_thread")]
async fn revoke_reports_which_entries_are_updated() {
    let store = FakeStore::start().await;
    let address = store.address();
    let folder = settings_folder(&format!(
        "[team red]\nkeys = {}\n",
        KeyDigest::of(b"k").to_text()
    ));
    assert_eq!(run_lhctl(address, &["apply", path(&folder)]).await.0, 0);
    let updated = serve_status(status("n1", 2, 100)).await;
    let outdated = serve_status(status("n2", 1, 3200)).await;
    let expired = serve_status(status("n3", 1, 9000)).await;
    let unreachable = TcpListener::bind("127.0.0.1:0")
        .await
        .unwrap()
        .local_addr()
        .unwrap();
    let instances = [updated, outdated, expired, unreachable]
        .map(|address| address.to_string())
        .join(",");
    let key = KeyDigest::of(b"k").to_string();
    let revoke = [
        "team",
        "revoke",
        "red",
        &key,
        path(&folder),
        "--wait",
        "--seconds",
        "1",
        "--instances",
        &instances,
    ];
    let (code, text) = run_lhctl(address, &revoke).await;
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("heard by 1: n1"), "{text}");
    assert!(
        text.contains("n2: it heard 3200 ms ago and serves no key in 1800 ms"),
        "{text}"
    );
    assert!(
        text.contains("n3: it has heard nothing for too long"),
        "{text}"
    );
    assert!(text.contains("doesn't answer here"), "{text}");
}

/// Promise: teams, keys and folders that aren't there are named.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_teams_and_keys_are_reported() {
    let address = FakeStore::start().await.address();
    let folder = settings_folder(TEAMS);
    let (_, text) = run_lhctl(address, &["team", "list", path(&folder)]).await;
    assert!(
        text.contains("blue: no bound") && text.contains("keys none"),
        "{text}"
    );
    let (code, text) = run_lhctl(address, &["team", "rotate", path(&folder), "grey"]).await;
    assert!(
        code == 2 && text.contains("no section [team grey]"),
        "{text}"
    );
    let revoke = ["team", "revoke", "red", "ab", path(&folder)];
    let (code, text) = run_lhctl(address, &revoke).await;
    assert!(
        code == 2 && text.contains("no key whose digest begins with ab"),
        "{text}"
    );
}
