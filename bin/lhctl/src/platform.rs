//! The configuration as the platform's store has it: the files that operators edit,
//! the desired state that they stand for, and the evacuations.

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

/// Longest wait for an answer of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads and publishes whole sets of files.
pub(crate) struct ConfigClient {
    configs: ConfigStore<PlatformClient>,
    address: SocketAddr,
}

/// What the operator's rows say now.
pub(crate) struct OperatorState {
    /// Version of the desired state in force; 0 before the first.
    pub(crate) version: u64,
    /// Failure domains that are evacuated.
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

    /// The head and its files; `None` before the first version.
    pub(crate) async fn current(&self) -> Result<Option<(ConfigHead, ConfigBundle)>> {
        let current = self.configs.current().await?;
        Ok(current.map(|StoredConfig { head, files }| (head, ConfigBundle { files })))
    }

    /// What the operator's rows say now.
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

    /// Publishes `bundle` as the version after `base_version`.
    pub(crate) async fn publish(
        &self,
        base_version: u64,
        current_bundle: Option<&ConfigBundle>,
        bundle: &ConfigBundle,
        author: &str,
    ) -> Result<ConfigHead> {
        // Somebody may have set a desired state without these files.
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

    /// Evacuates failure domains, or takes that back.
    pub(crate) async fn evacuate(&self, domains: &[&str], evacuated: bool) -> Result<()> {
        let writes: Vec<RowWrite> = domains
            .iter()
            .map(|domain| evacuation_write(domain, evacuated))
            .collect();
        match self.configs.platform().commit(&writes).await? {
            CommitOutcome::Done => Ok(()),
            CommitOutcome::Conflict => Err(Error::Refused(
                "the store refused the change; run it again".to_owned(),
            )),
        }
    }

    /// Tells the loser of a race what changed under them.
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

/// The writes that make entries follow `bundle`: its desired state, and the client
/// blocks of each region.
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
