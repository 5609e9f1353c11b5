//! Servers of one service ended one after the other, fifteen of them within five seconds,
//! and again half a minute later. At each of them the same request was at work: its callers
//! sent it again to any entry, and each entry took each arrival for a new one, sent it to a
//! second server when the first broke off, and told nobody. What one entry had seen was
//! forgotten with the answer. Requests that were caught beside it were answered by other
//! servers, so that nothing but the cause was at every end. Lines of different entries that
//! name the same request settled it:
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

/// Path of the request that ends the servers that run it.
const FATAL: &str = "/board/fatal";
/// In the path of each request that ends servers.
const FATAL_WORD: &str = "/fatal";
/// Servers that it may end before it must be known everywhere.
const FREE_ENDS: usize = 3;
/// Time from the third end until all entries must know of it, in which the request comes on.
const SPREAD_TIME: Duration = Duration::from_secs(4);
/// Sends allowed after that, over all entries.
const LATE_SENDS: usize = 3;
/// Pause between two arrivals of the request.
const PAUSE: Duration = Duration::from_millis(150);

/// A service whose servers come back with a new name after they have ended.
struct FragileService {
    world: World,
    started: usize,
}

impl FragileService {
    async fn new() -> Self {
        let mut service = Self {
            world: World::new(0).await,
            started: 0,
        };
        service.refill().await;
        service
    }

    /// Starts a new server for each one that has ended.
    async fn refill(&mut self) {
        let running = |backend: &&FakeBackend| !backend.has_ended();
        for _ in self.world.backends.iter().filter(running).count()..8 {
            let backend = FakeBackend::start(&format!("i-{}", self.started)).await;
            backend.set_fatal(FATAL_WORD);
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
            if backend.has_ended() {
                self.world.store.drop_row("servers", backend.id());
            }
        }
    }

    fn ended(&self) -> usize {
        let ended = |backend: &&FakeBackend| backend.has_ended();
        self.world.backends.iter().filter(ended).count()
    }

    /// How often the request reached a server.
    fn sends(&self) -> usize {
        let seen = self.world.backends.iter().flat_map(FakeBackend::seen);
        seen.filter(|request| request.line.contains(FATAL)).count()
    }
}

/// Lets the request end servers until `entry` refuses it.
async fn until_refused(service: &mut FragileService, entry: &EntryProcess) {
    for arrival in 0.. {
        if ask(entry, "fatal", FATAL, &format!("f{arrival}")).await == 503
            && !quarantined(entry).await.is_empty()
        {
            return;
        }
        assert!(arrival < 100, "it is never refused");
        service.refill().await;
        tokio::time::sleep(PAUSE).await;
    }
}

/// The requests in quarantine, as the entry shows them.
async fn quarantined(entry: &EntryProcess) -> String {
    let document = entry.document("/v1/status").await;
    let prints = document["quarantined"].as_array().cloned();
    let prints = prints.unwrap_or_default();
    let prints = prints.iter().filter_map(|print| print.as_str());
    prints.collect::<Vec<_>>().join(" ")
}

async fn ask(entry: &EntryProcess, object: &str, path: &str, id: &str) -> u16 {
    let mut sender = entry.connect().await;
    let answer = exchange(&mut sender, request_for(object, "GET", path, id, b"")).await;
    answer.expect("an answer").status
}

/// Promise: a request that has ended three servers reaches hardly any more, at whichever
/// entry it comes again, and nobody else is refused for it.
#[tokio::test]
async fn a_request_that_ends_servers_stops_at_three() {
    let mut service = FragileService::new().await;
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
    let mut third_at = None;
    while third_at.is_none_or(|at: tokio::time::Instant| at.elapsed() < SPREAD_TIME) {
        let entry = &entries[arrivals % entries.len()];
        let (fatal_id, other_id) = (format!("f{arrivals}"), format!("o{arrivals}"));
        let path = format!("/board/{}", arrivals % 5);
        tokio::join!(
            ask(entry, "fatal", FATAL, &fatal_id),
            ask(entry, "other", &path, &other_id),
        );
        arrivals += 1;
        if service.ended() >= FREE_ENDS && third_at.is_none() {
            third_at = Some(tokio::time::Instant::now());
        }
        service.refill().await;
        tokio::time::sleep(PAUSE).await;
    }
    let before = service.sends();
    for round in 0..3 {
        for (index, entry) in entries.iter().enumerate() {
            ask(entry, "fatal", FATAL, &format!("late-{round}-{index}")).await;
        }
        service.refill().await;
    }
    let late = service.sends() - before;
    assert!(
        late <= LATE_SENDS,
        "{late} sends after {before}, {} ended",
        service.ended()
    );
    for (index, entry) in entries.iter().enumerate() {
        for object in 0..5 {
            let path = format!("/board/{object}");
            until("everybody else is served", async || {
                ask(entry, "other", &path, &format!("after-{index}-{object}")).await == 200
            })
            .await;
        }
    }
}

/// Promise: the refusal says that it has not run and when to come back, and shows in the
/// entry's line, its metrics and its status.
#[tokio::test]
async fn a_refused_request_is_told_why() {
    let mut service = FragileService::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    until_refused(&mut service, &entry).await;
    let sends = service.sends();
    let other = ask(&entry, "other", FATAL, "other").await;
    assert_eq!(other, 502, "another object is another request");
    let mut sender = entry.connect().await;
    let request = request_for("fatal", "GET", FATAL, "refused", b"");
    let answer = exchange(&mut sender, request).await.unwrap();
    assert_eq!(answer.status, 503);
    let seconds: f64 = answer.header("retry-after").parse().unwrap();
    assert!(seconds > 60.0, "{seconds}");
    assert!(service.sends() > sends, "only the other one was sent");
    until("it is logged", async || {
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

/// Sends a body of 2 MB in two pieces, the first of `first` bytes; the status line.
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
    // A refused one is not read to its end.
    let _ = stream.write_all(&body[first..]).await;
    let mut line = String::new();
    let _ = BufReader::new(stream).read_line(&mut line).await;
    line
}

/// Promise: a body that is passed on in pieces, which differ each time, makes no other
/// request of it.
#[tokio::test]
async fn a_large_upload_that_ends_servers_is_refused() {
    let mut service = FragileService::new().await;
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
        service.refill().await;
        tokio::time::sleep(PAUSE).await;
    }
    panic!("it is never refused");
}

/// Promise: a request that ends servers is still refused after all entries were lost.
#[tokio::test]
async fn a_quarantine_outlives_all_entries() {
    let mut service = FragileService::new().await;
    let entry = EntryProcess::ready(&service.world, "n1").await;
    until_refused(&mut service, &entry).await;
    until("the store keeps it", async || {
        let rows = service.world.store.row_versions("laurelhill-entries");
        rows.keys().any(|key| key.starts_with("quarantine/"))
    })
    .await;
    drop(entry);
    service.refill().await;
    let sends = service.sends();
    let entry = EntryProcess::ready(&service.world, "n2").await;
    until("it is known again", async || {
        !quarantined(&entry).await.is_empty()
    })
    .await;
    assert_eq!(ask(&entry, "fatal", FATAL, "later").await, 503);
    assert_eq!(service.sends(), sends);
}
