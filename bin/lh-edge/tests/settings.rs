//! The settings file: what it must hold, and what a wrong one is told.
#![allow(missing_docs)]

use std::path::Path;
use std::process::Command;

use lh_edge::EdgeConfig;

const GOOD: &str = "[entry]\nnode = n\nzone = z\nregion = r\ncaller-address = 127.0.0.1:1\n\
    ready-address = 127.0.0.1:2\nlookup-address = 127.0.0.1:3\npeer-ports = 7620-7635\n\
    peer-seeds = 127.0.0.2:9,127.0.0.1:9\naddress = 127.0.0.1\n[store]\naddress = 127.0.0.9:1\n\
    [bounds]\ngrace = 6s\nretry-ratio = 0.2\nretry-slack = 56\nretry-window = 10s\n\
    shift-cap = 0.15\nlookup-ttl-most = 5s\nmemory-mb = 260\ndescriptors = 4100\n\
    [regions]\nz = r\n";

fn load(text: &str) -> Result<EdgeConfig, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("edge.ini");
    std::fs::write(&path, text).unwrap();
    EdgeConfig::load(&path).map_err(|error| error.to_string())
}

/// Promise: a whole file is read; the own address is no seed.
#[test]
fn a_whole_file_is_read() {
    let config = load(GOOD).unwrap();
    assert_eq!(config.seeds, ["127.0.0.2:7620".parse().unwrap()]);
    assert_eq!(config.grace.as_secs(), 6);
    assert_eq!(config.zones["z"], "r");
}

/// Promise: each missing or wrong setting is named.
#[test]
fn a_wrong_setting_is_named() {
    for line in GOOD.lines().filter(|line| line.contains(" = ")) {
        let (key, _) = line.split_once(" = ").unwrap();
        if matches!(key, "z" | "peer-seeds") {
            continue;
        }
        let error = load(&GOOD.replace(line, "")).unwrap_err();
        assert!(error.contains(key), "{key}: {error}");
    }
    let error = load(&GOOD.replace("10s", "soon")).unwrap_err();
    assert!(
        error.contains("retry-window") && error.contains("soon"),
        "{error}"
    );
    let error = load(&GOOD.replace("7620-7635", "7620")).unwrap_err();
    assert!(error.contains("peer-ports"), "{error}");
}

/// Promise: the program checks its settings and says what to do, with exit code 2.
#[test]
fn the_program_checks_its_settings() {
    let program = Command::new(env!("CARGO_BIN_EXE_lh-edge"))
        .args(["--check", "--settings", "/nowhere/edge.ini"])
        .output()
        .unwrap();
    assert_eq!(program.status.code(), Some(2));
    let text = String::from_utf8_lossy(&program.stderr);
    assert!(text.contains("--settings"), "{text}");
    assert!(!Path::new("/nowhere").exists());
}
