//! Tests of loading the settings file and of its error messages.
#![allow(missing_docs)]

use std::path::Path;
use std::process::Command;

use conf::schema;
use lh_entry::EntryConfig;

const GOOD: &str = "[instance]\nname = n\nregion = r\ndomain = z\naddress = 127.0.0.1\n\
    [entry]\ncallers = 127.0.0.1:1\nready = 127.0.0.1:2\nlookup = 127.0.0.1:3\n\
    peer_ports = 7620-7635\npeer_seeds = 127.0.0.2:9, 127.0.0.1:9\n\
    [store]\naddress = 127.0.0.9:1\n\
    [bounds]\ngrace = 6s\nretry_ratio = 0.2\nretry_slack = 56\nretry_window = 2.5s\n\
    shift_cap = 0.15\nlookup_ttl_most = 500ms\nmemory_mb = 260\ndescriptors = 4100\n\
    [place z]\nregion = far\n";

fn load(text: &str) -> Result<EntryConfig, String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("entry.ini");
    std::fs::write(&path, text).unwrap();
    EntryConfig::load(&path).map_err(|error| error.to_string())
}

/// A complete file must load, and the own address must not be among the seeds.
#[test]
fn a_whole_file_is_read() {
    let config = load(GOOD).unwrap();
    assert_eq!(config.seeds, ["127.0.0.2:7620".parse().unwrap()]);
    assert_eq!(config.grace.as_secs(), 6);
    assert_eq!(config.budget.window.as_millis(), 2500);
    assert_eq!(config.max_lookup_ttl.as_millis(), 500);
    assert_eq!(config.domains["z"], "far");
}

fn has_default(key: &str) -> bool {
    let keys = schema::ENTRY
        .sections
        .iter()
        .flat_map(|section| section.keys);
    keys.filter(|spec| spec.key == key)
        .all(|spec| spec.default.is_some())
}

/// Settings that a platform's template leaves empty must get their defaults.
#[test]
fn bounds_left_empty_have_defaults() {
    let mut text = GOOD.to_owned();
    for line in GOOD.lines().filter(|line| line.contains(" = ")) {
        let (key, _) = line.split_once(" = ").unwrap();
        if has_default(key) {
            text = text.replace(line, &format!("{key} = "));
        }
    }
    let config = load(&text).unwrap();
    assert_eq!(config.grace.as_secs(), 6);
    assert_eq!(config.shift_cap, 1.0);
    assert!(config.seeds.is_empty());
}

/// The error for a missing or invalid setting must contain its name.
#[test]
fn a_wrong_setting_is_named() {
    for line in GOOD.lines().filter(|line| line.contains(" = ")) {
        let (key, _) = line.split_once(" = ").unwrap();
        if has_default(key) {
            continue;
        }
        let error = load(&GOOD.replacen(&format!("{line}\n"), "", 1)).unwrap_err();
        assert!(error.contains(key), "{key}: {error}");
        let error = load(&GOOD.replace(line, &format!("{key} = "))).unwrap_err();
        assert!(error.contains(key), "{key} left empty: {error}");
    }
    let error = load(&GOOD.replace("2.5s", "soon")).unwrap_err();
    assert!(
        error.contains("retry_window") && error.contains("soon"),
        "{error}"
    );
    let error = load(&GOOD.replace("7620-7635", "7620")).unwrap_err();
    assert!(error.contains("peer_ports"), "{error}");
}

/// With `--check`, an unreadable settings file must be reported with exit code 2.
#[test]
fn the_program_checks_its_settings() {
    let program = Command::new(env!("CARGO_BIN_EXE_lh-entry"))
        .args(["--check", "--settings", "/nowhere/entry.ini"])
        .output()
        .unwrap();
    assert_eq!(program.status.code(), Some(2));
    let text = String::from_utf8_lossy(&program.stderr);
    assert!(text.contains("/nowhere/entry.ini: can't be read"), "{text}");
    assert!(!Path::new("/nowhere").exists());
}
