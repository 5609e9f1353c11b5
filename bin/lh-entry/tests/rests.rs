//! Servers that turn requests away and ask for rest.

mod world;

use std::time::{Duration, Instant};

use platform_standin::{Behavior, FakeBackend};
use world::{EntryProcess, World, until};

/// The rest that servers ask for.
const REST: Duration = Duration::from_secs(3);
/// Time from an answer that asks for rest until its entry must keep it.
const TELL_TIME: Duration = Duration::from_millis(500);
/// Requests that a server tolerates while it rests.
const MAX_REQUESTS: usize = 2;
/// Interval of the requests to the entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn ask_for_rest(server: &FakeBackend) {
    ask_for_rest_of(server, "3");
}

fn ask_for_rest_of(server: &FakeBackend, seconds: &str) {
    server.set_behavior(Behavior::Full);
    server.set_extra_headers(&[("Retry-After", seconds), ("Server-Load", "0,0,4")]);
}

fn end_rest(server: &FakeBackend) {
    server.set_behavior(Behavior::Run(Duration::ZERO));
    server.set_extra_headers(&[]);
}

/// When `server` first turned a request away.
fn first_rejection(server: &FakeBackend) -> Option<Instant> {
    let seen = server.seen();
    let rejected = seen.iter().find(|request| !request.ran);
    rejected.map(|request| request.at)
}

/// Requests that reached `server` during the rest that it asked for first.
fn requests_at_rest(server: &FakeBackend) -> usize {
    let seen = server.seen();
    let first = first_rejection(server).expect("a rejection");
    let rest = first + TELL_TIME..first + REST;
    seen.iter()
        .filter(|request| rest.contains(&request.at))
        .count()
}

/// Sends a request, and returns its status and `Retry-After`.
async fn send_next(entry: &EntryProcess, index: usize) -> (u16, f64) {
    let mut sender = entry.connect().await;
    let id = format!("r-{index}");
    let request = world::request("GET", "/board/x", &id);
    let answer = world::exchange(&mut sender, request)
        .await
        .expect("an answer");
    (
        answer.status,
        answer.header("retry-after").parse().unwrap_or_default(),
    )
}

/// A server that asks for rest gets it, although it has the object that is requested. The other
/// one serves all requests meanwhile, and the first is used again afterwards.
#[tokio::test]
async fn server_at_rest_gets_requests() {
    let world = World::new(2).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut index = 0;
    while index < 5 {
        send_next(&entry, index).await;
        index += 1;
    }
    let mut servers: Vec<&FakeBackend> = world.backends.iter().collect();
    servers.sort_by_key(|server| server.seen().len());
    let (other, resting) = (servers[0], servers[1]);
    ask_for_rest(resting);
    while first_rejection(resting).is_none_or(|first| first.elapsed() < REST) {
        let (status, _) = send_next(&entry, index).await;
        assert_eq!(status, 200);
        index += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let count = requests_at_rest(resting);
    assert!(count <= MAX_REQUESTS, "{count} requests at rest");
    end_rest(resting);
    other.set_behavior(Behavior::Full);
    until("the server is used again", async || {
        index += 1;
        send_next(&entry, index).await.0 == 200
    })
    .await;
}

/// Where all servers rest, callers are refused at once with the time until the first of them
/// takes requests again, and these servers are left alone.
#[tokio::test]
async fn servers_at_rest_get_requests_if_there_are_no_others() {
    let world = World::new(2).await;
    world.backends.iter().for_each(ask_for_rest);
    let entry = EntryProcess::ready(&world, "n1").await;
    let (mut index, mut waits) = (0, Vec::new());
    let rests = |server: &FakeBackend| first_rejection(server).map(|first| first + REST);
    loop {
        let ends = world.backends.iter().filter_map(rests).min();
        if ends.is_some_and(|ends| Instant::now() >= ends) {
            break;
        }
        let (status, retry_after) = send_next(&entry, index).await;
        assert_eq!(status, 503);
        index += 1;
        let left = ends.map(|ends| (ends - Instant::now()).as_secs_f64());
        waits.extend(left.map(|left| (left, retry_after)));
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    for server in &world.backends {
        let count = requests_at_rest(server);
        assert!(count <= MAX_REQUESTS, "{count} requests at rest");
    }
    let is_true = |(left, retry_after): &&(f64, f64)| *retry_after + 0.2 >= *left;
    let true_times = waits.iter().skip(2).filter(is_true).count();
    assert!(true_times * 10 >= waits.len() * 9, "{waits:?}");
    world.backends.iter().for_each(end_rest);
    until("a server is used again", async || {
        index += 1;
        send_next(&entry, index).await.0 == 200
    })
    .await;
}

/// A server that asks for a rest of a day gets it, although no request can wait for so long.
#[tokio::test]
async fn server_at_rest_for_a_day_gets_requests() {
    let world = World::new(1).await;
    let server = &world.backends[0];
    ask_for_rest_of(server, "86400");
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut index = 0;
    while first_rejection(server).is_none_or(|first| first.elapsed() < REST) {
        let (status, _) = send_next(&entry, index).await;
        assert_eq!(status, 503);
        index += 1;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let count = requests_at_rest(server);
    assert!(count <= MAX_REQUESTS, "{count} requests at rest");
}

/// Operators see which requests are refused, why, since when and until when.
#[tokio::test]
async fn refusals_are_shown_while_they_last() {
    let world = World::new(1).await;
    ask_for_rest_of(&world.backends[0], "30");
    let entry = EntryProcess::ready(&world, "n1").await;
    for index in 0..5 {
        send_next(&entry, index).await;
    }
    let document = entry.document("/v1/status?service=board").await;
    let refusals = document["refusals"].as_array().unwrap();
    let resting = refusals
        .iter()
        .find(|refusal| refusal["reason"] == "resting");
    let resting = resting.expect("a streak of refusals");
    assert_eq!(resting["route"], "board");
    assert!(resting["count"].as_u64().unwrap() >= 3, "{document}");
    let back_in_ms = resting["back_in_ms"].as_u64().unwrap();
    assert!((20_000..40_000).contains(&back_in_ms), "{document}");
    let other = entry.document("/v1/status?service=other").await;
    assert_eq!(other["refusals"].as_array().unwrap().len(), 0);
    until("the streak has ended", async || {
        let document = entry.document("/v1/status").await;
        document["refusals"].as_array().unwrap().is_empty()
    })
    .await;
}
