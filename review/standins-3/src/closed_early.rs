//! A planned stop of an entry while callers that have sent further requests receive answers.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};

use crate::entry::Entry;
use crate::http::{MessageReader, ReadPace};
use crate::record::Record;
use crate::server::{Server, Work, body_byte};
use crate::world::{HOST, Route, World, own_ip};

/// Size of an answer of the route; the site's page allows up to 540,000 bytes.
const ANSWER_BYTES: usize = 240_000;
/// How fast a client's link is.
const CLIENT_BYTES_PER_S: usize = 250_000;
/// Segment size of a client's link, as on an Ethernet.
const SEGMENT_BYTES: u32 = 1460;
/// Size of a client's receive buffer: links have small windows.
const RECEIVE_BUFFER: usize = 4 << 10;
/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(2500);
/// When the clients send, after the SIGTERM.
const SENDS_MS: [u64; 6] = [200, 300, 400, 500, 600, 700];
/// Time between two requests of a client.
const PAUSE: Duration = Duration::from_millis(25);

/// What a client got for a request.
struct Answer {
    id: String,
    status: u16,
    received: usize,
    is_complete: bool,
    took: Duration,
}

fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.connect(&address.into())?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    Ok(socket.into())
}

fn request(id: &str, path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n\r\n",
        DEADLINE.as_millis()
    )
}

/// Sends the requests `ids` on a kept connection, one behind the other, and reads their answers.
fn exchange(
    reader: &mut MessageReader,
    stream: &TcpStream,
    ids: &[String],
    path: &str,
) -> Vec<Answer> {
    let sent_at = Instant::now();
    let mut writing = stream;
    for (index, id) in ids.iter().enumerate() {
        let path = if index == 0 { path } else { "/bundles/small" };
        let _ = writing.write_all(request(id, path).as_bytes());
        if index + 1 < ids.len() {
            std::thread::sleep(PAUSE);
        }
    }
    let mut answers = Vec::new();
    for id in ids {
        let mut answer = Answer {
            id: id.clone(),
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
        answers.push(answer);
    }
    answers
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let world = World::new()?;
    let work: Arc<dyn Fn(&crate::http::Head) -> Work + Send + Sync> = Arc::new(|head| {
        let is_large = head.line.contains("/bundles/large");
        Work {
            before_body: Duration::ZERO,
            first: Duration::from_millis(100),
            first_bytes: ANSWER_BYTES,
            rest: Duration::ZERO,
            bytes: if is_large { ANSWER_BYTES } else { 400 },
        }
    });
    let mut servers = Vec::new();
    for number in 0..3u8 {
        let id = format!("i-{number}");
        let server = Server::start(&own_ip(10 + number), &id, record, Arc::clone(&work));
        let server = server.map_err(|error| error.to_string())?;
        world.list(&server, "bundle-depot");
        servers.push(server);
    }
    world.desire(
        5,
        &[
            Route {
                name: "notes",
                prefix: "/notes/",
                kind: "non_idempotent",
                service: "bundle-depot",
                timeout: "2500ms",
            },
            Route {
                name: "issue-bundles",
                prefix: "/bundles/",
                kind: "download",
                service: "bundle-depot",
                timeout: "2500ms",
            },
        ],
    );
    let first = Entry::start("edge-1", &own_ip(2), world.address(), &[format!("{}:1", own_ip(3))])?;
    let second = Entry::start("edge-2", &own_ip(3), world.address(), &[format!("{}:1", own_ip(2))])?;
    first.wait_ready()?;
    second.wait_ready()?;
    // The machines are calm for longer than stableWindow.
    std::thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    let mut clients = Vec::new();
    for (number, send_ms) in SENDS_MS.into_iter().enumerate() {
        let (address, record) = (first.callers(), record.clone());
        clients.push(std::thread::spawn(move || {
            let stream = connect(address).map_err(|error| error.to_string())?;
            let reading = stream.try_clone().map_err(|error| error.to_string())?;
            let pace = ReadPace { bytes_per_s: Some(CLIENT_BYTES_PER_S) };
            let mut reader = MessageReader::new(reading, pace);
            let id = format!("warm-{number}");
            let text = format!(
                "POST /notes/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
            );
            (&stream).write_all(text.as_bytes()).map_err(|error| error.to_string())?;
            let head = reader.head().map_err(|error| error.to_string())?;
            if head.status() != 200 || reader.body_of(&head).is_err() {
                return Err("the first request on a connection failed".to_owned());
            }
            let at = Duration::from_millis(1000 + send_ms);
            std::thread::sleep(at.saturating_sub(begun.elapsed()));
            let ids = [format!("get-{number}a"), format!("get-{number}b"), format!("get-{number}c")];
            record.line(&format!("client {number} sends {} on its kept connection", ids.join(" and ")));
            let answers = exchange(&mut reader, &stream, &ids, "/bundles/large");
            for answer in &answers {
                record.line(&format!(
                    "client {number} got {} for {}: {} of {ANSWER_BYTES} bytes, complete: {}, after {} ms",
                    answer.status,
                    answer.id,
                    answer.received,
                    answer.is_complete,
                    answer.took.as_millis()
                ));
            }
            Ok(answers)
        }));
    }
    std::thread::sleep(Duration::from_millis(1000).saturating_sub(begun.elapsed()));
    if trouble {
        record.line("SIGTERM to edge-1");
        first.signal("TERM");
    }
    let mut first = first;
    let mut ended_at = None;
    while clients.iter().any(|client| !client.is_finished()) {
        if ended_at.is_none() && first.has_ended() {
            ended_at = Some(begun.elapsed());
            let after = begun.elapsed().as_millis().saturating_sub(1000);
            record.line(&format!("edge-1 has ended, {after} ms after the SIGTERM; grace is 6000 ms"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    let mut lost = 0;
    for client in clients {
        let answers = client.join().map_err(|_| "a client failed".to_owned())??;
        // The requests behind the first one count as not read once its answer closes the connection.
        for answer in answers.into_iter().take(1) {
            let is_passed_on = servers.iter().any(|server| server.has_run(&answer.id));
            let is_sent = servers.iter().any(|server| server.has_sent(&answer.id));
            let in_time = answer.took < DEADLINE;
            if !answer.is_complete && is_passed_on && is_sent && in_time {
                lost += 1;
            }
        }
    }
    record.line(&format!(
        "{lost} answers were cut off that the servers had handed over whole, before the deadline"
    ));
    Ok(lost > 0)
}
