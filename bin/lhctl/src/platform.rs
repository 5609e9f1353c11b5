//! Access to the configuration in the platform's store: the files that operators edit, the
//! desired state derived from them, and the evacuated failure domains.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use conf::ConfigBundle;
use platform::client::StoreClient;
use platform::desired::{OperatorChange, evacuation_write, state_writes};
use platform::tables::PlatformClient;
use store::{
    BLOCK_PREFIX, CommitOutcome, ConfigChange, ConfigHead, ConfigStore, ENTRY_TABLE,
    PublishOutcome, RowWrite, StoredConfig, TableService,
};

use crate::error::{Error, Result};

/// Longest time to wait for an answer from the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and publishes configurations, each a complete set of files.
pub(crate) struct ConfigClient {
    configs: ConfigStore<PlatformClient>,
    address: SocketAddr,
}

/// Current content of the rows written by operators.
pub(crate) struct OperatorState {
    /// Version of the desired state; 0 if there is none.
    pub(crate) version: u64,
    /// Evacuated failure domains.
    pub(crate) evacuated: Vec<String>,
}

impl ConfigClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let client = PlatformClient::new(address).with_answer_timeout(ANSWER_TIMEOUT);
        Self {
            configs: ConfigStore::new(client),
            address,
        }
    }

    /// Reads the current head and its files; `None` if nothing has been published.
    pub(crate) async fn current(&self) -> Result<Option<(ConfigHead, ConfigBundle)>> {
        let current = self.configs.current().await?;
        Ok(current.map(|StoredConfig { head, files }| (head, ConfigBundle { files })))
    }

    /// Reads the rows written by operators.
    pub(crate) async fn operator_state(&self) -> Result<OperatorState> {
        let rows = StoreClient::new(self.address, ANSWER_TIMEOUT)
            .read_operator()
            .await
            .map_err(store::Error::from)?;
        let mut operator_state = OperatorState {
            version: 0,
            evacuated: Vec::new(),
        };
        for change in rows.changes {
            match change {
                OperatorChange::Desired(state) => operator_state.version = state.version,
                OperatorChange::Evacuate(domain) => operator_state.evacuated.push(domain),
                OperatorChange::Restore(_)
                | OperatorChange::Rollout(_)
                | OperatorChange::CancelRollout(_) => {}
            }
        }
        Ok(operator_state)
    }

    /// Publishes `bundle` as a new version if `base_version` is still the current one.
    /// Otherwise the error lists what has changed since the caller read `current_bundle`.
    pub(crate) async fn publish(
        &self,
        base_version: u64,
        current_bundle: Option<&ConfigBundle>,
        bundle: &ConfigBundle,
        author: &str,
    ) -> Result<ConfigHead> {
        // The desired state may have been set directly, without configuration files; its
        // version must not decrease.
        let in_force = self.operator_state().await?.version;
        let version = base_version.max(in_force) + 1;
        let token = format!("{:032x}", rand::random::<u128>());
        let writes = activation_writes(bundle, version, in_force)?;
        let change = ConfigChange {
            base_version,
            version,
            files: &bundle.files,
            author,
            token: &token,
            activation_writes: &writes,
        };
        match self.configs.publish(&change).await {
            Ok(PublishOutcome::Accepted(head)) => Ok(head),
            Ok(PublishOutcome::Conflict(head)) => Err(self
                .version_conflict(base_version, current_bundle, head)
                .await),
            Err(cause @ store::Error::Unknown(_)) => Err(Error::Unknown(cause, token)),
            Err(cause) => Err(Error::Unavailable(cause)),
        }
    }

    /// Evacuates failure domains, or ends their evacuation, in one transaction.
    pub(crate) async fn evacuate(&self, domains: &[&str], evacuated: bool) -> Result<()> {
        let writes: Vec<RowWrite> = domains
            .iter()
            .map(|domain| evacuation_write(domain, evacuated))
            .collect();
        match self.configs.platform().commit(&writes).await? {
            CommitOutcome::Done => Ok(()),
            CommitOutcome::Conflict => Err(Error::Refused(
                "the store refused the change because of a conflict; run the command again"
                    .to_owned(),
            )),
        }
    }

    /// The error for a change that lost against a concurrent one, with the differences between
    /// `current_bundle` and the latest configuration.
    async fn version_conflict(
        &self,
        base_version: u64,
        current_bundle: Option<&ConfigBundle>,
        head: Option<ConfigHead>,
    ) -> Error {
        let Some(head) = head else {
            return Error::VersionConflict(base_version, 0, "somebody".to_owned(), String::new());
        };
        let mut changes = String::new();
        if let (Some(current_bundle), Ok(Some((_, latest_bundle)))) =
            (current_bundle, self.current().await)
        {
            for change in conf::diff(current_bundle, &latest_bundle).unwrap_or_default() {
                changes.push_str(&format!("  {change}\n"));
            }
        }
        Error::VersionConflict(base_version, head.version, head.author, changes)
    }
}

/// The writes that put `bundle` in force: its desired state, which replaces the version
/// `in_force`, and the client blocks of each region.
fn activation_writes(bundle: &ConfigBundle, version: u64, in_force: u64) -> Result<Vec<RowWrite>> {
    let deployment = bundle.deployment()?;
    let state = deployment.desired_state(version);
    let mut writes = state_writes(&state, in_force).map_err(store::Error::from)?;
    let blocks: BTreeMap<String, String> = deployment
        .regions
        .values()
        .filter(|region| !region.client_blocks.is_empty())
        .map(|region| (region.id.to_string(), region.client_blocks.join(",")))
        .collect();
    for (region, blocks) in blocks {
        let key = format!("{BLOCK_PREFIX}{region}");
        writes.push(RowWrite::new(ENTRY_TABLE, &key, &blocks));
    }
    Ok(writes)
}
