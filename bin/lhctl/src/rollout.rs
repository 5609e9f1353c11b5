//! The command `rollout`: starts, shows and aborts rollouts of a service to another version.

use std::net::SocketAddr;
use std::time::Duration;

use platform::client::StoreClient;
use platform::desired::OperatorChange;
use platform::rollouts::{STATUS_TABLE, decode_status, order_delete, order_write, status_key};
use platform::span::parse_span;
use platform::tables::PlatformClient;
use rollout::order::RolloutOrder;
use store::{CommitOutcome, RowWrite, TableService};

use crate::cli::RolloutCommand;
use crate::error::{Error, Result};

/// Longest time to wait for an answer from the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest duration of a rollout: the new version must answer some requests before it can be
/// judged.
const MIN_ROLLOUT_DURATION: Duration = Duration::from_secs(5);

pub(crate) async fn run(command: &RolloutCommand, json: bool) -> Result<()> {
    match command {
        RolloutCommand::Start {
            service,
            version,
            within,
            platform,
        } => start(platform.platform, service, version, within, json).await,
        RolloutCommand::Status { service, platform } => {
            status(platform.platform, service.as_deref(), json).await
        }
        RolloutCommand::Abort { service, platform } => {
            abort(platform.platform, service, json).await
        }
    }
}

async fn start(
    platform: SocketAddr,
    service: &str,
    version: &str,
    within: &str,
    json: bool,
) -> Result<()> {
    let Some(duration) = parse_span(within) else {
        return Err(Error::Usage(format!(
            "'{within}' is not a duration; use a number with a unit, such as 90s"
        )));
    };
    if duration < MIN_ROLLOUT_DURATION {
        return Err(Error::Usage(format!(
            "{within} is too short to judge a version; use {} s or more",
            MIN_ROLLOUT_DURATION.as_secs()
        )));
    }
    let service_names = read_service_names(platform).await?;
    if !service_names.iter().any(|name| name == service) {
        return Err(Error::Refused(format!(
            "there is no service '{service}' in the desired state; its services are: {}",
            service_names.join(", ")
        )));
    }
    let write = order_write(service, version, duration).map_err(store::Error::from)?;
    commit(platform, write).await?;
    if json {
        let order = serde_json::json!({"service": service, "version": version, "within": within});
        println!("{order}");
    } else {
        println!(
            "rolling out {version} of {service} within {within}; 'lhctl rollout status {service}' \
             shows the progress"
        );
    }
    Ok(())
}

async fn status(platform: SocketAddr, service: Option<&str>, json: bool) -> Result<()> {
    let orders = read_orders(platform).await?;
    let rows = client(platform).list(STATUS_TABLE).await?;
    let mut shown = 0;
    for row in &rows {
        let Some((name, status)) = decode_status(row).map_err(store::Error::from)? else {
            continue;
        };
        if service.is_some_and(|service| service != name) {
            continue;
        }
        shown += 1;
        let (phase, version) = (status.phase.as_str(), status.version.as_str());
        let order = orders.iter().find(|order| order.service == name);
        let is_pending = order.is_some_and(|order| order.version != version);
        if json {
            let line = serde_json::json!({
                "service": name, "version": version, "phase": phase,
                "ordered": order.map(|order| order.version.as_str()),
            });
            println!("{line}");
        } else if let Some(order) = order.filter(|_| is_pending) {
            println!("{name} {version} {phase}; {} is ordered", order.version);
        } else {
            println!("{name} {version} {phase}");
        }
    }
    if shown == 0 && !json {
        println!("no rollout has started");
    }
    Ok(())
}

async fn abort(platform: SocketAddr, service: &str, json: bool) -> Result<()> {
    let orders = read_orders(platform).await?;
    if !orders.iter().any(|order| order.service == service) {
        return Err(Error::Refused(format!(
            "there is no rollout of '{service}' to abort; 'lhctl rollout status' lists rollouts"
        )));
    }
    let row = client(platform)
        .read(STATUS_TABLE, &status_key(service))
        .await?;
    let status = row.as_ref().map(decode_status).transpose();
    let status = status.map_err(store::Error::from)?.flatten();
    if status.is_some_and(|(_, status)| status.phase.is_final()) {
        return Err(Error::Refused(format!(
            "the rollout of '{service}' has ended; to go back, start a rollout to the previous \
             version"
        )));
    }
    commit(platform, order_delete(service)).await?;
    if json {
        println!("{}", serde_json::json!({"aborted": service}));
    } else {
        println!("{service} returns to its previous version");
    }
    Ok(())
}

async fn read_operator_changes(platform: SocketAddr) -> Result<Vec<OperatorChange>> {
    let mut client = StoreClient::new(platform, ANSWER_TIMEOUT);
    let rows = client.read_operator().await.map_err(store::Error::from)?;
    Ok(rows.changes)
}

async fn read_orders(platform: SocketAddr) -> Result<Vec<RolloutOrder>> {
    let rows = read_operator_changes(platform).await?;
    let orders = rows.into_iter().filter_map(|change| match change {
        OperatorChange::Rollout(order) => Some(order),
        _ => None,
    });
    Ok(orders.collect())
}

async fn read_service_names(platform: SocketAddr) -> Result<Vec<String>> {
    let mut names = Vec::new();
    for change in read_operator_changes(platform).await? {
        if let OperatorChange::Desired(state) = change {
            names.extend(state.services.into_iter().map(|service| service.name));
        }
    }
    Ok(names)
}

async fn commit(platform: SocketAddr, write: RowWrite) -> Result<()> {
    match client(platform).commit(&[write]).await? {
        CommitOutcome::Done => Ok(()),
        CommitOutcome::Conflict => Err(Error::Refused(
            "the store refused the change because of a conflict; run the command again".to_owned(),
        )),
    }
}

fn client(platform: SocketAddr) -> PlatformClient {
    PlatformClient::new(platform).with_answer_timeout(ANSWER_TIMEOUT)
}
