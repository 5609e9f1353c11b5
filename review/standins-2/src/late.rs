//! Case 8: a late heartbeat of a server that has left, after all entries were killed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::http::Reader;
use crate::rig::{HOST, Outcome, Record, Rig, Route, SiteBounds, desired_state};
use crate::server::{Server, Work};

/// Site mtatsminda-archive.
const BOUNDS: SiteBounds = SiteBounds {
    grace: "6s",
    drain: "2500ms",
    retry_slack: 58,
    config_apply: "2500ms",
};
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const DRAIN: Duration = Duration::from_millis(2500);
const PLACES: [(&str, &str); 3] = [
    ("tbilisi-a", "tbilisi"),
    ("tbilisi-b", "tbilisi"),
    ("tbilisi-a", "tbilisi"),
];
const SERVERS: usize = 6;
/// Time from the heartbeat whose answer is lost to the server's leaving: the store is stable then.
const LEAVES_AFTER: Duration = Duration::from_millis(3400);
/// Time from that heartbeat to its effect; the bench takes 1 to 6 s.
const LATE_BY: Duration = Duration::from_millis(5900);
/// Time from the leaving to the kill of all entries, and from there to their restart.
const KILLED_AFTER: Duration = Duration::from_millis(100);
const DOWN_TIME: Duration = Duration::from_millis(500);
/// Three heartbeat intervals of silence, after which the store removes a row.
const ROW_LIFETIME: Duration = Duration::from_millis(4500);
/// The server serves on for `drain` and this long.
const SERVES_ON: Duration = Duration::from_millis(8000);
/// Interval of the requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Plays the case. Returns whether the rule was broken.
pub async fn run(record: &Record, has_trouble: bool) -> Outcome<bool> {
    let mut rig = Rig::new().await?;
    let work = Work {
        prefix: "/pages/",
        time: Duration::from_millis(400),
        bytes: 400,
        send_time: Duration::ZERO,
    };
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let id = format!("i-{number}");
        let server = Server::start(&id, 4, std::slice::from_ref(&work), record).await?;
        let (zone, _) = PLACES[number % 2];
        let row = rig.register(&id, "reading-room", zone, server.address, 4);
        servers.push((server, row));
    }
    let route = Route {
        name: "page-views",
        prefix: "/pages/",
        kind: "idempotent",
        service: "reading-room",
        timeout: "2500ms",
    };
    rig.store.put("op", "config", &desired_state(5, &[route]));
    rig.start_entries(&PLACES, &BOUNDS)?;
    rig.wait_ready().await?;
    let addresses: Vec<SocketAddr> = rig.entries.iter().map(|entry| entry.callers()).collect();
    let callers = tokio::spawn(send_requests(addresses, record.clone()));
    // Calm for longer than `stableWindow`.
    tokio::time::sleep(Duration::from_secs(5)).await;

    let (leaving, registration) = servers.swap_remove(0);
    let heartbeat = registration.heartbeat();
    let lost_at = Instant::now();
    record.line(&format!(
        "the heartbeat {heartbeat} of {} gets no answer",
        leaving.id
    ));
    tokio::time::sleep(LEAVES_AFTER).await;
    registration.end();
    rig.store.delete("servers", &leaving.id);
    let left_at = Instant::now();
    record.line(&format!(
        "the store acknowledges that {} has left; it serves on",
        leaving.id
    ));
    tokio::time::sleep(KILLED_AFTER).await;
    let mut started_at = Instant::now();
    if has_trouble {
        for entry in &rig.entries {
            entry.signal("KILL")?;
        }
        tokio::time::sleep(DOWN_TIME).await;
        for entry in &mut rig.entries {
            entry.restart()?;
        }
        started_at = Instant::now();
        record.line("all entries were killed, and have started again");
    }
    let late_at = lost_at + LATE_BY;
    tokio::time::sleep_until(late_at.into()).await;
    if has_trouble {
        rig.store.put("servers", &leaving.id, &heartbeat);
        record.line(&format!(
            "the lost heartbeat of {} takes effect",
            leaving.id
        ));
    }
    tokio::time::sleep_until((late_at + ROW_LIFETIME).into()).await;
    if has_trouble {
        rig.store.delete("servers", &leaving.id);
        record.line(&format!("the row of {} expires", leaving.id));
    }
    tokio::time::sleep_until((left_at + SERVES_ON).into()).await;
    callers.abort();
    let in_touch_at = (started_at.max(late_at) + STABLE_WINDOW).max(left_at + DRAIN);
    let begun = leaving.begun();
    let after = |at: Instant| begun.iter().filter(|(_, began)| *began > at).count();
    let (late, judged) = (after(left_at + DRAIN), after(in_touch_at));
    let last = begun.iter().map(|(_, began)| *began).max();
    let last = last.map(|began| began.saturating_duration_since(left_at));
    record.line(&format!(
        "{} got {late} requests over {DRAIN:?} after it had left, {judged} of them after the \
         entries had been in touch and the store stable for {STABLE_WINDOW:?}; the last {last:?} \
         after it had left",
        leaving.id
    ));
    Ok(judged > 0)
}

async fn send_requests(addresses: Vec<SocketAddr>, record: Record) {
    for number in 0.. {
        let address = addresses[number % addresses.len()];
        let record = record.clone();
        tokio::spawn(async move {
            let status = send(address, number).await;
            if !matches!(status, Ok(200)) {
                record.line(&format!("page-{number}: {status:?}"));
            }
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

async fn send(address: SocketAddr, number: usize) -> Outcome<u16> {
    let exchange = async {
        let mut reader = Reader::new(TcpStream::connect(address).await?);
        let request = format!(
            "GET /pages/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: page-{number}\r\nAffinity-Key: {}\r\n\
             Deadline-Ms: 2500\r\n\r\n",
            number % 97
        );
        reader.stream.write_all(request.as_bytes()).await?;
        let head = reader.head().await?.ok_or("no answer")?;
        reader.body(&head).await?.ok_or("no whole answer")?;
        Ok(head.status())
    };
    tokio::time::timeout(Duration::from_millis(2500), exchange).await?
}
