//! Crowds of callers that send large bodies, stop short of the end of what they announce, or send
//! nothing: the entry stays within its memory and its descriptors and answers ordinary callers.

mod crowd;
mod world;

use std::time::Duration;

use bytes::Bytes;
use crowd::{BODY_LIMIT, Crowd, CrowdWorld};
use platform_standin::Behavior;

/// Size of a body that an entry buffers completely, in bytes.
const LEGAL_BYTES: usize = 900_000;
/// Number of bytes that callers hold back.
const HELD_BACK_BYTES: usize = 10;

fn head_with(path: &str, header: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: board.example\r\nRequest-Id: crowd\r\n\
         Deadline-Ms: 300000\r\n{header}\r\n\r\n"
    )
}

fn announced(path: &str, bytes: usize) -> String {
    head_with(path, &format!("Content-Length: {bytes}"))
}

fn chunked(path: &str) -> String {
    head_with(path, "Transfer-Encoding: chunked")
}

fn filled(bytes: usize) -> Bytes {
    vec![b'x'; bytes].into()
}

fn chunk(bytes: usize) -> Bytes {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'x');
    chunk.extend_from_slice(b"\r\n");
    chunk.into()
}

/// Bodies that were still arriving counted nowhere: each caller saw all of the room.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_of_their_end_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let head = announced("/board/x", LEGAL_BYTES);
    let pieces = (filled(LEGAL_BYTES - HELD_BACK_BYTES), 1);
    let crowd = Crowd::send(world.entry.callers(), 150, &head, pieces).await;
    world.check(&crowd).await;
}

/// The same for bodies in large chunks.
#[tokio::test(flavor = "multi_thread")]
async fn large_chunks_without_an_end_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let pieces = (chunk(64 << 10), LEGAL_BYTES >> 16);
    let crowd = Crowd::send(world.entry.callers(), 150, &chunked("/board/x"), pieces).await;
    world.check(&crowd).await;
}

/// The same for bodies in chunks of one byte.
#[tokio::test(flavor = "multi_thread")]
async fn tiny_chunks_without_an_end_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let many: Vec<u8> = chunk(1).repeat(1000);
    let pieces = (Bytes::from(many), 50);
    let crowd = Crowd::send(world.entry.callers(), 60, &chunked("/board/x"), pieces).await;
    world.check(&crowd).await;
}

/// Uploads that stand still kept all slots of the servers, and what waited unread in the sockets
/// counted nowhere.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_that_stand_still_leave_room_at_the_servers() {
    for path in ["/board/x", "/upload/x"] {
        let mut world = CrowdWorld::new().await;
        let pieces = (filled(BODY_LIMIT - HELD_BACK_BYTES), 1);
        let head = announced(path, BODY_LIMIT);
        let crowd = Crowd::send(world.entry.callers(), 100, &head, pieces).await;
        world.check(&crowd).await;
    }
}

/// With memory for all of them, uploads that stand still kept the slots of the servers for as long
/// as their route allows.
#[tokio::test(flavor = "multi_thread")]
async fn uploads_that_stand_still_yield_their_slots() {
    for path in ["/board/x", "/upload/x"] {
        let mut world = CrowdWorld::with_memory(512).await;
        let pieces = (filled(BODY_LIMIT - HELD_BACK_BYTES), 1);
        let head = announced(path, BODY_LIMIT);
        let mut crowds = Vec::new();
        for _ in 0..5 {
            let crowd = Crowd::send(world.entry.callers(), 10, &head, pieces.clone()).await;
            crowds.push(crowd);
        }
        world.check(&crowds[0]).await;
    }
}

/// Complete bodies that wait for busy servers.
#[tokio::test(flavor = "multi_thread")]
async fn complete_bodies_at_busy_servers_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    for backend in world.backends() {
        backend.set_behavior(Behavior::Run(Duration::from_secs(6)));
    }
    let head = announced("/board/x", LEGAL_BYTES);
    let pieces = (filled(LEGAL_BYTES), 1);
    let crowd = Crowd::send(world.entry.callers(), 150, &head, pieces).await;
    for backend in world.backends() {
        backend.set_behavior(Behavior::Run(Duration::ZERO));
    }
    world.check(&crowd).await;
}

/// Bodies without an end, far over the limit: each held 1 MiB before it was passed on.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let pieces = (chunk(64 << 10), 4 * (BODY_LIMIT >> 16));
    let crowd = Crowd::send(world.entry.callers(), 60, &chunked("/board/x"), pieces).await;
    world.check(&crowd).await;
}

/// A body that turned out to be too long while it was forwarded was answered as if its server had
/// failed.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_turn_out_too_long_are_refused_as_too_long() {
    let mut world = CrowdWorld::new().await;
    let pieces = (chunk(64 << 10), 4 * (BODY_LIMIT >> 16));
    let crowd = Crowd::send(world.entry.callers(), 4, &chunked("/board/x"), pieces).await;
    assert_eq!(crowd.statuses(), [(413, crowd.len())].into());
    world.check(&crowd).await;
}

/// Bodies that announce more than the limit are refused by their heads.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_announce_too_much_are_refused() {
    let mut world = CrowdWorld::new().await;
    let pieces = (filled(64 << 10), 16);
    let head = announced("/board/x", 10 << 30);
    let crowd = Crowd::send(world.entry.callers(), 100, &head, pieces).await;
    assert_eq!(crowd.statuses(), [(413, crowd.len())].into());
    world.check(&crowd).await;
}

/// Heads without an end at the callers' address.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let head = "GET /board/x HTTP/1.1\r\nHost: board.example\r\nFiller: ";
    let pieces = (filled(300_000), 1);
    let crowd = Crowd::send(world.entry.callers(), 300, head, pieces).await;
    world.check(&crowd).await;
}

/// The other addresses kept heads of any length and time.
#[tokio::test(flavor = "multi_thread")]
async fn heads_without_an_end_at_other_addresses_stay_within_memory() {
    for index in 0..4 {
        let mut world = CrowdWorld::new().await;
        let address = world.entry.internal_addresses()[index];
        let head = "GET /ready HTTP/1.1\r\nHost: board.example\r\nFiller: ";
        let pieces = (filled(300_000), 1);
        let crowd = Crowd::send(address, 300, head, pieces).await;
        world.check(&crowd).await;
        world.entry.wait_ready().await;
    }
}

/// Connections without a request took all places of ordinary callers.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_make_room_for_ordinary_callers() {
    let mut world = CrowdWorld::new().await;
    let pieces = (Bytes::new(), 0);
    let crowd = Crowd::send(world.entry.callers(), 1500, "", pieces).await;
    world.check(&crowd).await;
}

/// Small requests whose bodies never come keep all connections busy.
#[tokio::test(flavor = "multi_thread")]
async fn requests_without_their_bodies_make_room_for_ordinary_callers() {
    let mut world = CrowdWorld::new().await;
    let head = announced("/board/x", 100);
    let crowd = Crowd::send(world.entry.callers(), 1500, &head, (filled(1), 1)).await;
    world.check(&crowd).await;
}

/// The other addresses took any number of connections, and with them the descriptors of callers.
#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_at_other_addresses_leave_descriptors() {
    for index in 0..4 {
        let mut world = CrowdWorld::new().await;
        let address = world.entry.internal_addresses()[index];
        let crowd = Crowd::send(address, 1500, "", (Bytes::new(), 0)).await;
        world.check(&crowd).await;
        world.entry.wait_ready().await;
    }
}

/// Responses that nobody reads, of requests without a pause: large ones, which are forwarded while
/// they arrive, and those that are read completely first.
#[tokio::test(flavor = "multi_thread")]
async fn unread_responses_stay_within_memory() {
    for bytes in [LEGAL_BYTES, 250_000] {
        let mut world = CrowdWorld::new().await;
        for backend in world.backends() {
            backend.set_behavior(Behavior::Large(bytes));
        }
        let request = "GET /board/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: crowd\r\n\
                       Deadline-Ms: 300000\r\n\r\n";
        let mut crowds = Vec::new();
        for _ in 0..5 {
            let crowd = Crowd::ignore(world.entry.callers(), 100, &request.repeat(8)).await;
            crowds.push(crowd);
        }
        for backend in world.backends() {
            backend.set_behavior(Behavior::Run(Duration::ZERO));
        }
        world.check(&crowds[0]).await;
    }
}

/// Heads that go on after they were refused, at connections that wait for their callers' ends.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_behind_refusals_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let head = announced("/board/x", 10 << 30);
    let crowd = Crowd::send(world.entry.callers(), 540, &head, (filled(64 << 10), 16)).await;
    world.check(&crowd).await;
}

/// Connections that wait to be accepted count towards the memory with their receive buffers.
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_wait_to_be_accepted_stay_within_memory() {
    let mut world = CrowdWorld::new().await;
    let head = announced("/board/x", 10 << 30);
    world.entry.signal("STOP");
    let crowd = Crowd::send(world.entry.callers(), 540, &head, (filled(64 << 10), 16)).await;
    world.entry.signal("CONT");
    world.check(&crowd).await;
}
