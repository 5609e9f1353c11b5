//! Keeps up with the platform's store: the operator's rows through a feed, the
//! servers' registry by readings, the other entries' rows now and then.
//!
//! One entry of a region reads the registry, without a vote: the others follow it
//! while it is heard and has fresh readings, and read themselves otherwise. It and a
//! second one, the deputy, have feeds of the operator's rows; the others hear of
//! them from both, and have a feed of their own where one of them fails.

use std::rc::Rc;
use std::time::{Duration, Instant};

use place::catalog::CatalogSnapshot;
use platform::Error;
use platform::client::StoreClient;
use platform::tables::PlatformClient;
use store::{BLOCK_PREFIX, ENTRY_TABLE, Row, RowWrite, TableService};

use crate::state::InstanceState;
use crate::view::ViewFollower;

/// Longest wait for an answer of the store. Slow answers of up to a second
/// have been seen; after that a new connection is better.
const PATIENCE: Duration = Duration::from_millis(1500);
/// How long a feed without changes stays open. A connection that went silent
/// is noticed after this and the patience: within the time in which an entry
/// must be up to date again after its connections were disturbed.
const FEED_WAIT: Duration = Duration::from_millis(2000);
/// The same for an entry that hears of changes from a reader as well: fewer calls,
/// and a feed that went silent makes nothing late.
const FOLLOWER_FEED_WAIT: Duration = Duration::from_millis(6000);
/// Time between two readings of the registry: well within the time in which
/// a leaving server must get no more requests.
const READ_EVERY: Duration = Duration::from_millis(900);
/// Pause after a failed call, so that a store in trouble isn't pressed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Time between two looks at what the reader knows: what it reads is known
/// everywhere well within the time for a leaving server.
const FOLLOW_EVERY: Duration = Duration::from_millis(400);
/// Time between two looks at what the deputy knows: a reader that went silent makes
/// its followers late by no more than this.
const DEPUTY_EVERY: Duration = Duration::from_millis(1000);
/// Time between two looks at whether two others still tell the operator's rows.
const TOLD_PAUSE: Duration = Duration::from_millis(200);
/// An entry that the store didn't answer lets others read for this long.
const AVOID_FOR: Duration = Duration::from_secs(3);
/// Time between two looks for other entries' rows.
const ENTRIES_EVERY: Duration = Duration::from_secs(15);

/// Keeps the operator's rows in force until the process ends.
pub(crate) async fn watch_operator(state: Rc<InstanceState>) {
    let mut client = StoreClient::new(state.config.store, PATIENCE);
    let mut version = None;
    let mut dependency = Dependency::new("operator feed");
    loop {
        if state.is_told_twice() {
            // What was told meanwhile needn't be asked for again.
            version = Some(state.operator.get()).filter(|version| *version > 0);
            tokio::time::sleep(TOLD_PAUSE).await;
            continue;
        }
        // A follower has two ways to hear of a change, so that neither a feed nor a
        // reader that went silent makes it late.
        let wait = if state.follows() && state.reads.get() {
            FOLLOWER_FEED_WAIT
        } else {
            FEED_WAIT
        };
        let result = match version {
            None => client.read_operator().await.map(|rows| {
                state.on_operator_rows(&rows.changes);
                rows.version
            }),
            Some(after) => client.watch_operator(after, wait).await.map(|rows| {
                for change in &rows.changes {
                    state.on_operator(change);
                }
                rows.version
            }),
        };
        state
            .metrics
            .on_store_call("operator", result.as_ref().err().map(Error::kind));
        match result {
            Ok(newest) => {
                dependency.regained();
                version = Some(newest);
                let now = Instant::now();
                state.operator_at.set(Some(now));
                state.answered_at.set(Some(now));
                state.operator.set(newest.max(state.operator.get()));
            }
            Err(Error::HistoryGone) => {
                log::info!("history of the operator's rows is gone; reading all");
                version = None;
            }
            Err(error) => {
                dependency.lost(&error);
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Reads the registry at intervals until the process ends.
pub(crate) async fn watch_servers(state: Rc<InstanceState>) {
    let mut client = StoreClient::new(state.config.store, PATIENCE);
    let mut dependency = Dependency::new("server registry");
    let mut follower = ViewFollower::default();
    let mut failed_at: Option<Instant> = None;
    loop {
        if failed_at.is_some_and(|at| may_read_again(&state, at)) {
            state.reads.set(true);
        }
        if let Some(reader) = state.reader() {
            match follower.follow(&state, reader).await {
                Ok(()) => {
                    dependency.regained();
                    tokio::time::sleep(FOLLOW_EVERY).await;
                    continue;
                }
                Err(error) => {
                    state.follows_until.set(None);
                    log::info!(reader:%, error:%; "reader not followed");
                }
            }
        }
        let begun = Instant::now();
        let result = client.read_servers().await;
        state
            .metrics
            .on_store_call("servers", result.as_ref().err().map(Error::kind));
        match result {
            Ok(rows) => {
                dependency.regained();
                state.reads.set(true);
                failed_at = None;
                state.on_servers(&CatalogSnapshot {
                    entries: rows.entries,
                    foreign: rows.foreign,
                    begun,
                });
                tokio::time::sleep(READ_EVERY.saturating_sub(begun.elapsed())).await;
            }
            Err(error) => {
                dependency.lost(&error);
                state.reads.set(false);
                failed_at = Some(Instant::now());
                state.placer.borrow_mut().catalog.on_read_failed();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Whether an entry whose reading failed at `failed_at` may be one that others
/// follow again: the store has answered its feed since, so that nothing waits for a
/// store that is still away.
fn may_read_again(state: &InstanceState, failed_at: Instant) -> bool {
    let answered = state.answered_at.get();
    failed_at.elapsed() > AVOID_FOR && answered.is_some_and(|at| at > failed_at)
}

/// Hears of the operator's changes from a second entry, until the process ends.
pub(crate) async fn watch_deputy(state: Rc<InstanceState>) {
    let mut follower = ViewFollower::default();
    let mut dependency = Dependency::new("deputy");
    loop {
        tokio::time::sleep(DEPUTY_EVERY).await;
        let Some(deputy) = state.deputy() else {
            state.deputy_until.set(None);
            continue;
        };
        match follower.follow_deputy(&state, deputy).await {
            Ok(()) => dependency.regained(),
            Err(error) => {
                state.deputy_until.set(None);
                dependency.lost(&error);
            }
        }
    }
}

/// Records this entry in the store and looks for others, until the process ends.
pub(crate) async fn watch_entries(state: Rc<InstanceState>) {
    let client = PlatformClient::new(state.config.store).with_patience(PATIENCE);
    let mut dependency = Dependency::new("entry table");
    let mut written = false;
    loop {
        let result = exchange_entries(&state, &client, &mut written).await;
        count_entries_call(&state, &result);
        match result {
            Ok(()) => {
                dependency.regained();
                tokio::time::sleep(ENTRIES_EVERY).await;
            }
            Err(error) => {
                dependency.lost(&error);
                tokio::time::sleep(RETRY_PAUSE * 3).await;
            }
        }
    }
}

/// Takes this entry's row out of the store, so that others stop looking for it.
pub(crate) async fn leave_entries(state: Rc<InstanceState>) {
    let client = PlatformClient::new(state.config.store).with_patience(PATIENCE);
    let delete = [RowWrite::delete(ENTRY_TABLE, &state.config.instance)];
    let result = client.commit(&delete).await;
    count_entries_call(&state, &result);
    if let Err(error) = result {
        log::info!(error:%; "the entry's row stays in the store");
    }
}

fn count_entries_call<T>(state: &InstanceState, result: &store::Result<T>) {
    let error = result.as_ref().err().map(store::Error::kind);
    state.metrics.on_store_call("entries", error);
}

async fn exchange_entries(
    state: &InstanceState,
    client: &PlatformClient,
    written: &mut bool,
) -> store::Result<()> {
    let config = &state.config;
    if !*written {
        let address = config.beat_address.to_string();
        let write = [RowWrite::new(ENTRY_TABLE, &config.instance, &address)];
        client.commit(&write).await?;
        *written = true;
    }
    let now = Instant::now();
    let rows = client.list(ENTRY_TABLE).await?;
    let (blocks, entries): (Vec<&Row>, Vec<&Row>) = rows
        .iter()
        .partition(|row| row.key.starts_with(BLOCK_PREFIX));
    state.homes.borrow_mut().on_rows(&blocks);
    for row in entries {
        match row.value.parse() {
            Ok(_) if row.key == config.instance => {}
            Ok(address) => state.peers.borrow_mut().add_candidate(now, address),
            Err(_) => log::warn!(entry = row.key.as_str(); "entry's row left out"),
        }
    }
    Ok(())
}

/// Logs when something the entry depends on is lost and regained, once each.
struct Dependency {
    name: &'static str,
    lost_at: Option<Instant>,
}

impl Dependency {
    fn new(name: &'static str) -> Self {
        Self {
            name,
            lost_at: None,
        }
    }

    fn lost(&mut self, error: &impl std::fmt::Display) {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            log::warn!(dependency = self.name, error:%; "dependency lost");
        }
    }

    fn regained(&mut self) {
        if let Some(lost_at) = self.lost_at.take() {
            let after_ms = lost_at.elapsed().as_millis() as u64;
            log::info!(dependency = self.name, after_ms; "dependency regained");
        }
    }
}
