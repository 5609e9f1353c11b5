//! Tests of rollouts with real entries: orders, status rows, and which servers get requests.

mod world;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use platform_standin::{Behavior, FakeBackend, FaultPlan, server_entry};
use serde_json::json;
use tokio::task::JoinHandle;
use world::{BOARD, EntryProcess, World, connect, exchange, request_for, until};

/// Number of concurrent requests.
const CALLERS: usize = 6;
const PAUSE: Duration = Duration::from_millis(15);
const WORK: Duration = Duration::from_millis(30);
const SERVERS: usize = 4;

/// A service with two versions, and its callers.
struct RolloutFixture {
    world: World,
    new: Vec<FakeBackend>,
    stopped: Arc<AtomicBool>,
    failures: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<()>>,
}

impl RolloutFixture {
    async fn new() -> Self {
        let world = World::new(SERVERS).await;
        for backend in &world.backends {
            backend.set_behavior(Behavior::Run(WORK));
        }
        Self {
            world,
            new: Vec::new(),
            stopped: Arc::default(),
            failures: Arc::default(),
            callers: Vec::new(),
        }
    }

    /// Starts additional servers of `v2` with the given behavior.
    async fn start_new_servers(&mut self, behavior: &Behavior) {
        for index in 0..SERVERS {
            let backend = FakeBackend::start(&format!("j-{index}")).await;
            backend.set_behavior(behavior.clone());
            let mut entry = server_entry(BOARD.service, backend.address(), "ready", 1);
            entry["version"] = json!("v2");
            self.world.store.put("servers", backend.id(), &entry);
            self.new.push(backend);
        }
    }

    fn start_rollout(&self, seconds: u32) {
        let order = json!({"service": "board", "to": "v2", "duration": format!("{seconds}s")});
        self.world.store.put("op", "rollout/board", &order);
    }

    /// Starts callers that send requests to `entry` until [`Self::stop_callers`].
    fn start_callers(&mut self, entry: &EntryProcess) {
        for caller in 0..CALLERS {
            let address = entry.callers();
            let stopped = Arc::clone(&self.stopped);
            let failures = Arc::clone(&self.failures);
            self.callers.push(tokio::spawn(async move {
                let mut sender = None;
                for number in 0.. {
                    if stopped.load(Ordering::Relaxed) {
                        return;
                    }
                    if sender.is_none() {
                        sender = connect(address).await;
                    }
                    let Some(open) = sender.as_mut() else {
                        tokio::time::sleep(PAUSE).await;
                        continue;
                    };
                    let id = format!("{address}-{caller}-{number}");
                    let object = (number % 40).to_string();
                    let request = request_for(&object, "GET", "/board/x", &id, b"");
                    let answer = exchange(open, request).await;
                    if answer.is_none() {
                        sender = None;
                    }
                    if answer.is_none_or(|answer| answer.status != 200) {
                        failures.fetch_add(1, Ordering::Relaxed);
                    }
                    tokio::time::sleep(PAUSE).await;
                }
            }));
        }
    }

    async fn stop_callers(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        for caller in self.callers.drain(..) {
            caller.await.unwrap();
        }
    }

    fn reported_state(&self) -> String {
        let row = self.world.store.row("status", "rollout/board");
        row.map_or(String::new(), |row| {
            row["state"].as_str().unwrap().to_owned()
        })
    }

    async fn wait_for_state(&self, state: &str) {
        until(&format!("the rollout is {state}"), async || {
            let reported = self.reported_state();
            let is_final = ["completed", "rolled_back"].contains(&reported.as_str());
            if is_final && reported != state {
                // Waiting on wouldn't change it.
                panic!("the rollout is {reported}; {}", self.describe());
            }
            reported == state
        })
        .await;
    }

    /// What the store holds on the rollout, for whoever reads a failure.
    fn describe(&self) -> String {
        let row = |table, key| self.world.store.row(table, key);
        let (order, record) = (
            row("op", "rollout/board"),
            row(store::ENTRY_TABLE, "rollout/board"),
        );
        let (old, new) = (self.old_requests(), self.new_requests());
        format!("order {order:?}, record {record:?}, requests {old} old, {new} new")
    }

    fn new_requests(&self) -> usize {
        self.new.iter().map(|backend| backend.seen().len()).sum()
    }

    fn old_requests(&self) -> usize {
        let old = self.world.backends.iter();
        old.map(|backend| backend.seen().len()).sum()
    }
}

/// A good version must finally get all requests, with the status row reporting each phase, and
/// the old version must get none after completion.
#[tokio::test(flavor = "multi_thread")]
async fn a_good_version_replaces_the_other() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_callers(&entry);
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(8);
    service.wait_for_state("running").await;
    service.wait_for_state("completed").await;
    until("the entry knows the outcome", async || {
        !entry.logged("\"phase\":\"completed\"").is_empty()
    })
    .await;
    let (old, new) = (service.old_requests(), service.new_requests());
    until("requests go on", async || service.new_requests() > new + 50).await;
    assert_eq!(service.old_requests(), old);
    service.stop_callers().await;
    assert_eq!(service.failures.load(Ordering::Relaxed), 0);
    let row = service.world.store.row("status", "rollout/board").unwrap();
    assert_eq!(row, json!({"state": "completed", "to": "v2"}));
}

/// A version whose responses fail must be rolled back quickly and get no more requests, also
/// from entries that start later; the log line must contain the reason.
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_rolled_back() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    let store = service.world.store.address();
    let other = EntryProcess::start_with_peer(&entry, store, "n2", "");
    other.wait_ready().await;
    service.start_callers(&entry);
    service.start_callers(&other);
    service.start_new_servers(&Behavior::Status(500)).await;
    service.start_rollout(40);
    service.wait_for_state("rolled_back").await;
    until("both know the outcome", async || {
        let logged = |entry: &EntryProcess| {
            !entry.logged("\"phase\":\"rolled-back\"").is_empty()
                || !entry.logged("version is bad").is_empty()
        };
        logged(&entry) && logged(&other)
    })
    .await;
    let lines = [
        entry.logged("version is bad"),
        other.logged("version is bad"),
    ]
    .concat();
    assert!(
        lines
            .iter()
            .any(|line| line.contains("\"why\":\"failures\"")),
        "{lines:?}"
    );
    let (old, new) = (service.old_requests(), service.new_requests());
    let excess = new as f64 - 0.1 * (old + new) as f64 - 50.0;
    assert!(excess <= 0.0, "{new} of {}", old + new);
    let late = EntryProcess::start_with_peer(&entry, store, "n3", "");
    late.wait_ready().await;
    service.start_callers(&late);
    until("requests go on", async || {
        service.old_requests() > old + 300
    })
    .await;
    assert_eq!(service.new_requests(), new);
    service.stop_callers().await;
}

/// A rollout whose order is cancelled while it runs must end as rolled back.
#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_rollout_is_rolled_back() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_callers(&entry);
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(60);
    until("the version gets requests", async || {
        service.new_requests() > 0
    })
    .await;
    service.world.store.delete_row("op", "rollout/board");
    service.wait_for_state("rolled_back").await;
    let (old, new) = (service.old_requests(), service.new_requests());
    until("requests go on", async || {
        service.old_requests() > old + 100
    })
    .await;
    assert_eq!(service.new_requests(), new);
    service.stop_callers().await;
    assert_eq!(service.failures.load(Ordering::Relaxed), 0);
}

/// A rollout must continue when all entries are restarted midway, also if the servers of the new
/// version appeared before the order.
#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_survives_a_restart_of_all_entries() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(14);
    service.start_callers(&entry);
    service.wait_for_state("running").await;
    until("the version gets requests", async || {
        service.new_requests() > 0
    })
    .await;
    service.stop_callers().await;
    drop(entry);
    let entry = EntryProcess::ready(&service.world, "n2").await;
    service.stopped.store(false, Ordering::Relaxed);
    service.start_callers(&entry);
    service.wait_for_state("completed").await;
    service.stop_callers().await;
}

/// If a store outage outlasts the deadline, the old version must serve; afterwards the rollout
/// must be rolled back.
#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_completes_no_rollout() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_callers(&entry);
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(10);
    service.wait_for_state("running").await;
    let outage = FaultPlan {
        outage: true,
        ..FaultPlan::default()
    };
    service.world.store.set_faults(outage);
    tokio::time::sleep(Duration::from_secs(12)).await;
    let (old, new) = (service.old_requests(), service.new_requests());
    until("requests go on", async || {
        service.old_requests() > old + 100
    })
    .await;
    assert_eq!(service.new_requests(), new);
    service.world.store.set_faults(FaultPlan::default());
    service.wait_for_state("rolled_back").await;
    service.stop_callers().await;
    assert_eq!(service.failures.load(Ordering::Relaxed), 0);
}

/// An outcome that was reported stands: a store that comes back from a copy older than that shows
/// it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_restored_store_shows_the_outcome_of_a_rollout() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_callers(&entry);
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(8);
    service.wait_for_state("running").await;
    let copy = service.world.store.copy();
    service.wait_for_state("completed").await;
    service.world.store.restore(&copy);
    assert_eq!(service.reported_state(), "running");
    service.wait_for_state("completed").await;
    service.stop_callers().await;
}

/// A good version is completed although all entries are lost in the middle of its rollout, where
/// the time left allows it.
#[tokio::test(flavor = "multi_thread")]
async fn a_loss_of_all_entries_rolls_no_good_version_back() {
    const ENTRIES: usize = 6;
    let mut service = RolloutFixture::new().await;
    let store = service.world.store.address();
    let start = |seeds: &[std::net::IpAddr], run: usize| {
        let names = (0..ENTRIES).map(|index| format!("n{run}-{index}"));
        let entries = names.map(|name| EntryProcess::start(store, &name, seeds));
        entries.collect::<Vec<_>>()
    };
    let first = EntryProcess::start(store, "seed", &[]);
    let seeds = [first.ip];
    let entries = start(&seeds, 1);
    for entry in &entries {
        entry.wait_ready().await;
    }
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(14);
    for entry in &entries {
        service.start_callers(entry);
    }
    service.wait_for_state("running").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    service.stop_callers().await;
    drop((entries, first));
    tokio::time::sleep(Duration::from_millis(1200)).await;
    service.stopped.store(false, Ordering::Relaxed);
    let first = EntryProcess::start(store, "seed", &[]);
    let entries = start(&[first.ip], 2);
    for entry in &entries {
        service.start_callers(entry);
    }
    service.wait_for_state("completed").await;
    service.stop_callers().await;
}

/// All machines are lost in the middle of a rollout, and the servers of the new version come back
/// first: the rollout isn't over because none of the others is listed yet.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_return_late_complete_no_rollout() {
    const UNLISTED_TIME: Duration = Duration::from_secs(3);
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_callers(&entry);
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(30);
    service.wait_for_state("running").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    service.stop_callers().await;
    drop(entry);
    let ids = service.world.backends.iter().map(FakeBackend::id);
    let ids: Vec<String> = ids.map(str::to_owned).collect();
    let row = |id: &String| service.world.store.row("servers", id).unwrap();
    let rows: Vec<_> = ids.iter().map(row).collect();
    for id in &ids {
        service.world.store.delete_row("servers", id);
    }
    let entry = EntryProcess::ready(&service.world, "n2").await;
    service.stopped.store(false, Ordering::Relaxed);
    service.start_callers(&entry);
    tokio::time::sleep(UNLISTED_TIME).await;
    for (id, row) in ids.iter().zip(&rows) {
        service.world.store.put("servers", id, row);
    }
    let old = service.old_requests();
    until("the other version runs requests again", async || {
        service.old_requests() > old + 100
    })
    .await;
    assert_eq!(
        service.reported_state(),
        "running",
        "{}",
        service.describe()
    );
    service.stop_callers().await;
}

/// After a completed rollout, a loss of all machines brings back servers of the former version
/// only. They are the only ones that can serve.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_servers_that_return_alone_serve() {
    let mut service = RolloutFixture::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    service.start_callers(&entry);
    service.start_new_servers(&Behavior::Run(WORK)).await;
    service.start_rollout(8);
    service.wait_for_state("completed").await;
    service.stop_callers().await;
    drop(entry);
    for backend in &service.new {
        service.world.store.delete_row("servers", backend.id());
    }
    let entry = EntryProcess::ready(&service.world, "n2").await;
    service.stopped.store(false, Ordering::Relaxed);
    service.start_callers(&entry);
    let old = service.old_requests();
    until("the former version runs requests", async || {
        service.old_requests() > old + 100
    })
    .await;
    service.stop_callers().await;
}
