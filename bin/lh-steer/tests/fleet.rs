//! Real lh-steer processes with a stand-in for the platform; the test plays their entries.

use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base::prelude::*;
use conf::ConfigBundle;
use mesh::AskClient;
use standin::{FakePlatform, FaultPlan, free_address, spawn_platform};
use steer::{PollAnswer, PollAsk};
use store::{HeadStore, InstanceState, ListedInstance, Publication};

const PATIENCE: Duration = Duration::from_secs(60);
const BASE: &str = "[deployment]\nname = test\nlease = 4s\n[region north]\ndomains = n1\nseats = 4\n\
                    [service board]\nrepeat = idempotent\n";

async fn publish(platform: &FakePlatform, edited: u64, lease: &str) {
    let bundle = ConfigBundle::new().with_file("base.ini", &BASE.replace("4s", lease));
    let content = serde_json::to_vec(&bundle).unwrap();
    let heads = HeadStore::new(platform.clone());
    let published = heads
        .publish(edited, &bundle.hash(), &content, "test", lease)
        .await;
    assert!(matches!(published, Ok(Publication::Accepted(_))));
}

/// One lh-steer process and the entry that asks it.
struct Steer {
    child: Child,
    name: String,
    settings: std::path::PathBuf,
    gossip: SocketAddr,
    seen: Arc<Mutex<PollAnswer>>,
    version: Arc<Mutex<u64>>,
    ended: Arc<AtomicBool>,
    _folder: tempfile::TempDir,
}

impl Drop for Steer {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &std::path::Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_lh-steer"))
        .arg("--settings")
        .arg(settings)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}

impl Steer {
    fn start(name: &str, platform: SocketAddr, peers: &[SocketAddr]) -> Self {
        let [steer, gossip, admin] = std::array::from_fn(|_| free_address());
        let peers: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let text = format!(
            "[instance]\nname = {name}\nregion = north\ndomain = n1\n[steer]\nsteer = {steer}\ngossip = {gossip}\n\
             admin = {admin}\nplatform = {platform}\npeers = {}\nstore_period = 500ms\n",
            peers.join(", ")
        );
        let folder = tempfile::tempdir().unwrap();
        let settings = folder.path().join("steer.ini");
        std::fs::write(&settings, text).unwrap();
        let empty = PollAnswer {
            serial: 0,
            plan: None,
            seats: None,
            idle: Vec::new(),
        };
        let process = Self {
            child: spawn(&settings),
            name: name.to_owned(),
            settings,
            gossip,
            seen: Arc::new(Mutex::new(empty)),
            version: Arc::new(Mutex::new(0)),
            ended: Arc::new(AtomicBool::new(false)),
            _folder: folder,
        };
        process.play_entry(steer);
        process
    }

    /// Asks as an entry does, and uses the seats that it is granted.
    fn play_entry(&self, steer: SocketAddr) {
        let node = NodeId::new(&InstanceId::new(&self.name), Incarnation(7));
        let (seen, version, ended) = (self.seen.clone(), self.version.clone(), self.ended.clone());
        std::thread::spawn(move || {
            let client = AskClient::dial(steer, Duration::from_millis(500)).unwrap();
            let mut seats = Vec::new();
            while !ended.load(Ordering::Relaxed) {
                let ask = PollAsk {
                    node: node.clone(),
                    relay: steer,
                    lookup: steer,
                    mesh: steer,
                    stamp: String::new(),
                    serial: 0,
                    seats: seats.clone(),
                    vacated: Vec::new(),
                    heard: Vec::new(),
                    seen: Vec::new(),
                    leaving: false,
                    releasing: false,
                };
                if let Ok(answer) = client.ask::<_, PollAnswer>(&ask) {
                    if let Some(granted) = &answer.seats {
                        seats = granted
                            .iter()
                            .map(|seat| (seat.index, seat.epoch))
                            .collect();
                    }
                    if let Some(plan) = &answer.plan {
                        *version.lock().unwrap() = plan.version;
                    }
                    *seen.lock().unwrap() = answer;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        });
    }

    fn version(&self) -> u64 {
        *self.version.lock().unwrap()
    }

    /// The seats with their epochs, where lh-steer knows.
    fn seats(&self) -> Option<Vec<(u16, u64)>> {
        let seen = self.seen.lock().unwrap();
        let seats = seen.seats.as_ref()?;
        Some(seats.iter().map(|seat| (seat.index, seat.epoch)).collect())
    }

    fn list(&self, platform: &FakePlatform) {
        platform.lock().add_instance(ListedInstance {
            name: self.name.clone(),
            gossip: self.gossip,
            state: InstanceState::Live,
        });
    }
}

async fn until(what: &str, mut check: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !check() {
        assert!(Instant::now() < end, "{what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Promise: an instance that boots in an outage gets the newest configuration from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn an_instance_boots_in_an_outage_from_its_peers() {
    let (platform, address) = spawn_platform().await.unwrap();
    publish(&platform, 0, "4s").await;
    let first = Steer::start("a", address, &[]);
    first.list(&platform);
    until("a never got version 1", || first.version() == 1).await;
    publish(&platform, 1, "5s").await;
    until("a never got version 2", || first.version() == 2).await;
    platform.set_faults(FaultPlan {
        outage: true,
        ..FaultPlan::default()
    });
    let second = Steer::start("b", address, &[first.gossip]);
    until("b never got version 2 from its peer", || {
        second.version() == 2
    })
    .await;
    assert_eq!(
        second.seats(),
        None,
        "without the table nobody can take a seat"
    );
}

/// Promise: a change reaches every instance, and the seats spread without being held twice.
#[tokio::test(flavor = "multi_thread")]
async fn changes_and_seats_reach_every_instance() {
    let (platform, address) = spawn_platform().await.unwrap();
    publish(&platform, 0, "4s").await;
    let fleet: Vec<Steer> = ["a", "b", "c"]
        .map(|name| Steer::start(name, address, &[]))
        .into();
    for steer in &fleet {
        steer.list(&platform);
    }
    let held = || -> Vec<u16> {
        let seats = fleet.iter().filter_map(Steer::seats).flatten();
        let mut seats: Vec<u16> = seats.map(|(index, _)| index).collect();
        seats.sort_unstable();
        seats
    };
    until("the four seats were never all held", || {
        held() == [0, 1, 2, 3]
    })
    .await;
    publish(&platform, 1, "5s").await;
    until("version 2 never reached everybody", || {
        fleet.iter().all(|steer| steer.version() == 2)
    })
    .await;
}

/// Promise: a restarted lh-steer takes up the seats that its entry uses, in the same epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_steer_takes_the_seats_up_again() {
    let (platform, address) = spawn_platform().await.unwrap();
    publish(&platform, 0, "4s").await;
    let mut steer = Steer::start("a", address, &[]);
    steer.list(&platform);
    until("the seats were never held", || {
        steer.seats().is_some_and(|seats| seats.len() == 4)
    })
    .await;
    let before = steer.seats();
    steer.child.kill().unwrap();
    steer.child.wait().unwrap();
    steer.seen.lock().unwrap().seats = None;
    steer.child = spawn(&steer.settings);
    until("the seats were never taken up", || {
        steer.seats().is_some_and(|seats| seats.len() == 4)
    })
    .await;
    assert_eq!(steer.seats(), before);
}
