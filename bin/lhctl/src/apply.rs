//! The commands `check`, `diff` and `apply`.

use std::path::Path;
use std::time::Duration;

use conf::ConfigBundle;
use store::ConfigHead;

use crate::cli::{ApplyArguments, PlatformArguments};
use crate::error::{Error, Result};
use crate::platform::ConfigClient;
use crate::status;

/// Validates the configuration in `folder` and prints a summary.
pub(crate) fn check(folder: &Path, json: bool) -> Result<()> {
    let bundle = ConfigBundle::from_folder(folder)?;
    let deployment = bundle.deployment()?;
    if json {
        let summary = serde_json::json!({
            "name": deployment.name,
            "hash": bundle.hash(),
            "regions": deployment.regions.len(),
            "services": deployment.services.len(),
            "teams": deployment.teams.len(),
            "pools": deployment.pools.len(),
        });
        println!("{summary}");
        return Ok(());
    }
    println!(
        "{}: valid, {} teams",
        deployment.name,
        deployment.teams.len()
    );
    for service in deployment.services.keys() {
        let slots = |region: &base::id::RegionId| {
            let slots = deployment.capacity(region.as_str(), service.as_str());
            format!("{region} {slots}")
        };
        let slots: Vec<_> = deployment.regions.keys().map(slots).collect();
        println!("  {service}: slots by region: {}", slots.join(", "));
    }
    Ok(())
}

/// Prints the differences between the current configuration and `folder`.
pub(crate) async fn diff(folder: &Path, platform: &PlatformArguments, json: bool) -> Result<()> {
    let bundle = ConfigBundle::from_folder(folder)?;
    bundle.deployment()?;
    let current = ConfigClient::new(platform.platform).current().await?;
    let Some((head, current_bundle)) = current else {
        println!("no configuration has been applied yet; all of it would be new");
        return Ok(());
    };
    let changes = conf::diff(&current_bundle, &bundle)?;
    if json {
        println!(
            "{}",
            serde_json::json!({"version": head.version, "changes": changes})
        );
        return Ok(());
    }
    println!("changes from version {} by {}:", head.version, head.author);
    for change in &changes {
        println!("  {change}");
    }
    if changes.is_empty() {
        println!("  no difference");
    }
    Ok(())
}

/// Publishes a folder as the next version; with `--wait`, waits until it is in force.
pub(crate) async fn apply(arguments: &ApplyArguments, json: bool) -> Result<()> {
    let head = publish(arguments).await?;
    let wait = &arguments.wait;
    let elapsed = if wait.wait {
        Some(
            status::wait_until_in_force(&wait.instances.instances, head.version, wait.seconds)
                .await?,
        )
    } else {
        None
    };
    print_outcome(&head, elapsed, json);
    Ok(())
}

/// Publishes a folder as the next version.
pub(crate) async fn publish(arguments: &ApplyArguments) -> Result<ConfigHead> {
    let bundle = ConfigBundle::from_folder(&arguments.folder)?;
    let config_client = ConfigClient::new(arguments.platform.platform);
    let current = config_client.current().await?;
    let (current_version, current_bundle) = match &current {
        Some((head, current_bundle)) => (head.version, Some(current_bundle)),
        None => (0, None),
    };
    let base_version = arguments.edited.unwrap_or(current_version);
    bundle.deployment()?;
    if current_bundle == Some(&bundle) {
        return Err(Error::Refused(
            "the folder doesn't differ from the current configuration".to_owned(),
        ));
    }
    config_client
        .publish(base_version, current_bundle, &bundle, &arguments.author)
        .await
}

fn print_outcome(head: &ConfigHead, elapsed: Option<Duration>, json: bool) {
    if json {
        let elapsed_ms = elapsed.map(|elapsed| elapsed.as_millis() as u64);
        println!(
            "{}",
            serde_json::json!({"version": head.version, "in_force_after_ms": elapsed_ms})
        );
        return;
    }
    match elapsed {
        Some(elapsed) => println!(
            "version {} is in force on all instances after {} ms",
            head.version,
            elapsed.as_millis()
        ),
        None => println!("version {} is accepted", head.version),
    }
}
