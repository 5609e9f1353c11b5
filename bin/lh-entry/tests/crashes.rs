//! A request that crashes every server that runs it must not take down a whole service.
//!
//! Without a quarantine, callers retry such a request at any entry, and each entry treats it as
//! new and retries it on a second server: it once crashed fifteen servers within five seconds, and
//! again half a minute later. Other requests in flight at the crashes succeed on other servers, so
//! that only the cause is present at every crash. The log lines of different entries then name the
//! same request:
//!
//! ```text
//! n0 server ended under requests, server i-0, prints ab9c5761c91e
//! n1 server ended under requests, server i-1, prints ab9c5761c91e
//! n2 server ended under requests, server i-4, prints ab9c5761c91e
//! ```

mod world;

use std::time::Duration;

use platform_standin::{Behavior, FakeBackend, desired_state, server_entry, with_body_limit};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use world::{BOARD, DESK, EntryProcess, World, exchange, request_for, until};

/// Path of the request that crashes every server that runs it.
const FATAL: &str = "/board/fatal";
/// Part of the path by which the servers recognize a request that crashes them.
const FATAL_PATH_PART: &str = "/fatal";
/// Number of servers that the request may crash before all entries must know of it.
const ALLOWED_CRASHES: usize = 3;
/// Time after the third crash by which all entries must know of the request, which keeps arriving.
const PROPAGATION_TIME: Duration = Duration::from_secs(4);
/// Maximum number of times that all entries together may forward the request after that.
const MAX_LATE_SENDS: usize = 3;
/// Interval between two arrivals of the request.
const ARRIVAL_INTERVAL: Duration = Duration::from_millis(150);

/// A service whose crashed servers are replaced by new ones.
struct CrashingService {
    world: World,
    started: usize,
}

impl CrashingService {
    async fn new() -> Self {
        let mut service = Self {
            world: World::new(0).await,
            started: 0,
        };
        service.replace_crashed().await;
        service
    }

    /// Starts a new server for each one that has crashed.
    async fn replace_crashed(&mut self) {
        let running = |backend: &&FakeBackend| !backend.has_crashed();
        for _ in self.world.backends.iter().filter(running).count()..8 {
            let backend = FakeBackend::start(&format!("i-{}", self.started)).await;
            backend.set_fatal(FATAL_PATH_PART);
            backend.set_behavior(Behavior::Run(Duration::from_millis(20)));
            let mut entry = server_entry(BOARD.service, backend.address(), "ready", 1);
            let zone = if self.started.is_multiple_of(2) {
                "zone-a"
            } else {
                "zone-b"
            };
            entry["zone"] = zone.into();
            self.world.store.put("servers", backend.id(), &entry);
            self.world.backends.push(backend);
            self.started += 1;
        }
        for backend in &self.world.backends {
            if backend.has_crashed() {
                self.world.store.delete_row("servers", backend.id());
            }
        }
    }

    fn crashed(&self) -> usize {
        let crashed = |backend: &&FakeBackend| backend.has_crashed();
        self.world.backends.iter().filter(crashed).count()
    }

    /// Returns how often the request was forwarded to a server.
    fn forwarded_count(&self) -> usize {
        let seen = self.world.backends.iter().flat_map(FakeBackend::seen);
        seen.filter(|request| request.line.contains(FATAL)).count()
    }
}

/// Lets the request crash servers until `entry` refuses it.
async fn crash_until_quarantined(service: &mut CrashingService, entry: &EntryProcess) {
    for arrival in 0.. {
        if send(entry, "fatal", FATAL, &format!("f{arrival}")).await == 503
            && !quarantined(entry).await.is_empty()
        {
            return;
        }
        assert!(arrival < 100, "the request is never refused");
        service.replace_crashed().await;
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
}

/// Returns the requests in quarantine from the status of the entry.
async fn quarantined(entry: &EntryProcess) -> String {
    let document = entry.document("/v1/status").await;
    let prints = document["quarantined"].as_array().cloned();
    let prints = prints.unwrap_or_default();
    let prints = prints.iter().filter_map(|print| print.as_str());
    prints.collect::<Vec<_>>().join(" ")
}

async fn send(entry: &EntryProcess, object: &str, path: &str, id: &str) -> u16 {
    let mut sender = entry.connect().await;
    let answer = exchange(&mut sender, request_for(object, "GET", path, id, b"")).await;
    answer.expect("an answer").status
}

/// A request that has crashed three servers reaches almost no further server, whichever entry
/// receives it, and no other request is refused.
#[tokio::test]
async fn a_request_that_crashes_servers_is_quarantined_after_three() {
    let mut service = CrashingService::new().await;
    let store = service.world.store.address();
    let first = EntryProcess::start_in_domain("zone-a", "north", store, "n0", &[]);
    let seeds = [first.ip];
    let mut entries = vec![first];
    for index in 1..6 {
        let (zone, region) = if index % 2 == 0 {
            ("zone-a", "north")
        } else {
            ("zone-b", "south")
        };
        entries.push(EntryProcess::start_in_domain(
            zone,
            region,
            store,
            &format!("n{index}"),
            &seeds,
        ));
    }
    for entry in &entries {
        entry.wait_ready().await;
    }
    let mut arrivals = 0;
    let mut third_crash_at = None;
    while third_crash_at.is_none_or(|at: tokio::time::Instant| at.elapsed() < PROPAGATION_TIME) {
        let entry = &entries[arrivals % entries.len()];
        let (fatal_id, other_id) = (format!("f{arrivals}"), format!("o{arrivals}"));
        let path = format!("/board/{}", arrivals % 5);
        tokio::join!(
            send(entry, "fatal", FATAL, &fatal_id),
            send(entry, "other", &path, &other_id),
        );
        arrivals += 1;
        if service.crashed() >= ALLOWED_CRASHES && third_crash_at.is_none() {
            third_crash_at = Some(tokio::time::Instant::now());
        }
        service.replace_crashed().await;
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    let before = service.forwarded_count();
    for round in 0..3 {
        for (index, entry) in entries.iter().enumerate() {
            send(entry, "fatal", FATAL, &format!("late-{round}-{index}")).await;
        }
        service.replace_crashed().await;
    }
    let late = service.forwarded_count() - before;
    assert!(
        late <= MAX_LATE_SENDS,
        "forwarded {late} times after {before}, {} servers crashed",
        service.crashed()
    );
    for (index, entry) in entries.iter().enumerate() {
        for object in 0..5 {
            let path = format!("/board/{object}");
            until("other requests are served", async || {
                send(entry, "other", &path, &format!("after-{index}-{object}")).await == 200
            })
            .await;
        }
    }
}

/// The refusal says that the request did not run and when to retry, and is visible in the log, the
/// metrics and the status of the entry.
#[tokio::test]
async fn a_quarantined_request_gets_a_reason_and_a_retry_time() {
    let mut service = CrashingService::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    crash_until_quarantined(&mut service, &entry).await;
    let forwarded_count = service.forwarded_count();
    let other = send(&entry, "other", FATAL, "other").await;
    assert_eq!(other, 502, "the fingerprint must depend on the object");
    let mut sender = entry.connect().await;
    let request = request_for("fatal", "GET", FATAL, "refused", b"");
    let answer = exchange(&mut sender, request).await.unwrap();
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").parse().unwrap();
    assert!(seconds > 60.0, "{seconds}");
    assert!(
        service.forwarded_count() > forwarded_count,
        "the request for the other object must be forwarded"
    );
    until("the refusal is logged", async || {
        let lines = entry.logged("\"refused\"");
        lines.iter().any(|line| line.contains("\"quarantined\""))
    })
    .await;
    let shown = quarantined(&entry).await;
    assert!(
        !entry
            .logged("request ends servers and is refused")
            .is_empty()
    );
    assert!(!entry.logged(&format!("\"print\":\"{shown}\"")).is_empty());
    let metrics = entry.metrics().await;
    assert!(metrics.contains("laurelhill_refusals_total{reason=\"quarantined\"}"));
}

/// Sends a body of 2 MB in two pieces, the first of `first` bytes, and returns the status line.
async fn upload(entry: &EntryProcess, id: &str, first: usize) -> String {
    let body = vec![b'x'; 2_000_000];
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let head = format!(
        "POST /desk/fatal HTTP/1.1\r\nHost: board.example\r\nRequest-Id: {id}\r\n\
         Affinity-Key: fatal\r\nDeadline-Ms: 40000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body[..first]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    // The entry doesn't read the whole body of a refused request.
    let _ = stream.write_all(&body[first..]).await;
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line).await;
    line
}

/// The fingerprint of a streamed upload doesn't depend on how much of its body arrives first.
#[tokio::test]
async fn a_streamed_upload_that_crashes_servers_is_quarantined() {
    let mut service = CrashingService::new().await;
    let desired = with_body_limit(desired_state(9, &[BOARD, DESK]), 8 << 20);
    service.world.store.put("op", "config", &desired);
    let entry = EntryProcess::ready(&service.world, "n1").await;
    until("the larger bodies are allowed", async || {
        !entry.logged("\"version\":9").is_empty()
    })
    .await;
    for arrival in 0..100 {
        let status = upload(&entry, &format!("f{arrival}"), 300_000 + 7_777 * arrival).await;
        if status.contains("503") && !quarantined(&entry).await.is_empty() {
            return;
        }
        service.replace_crashed().await;
        tokio::time::sleep(ARRIVAL_INTERVAL).await;
    }
    panic!("the request is never refused");
}

/// A request that crashes servers is still refused after all entries have been restarted.
#[tokio::test]
async fn a_quarantine_survives_the_loss_of_all_entries() {
    let mut service = CrashingService::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    crash_until_quarantined(&mut service, &entry).await;
    until("the quarantine is stored", async || {
        let rows = service.world.store.row_versions("laurelhill-entries");
        rows.keys().any(|key| key.starts_with("quarantine/"))
    })
    .await;
    drop(entry);
    service.replace_crashed().await;
    let forwarded_count = service.forwarded_count();
    let entry = EntryProcess::ready(&service.world, "n2").await;
    until("the quarantine has been read", async || {
        !quarantined(&entry).await.is_empty()
    })
    .await;
    assert_eq!(send(&entry, "fatal", FATAL, "later").await, 503);
    assert_eq!(service.forwarded_count(), forwarded_count);
}
