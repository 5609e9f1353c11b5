//! `check`, `diff` and `apply`.

use std::path::Path;
use std::time::Duration;

use conf::ConfigBundle;
use store::ConfigHead;

use crate::cli::{ApplyArguments, PlatformArguments};
use crate::error::{Error, Result};
use crate::platform::ConfigClient;
use crate::status;

/// Checks a folder.
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

/// Shows what applying a folder would change.
pub(crate) async fn diff(folder: &Path, platform: &PlatformArguments, json: bool) -> Result<()> {
    let bundle = ConfigBundle::from_folder(folder)?;
    bundle.deployment()?;
    let current = ConfigClient::new(platform.platform).current().await?;
    let Some((head, current_bundle)) = current else {
        println!("nothing is in force yet; everything would be new");
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
    println!("against version {} by {}:", head.version, head.author);
    for change in &changes {
        println!("  {change}");
    }
    if changes.is_empty() {
        println!("  no difference");
    }
    Ok(())
}

/// Makes a folder the next version, and waits where that is asked for.
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

/// Makes a folder the next version.
pub(crate) async fn publish(arguments: &ApplyArguments) -> Result<ConfigHead> {
    let bundle = ConfigBundle::from_folder(&arguments.folder)?;
    let config_client = ConfigClient::new(arguments.platform.platform);
    let current = config_client.current().await?;
    let (version, current_bundle) = match &current {
        Some((head, current_bundle)) => (head.version, Some(current_bundle)),
        None => (0, None),
    };
    let edited = arguments.edited.unwrap_or(version);
    bundle.deployment()?;
    if current_bundle == Some(&bundle) {
        return Err(Error::Refused(
            "nothing differs from what is in force".to_owned(),
        ));
    }
    config_client
        .publish(edited, current_bundle, &bundle, &arguments.author)
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
            "version {} is in force everywhere after {} ms",
            head.version,
            elapsed.as_millis()
        ),
        None => println!("version {} is accepted", head.version),
    }
}
