//! Connections to backend servers, and when they are used again.

mod world;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use platform_standin::{Behavior, FakeBackend, desired_state, server_entry};
use world::{BOARD, EntryProcess, World, until};

/// Headers of a server that keeps idle connections open for ten seconds.
const KEEP_ALIVE: (&str, &str) = ("Keep-Alive", "timeout=10");

/// Sends requests one after the other until the first server of `world` has received `count`.
async fn send_until_seen(world: &World, entry: &EntryProcess, method: &str, count: usize) {
    let path = if method == "GET" {
        "/board/x"
    } else {
        "/desk/x"
    };
    let mut index = 0;
    until("the server has received the requests", async || {
        index += 1;
        entry.send(method, path, &format!("{method}-{index}")).await;
        world.backends[0].seen().len() >= count
    })
    .await;
}

/// A connection whose response rejects the request is used again: servers that shed load would
/// otherwise get a new connection for each request that they reject.
#[tokio::test]
async fn connections_of_rejected_requests_are_reused() {
    for method in ["GET", "POST"] {
        let world = World::new(1).await;
        let server = &world.backends[0];
        server.set_extra_headers(&[KEEP_ALIVE]);
        server.set_behavior(Behavior::Full);
        let entry = EntryProcess::ready(&world, "n0").await;
        send_until_seen(&world, &entry, method, 4).await;
        assert_eq!(server.connection_count(), 1, "{method}");
    }
}

/// A connection that the server announces to close after a rejection is not used again.
#[tokio::test]
async fn closing_connections_of_rejected_requests_are_not_reused() {
    let world = World::new(1).await;
    let server = &world.backends[0];
    server.set_extra_headers(&[("Connection", "close")]);
    server.set_behavior(Behavior::Full);
    let entry = EntryProcess::ready(&world, "n0").await;
    send_until_seen(&world, &entry, "GET", 4).await;
    assert_eq!(server.connection_count(), server.seen().len());
}

/// Setting that makes an entry open connections ahead.
const AHEAD: &str = "connections_ahead = yes\n";
/// Number of servers in the other region.
const FAR_SERVERS: usize = 8;
/// Interval of requests to the entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Servers whose region the entry believes to be far: on the loopback interface, only the
/// objective can make a round trip long.
async fn far_world() -> World {
    let world = World::new(FAR_SERVERS).await;
    set_headers(&world, &[KEEP_ALIVE]);
    let state = desired_state(6, &[BOARD]).to_string();
    let state = state.replace("\"500ms\"", "\"1ms\"");
    let state = serde_json::from_str(&state).unwrap();
    world.store.put("op", "config", &state);
    world
}

fn set_headers(world: &World, headers: &[(&str, &str)]) {
    for server in &world.backends {
        server.set_extra_headers(headers);
    }
}

fn set_behavior(world: &World, behavior: &Behavior) {
    for server in &world.backends {
        server.set_behavior(behavior.clone());
    }
}

async fn start_far_entry(world: &World, settings: &str) -> EntryProcess {
    let entry = EntryProcess::start_with_settings(world.store.address(), "n0", settings);
    entry.wait_ready().await;
    entry
}

/// Sends requests one after the other for `time`.
async fn send_steadily(entry: &EntryProcess, time: Duration) {
    let ends = Instant::now() + time;
    let mut index = 0;
    while Instant::now() < ends {
        index += 1;
        entry
            .send("GET", "/board/x", &format!("steady-{index}"))
            .await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

/// Value of `laurelhill_connections_ahead_total` with `result`.
async fn ahead_count(entry: &EntryProcess, result: &str) -> usize {
    let start = format!("laurelhill_connections_ahead_total{{result=\"{result}\"}} ");
    let metrics = entry.metrics().await;
    let count = metrics.lines().find_map(|line| line.strip_prefix(&start));
    count.unwrap().parse().unwrap()
}

/// Servers in another region get connections before the first requests to them, and those
/// requests use them.
#[tokio::test]
async fn far_servers_get_connections_ahead_of_requests() {
    let world = far_world().await;
    let entry = start_far_entry(&world, AHEAD).await;
    until("unused servers have a connection", async || {
        send_steadily(&entry, Duration::from_millis(200)).await;
        ahead_count(&entry, "opened").await >= FAR_SERVERS / 2
    })
    .await;
    let is_used = |server: &&FakeBackend| !server.seen().is_empty();
    for server in world.backends.iter().filter(is_used) {
        let leaving = server_entry("board", server.address(), "draining", 2);
        world.store.put("servers", server.id(), &leaving);
    }
    until("a connection opened ahead is used", async || {
        send_steadily(&entry, Duration::from_millis(200)).await;
        ahead_count(&entry, "used").await > 0
    })
    .await;
}

/// Without the setting, connections are only opened for requests.
#[tokio::test]
async fn no_connections_are_opened_ahead_by_default() {
    let world = far_world().await;
    let entry = start_far_entry(&world, "").await;
    send_steadily(&entry, Duration::from_secs(2)).await;
    assert_eq!(ahead_count(&entry, "opened").await, 0);
    for server in &world.backends {
        assert!(server.connection_count() <= server.seen().len());
    }
}

/// An entry that was told to stop and still serves requests opens no connections ahead, although
/// it learns only then how long servers keep them.
#[tokio::test]
async fn a_stopping_entry_opens_no_connections_ahead() {
    const LONG_REQUEST: Duration = Duration::from_secs(4);
    const SHORT_REQUEST: Duration = Duration::from_secs(1);
    let world = far_world().await;
    set_headers(&world, &[]);
    let entry = start_far_entry(&world, AHEAD).await;
    send_steadily(&entry, Duration::from_secs(1)).await;
    let connection_count = || -> usize {
        let servers = world.backends.iter();
        servers.map(FakeBackend::connection_count).sum()
    };
    set_behavior(&world, &Behavior::Run(LONG_REQUEST));
    let short_request = async {
        until("the long request runs", async || world.runs("long") > 0).await;
        set_behavior(&world, &Behavior::Run(SHORT_REQUEST));
        entry.send("GET", "/board/x", "short").await
    };
    let stop = async {
        until("the short request runs", async || world.runs("short") > 0).await;
        entry.signal("TERM");
        set_headers(&world, &[KEEP_ALIVE]);
        // Servers may accept connections later that it opened just before.
        until("the entry knows that it stops", async || {
            !entry.logged("stop requested").is_empty()
        })
        .await;
        let before = connection_count();
        tokio::time::sleep(2 * SHORT_REQUEST).await;
        connection_count() - before
    };
    let long_request = entry.send("GET", "/board/x", "long");
    let (long, short, opened) = tokio::join!(long_request, short_request, stop);
    assert_eq!((long.status, short.status), (200, 200));
    assert_eq!(opened, 0);
}

/// Servers that close idle connections earlier than they state cost no request, and don't get
/// ever new connections.
#[tokio::test]
async fn servers_that_close_idle_connections_early_fail_no_request() {
    // Some sixty unused connections end a period, and those of the next plans are on their way.
    const MAX_UNUSED: usize = 100;
    let world = far_world().await;
    for server in &world.backends {
        server.set_idle_timeout(Duration::from_millis(30));
    }
    let entry = start_far_entry(&world, AHEAD).await;
    for index in 0..200 {
        let answer = entry
            .send("GET", "/board/x", &format!("early-{index}"))
            .await;
        assert_eq!(answer.status, 200);
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let opened = ahead_count(&entry, "opened").await;
    assert!(opened <= MAX_UNUSED, "{opened} connections opened ahead");
}

/// A server that is registered but can't be reached is not tried again and again.
#[tokio::test]
async fn servers_that_cannot_be_reached_get_few_attempts() {
    let world = far_world().await;
    let entry = start_far_entry(&world, AHEAD).await;
    for index in 0..FAR_SERVERS {
        let nothing_listens: SocketAddr = format!("127.0.0.9:{}", 1 + index).parse().unwrap();
        let registration = server_entry("board", nothing_listens, "ready", 1);
        world
            .store
            .put("servers", &format!("i-dead-{index}"), &registration);
    }
    send_steadily(&entry, Duration::from_secs(4)).await;
    let failed = ahead_count(&entry, "failed").await;
    assert!(failed <= FAR_SERVERS, "{failed} failed attempts");
}
