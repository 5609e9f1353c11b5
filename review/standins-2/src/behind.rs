//! Case 5: a client sends a further request while the answer to the first one arrives.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::client::{End, read_slowly};
use crate::http::Reader;
use crate::rig::{HOST, Outcome, Record, Rig, Route, SiteBounds, desired_state};
use crate::server::{Server, Work, body_of};

/// Site podpis-lb-grown.
const BOUNDS: SiteBounds = SiteBounds {
    grace: "6s",
    drain: "3000ms",
    retry_slack: 180,
    config_apply: "3000ms",
};
const PLACES: [(&str, &str); 2] = [("sofia-a", "sofia"), ("sofia-b", "sofia")];
/// Deadline of an export there.
const DEADLINE: Duration = Duration::from_millis(8000);
/// Size of an export.
const ANSWER_BYTES: usize = 1_000_000;
/// Time over which a server sends it.
const SEND_TIME: Duration = Duration::from_millis(6800);
/// Time from the export to the request behind it.
const PAUSE: Duration = Duration::from_millis(500);
const SMALL_BYTES: usize = 2000;
const CLIENTS: u32 = 12;
/// The rule allows three.
const MAX_CUT: u32 = 3;

/// Plays the case. Returns whether the rule was broken.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let mut rig = Rig::new().await?;
    let small = Work {
        prefix: "/status/",
        time: Duration::from_millis(50),
        bytes: SMALL_BYTES,
        send_time: Duration::ZERO,
    };
    let export = Work {
        prefix: "/exports/",
        bytes: ANSWER_BYTES,
        send_time: SEND_TIME,
        ..small.clone()
    };
    let mut servers = Vec::new();
    for (service, work) in [("status-desk", &small), ("archive-builder", &export)] {
        for number in 0..8 {
            let id = format!("i-{service}-{number}");
            let server = Server::start(&id, 3, std::slice::from_ref(work), record).await?;
            let (zone, _) = PLACES[number % 2];
            rig.register(&id, service, zone, server.address, 3);
            servers.push(server);
        }
    }
    let routes = [
        Route {
            name: "envelope-status",
            prefix: "/status/",
            kind: "idempotent",
            service: "status-desk",
            timeout: "2000ms",
        },
        Route {
            name: "archive-export",
            prefix: "/exports/",
            kind: "idempotent",
            service: "archive-builder",
            timeout: "8000ms",
        },
    ];
    rig.store.put("op", "config", &desired_state(5, &routes));
    rig.start_entries(&PLACES, &BOUNDS)?;
    rig.wait_ready().await?;
    // Calm for longer than `stableWindow`.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let address = rig.entries[number as usize % 2].callers();
        let record = record.clone();
        clients.push(tokio::spawn(async move {
            // Clients start one after the other.
            tokio::time::sleep(Duration::from_millis(170) * number).await;
            let end = use_connection(address, number, &record, has_trouble).await;
            record.line(&format!("client {number}: {end:?}"));
            end
        }));
    }
    let mut cut = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let started = servers
            .iter()
            .map(|server| server.runs(&format!("export-{number}")).started);
        let end = client.await?;
        let started: u32 = started.sum();
        if started > 0 && matches!(end, Ok(End::Cut(after, _)) if after < DEADLINE) {
            cut += 1;
        }
    }
    record.line(&format!(
        "{cut} of {CLIENTS} kept connections were closed in the middle of the answer to a request \
         that had been passed on"
    ));
    Ok(cut > MAX_CUT)
}

async fn use_connection(
    address: SocketAddr,
    number: u32,
    record: &Record,
    has_trouble: bool,
) -> Outcome<End> {
    let mut reader = Reader::new(TcpStream::connect(address).await?);
    let sent = Instant::now();
    send(
        &mut reader.stream,
        &format!("/status/first-{number}"),
        &format!("first-{number}"),
    )
    .await?;
    let body = body_of(&format!("first-{number}"), SMALL_BYTES);
    let first = read_slowly(&mut reader, &body, usize::MAX, sent, DEADLINE).await;
    if !matches!(first, End::Whole(_)) {
        return Err(format!("first request: {first:?}").into());
    }
    let id = format!("export-{number}");
    let sent = Instant::now();
    send(&mut reader.stream, &format!("/exports/{id}"), &id).await?;
    record.line(&format!("client {number} sends {id} on a kept connection"));
    if has_trouble {
        tokio::time::sleep(PAUSE).await;
        let behind = format!("behind-{number}");
        send(&mut reader.stream, &format!("/status/{behind}"), &behind).await?;
        record.line(&format!("client {number} sends {behind} behind it"));
    }
    let body = body_of(&id, ANSWER_BYTES);
    Ok(read_slowly(&mut reader, &body, usize::MAX, sent, DEADLINE).await)
}

async fn send(stream: &mut TcpStream, path: &str, id: &str) -> Outcome<()> {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    Ok(stream.write_all(request.as_bytes()).await?)
}
