//! Clients that send a further request before the first is answered, while the server of the
//! first one crashes in the middle of its answer.

use std::io::Write as _;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::Entry;
use crate::message::{Head, MessageReader, ReadPace};
use crate::record::Record;
use crate::server::{Server, Work, body_byte};
use crate::world::{HOST, Route, World, own_ip};

/// Size of an answer of the first route.
const LARGE_BYTES: usize = 400_000;
/// The part of it that a server sends first.
const FIRST_BYTES: usize = 300_000;
/// Time in which a server works on such a request.
const WORK: Duration = Duration::from_millis(3000);
/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(8000);
/// Number of clients.
const CLIENTS: usize = 8;
/// Number of connections that end without an answer and do not yet break the rule.
const ALLOWED: usize = 3;

/// What a client got for a request.
struct Answer {
    id: String,
    status: u16,
    received: usize,
    is_complete: bool,
    took: Duration,
}

fn request(id: &str, path: &str) -> String {
    let deadline = DEADLINE.as_millis();
    format!("GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\r\n")
}

fn read_answer(reader: &mut MessageReader, id: &str, sent_at: Instant) -> Answer {
    let mut answer = Answer {
        id: id.to_owned(),
        status: 0,
        received: 0,
        is_complete: false,
        took: Duration::ZERO,
    };
    if let Ok(head) = reader.head() {
        answer.status = head.status();
        match reader.body_of(&head) {
            Ok(body) => {
                answer.received = body.len();
                let mut bytes = body.iter().enumerate();
                answer.is_complete = bytes.all(|(at, byte)| *byte == body_byte(at));
            }
            Err((received, _)) => answer.received = received,
        }
    }
    answer.took = sent_at.elapsed();
    answer
}

fn run_client(
    number: usize,
    address: std::net::SocketAddr,
    record: &Record,
) -> Result<Vec<Answer>, String> {
    let failed = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(address).map_err(failed)?;
    stream.set_read_timeout(Some(Duration::from_secs(15))).map_err(failed)?;
    let mut reader = MessageReader::new(stream.try_clone().map_err(failed)?, ReadPace::default());
    let warm = format!("warm-{number}");
    stream.write_all(request(&warm, "/status/x").as_bytes()).map_err(failed)?;
    if !read_answer(&mut reader, &warm, Instant::now()).is_complete {
        return Err("the first request on a connection failed".to_owned());
    }
    std::thread::sleep(Duration::from_millis(200));
    let ids = [format!("large-{number}"), format!("small-{number}")];
    let sent_at = Instant::now();
    record.line(&format!("client {number} sends {}", ids[0]));
    stream.write_all(request(&ids[0], "/exports/x").as_bytes()).map_err(failed)?;
    std::thread::sleep(Duration::from_millis(50));
    record.line(&format!("client {number} sends {} behind it", ids[1]));
    stream.write_all(request(&ids[1], "/status/x").as_bytes()).map_err(failed)?;
    let mut answers = Vec::new();
    for id in &ids {
        let answer = read_answer(&mut reader, id, sent_at);
        record.line(&format!(
            "client {number} got {} for {id}: {} bytes, complete: {}, after {} ms",
            answer.status,
            answer.received,
            answer.is_complete,
            answer.took.as_millis()
        ));
        answers.push(answer);
    }
    Ok(answers)
}

/// Number of servers of the first requests.
const LARGE_SERVERS: u8 = 7;
/// When a server crashes, after the first client has started.
const CRASH_AT: Duration = Duration::from_millis(1500);

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let world = World::new()?;
    let large: Arc<dyn Fn(&Head) -> Work + Send + Sync> = Arc::new(|_| Work {
        before_body: Duration::ZERO,
            first: Duration::from_millis(200),
        first_bytes: FIRST_BYTES,
        rest: WORK - Duration::from_millis(200),
        bytes: LARGE_BYTES,
        is_spoiled: false,
    });
    let small: Arc<dyn Fn(&Head) -> Work + Send + Sync> = Arc::new(|_| Work {
        before_body: Duration::ZERO,
            first: Duration::from_millis(100),
        first_bytes: 400,
        rest: Duration::ZERO,
        bytes: 400,
        is_spoiled: false,
    });
    let mut servers = Vec::new();
    for number in 0..LARGE_SERVERS + 3 {
        let (service, work) = if number < LARGE_SERVERS {
            ("archive-builder", Arc::clone(&large))
        } else {
            ("status-desk", Arc::clone(&small))
        };
        let id = format!("i-{number}");
        let server = Server::start(&own_ip(10 + number), &id, record, work);
        let server = server.map_err(|error| error.to_string())?;
        world.list(&server, service);
        servers.push(server);
    }
    let route = |name, prefix, service| Route {
        name,
        prefix,
        kind: "idempotent",
        service,
        timeout: "8000ms",
    };
    world.desire(
        5,
        &[
            route("archive-export", "/exports/", "archive-builder"),
            route("envelope-status", "/status/", "status-desk"),
        ],
    );
    let entry = Entry::start("edge-1", &own_ip(2), world.address(), &[format!("{}:1", own_ip(3))])?;
    entry.wait_ready()?;
    std::thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let (address, record) = (entry.callers(), record.clone());
        clients.push(std::thread::spawn(move || run_client(number, address, &record)));
        std::thread::sleep(Duration::from_millis(130));
    }
    if trouble {
        std::thread::sleep(CRASH_AT.saturating_sub(begun.elapsed()));
        let busiest = servers.iter().max_by_key(|server| server.count("large-"));
        let busiest = busiest.ok_or("no servers")?;
        let requests = busiest.count("large-");
        record.line(&format!("server {} crashes; it works on {requests} requests", busiest.id));
        busiest.crash();
    }
    let (mut unanswered, mut cut) = (0, 0);
    for client in clients {
        let answers = client.join().map_err(|_| "a client failed".to_owned())??;
        for answer in answers {
            let has_run = servers.iter().any(|server| server.has_run(&answer.id));
            let is_sound = servers.iter().any(|server| server.has_sent(&answer.id));
            let in_time = answer.took < DEADLINE;
            if answer.is_complete || !has_run || !in_time {
                continue;
            }
            if answer.status == 0 && is_sound {
                unanswered += 1;
            } else {
                cut += 1;
            }
        }
    }
    record.line(&format!(
        "{unanswered} requests were passed on to sound servers, which answered whole, and their \
         connections closed without an answer before the deadline; {cut} answers were cut off"
    ));
    Ok(unanswered > ALLOWED)
}
