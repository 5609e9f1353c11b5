//! Case 6: clients that have sent further requests behind the first one leave.

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
/// Deadline and work of an export there.
const DEADLINE: Duration = Duration::from_millis(8000);
const WORK: Duration = Duration::from_millis(1600);
const ANSWER_BYTES: usize = 5000;
/// Time after which a client leaves: half of the objective of 1,000 ms.
const STAY: Duration = Duration::from_millis(500);
/// The rule's grace for requests that a client has given up.
const GONE_TIME: Duration = Duration::from_millis(500);
const CLIENTS: usize = 40;
/// Share of them that leave, in tenths.
const LEAVING_TENTHS: usize = 3;
/// Requests behind the first one.
const BEHIND: usize = 2;
/// "More than a few requests".
const MAX_LATE: usize = 5;

/// Plays the case. Returns whether the rule was broken.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let mut rig = Rig::new().await?;
    let seal = Work {
        prefix: "/seals/",
        time: Duration::from_millis(50),
        bytes: ANSWER_BYTES,
        send_time: Duration::ZERO,
    };
    let export = Work {
        prefix: "/exports/",
        time: WORK,
        ..seal.clone()
    };
    let mut servers = Vec::new();
    for (service, work) in [("seal-office", &seal), ("archive-builder", &export)] {
        for number in 0..16 {
            let id = format!("i-{service}-{number}");
            let server = Server::start(&id, 3, std::slice::from_ref(work), record).await?;
            let (zone, _) = PLACES[number % 2];
            rig.register(&id, service, zone, server.address, 3);
            servers.push(server);
        }
    }
    let route = |name, prefix, kind, service| Route {
        name,
        prefix,
        kind,
        service,
        timeout: "8000ms",
    };
    let routes = [
        route("cert-seal", "/seals/", "non_idempotent", "seal-office"),
        route(
            "archive-export",
            "/exports/",
            "idempotent",
            "archive-builder",
        ),
    ];
    rig.store.put("op", "config", &desired_state(5, &routes));
    rig.start_entries(&PLACES, &BOUNDS)?;
    rig.wait_ready().await?;
    // Calm for longer than `stableWindow`.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let address = rig.entries[number % 2].callers();
        let record = record.clone();
        let leaves = has_trouble && number % 10 < LEAVING_TENTHS;
        clients.push(tokio::spawn(async move {
            let left = use_connection(address, number, &record, leaves).await;
            if let Err(error) = &left {
                record.line(&format!("client {number}: {error}"));
            }
            left
        }));
    }
    let mut left = Vec::new();
    for client in clients {
        left.push(client.await??);
    }
    // Until whatever the servers got has run.
    tokio::time::sleep(WORK * 4).await;
    let (mut late, mut working) = (0, 0);
    for (number, left_at) in left.iter().enumerate() {
        let Some(left_at) = left_at else {
            continue;
        };
        for request in 0..=BEHIND {
            let id = format!("export-{number}-{request}");
            for runs in servers.iter().map(|server| server.runs(&id)) {
                let is_late = runs.began.is_some_and(|at| at > *left_at + GONE_TIME);
                late += usize::from(is_late);
                let ended_late = runs.ended.is_some_and(|at| at > *left_at + GONE_TIME);
                working += usize::from(ended_late && !is_late);
            }
        }
    }
    record.line(&format!(
        "{late} requests reached a server over {GONE_TIME:?} after their clients had closed their \
         connections; servers were still at work then on {working} requests of {} clients that left",
        left.iter().flatten().count()
    ));
    Ok(late > MAX_LATE)
}

/// Returns when the client left, if it did.
async fn use_connection(
    address: SocketAddr,
    number: usize,
    record: &Record,
    leaves: bool,
) -> Outcome<Option<Instant>> {
    let mut reader = Reader::new(TcpStream::connect(address).await?);
    let sent = Instant::now();
    let seal = format!("seal-{number}");
    let head = head("POST", &format!("/seals/{seal}"), &seal);
    let request = format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nnames\r\n0\r\n\r\n");
    reader.stream.write_all(request.as_bytes()).await?;
    let body = body_of(&seal, ANSWER_BYTES);
    let end = read_slowly(&mut reader, &body, usize::MAX, sent, DEADLINE).await;
    if !matches!(end, End::Whole(_)) {
        return Err(format!("first request: {end:?}").into());
    }
    let ids: Vec<String> = (0..=BEHIND)
        .map(|request| format!("export-{number}-{request}"))
        .collect();
    let requests = ids.iter().map(|id| {
        format!(
            "{}\r\n",
            crate::left::head("GET", &format!("/exports/{id}"), id)
        )
    });
    let requests: String = requests.collect();
    let sent = Instant::now();
    reader.stream.write_all(requests.as_bytes()).await?;
    record.line(&format!(
        "client {number} sends {ids:?} one behind the other"
    ));
    if leaves {
        tokio::time::sleep(STAY).await;
        drop(reader);
        record.line(&format!("client {number} closes its connection"));
        return Ok(Some(Instant::now()));
    }
    for id in &ids {
        let body = body_of(id, ANSWER_BYTES);
        let end = read_slowly(&mut reader, &body, usize::MAX, sent, DEADLINE).await;
        record.line(&format!("client {number} gets the answer to {id}: {end:?}"));
    }
    Ok(None)
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n",
        DEADLINE.as_millis()
    )
}
