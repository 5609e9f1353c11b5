//! The command `team`: shows the teams in a configuration folder and manages their keys. A key
//! is shown only once, when it is generated; only its digest is stored and compared.

use std::path::Path;

use conf::{ConfigBundle, edit};
use rand::RngCore;
use serde_json::json;
use team::key::KeyDigest;
use team::spec::TeamSpec;

use crate::apply;
use crate::cli::{ApplyArguments, RevokeArguments};
use crate::error::{Error, Result};
use crate::revoke;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 24;
/// Largest number of keys of a team: the one in use and its replacement.
const MAX_KEYS_PER_TEAM: usize = 2;

/// Prints all teams in `folder`.
pub(crate) fn list(folder: &Path, json: bool) -> Result<()> {
    let deployment = ConfigBundle::from_folder(folder)?.deployment()?;
    for team in deployment.teams.values() {
        print_team(team, json);
    }
    if deployment.teams.is_empty() && !json {
        println!("no teams; requests need no key");
    }
    Ok(())
}

/// Prints the team `name` in `folder`.
pub(crate) fn show(folder: &Path, name: &str, json: bool) -> Result<()> {
    let bundle = ConfigBundle::from_folder(folder)?;
    print_team(&find_team(&bundle, name)?, json);
    Ok(())
}

/// Generates an additional key for the team `name`, writes its digest to `folder` and prints
/// the key.
pub(crate) fn rotate(folder: &Path, name: &str, json: bool) -> Result<()> {
    let bundle = ConfigBundle::from_folder(folder)?;
    let team = find_team(&bundle, name)?;
    if team.keys.len() >= MAX_KEYS_PER_TEAM {
        return Err(Error::Refused(format!(
            "team {name} already has {} keys; first revoke one that is no longer in use",
            team.keys.len()
        )));
    }
    let key = generate_key();
    let digest = KeyDigest::of(key.as_bytes());
    let text = digest.to_text();
    change_keys(folder, &bundle, name, |keys| edit::with_item(keys, &text))?;
    if json {
        println!(
            "{}",
            json!({"team": name, "key": key, "digest": digest.to_string()})
        );
        return Ok(());
    }
    println!("{key}");
    eprintln!(
        "This is the new key of team {name}. It is not shown again; its digest {digest} was \
         written to the folder. Run `lhctl apply`, hand out the key, then run \
         `lhctl team revoke` for the previous one."
    );
    Ok(())
}

/// Removes the key with the given digest prefix from the team, applies the folder and reports
/// on which entries the change is in force.
pub(crate) async fn revoke(arguments: &RevokeArguments, json: bool) -> Result<()> {
    let change: &ApplyArguments = &arguments.change;
    let bundle = ConfigBundle::from_folder(&change.folder)?;
    let team = find_team(&bundle, &arguments.team)?;
    let digest = find_key(&team, &arguments.key)?;
    let text = digest.to_text();
    change_keys(&change.folder, &bundle, &team.name, |keys| {
        edit::without_item(keys, &text)
    })?;
    let head = apply::publish(change).await?;
    if !json {
        println!(
            "version {} revokes the key {digest} of team {}",
            head.version, team.name
        );
    }
    revoke::report_progress(&change.wait, head.version, json).await
}

fn find_team(bundle: &ConfigBundle, name: &str) -> Result<TeamSpec> {
    let deployment = bundle.deployment()?;
    let team = deployment.teams.get(name).cloned();
    team.ok_or_else(|| {
        Error::Usage(format!(
            "there is no section [team {name}]; `lhctl team list` lists all teams"
        ))
    })
}

fn find_key(team: &TeamSpec, key: &str) -> Result<KeyDigest> {
    let has_prefix = |digest: &&KeyDigest| {
        digest
            .to_text()
            .trim_start_matches("sha256:")
            .starts_with(key)
    };
    let mut matching = team.keys.iter().filter(has_prefix);
    match (matching.next(), matching.next()) {
        (Some(digest), None) => Ok(*digest),
        (None, _) => Err(Error::Usage(format!(
            "team {} has no key whose digest begins with {key}; `lhctl team show` lists them",
            team.name
        ))),
        (Some(_), Some(_)) => Err(Error::Usage(format!(
            "several keys of team {} have a digest that begins with {key}; use a longer prefix",
            team.name
        ))),
    }
}

/// Changes the team's list of keys in the file that defines it, provided that the resulting
/// configuration is valid.
fn change_keys(
    folder: &Path,
    bundle: &ConfigBundle,
    team: &str,
    change: impl Fn(&str) -> String,
) -> Result<()> {
    let header = format!("team {team}");
    let location = bundle.locate_key(&header, "keys")?;
    let Some((file, keys)) = location else {
        return Err(Error::Usage(format!("no file has the section [{header}]")));
    };
    let text = bundle.files.get(&file).map_or("", String::as_str);
    let Some(text) = edit::set_key(text, &header, "keys", &change(&keys)) else {
        return Err(Error::Usage(format!(
            "{file}: there is no section [{header}] to write to"
        )));
    };
    bundle.clone().with_file(&file, &text).deployment()?;
    std::fs::write(folder.join(&file), text)?;
    Ok(())
}

fn generate_key() -> String {
    let mut bytes = [0; KEY_BYTES];
    rand::rng().fill_bytes(&mut bytes);
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn print_team(team: &TeamSpec, json: bool) {
    let keys: Vec<String> = team.keys.iter().map(ToString::to_string).collect();
    if json {
        let quota = team
            .quota
            .map(|quota| json!({"rate": quota.rate, "burst": quota.burst}));
        let line = json!({
            "team": team.name, "keys": keys, "priority": team.priority, "quota": quota,
            "regions": team.home_regions,
        });
        println!("{line}");
        return;
    }
    let quota = team.quota.map_or("no quota".to_owned(), |quota| {
        format!("{} requests per second, burst {}", quota.rate, quota.burst)
    });
    let priority = team
        .priority
        .map_or("of the service".to_owned(), |rank| rank.to_string());
    let regions = if team.home_regions.is_empty() {
        "all".to_owned()
    } else {
        team.home_regions.join(" ")
    };
    println!(
        "{}: {quota}, priority {priority}, regions {regions}, keys {}",
        team.name,
        if keys.is_empty() {
            "none".to_owned()
        } else {
            keys.join(" ")
        },
    );
}
