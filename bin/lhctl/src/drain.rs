//! The commands `drain` and `undrain`, which stop and resume sending new requests to the
//! backend servers of a failure domain or of all failure domains of a region.

use conf::Deployment;

use crate::cli::DrainArguments;
use crate::error::{Error, Result};
use crate::platform::ConfigClient;

/// Whether to begin or to end a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum DrainAction {
    /// Stop sending new requests.
    Drain,
    /// Send requests again.
    Undrain,
}

/// Begins or ends the drain of a failure domain or region. Refused if all of its failure
/// domains are in the requested state already.
pub(crate) async fn change(
    arguments: &DrainArguments,
    action: DrainAction,
    json: bool,
) -> Result<()> {
    let config_client = ConfigClient::new(arguments.platform.platform);
    let domains = target_domains(&config_client, arguments).await?;
    let evacuated = config_client.operator_state().await?.evacuated;
    let drain = action == DrainAction::Drain;
    let changed: Vec<&str> = domains
        .iter()
        .map(String::as_str)
        .filter(|domain| evacuated.iter().any(|name| name == domain) != drain)
        .collect();
    if changed.is_empty() {
        let state = if drain {
            "already drained"
        } else {
            "not drained"
        };
        return Err(Error::Refused(format!(
            "{} {} is {state}",
            arguments.kind, arguments.name
        )));
    }
    config_client.evacuate(&changed, drain).await?;
    if json {
        println!(
            "{}",
            serde_json::json!({"domains": changed, "drained": drain})
        );
    } else {
        let effect = if drain {
            "gets no new requests"
        } else {
            "may get requests again"
        };
        println!("{} {effect}", changed.join(", "));
    }
    Ok(())
}

/// The failure domains that the command line selects.
async fn target_domains(
    config_client: &ConfigClient,
    arguments: &DrainArguments,
) -> Result<Vec<String>> {
    let name = arguments.name.as_str();
    match arguments.kind.as_str() {
        "domain" => Ok(vec![name.to_owned()]),
        "region" => {
            let deployment = current_deployment(config_client).await?;
            let region = deployment.regions.get(name).ok_or_else(|| {
                Error::Refused(format!("there is no region '{name}' in the configuration"))
            })?;
            Ok(region.domains.iter().map(ToString::to_string).collect())
        }
        other => Err(Error::Usage(format!(
            "can't drain a '{other}'; use domain or region. A backend server announces itself that \
             it is leaving, and an instance is stopped with SIGTERM"
        ))),
    }
}

async fn current_deployment(config_client: &ConfigClient) -> Result<Deployment> {
    let Some((_, bundle)) = config_client.current().await? else {
        return Err(Error::Refused(
            "no configuration has been applied yet; apply a folder first".to_owned(),
        ));
    };
    Ok(bundle.deployment()?)
}
