//! Case 7: an entry gets SIGTERM while clients have sent further requests behind the first one.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::sync::watch;

use crate::client::{End, connect_over_link, read_slowly};
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
/// Deadline, timeout, work and largest answer of an export there.
const DEADLINE: Duration = Duration::from_millis(8000);
const TIMEOUT: Duration = Duration::from_millis(4000);
const WORK: Duration = Duration::from_millis(1600);
const ANSWER_BYTES: usize = 30_000;
/// Speed of a client's link.
const LINK_BYTES_PER_S: usize = 30_000;
/// Time between two requests on a connection.
const PAUSE: Duration = Duration::from_millis(250);
const CLIENTS: usize = 10;

/// Plays the case. Returns whether the rule was broken.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let mut rig = Rig::new().await?;
    let seal = Work {
        prefix: "/seals/",
        time: Duration::from_millis(520),
        bytes: 1000,
        send_time: Duration::ZERO,
    };
    let export = Work {
        prefix: "/exports/",
        time: WORK,
        bytes: ANSWER_BYTES,
        send_time: Duration::ZERO,
    };
    let mut servers = Vec::new();
    for (service, work) in [("seal-office", &seal), ("archive-builder", &export)] {
        for number in 0..12 {
            let id = format!("i-{service}-{number}");
            let server = Server::start(&id, 3, std::slice::from_ref(work), record).await?;
            let (zone, _) = PLACES[number % 2];
            rig.register(&id, service, zone, server.address, 3);
            servers.push(server);
        }
    }
    let routes = [
        Route {
            name: "cert-seal",
            prefix: "/seals/",
            kind: "non_idempotent",
            service: "seal-office",
            timeout: "2000ms",
        },
        Route {
            name: "archive-export",
            prefix: "/exports/",
            kind: "idempotent",
            service: "archive-builder",
            timeout: "4000ms",
        },
    ];
    rig.store.put("op", "config", &desired_state(5, &routes));
    rig.start_entries(&PLACES, &BOUNDS)?;
    rig.wait_ready().await?;
    // Calm for longer than `stableWindow`.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (begin, begun) = watch::channel(false);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (address, record, begun) = (rig.entries[0].callers(), record.clone(), begun.clone());
        clients.push(tokio::spawn(async move {
            let end = use_connection(address, number, begun).await;
            record.line(&format!("client {number}: {end:?}"));
            end
        }));
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    if has_trouble {
        rig.entries[0].signal("TERM")?;
        record.line("SIGTERM to the entry of the clients");
    }
    begin.send_replace(true);
    let mut cut = 0;
    for (number, client) in clients.into_iter().enumerate() {
        let end = client.await??;
        let id = format!("export-{number}-0");
        let answered: u32 = servers.iter().map(|server| server.runs(&id).answered).sum();
        if let End::Cut(after, _) = end
            && answered > 0
            && after < TIMEOUT
        {
            cut += 1;
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    record.line(&format!(
        "{cut} of {CLIENTS} connections ended in the middle of the first answer, which the server \
         had given whole"
    ));
    Ok(cut > 0)
}

/// Returns how the first export ended.
async fn use_connection(
    address: SocketAddr,
    number: usize,
    mut begun: watch::Receiver<bool>,
) -> Outcome<End> {
    let mut reader = Reader::new(connect_over_link(address)?);
    let sent = Instant::now();
    let seal = format!("seal-{number}");
    let head = head("POST", &format!("/seals/{seal}"), &seal);
    let request = format!("{head}Transfer-Encoding: chunked\r\n\r\n5\r\nnames\r\n0\r\n\r\n");
    reader.stream.write_all(request.as_bytes()).await?;
    let body = body_of(&seal, 1000);
    let end = read_slowly(&mut reader, &body, usize::MAX, sent, DEADLINE).await;
    if !matches!(end, End::Whole(_)) {
        return Err(format!("first request: {end:?}").into());
    }
    begun.wait_for(|has_begun| *has_begun).await?;
    let sent = Instant::now();
    for request in 0..3 {
        let id = format!("export-{number}-{request}");
        let request = format!(
            "{}\r\n",
            crate::close::head("GET", &format!("/exports/{id}"), &id)
        );
        reader.stream.write_all(request.as_bytes()).await?;
        tokio::time::sleep(PAUSE).await;
    }
    let body = body_of(&format!("export-{number}-0"), ANSWER_BYTES);
    Ok(read_slowly(&mut reader, &body, LINK_BYTES_PER_S, sent, DEADLINE).await)
}

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n",
        DEADLINE.as_millis()
    )
}
