//! `drain` and `undrain`: failure domains, and whole regions, that get no new work.

use conf::Deployment;

use crate::cli::DrainArguments;
use crate::error::{Error, Result};
use crate::platform::ConfigDesk;

/// Whether a drain is set or taken back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Direction {
    /// Give no new work.
    Drain,
    /// Give work again.
    Undrain,
}

/// Changes one drain.
pub(crate) async fn change(
    arguments: &DrainArguments,
    direction: Direction,
    json: bool,
) -> Result<()> {
    let desk = ConfigDesk::new(arguments.platform.platform);
    let domains = domains(&desk, arguments).await?;
    let evacuated = desk.operator().await?.evacuated;
    let drain = direction == Direction::Drain;
    let changed: Vec<&str> = domains
        .iter()
        .map(String::as_str)
        .filter(|domain| evacuated.iter().any(|known| known == domain) != drain)
        .collect();
    if changed.is_empty() {
        let state = if drain {
            "drained already"
        } else {
            "not drained"
        };
        return Err(Error::Refused(format!(
            "{} {} is {state}",
            arguments.kind, arguments.name
        )));
    }
    desk.evacuate(&changed, drain).await?;
    if json {
        println!(
            "{}",
            serde_json::json!({"domains": changed, "drained": drain})
        );
    } else {
        let what = if drain {
            "gets no new work"
        } else {
            "may get work again"
        };
        println!("{} {what}", changed.join(", "));
    }
    Ok(())
}

/// The failure domains that are meant.
async fn domains(desk: &ConfigDesk, arguments: &DrainArguments) -> Result<Vec<String>> {
    let name = arguments.name.as_str();
    match arguments.kind.as_str() {
        "domain" => Ok(vec![name.to_owned()]),
        "region" => {
            let deployment = deployment(desk).await?;
            let region = deployment
                .regions
                .get(name)
                .ok_or_else(|| Error::Refused(format!("no region '{name}' is configured")))?;
            Ok(region.domains.iter().map(ToString::to_string).collect())
        }
        other => Err(Error::Usage(format!(
            "'{other}' can't be drained; write domain or region. A backend server says itself \
             that it leaves, and an instance is stopped with SIGTERM"
        ))),
    }
}

async fn deployment(desk: &ConfigDesk) -> Result<Deployment> {
    let Some((_, bundle)) = desk.present().await? else {
        return Err(Error::Refused(
            "no configuration is known; apply a folder first".to_owned(),
        ));
    };
    Ok(bundle.deployment()?)
}
