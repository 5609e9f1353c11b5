//! The program from outside: settings that are refused, and the metrics page.

use std::process::Command;

fn check(text: &str) -> (Option<i32>, String) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("steer.ini");
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_lh-steer"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    (
        output.status.code(),
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

const INSTANCE: &str = "[instance]\nname = a\nregion = r\ndomain = d\n";
const STEER: &str = "[steer]\nsteer = 127.0.0.1:1\ngossip = 127.0.0.1:2\nadmin = 127.0.0.1:3\nplatform = 127.0.0.1:4\n";

/// Wrong settings: file, section, key and what is allowed; exit code 2; nothing started.
#[test]
fn wrong_settings_are_named() {
    let good = format!("{INSTANCE}{STEER}");
    assert_eq!(check(&good).0, Some(0));
    let cases = [
        (
            good.replace("admin =", "amdin ="),
            "[steer] has the unknown key 'amdin'",
        ),
        (
            good.replace("127.0.0.1:3", "here"),
            "[steer] admin = 'here' can't be used",
        ),
        (
            good.replace("admin = 127.0.0.1:3\n", ""),
            "[steer] needs the key 'admin'",
        ),
        (
            format!("{good}probe_period = 5\n"),
            "a duration with its unit",
        ),
        (STEER.to_owned(), "the section [instance] is missing"),
        (
            format!("{good}[log]\nlevel = loud\n"),
            "one of error, warn, info, debug, trace",
        ),
    ];
    for (text, words) in cases {
        let (code, message) = check(&text);
        assert_eq!(code, Some(2), "{message}");
        assert!(
            message.contains(words) && message.contains("steer.ini"),
            "{message}"
        );
    }
}

#[test]
fn the_metrics_page_is_the_table() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for (name, meaning) in lh_steer::METRICS {
        let row = format!("| `{name}` | gauge | {meaning} |");
        assert!(page.contains(&row), "docs/METRICS.md lacks: {row}");
    }
}
