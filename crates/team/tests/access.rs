//! Access checks: which team a request belongs to, and whether it is admitted.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use team::error::Error;
use team::prelude::{Access, AccessBounds, KeyClaim, KeyDigest, TeamIndex, TeamQuota, TeamSpec};
use team::regions::allowed_regions;

/// Fixed, so that each run gives the same result.
const SEED: u64 = 3;

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn team(name: &str, keys: &[&str]) -> TeamSpec {
    TeamSpec {
        name: name.to_owned(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: None,
        home_regions: Vec::new(),
    }
}

fn claim(key: &str) -> KeyClaim {
    KeyClaim::Key(KeyDigest::of(key.as_bytes()))
}

fn bounds(revoke: Option<Duration>) -> AccessBounds {
    AccessBounds {
        revoke,
        learn: secs(3),
    }
}

fn name_of(access: &Access) -> Option<&str> {
    match access {
        Access::Team(team) => Some(&team.name),
        _ => None,
    }
}

/// A key identifies its own team and no other.
#[test]
fn a_key_names_its_team() {
    let index = TeamIndex::new(&[team("red", &["r1", "r2"]), team("blue", &["b1"])]);
    let decide = |claim| bounds(Some(secs(5))).decide(&index, claim, false, Some(secs(1)));
    assert_eq!(name_of(&decide(claim("r2"))), Some("red"));
    assert_eq!(name_of(&decide(claim("b1"))), Some("blue"));
    assert_eq!(decide(claim("b2")), Access::Denied);
    assert_eq!(decide(KeyClaim::None), Access::Denied);
    assert_eq!(decide(KeyClaim::Malformed), Access::Denied);
}

/// A key that belongs to two teams identifies neither and is reported to operators.
#[test]
fn a_key_of_two_teams_names_neither() {
    let teams = [
        team("red", &["k", "r"]),
        team("blue", &["k"]),
        team("grey", &["k"]),
    ];
    let index = TeamIndex::new(&teams);
    assert!(index.find(KeyDigest::of(b"k")).is_none());
    assert!(index.find(KeyDigest::of(b"r")).is_some());
    assert!(index.shared_keys().contains(&KeyDigest::of(b"k")));
    let twice = TeamIndex::new(&[team("red", &["k", "k"])]);
    assert!(twice.find(KeyDigest::of(b"k")).is_some());
    assert!(twice.shared_keys().is_empty());
}

/// Without teams no request needs a key. Public routes need none either, but a key sent there
/// still identifies its team.
#[test]
fn requests_that_need_no_key() {
    let no_teams = TeamIndex::new(&[]);
    let index = TeamIndex::new(&[team("red", &["r1"]), team("empty", &[])]);
    let at = bounds(Some(secs(5)));
    assert_eq!(
        at.decide(&no_teams, KeyClaim::None, false, None),
        Access::Open
    );
    assert_eq!(at.decide(&index, KeyClaim::None, true, None), Access::Open);
    assert_eq!(
        at.decide(&index, claim("x"), true, Some(secs(1))),
        Access::Open
    );
    let named = at.decide(&index, claim("r1"), true, Some(secs(1)));
    assert_eq!(name_of(&named), Some("red"));
    // The settings are too old to identify the team.
    assert_eq!(
        at.decide(&index, claim("r1"), true, Some(secs(9))),
        Access::Open
    );
}

/// A key is accepted only on settings that are younger than the bound.
#[test]
fn stale_knowledge_serves_no_key() {
    let index = TeamIndex::new(&[team("red", &["r1"])]);
    let at = bounds(Some(secs(5)));
    let decide = |age| at.decide(&index, claim("r1"), false, age);
    assert_eq!(
        name_of(&decide(Some(Duration::from_millis(4800)))),
        Some("red")
    );
    assert_eq!(decide(Some(secs(5))), Access::Stale);
    assert_eq!(decide(None), Access::Stale);
    let unbound = bounds(None);
    let served = unbound.decide(&index, claim("r1"), false, Some(secs(3600)));
    assert_eq!(name_of(&served), Some("red"));
}

/// A key that may have been added recently is not denied.
#[test]
fn an_unknown_key_is_denied_only_on_fresh_knowledge() {
    let index = TeamIndex::new(&[team("red", &["r1"])]);
    let at = bounds(Some(secs(5)));
    let decide = |claim, age| at.decide(&index, claim, false, age);
    assert_eq!(decide(claim("new"), Some(secs(2))), Access::Denied);
    assert_eq!(decide(claim("new"), Some(secs(3))), Access::Unsure);
    assert_eq!(decide(KeyClaim::None, Some(secs(3))), Access::Unsure);
    assert_eq!(decide(claim("new"), None), Access::Unsure);
    // A malformed key can't have been added.
    assert_eq!(decide(KeyClaim::Malformed, None), Access::Denied);
}

/// The regions of route and team both apply.
#[test]
fn regions_of_route_and_team_both_apply() {
    let regions =
        |names: &[&str]| -> Vec<String> { names.iter().map(|name| (*name).to_owned()).collect() };
    let common = |route: &[&str], team: &[&str]| {
        allowed_regions(&regions(route), &regions(team)).map(|allowed| allowed.into_owned())
    };
    assert_eq!(common(&[], &[]), Some(Vec::new()));
    assert_eq!(common(&["a"], &[]), Some(regions(&["a"])));
    assert_eq!(common(&[], &["b"]), Some(regions(&["b"])));
    assert_eq!(common(&["a", "b"], &["b", "c"]), Some(regions(&["b"])));
    assert_eq!(common(&["a"], &["c"]), None);
}

/// Rates that are not positive finite numbers are no quota.
#[test]
fn a_rate_of_zero_bounds_nothing() {
    assert_eq!(TeamQuota::new(0.0, 5.0), None);
    assert_eq!(TeamQuota::new(-1.0, 5.0), None);
    assert_eq!(TeamQuota::new(f64::NAN, 5.0), None);
    assert_eq!(TeamQuota::new(f64::INFINITY, 5.0), None);
    let quota = TeamQuota::new(0.5, f64::NAN).unwrap();
    assert!((quota.rate - 0.5).abs() < 1e-9 && quota.burst == 0.0);
}

/// Digests in settings are validated.
#[test]
fn digests_in_settings_are_checked() {
    let digest = KeyDigest::of(b"key");
    assert_eq!(KeyDigest::parse(&digest.to_text()), Ok(digest));
    assert_eq!(KeyDigest::parse("key"), Err(Error::Scheme));
    assert_eq!(KeyDigest::parse("sha256:12"), Err(Error::Digits));
    let plus = format!("sha256:+{}", "0".repeat(63));
    assert_eq!(KeyDigest::parse(&plus), Err(Error::Digits));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(SEED), ..ProptestConfig::default() })]

    /// No text form of a digest contains the key, and a digest can't be used as a key.
    #[test]
    fn a_key_is_never_shown(key in "[a-z0-9]{9,40}") {
        let digest = KeyDigest::of(key.as_bytes());
        for shown in [format!("{digest}"), format!("{digest:?}"), digest.to_text()] {
            prop_assert!(!shown.contains(&key));
        }
        prop_assert!(KeyDigest::of(digest.to_text().as_bytes()) != digest);
    }

    /// Parsing never panics on arbitrary text, and what it accepts round-trips.
    #[test]
    fn any_text_is_read_or_refused(text in any::<String>()) {
        if let Ok(digest) = KeyDigest::parse(&text) {
            prop_assert_eq!(digest.to_text(), text.to_ascii_lowercase());
        }
    }
}
