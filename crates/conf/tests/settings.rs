//! Settings: what is refused, in which words, and what is accepted.

use conf::{ChangeKind, ConfigBundle, ProcessFile, diff, schema};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const BASE: &str = "[deployment]\nname = demo\n[region north]\ndomains = n-1\n\
                    [service board]\nrepeat = idempotent\n";

fn refusal(base: &str, overlay: &str) -> String {
    let bundle = ConfigBundle::new()
        .with_file("base.ini", base)
        .with_file("site.ini", overlay);
    bundle.deployment().unwrap_err().to_string()
}

/// Every fault names file, section and key, and says what is allowed.
#[test]
fn faults_are_named_with_what_is_allowed() {
    let cases = [
        (
            "[pol board n-1]\nslots = 1",
            "site.ini: unknown section [pol board n-1]; allowed: [deployment]",
        ),
        (
            "[pool board]\nslots = 1",
            "must be written as [pool SERVICE DOMAIN]",
        ),
        (
            "[pool board n-1]\nslot = 1",
            "[pool board n-1] has the unknown key 'slot'; allowed: servers, slots",
        ),
        (
            "[pool board n-1]\nservers = 127.0.0.1:1",
            "needs the key 'slots' (a whole number, 1 to 10000)",
        ),
        (
            "[pool board n-1]\nservers = here\nslots = 1",
            "servers = 'here' can't be used; allowed: IP addresses",
        ),
        (
            "[service board]\ndeadline = 5",
            "deadline = '5' can't be used; allowed: a duration with its unit",
        ),
        ("[service board]\nmax_body = 5", "a size in B, KB, MB or GB"),
        ("[region north]\nseats = 0", "a whole number, 1 to 512"),
        (
            "[service board]\nrepeat = idempotent",
            "repeats the base and changes nothing",
        ),
        (
            "[deployment]\nname = x",
            "only the base may have the section [deployment]",
        ),
        (
            "[pool desk n-1]\nservers = 127.0.0.1:1\nslots = 1",
            "names the service 'desk', which is defined nowhere",
        ),
        (
            "[pool board n-2]\nservers = 127.0.0.1:1\nslots = 1",
            "names the failure domain 'n-2'",
        ),
        (
            "[drain server 127.0.0.1:9]\nreason = x",
            "names the server '127.0.0.1:9'",
        ),
        ("[service board]\nservice_time = 1h", "beyond its deadline"),
        (
            "[region north]\nlink_limit = 2",
            "more seats than link_limit",
        ),
        (
            "[region south]\ndomains = n-1",
            "failure domain 'n-1' is in the regions",
        ),
        (
            "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:1\nslots = 1",
            "stands in two pools, or twice",
        ),
        (
            "[region south]\ndomains = s-1\n[region south]\ndomains = s-2",
            "stands twice",
        ),
    ];
    for (overlay, words) in cases {
        let message = refusal(BASE, overlay);
        assert!(message.contains(words), "{overlay}: {message}");
    }
    assert!(refusal("[region north]\ndomains = n-1", "").contains("[deployment] is missing"));
}

/// Two overlays that set one key are told of each other.
#[test]
fn overlays_that_clash_are_named() {
    let bundle = ConfigBundle::new()
        .with_file("base.ini", BASE)
        .with_file("a.ini", "[service board]\ndeadline = 3s")
        .with_file("b.ini", "[service board]\ndeadline = 4s");
    let message = bundle.deployment().unwrap_err().to_string();
    assert!(
        message.contains("a.ini and b.ini both set [service board] deadline"),
        "{message}"
    );
}

/// A drain that refers to a pool of an overlay is accepted, whatever the files are called.
#[test]
fn drains_may_name_what_overlays_define() {
    let pool = "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:2\nslots = 3\n";
    let bundle = ConfigBundle::new()
        .with_file("base.ini", BASE)
        .with_file("site.ini", pool);
    assert_eq!(bundle.deployment().unwrap().capacity("north", "board"), 6);
    let drained = bundle
        .clone()
        .with_file("drains.ini", "[drain server 127.0.0.1:1]\nreason = x\n");
    assert_eq!(drained.deployment().unwrap().capacity("north", "board"), 3);
    let changes = diff(&bundle, &drained).unwrap();
    assert!(
        changes
            .iter()
            .all(|change| change.kind == ChangeKind::Added)
    );
    assert_eq!(changes.len(), 2);
}

/// The seats of a region in use can't be divided anew.
#[test]
fn seats_of_a_live_region_stay() {
    let before = ConfigBundle::new()
        .with_file("base.ini", BASE)
        .deployment()
        .unwrap();
    let more = BASE.replace("domains = n-1", "domains = n-1\nseats = 8");
    let after = ConfigBundle::new()
        .with_file("base.ini", &more)
        .deployment()
        .unwrap();
    assert!(
        after
            .check_successor(&before)
            .unwrap_err()
            .to_string()
            .contains("4 to 8 seats")
    );
}

/// The deployments that are shipped are valid and have the brief's sizes.
#[test]
fn shipped_deployments_are_valid() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    for (name, servers) in [("ustaad-sanjha", 51), ("obermaier-group", 56)] {
        let bundle = ConfigBundle::from_folder(&folder.join(name)).unwrap();
        let deployment = bundle.deployment().unwrap();
        let count: usize = deployment.pools.iter().map(|pool| pool.servers.len()).sum();
        assert_eq!(
            (deployment.regions.len(), deployment.services.len(), count),
            (3, 4, servers)
        );
    }
}

/// The settings page holds the tables that the code checks by.
#[test]
fn the_settings_page_is_the_table() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).unwrap();
    assert!(
        page.ends_with(&schema::markdown()),
        "run `lhctl settings` and paste it into the page"
    );
}

/// Whatever bytes a file holds, reading it ends in a value or an error.
#[test]
fn hostile_files_end_in_an_error() {
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let line = prop_oneof![
        "\\[[a-z ]{0,20}\\]?",
        "[a-z_]{0,12} ?=? ?[ -~]{0,20}",
        Just("[service board]".to_owned()),
        Just("deadline = 99999999999999999999s".to_owned()),
        Just("max_body = 18446744073709551615GB".to_owned()),
        "\\PC{0,40}",
    ];
    let text = prop::collection::vec(line, 0..30).prop_map(|lines| lines.join("\n"));
    TestRunner::new_with_rng(config, rng)
        .run(&text, |text| {
            let bundle = ConfigBundle::new()
                .with_file("base.ini", BASE)
                .with_file("site.ini", &text);
            let _ = bundle.deployment();
            let _ = ProcessFile::parse("entry.ini", &text, &schema::ENTRY);
            Ok(())
        })
        .unwrap();
}
