//! Case 4: an entry gets SIGTERM while it sends answers to clients on slow links.

use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;

use crate::client::{End, connect_over_link, read_slowly};
use crate::http::Reader;
use crate::rig::{HOST, Outcome, Record, Rig, Route, SiteBounds, desired_state, resolve};
use crate::server::{Server, Work, body_of};

/// Site mtatsminda-archive.
const BOUNDS: SiteBounds = SiteBounds {
    grace: "6s",
    drain: "2500ms",
    retry_slack: 58,
    config_apply: "2500ms",
};
const PLACES: [(&str, &str); 2] = [("tbilisi-a", "tbilisi"), ("tbilisi-b", "tbilisi")];
/// Deadline of a download there.
const DEADLINE: Duration = Duration::from_millis(2000);
/// Size of an answer; a download of the site has 90,000 bytes on average and 540,000 at most.
const ANSWER_BYTES: usize = 255_000;
/// Speed of a client's link: 1.2 Mbit/s.
const LINK_BYTES_PER_S: usize = 145_000;
/// Times from the look-up to the first and the last request. Some clients keep a look-up for three
/// times its TTL, which is a second.
const FIRST_REQUEST: Duration = Duration::from_millis(1500);
const LAST_REQUEST: Duration = Duration::from_millis(2950);
const CLIENTS: u32 = 20;

/// Plays the case. Returns whether the rule was broken.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let mut rig = Rig::new().await?;
    let work = Work {
        prefix: "/bundles/",
        time: Duration::from_millis(100),
        bytes: ANSWER_BYTES,
        send_time: Duration::ZERO,
    };
    let mut servers = Vec::new();
    for number in 0..6 {
        let server = Server::start(
            &format!("i-{number}"),
            3,
            std::slice::from_ref(&work),
            record,
        )
        .await?;
        let (zone, _) = PLACES[number % 2];
        rig.register(&server.id, "bundle-depot", zone, server.address, 3);
        servers.push(server);
    }
    let route = Route {
        name: "issue-bundles",
        prefix: "/bundles/",
        kind: "download",
        service: "bundle-depot",
        timeout: "2000ms",
    };
    rig.store.put("op", "config", &desired_state(5, &[route]));
    rig.start_entries(&PLACES, &BOUNDS)?;
    rig.wait_ready().await?;
    // Calm for longer than `stableWindow`.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let entry = &rig.entries[0];
    let named = resolve(rig.entries[1].directory()).await?;
    if !named.contains(&entry.callers()) {
        return Err("the directory doesn't name the entry".into());
    }
    let looked_up = Instant::now();
    record.line(&format!("clients look up, and get {named:?}"));
    if has_trouble {
        entry.signal("TERM")?;
        record.line(&format!("SIGTERM to the entry at {}", entry.callers()));
    }
    let pause = (LAST_REQUEST - FIRST_REQUEST) / (CLIENTS - 1);
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (address, record) = (entry.callers(), record.clone());
        clients.push(tokio::spawn(async move {
            tokio::time::sleep_until((looked_up + FIRST_REQUEST + pause * number).into()).await;
            let id = format!("bundle-{number}");
            let end = download(address, &id).await;
            record.line(&format!("client of {id}: {end:?}"));
            (id, end)
        }));
    }
    let mut cut = 0;
    for client in clients {
        let (id, end) = client.await?;
        let answered: u32 = servers.iter().map(|server| server.runs(&id).answered).sum();
        if let Ok(End::Cut(after, _)) = end
            && answered > 0
            && after < DEADLINE
        {
            cut += 1;
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    record.line(&format!(
        "{cut} of {CLIENTS} connections ended without a complete answer, which the server had given"
    ));
    Ok(cut > 0)
}

async fn download(address: std::net::SocketAddr, id: &str) -> Outcome<End> {
    let mut reader = Reader::new(connect_over_link(address)?);
    let sent = Instant::now();
    let request = format!(
        "GET /bundles/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    );
    reader.stream.write_all(request.as_bytes()).await?;
    let body = body_of(id, ANSWER_BYTES);
    Ok(read_slowly(&mut reader, &body, LINK_BYTES_PER_S, sent, DEADLINE).await)
}
