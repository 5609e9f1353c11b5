//! The operators' tool from outside, against the platform's stand-in.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

use standin::{FaultPlan, spawn_platform};
use tempfile::TempDir;

const BASE: &str = "[deployment]\nname = demo\n[region north]\ndomains = n-1\n\
                    [service board]\nrepeat = idempotent\n";
const SITE: &str = "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:2\nslots = 3\n";

fn folder(site: &str) -> TempDir {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("base.ini"), BASE).unwrap();
    std::fs::write(folder.path().join("north.ini"), site).unwrap();
    folder
}

async fn lhctl(platform: SocketAddr, words: &[&str]) -> (i32, String) {
    let words: Vec<String> = words.iter().map(|word| (*word).to_owned()).collect();
    let run = move || -> Output {
        Command::new(env!("CARGO_BIN_EXE_lhctl"))
            .args(&words)
            .env("LAURELHILL_PLATFORM", platform.to_string())
            .output()
            .unwrap()
    };
    let output = tokio::task::spawn_blocking(run).await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code().unwrap(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

fn path(folder: &TempDir) -> &str {
    Path::to_str(folder.path()).unwrap()
}

/// Apply, look at the difference, drain, apply again: the drain lives on.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_outlives_an_apply() {
    let (_platform, address) = spawn_platform().await.unwrap();
    let first = folder(SITE);
    assert_eq!(
        lhctl(address, &["apply", path(&first)]).await,
        (0, "version 1 is accepted\n".to_owned())
    );
    let (code, text) = lhctl(address, &["apply", path(&first)]).await;
    assert_eq!(code, 1, "{text}");
    assert_eq!(
        lhctl(address, &["drain", "server", "127.0.0.1:1"]).await.0,
        0
    );
    let (code, text) = lhctl(address, &["drain", "server", "127.0.0.1:1"]).await;
    assert!(code == 1 && text.contains("in force already"), "{text}");
    let second = folder(&SITE.replace("slots = 3", "slots = 4"));
    let (_, text) = lhctl(address, &["diff", path(&second)]).await;
    assert!(
        text.contains("~ [pool board n-1] slots = 3 -> 4") && !text.contains("drain"),
        "{text}"
    );
    assert_eq!(lhctl(address, &["apply", path(&second)]).await.0, 0);
    assert_eq!(
        lhctl(address, &["undrain", "server", "127.0.0.1:1"])
            .await
            .0,
        0
    );
    assert_eq!(
        lhctl(address, &["undrain", "server", "127.0.0.1:1"])
            .await
            .0,
        1
    );
}

/// Promise: the loser of a race is told what changed under them, and nothing is written.
#[tokio::test(flavor = "multi_thread")]
async fn a_race_names_the_change() {
    let (_platform, address) = spawn_platform().await.unwrap();
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

/// An outage: exit code 1 and nothing written. Lost answers: exit code 3 with what to run next.
#[tokio::test(flavor = "multi_thread")]
async fn outages_and_lost_answers_have_their_exit_codes() {
    let (fake, address) = spawn_platform().await.unwrap();
    let first = folder(SITE);
    fake.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let (code, text) = lhctl(address, &["apply", path(&first)]).await;
    assert!(code == 1 && text.contains("nothing was written"), "{text}");
    fake.set_faults(FaultPlan {
        lose_answers: true,
        ..FaultPlan::default()
    });
    let (code, text) = lhctl(address, &["apply", path(&first)]).await;
    assert!(code == 3 && text.contains("lhctl diff"), "{code}: {text}");
}

/// Wrong settings and usage end with 2.
#[tokio::test(flavor = "multi_thread")]
async fn wrong_settings_end_with_two() {
    let (_platform, address) = spawn_platform().await.unwrap();
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
