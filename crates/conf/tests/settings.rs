//! Validation of settings and its error messages.

use std::time::Duration;

use conf::{ChangeKind, ConfigBundle, SettingsFile, diff, schema};
use place::desired::RequestKind;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use team::prelude::{KeyDigest, TeamQuota};

const BASE: &str = "[deployment]\nname = demo\n[region north]\ndomains = n-1\n\
                    [service board]\nrepeat = idempotent\n";

fn refusal(base: &str, overlay: &str) -> String {
    let bundle = ConfigBundle::new()
        .with_file("base.ini", base)
        .with_file("site.ini", overlay);
    bundle.deployment().unwrap_err().to_string()
}

/// Error messages name file, section and key, and say which values are allowed.
#[test]
fn errors_name_the_place_and_the_allowed_values() {
    let cases = [
        (
            "[pol board n-1]\nslots = 1",
            "site.ini: unknown section [pol board n-1]; allowed: [deployment]",
        ),
        (
            "[pool board]\nslots = 1",
            "must be written as [pool NAME DOMAIN]",
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
            "servers = 'here' is invalid; allowed: IP addresses",
        ),
        (
            "[service board]\ndeadline = 5",
            "deadline = '5' is invalid; allowed: a duration with its unit",
        ),
        (
            "[service board]\nmax_attempts = 0",
            "a whole number, 1 to 10",
        ),
        (
            "[service board]\nrepeat = idempotent",
            "repeats the base and has no effect",
        ),
        (
            "[deployment]\nname = x",
            "only the base may have the section [deployment]",
        ),
        (
            "[pool desk n-1]\nservers = 127.0.0.1:1\nslots = 1",
            "refers to the service 'desk', which is not defined",
        ),
        (
            "[pool board n-2]\nservers = 127.0.0.1:1\nslots = 1",
            "refers to the failure domain 'n-2'",
        ),
        (
            "[service board]\nregions = south",
            "refers to the region 'south'",
        ),
        (
            "[service board]\nsplit = old, new 10",
            "split = 'old, new 10' is invalid; allowed: names with weights",
        ),
        ("[service board]\ncold_rate = fast", "a number, 0 to"),
        (
            "[service board]\nservice_time = 1h",
            "longer than its deadline",
        ),
        (
            "[region south]\ndomains = n-1",
            "failure domain 'n-1' is in the regions",
        ),
        (
            "[pool board n-1]\nservers = 127.0.0.1:1, 127.0.0.1:1\nslots = 1",
            "is listed in two pools, or twice",
        ),
        (
            "[team red]\nkeys = hunter2",
            "keys = '(not shown)' is invalid; allowed: digests of keys",
        ),
        ("[team red]\nregions = east", "refers to the region 'east'"),
        ("[team red]\nrate = -1", "a number, 0 to"),
        (
            "[region south]\ndomains = s-1\n[region south]\ndomains = s-2",
            "appears twice",
        ),
    ];
    for (overlay, words) in cases {
        let message = refusal(BASE, overlay);
        assert!(message.contains(words), "{overlay}: {message}");
    }
    let size = BASE.replace("name = demo", "name = demo\nmax_body = 5");
    assert!(refusal(&size, "").contains("a size in B, KB, MB or GB"));
    assert!(refusal("[region north]\ndomains = n-1", "").contains("[deployment] is missing"));
}

/// Teams are read into the desired state. A key that belongs to two teams and a team that
/// shares no region with a service are rejected.
#[test]
fn teams_are_read_and_checked() {
    let (one, two) = (KeyDigest::of(b"one"), KeyDigest::of(b"two"));
    let teams = format!(
        "[region south]\ndomains = s-1\n[team red]\nkeys = {}, {}\nrate = 5\nburst = 2\npriority = 0\nregions = north\n[team bare]\n",
        one.to_text(),
        two.to_text()
    );
    let bundle = ConfigBundle::new()
        .with_file("base.ini", BASE)
        .with_file("teams.ini", &teams);
    let state = bundle.deployment().unwrap().desired_state(3);
    let red = state.teams.iter().find(|team| team.name == "red").unwrap();
    assert_eq!(
        (red.keys.as_slice(), red.priority),
        (&[one, two][..], Some(0))
    );
    assert_eq!(red.quota, TeamQuota::new(5.0, 2.0));
    let bare = state.teams.iter().find(|team| team.name == "bare").unwrap();
    assert_eq!(
        (bare.keys.len(), bare.priority, bare.quota),
        (0, None, None)
    );
    assert!(!state.routes[0].is_public);
    let shared = format!("{teams}[team blue]\nkeys = {}\n", two.to_text());
    let message = refusal(BASE, &shared);
    assert!(
        message.contains(&format!("the key {two} is listed in")),
        "{message}"
    );
    let at_home = BASE.to_owned() + "regions = south\n";
    let message = refusal(&at_home, &teams);
    assert!(message.contains("have no region in common"), "{message}");
}

/// If two overlays set the same key, the error names both.
#[test]
fn conflicting_overlays_are_named() {
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

/// Pools for parts of a split count towards the capacity of their service, and the difference
/// lists their keys as added.
#[test]
fn pools_of_a_split_count_for_their_service() {
    let split = BASE.to_owned() + "split = old 90, new 10\n";
    let site = "[pool old n-1]\nservers = 127.0.0.1:1, 127.0.0.1:2\nslots = 3\n\
                [pool new n-1]\nservers = 127.0.0.1:3\nslots = 4\n";
    let before = ConfigBundle::new().with_file("base.ini", &split);
    let after = before.clone().with_file("site.ini", site);
    assert_eq!(after.deployment().unwrap().capacity("north", "board"), 10);
    let changes = diff(&before, &after).unwrap();
    assert!(
        changes
            .iter()
            .all(|change| change.kind == ChangeKind::Added)
    );
    assert_eq!(changes.len(), 6);
}

/// The desired state contains the merged settings of base and overlays.
#[test]
fn the_desired_state_matches_the_files() {
    let site = "[service board]\nsplit = old 90, new 10\nregions = north\nhost = board.example\n\
                deadline = 1500ms\ncold_rate = 7.6\nsticky = no\n";
    let bundle = ConfigBundle::new()
        .with_file("base.ini", BASE)
        .with_file("site.ini", site);
    let state = bundle.deployment().unwrap().desired_state(9);
    let route = &state.routes[0];
    assert_eq!((state.version, state.routes.len()), (9, 1));
    assert_eq!(
        (route.host.as_str(), route.prefix.as_str()),
        ("board.example", "/board/")
    );
    assert_eq!(route.kind, RequestKind::Idempotent);
    assert_eq!(route.timeout, Some(Duration::from_millis(1500)));
    assert_eq!(route.home_regions, ["north"]);
    assert!(!route.sticky);
    let parts: Vec<_> = route
        .parts
        .iter()
        .map(|part| (part.service.as_str(), part.weight))
        .collect();
    assert_eq!(parts, [("old", 90), ("new", 10)]);
    let servers: Vec<_> = state
        .services
        .iter()
        .map(|service| (service.name.as_str(), service.cold_rate))
        .collect();
    assert_eq!(servers, [("old", 7.6), ("new", 7.6)]);
}

/// The example deployments in `deploy` are valid and have the specified sizes.
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

/// The settings page contains the tables generated from the schema.
#[test]
fn the_settings_page_matches_the_schema() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = std::fs::read_to_string(page).unwrap();
    assert!(
        page.ends_with(&schema::markdown()),
        "run `lhctl settings` and paste its output into the page"
    );
}

/// Reading files of arbitrary text returns a value or an error and doesn't panic.
#[test]
fn arbitrary_files_do_not_panic() {
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
        Just("split = a 1, b 99999999999999999999".to_owned()),
        Just("[place a]".to_owned()),
        "\\PC{0,40}",
    ];
    let text = prop::collection::vec(line, 0..30).prop_map(|lines| lines.join("\n"));
    TestRunner::new_with_rng(config, rng)
        .run(&text, |text| {
            let bundle = ConfigBundle::new()
                .with_file("base.ini", BASE)
                .with_file("site.ini", &text);
            let _ = bundle.deployment();
            let _ = SettingsFile::parse("entry.ini", &text, &schema::ENTRY);
            Ok(())
        })
        .unwrap();
}
