//! Responses to callers, with servers that work or fail in various ways.

mod world;

use std::time::Duration;

use platform_standin::{Behavior, RouteFixture, desired_state, with_body_limit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use world::{BOARD, DESK, EntryProcess, World, exchange, request, request_with, until};

/// A request reaches a server unchanged, with the remaining time and the id of the intended server
/// run, and its response is returned complete.
#[tokio::test]
async fn a_request_is_forwarded_unchanged() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut sender = entry.connect().await;
    let sent = request_with("POST", "/desk/a%20b?x=1&y", "r1", b"payload");
    let answer = exchange(&mut sender, sent).await.unwrap();
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "ran by i-0");
    assert_eq!(answer.header("request-id"), "r1");
    assert_eq!(answer.header("server-stamp"), "s1");
    let seen = &world.backends[0].seen()[0];
    assert_eq!(seen.line, "POST /desk/a%20b?x=1&y HTTP/1.1");
    assert_eq!(seen.body, b"payload");
    assert_eq!(seen.headers["expect-instance"], "i-0");
    assert_eq!(seen.headers["affinity-key"], "7");
    let left: u64 = seen.headers["deadline-ms"].parse().unwrap();
    assert!(left <= 30_000, "no more than the route allows: {left}");
}

/// A request that matches no route gets 404 and reaches no server.
#[tokio::test]
async fn a_request_without_a_route_gets_404() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    assert_eq!(entry.send("GET", "/other/", "r1").await.status, 404);
    assert!(world.backends[0].seen().is_empty());
}

/// A request that must not repeat runs at most once, however its server fails after reading it, and
/// is never reported as not run.
#[tokio::test]
async fn a_request_that_must_not_repeat_runs_at_most_once() {
    let faults = [
        Behavior::Break,
        Behavior::WrongId,
        Behavior::Truncate,
        Behavior::NoStamp,
        Behavior::BareRefusal,
        Behavior::Status(500),
    ];
    for behavior in faults {
        let world = World::new(3).await;
        let entry = EntryProcess::ready(&world, "n1").await;
        for backend in &world.backends {
            backend.set_behavior(behavior.clone());
        }
        let answer = entry.send("POST", "/desk/x", "r1").await;
        assert_eq!(world.runs("r1"), 1, "{behavior:?}");
        let expected = if behavior == Behavior::Status(500) {
            500
        } else {
            502
        };
        assert_eq!(answer.status, expected, "{behavior:?}");
    }
}

/// A request that may repeat is sent to a second server if the first one fails, and never gets an
/// incomplete response or the response to another request.
#[tokio::test]
async fn a_repeatable_request_is_retried_on_another_server() {
    let faults = [
        Behavior::Break,
        Behavior::WrongId,
        Behavior::Truncate,
        Behavior::NoStamp,
        Behavior::BareRefusal,
        Behavior::Status(500),
        Behavior::Full,
    ];
    for behavior in faults {
        let world = World::new(2).await;
        let entry = EntryProcess::ready(&world, "n1").await;
        world.backends[0].set_behavior(behavior.clone());
        for turn in 0..4 {
            let answer = entry.send("GET", "/board/x", &format!("r{turn}")).await;
            assert_eq!(answer.status, 200, "{behavior:?}");
            assert_eq!(answer.body, "ran by i-1", "{behavior:?}");
        }
    }
}

/// A request that every server rejects gets 503 with a retry time, and has not run.
#[tokio::test]
async fn a_request_that_all_servers_reject_gets_503() {
    let world = World::new(2).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    for backend in &world.backends {
        backend.set_behavior(Behavior::Full);
    }
    let answer = entry.send("POST", "/desk/x", "r1").await;
    assert_eq!(answer.status, 503);
    let after: f64 = answer.header("retry-after").parse().unwrap();
    assert!((0.05..2.0).contains(&after));
    assert_eq!(answer.header("laurelhill-outcome"), "not-run");
    assert_eq!(world.runs("r1"), 0);
}

/// Bytes that a server sends after a response belong to no request and reach no caller.
#[tokio::test]
async fn surplus_response_bytes_reach_no_caller() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world.backends[0].set_behavior(Behavior::Extra);
    let mut sender = entry.connect().await;
    for turn in 0..20 {
        let id = format!("r{turn}");
        let answer = exchange(&mut sender, request("GET", "/board/x", &id))
            .await
            .unwrap();
        assert!(matches!(answer.status, 200 | 502), "{}", answer.status);
        assert_eq!(answer.header("request-id"), id);
    }
}

/// The timeout of the route ends the request and cancels it at the server.
#[tokio::test]
async fn the_route_timeout_cancels_the_request() {
    let world = World::new(1).await;
    let short = RouteFixture {
        timeout: "300ms",
        ..DESK
    };
    world.store.put("op", "config", &desired_state(6, &[short]));
    let entry = EntryProcess::ready(&world, "n1").await;
    world.backends[0].set_behavior(Behavior::Run(Duration::from_secs(20)));
    let answer = entry.send("POST", "/desk/x", "r1").await;
    assert_eq!(answer.status, 504);
    assert_eq!(answer.header("laurelhill-outcome"), "unknown");
    until("the request is cancelled at the server", async || {
        world.backends[0].seen()[0].cancelled
    })
    .await;
}

/// If a caller disconnects, the request is cancelled at the server immediately.
#[tokio::test]
async fn a_caller_disconnect_cancels_the_request() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world.backends[0].set_behavior(Behavior::Run(Duration::from_secs(20)));
    let mut sender = entry.connect().await;
    let waiting = tokio::spawn(async move {
        let _ = sender.send_request(request("GET", "/board/x", "r1")).await;
    });
    until("the server runs the request", async || {
        world.runs("r1") == 1
    })
    .await;
    waiting.abort();
    until("the request is cancelled at the server", async || {
        world.backends[0].seen()[0].cancelled
    })
    .await;
    until("the disconnect is logged", async || {
        !entry.logged("caller-left").is_empty()
    })
    .await;
}

/// Request smuggling: a request with conflicting lengths must not carry a second request to a
/// server.
#[tokio::test]
async fn ambiguous_lengths_smuggle_no_request() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let hidden = "GET /board/hidden HTTP/1.1\r\nHost: board.example\r\nRequest-Id: h\r\n\r\n";
    let attacks = [
        format!(
            "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: a\r\n\
             Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n{hidden}",
            hidden.len() + 5
        ),
        format!(
            "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: a\r\n\
             Content-Length: 3\r\nContent-Length: {}\r\n\r\nabc{hidden}",
            hidden.len() + 3
        ),
        format!(
            "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: a\r\n\
             Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n{hidden}"
        ),
    ];
    for attack in attacks {
        let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
        stream.write_all(attack.as_bytes()).await.unwrap();
        let mut answer = vec![0; 65536];
        let _ = tokio::time::timeout(Duration::from_secs(2), stream.read(&mut answer)).await;
    }
    for request in world.backends[0].seen() {
        let declared = request.headers.contains_key("content-length");
        let chunked = request.headers.contains_key("transfer-encoding");
        assert!(!(declared && chunked), "{request:?}");
        let body = String::from_utf8_lossy(&request.body);
        assert!(!body.contains("hidden"), "{request:?}");
    }
}

/// A body larger than the limit gets 413, and a connection whose request headers don't arrive
/// completely is closed.
#[tokio::test]
async fn body_and_header_limits_are_enforced() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut sender = entry.connect().await;
    let large = request_with("POST", "/desk/x", "r1", &vec![b'x'; 70_000]);
    let answer = exchange(&mut sender, large).await;
    assert_eq!(answer.map(|answer| answer.status), Some(413));
    let mut slow = TcpStream::connect(entry.callers()).await.unwrap();
    slow.write_all(b"GET /board/x HTTP/1.1\r\nHost: boa")
        .await
        .unwrap();
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(world::WAIT_TIMEOUT, slow.read_to_end(&mut rest)).await;
    assert!(
        ended.is_ok(),
        "the connection with incomplete headers was not closed"
    );
    assert!(world.backends[0].seen().is_empty());
}

/// A body that is too large to buffer reaches the server complete and unchanged.
#[tokio::test]
async fn a_streamed_body_is_forwarded_unchanged() {
    let world = World::new(1).await;
    let state = with_body_limit(desired_state(6, &[BOARD, DESK]), 64 << 20);
    world.store.put("op", "config", &state);
    let entry = EntryProcess::ready(&world, "n1").await;
    let body: Vec<u8> = (0..3_000_000u32).map(|index| (index % 251) as u8).collect();
    let mut sender = entry.connect().await;
    let answer = exchange(&mut sender, request_with("POST", "/desk/x", "long", &body)).await;
    assert_eq!(answer.unwrap().status, 200);
    let seen = world.backends[0].seen();
    assert_eq!(seen.len(), 1);
    assert!(seen[0].body == body, "the body was changed");
}

/// The size limit also applies to a body without `Content-Length`.
#[tokio::test]
async fn a_chunked_body_is_limited() {
    let world = World::new(1).await;
    let state = with_body_limit(desired_state(6, &[BOARD, DESK]), 1_500_000);
    world.store.put("op", "config", &state);
    let entry = EntryProcess::ready(&world, "n1").await;
    let mut stream = TcpStream::connect(entry.callers()).await.unwrap();
    let head = "POST /desk/x HTTP/1.1\r\nHost: board.example\r\nRequest-Id: a\r\n\
                Transfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
    for _ in 0..40 {
        if stream.write_all(&chunk).await.is_err() {
            break;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(5), read).await;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    assert!(!answer.contains("200 OK"), "{answer}");
    assert_eq!(world.runs("a"), 0);
}

/// A large response is returned complete, and a truncated one never looks complete.
#[tokio::test]
async fn a_streamed_response_is_complete_or_visibly_broken() {
    const RESPONSE_BYTES: usize = 2_000_000;
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    world.backends[0].set_behavior(Behavior::Large(RESPONSE_BYTES));
    let answer = entry.send("GET", "/board/x", "whole").await;
    assert_eq!(answer.body.len(), RESPONSE_BYTES);
    world.backends[0].set_behavior(Behavior::LargeTruncated(RESPONSE_BYTES));
    let mut sender = entry.connect().await;
    let broken = exchange(&mut sender, request("GET", "/board/x", "broken")).await;
    assert!(broken.is_none(), "a truncated response looked complete");
}

/// Malformed input on any port doesn't stop the entry.
#[tokio::test]
async fn malformed_input_does_not_stop_the_entry() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    let garbage: Vec<u8> = (0..4000u32)
        .map(|index| (index * 7919 % 256) as u8)
        .collect();
    for port in 20_001..=20_006 {
        for part in [&garbage[..], b"GET / HTTP/9.9\r\n\r\n", b"\0\r\n\r\n"] {
            if let Ok(mut stream) = TcpStream::connect(entry.at(port)).await {
                let _ = stream.write_all(part).await;
            }
        }
    }
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    for length in [0, 1, 40, 3000] {
        let _ = socket.send_to(&garbage[..length], entry.at(20_005)).await;
    }
    assert_eq!(entry.send("GET", "/board/x", "after").await.status, 200);
}

/// Each request is logged with its id, its server and the reason for that choice, and counted in
/// the metrics.
#[tokio::test]
async fn each_request_is_logged_and_counted() {
    let world = World::new(1).await;
    let entry = EntryProcess::ready(&world, "n1").await;
    entry.send("GET", "/board/x", "trace-me").await;
    until("the request is logged", async || {
        !entry.logged("trace-me").is_empty()
    })
    .await;
    let line = entry.logged("trace-me").remove(0);
    for field in [
        "\"route\":\"board\"",
        "\"outcome\":\"answered\"",
        "i-0(expected",
        "\"version\":5",
        "servers_age_ms",
    ] {
        assert!(line.contains(field), "{field} in {line}");
    }
    let metrics = entry.metrics().await;
    let count = "laurelhill_requests_total{outcome=\"answered\",route=\"board\"} 1";
    assert!(metrics.contains(count), "{metrics}");
    assert_eq!(BOARD.name, "board");
}

/// A header in which servers describe themselves and that isn't read is counted, and logged
/// once.
#[tokio::test]
async fn unread_server_header_is_unnoticed() {
    let world = World::new(1).await;
    world.backends[0].set_extra_headers(&[("Server-Mood", "weary")]);
    let entry = EntryProcess::ready(&world, "n1").await;
    for id in ["first", "second"] {
        assert_eq!(entry.send("GET", "/board/x", id).await.status, 200);
    }
    let counted = "laurelhill_unread_headers_total{header=\"server-mood\"} 2";
    assert!(entry.metrics().await.contains(counted));
    until("the header is logged", async || {
        entry.logged("header of servers is not read").len() == 1
    })
    .await;
}
