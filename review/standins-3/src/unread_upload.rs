//! A planned stop of an entry while servers work on uploads of which they have not read all.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::entry::Entry;
use crate::message::{Head, MessageReader, ReadPace};
use crate::record::Record;
use crate::server::{Server, Work};
use crate::world::{HOST, Route, World, own_ip};

/// Size of an upload; the site's largest.
const UPLOAD_BYTES: usize = 360_000;
/// Time for which a server works before it reads the rest of the body.
const BEFORE_BODY: Duration = Duration::from_millis(2000);
/// How long a client waits.
const DEADLINE: Duration = Duration::from_millis(4000);
/// When the clients send, after the SIGTERM; the first ones send before it.
const SENDS_MS: [i64; 6] = [-600, -300, -100, 100, 400, 800];
/// When the SIGTERM is sent, after the start of the clients.
const STOP_AT: Duration = Duration::from_millis(2000);

struct Answer {
    id: String,
    status: u16,
    took: Duration,
}

fn connect(address: SocketAddr) -> Result<(TcpStream, MessageReader), String> {
    let failed = |error: std::io::Error| error.to_string();
    let stream = TcpStream::connect(address).map_err(failed)?;
    stream.set_read_timeout(Some(Duration::from_secs(15))).map_err(failed)?;
    let reading = stream.try_clone().map_err(failed)?;
    Ok((stream, MessageReader::new(reading, ReadPace::default())))
}

/// Sends an upload of `size` bytes and reads its answer.
fn upload(stream: &mut TcpStream, reader: &mut MessageReader, id: &str, size: usize) -> Answer {
    let deadline = DEADLINE.as_millis();
    let mut bytes = format!(
        "POST /plans/{} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline}\r\n\
         Content-Length: {size}\r\n\r\n",
        if size > 1000 { "large" } else { "small" }
    )
    .into_bytes();
    bytes.resize(bytes.len() + size, b'p');
    let sent_at = Instant::now();
    let _ = stream.write_all(&bytes);
    let head = reader.head();
    let status = head.as_ref().map_or(0, Head::status);
    if let Ok(head) = head {
        let _ = reader.body_of(&head);
    }
    Answer { id: id.to_owned(), status, took: sent_at.elapsed() }
}

pub fn run(record: &Record, trouble: bool) -> Result<bool, String> {
    let world = World::new()?;
    let work: Arc<dyn Fn(&Head) -> Work + Send + Sync> = Arc::new(|head| Work {
        before_body: if head.line.contains("/large") { BEFORE_BODY } else { Duration::ZERO },
        first: Duration::from_millis(100),
        first_bytes: 400,
        rest: Duration::ZERO,
        bytes: 400,
        is_spoiled: false,
    });
    let mut servers = Vec::new();
    for number in 0..3u8 {
        let id = format!("i-{number}");
        let server = Server::start(&own_ip(10 + number), &id, record, Arc::clone(&work));
        let server = server.map_err(|error| error.to_string())?;
        world.list(&server, "plan-locker");
        servers.push(server);
    }
    world.desire(
        5,
        &[Route {
            name: "plan-upload",
            prefix: "/plans/",
            kind: "upload",
            service: "plan-locker",
            timeout: "4000ms",
        }],
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
        clients.push(std::thread::spawn(move || -> Result<Answer, String> {
            let (mut stream, mut reader) = connect(address)?;
            let warm = upload(&mut stream, &mut reader, &format!("warm-{number}"), 300);
            if warm.status != 200 {
                return Err("the first request on a connection failed".to_owned());
            }
            let at = STOP_AT.as_millis() as i64 + send_ms;
            let at = Duration::from_millis(u64::try_from(at).unwrap_or(0));
            std::thread::sleep(at.saturating_sub(begun.elapsed()));
            let id = format!("upload-{number}");
            record.line(&format!("client {number} sends {id}, {UPLOAD_BYTES} bytes"));
            let answer = upload(&mut stream, &mut reader, &id, UPLOAD_BYTES);
            record.line(&format!(
                "client {number} got {} for {id} after {} ms",
                answer.status,
                answer.took.as_millis()
            ));
            Ok(answer)
        }));
    }
    std::thread::sleep(STOP_AT.saturating_sub(begun.elapsed()));
    if trouble {
        record.line("SIGTERM to edge-1");
        first.signal("TERM");
    }
    let mut broken_off = 0;
    for client in clients {
        let answer = client.join().map_err(|_| "a client failed".to_owned())??;
        // Let the server notice that the connection was broken off.
        std::thread::sleep(Duration::from_millis(600));
        let has_run = servers.iter().any(|server| server.has_run(&answer.id));
        let is_own_answer = answer.status == 0 || answer.status == 502 || answer.status == 504;
        if is_own_answer && has_run && answer.took < DEADLINE {
            broken_off += 1;
        }
    }
    record.line(&format!(
        "{broken_off} requests at which their servers were at work were broken off by the entry \
         before the deadline"
    ));
    if !trouble && broken_off > 0 {
        record.line("no machine was stopped, so the rule doesn't count them");
    }
    Ok(trouble && broken_off > 0)
}
