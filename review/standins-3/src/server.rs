//! A backend server: one thread for each connection, one request at a time on it.

use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::message::{Head, MessageReader, ReadPace};
use crate::record::Record;

/// How the server works on a request.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Time for which the server works before it reads the rest of the body.
    pub before_body: Duration,
    /// Time until the first bytes of the answer.
    pub first: Duration,
    /// Size of the part that is sent then.
    pub first_bytes: usize,
    /// Time over which the rest is produced and sent.
    pub rest: Duration,
    /// Size of the whole body.
    pub bytes: usize,
    /// Whether the server sends interim responses until the connection ends, and no answer.
    pub is_spoiled: bool,
}

/// What became of a request at the server.
#[derive(Debug, Clone)]
pub struct ServerRun {
    pub id: String,
    pub is_sent_whole: bool,
}

type WorkOf = Arc<dyn Fn(&Head) -> Work + Send + Sync>;

#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<ServerRun>>>,
    /// Requests that the server began to work on.
    begun: Arc<Mutex<Vec<(String, Instant)>>>,
    has_crashed: Arc<AtomicBool>,
}

impl Server {
    pub fn start(ip: &str, id: &str, record: &Record, work_of: WorkOf) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            begun: Arc::default(),
            has_crashed: Arc::default(),
        };
        let (served, record) = (server.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if served.has_crashed.load(Ordering::Relaxed) {
                    break;
                }
                let (served, record) = (served.clone(), record.clone());
                let work_of = Arc::clone(&work_of);
                std::thread::spawn(move || served.serve(stream, &record, &work_of));
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream, record: &Record, work_of: &WorkOf) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_secs(10)));
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = MessageReader::new(reading, ReadPace::default());
        while let Ok(head) = reader.head() {
            let id = head.get("request-id").unwrap_or("").to_owned();
            let is_probe = head.line.contains("/health");
            let expected = head.get("expect-instance").is_none_or(|expected| expected == self.id);
            let is_run = expected && !is_probe;
            if !is_run && reader.body_of(&head).is_err() {
                return;
            }
            if !expected {
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                if (&stream).write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if is_probe {
                let text = format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if (&stream).write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            record.line(&format!("server {} runs {id}", self.id));
            self.begun.lock().unwrap().push((id.clone(), Instant::now()));
            let work = work_of(&head);
            std::thread::sleep(work.before_body);
            if let Err((read, error)) = reader.body_of(&head) {
                record.line(&format!(
                    "server {} got {read} bytes of the body of {id}, then: {error}",
                    self.id
                ));
                self.runs.lock().unwrap().push(ServerRun { id, is_sent_whole: false });
                return;
            }
            let sent = send_answer(&stream, self, &id, work);
            let is_sent_whole = sent.is_ok();
            self.runs.lock().unwrap().push(ServerRun { id: id.clone(), is_sent_whole });
            match sent {
                Ok(()) => record.line(&format!("server {} has sent its whole answer to {id}", self.id)),
                Err(error) => {
                    record.line(&format!("server {} could not send all of {id}: {error}", self.id));
                    return;
                }
            }
        }
    }

    /// Whether the server began to work on the request.
    pub fn has_run(&self, id: &str) -> bool {
        self.began_at(id).is_some()
    }

    /// When the server began to work on the request.
    pub fn began_at(&self, id: &str) -> Option<Instant> {
        let begun = self.begun.lock().unwrap();
        begun.iter().find(|(known, _)| known == id).map(|(_, at)| *at)
    }

    /// Number of requests that the server began to work on and whose ids begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let begun = self.begun.lock().unwrap();
        begun.iter().filter(|(id, _)| id.starts_with(prefix)).count()
    }

    /// Ends the server: it accepts no connections and breaks off its answers.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        // Lets the thread that accepts connections notice.
        drop(TcpStream::connect(self.address));
    }

    /// Whether the server handed over its whole answer to the request.
    pub fn has_sent(&self, id: &str) -> bool {
        let runs = self.runs.lock().unwrap();
        runs.iter().any(|run| run.id == id && run.is_sent_whole)
    }
}

/// The byte of a body at `position`.
pub fn body_byte(position: usize) -> u8 {
    b'a' + (position % 26) as u8
}

fn send_answer(
    mut stream: &TcpStream,
    server: &Server,
    id: &str,
    work: Work,
) -> std::io::Result<()> {
    std::thread::sleep(work.first);
    if work.is_spoiled {
        let interim = b"HTTP/1.1 102 Processing\r\n\r\n".repeat(500);
        loop {
            stream.write_all(&interim)?;
        }
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.{id}\r\nServer-Load: 1,0,4\r\nKeep-Alive: timeout=10\r\nContent-Length: {}\r\n\r\n",
        server.id, work.bytes
    );
    let body: Vec<u8> = (0..work.bytes).map(body_byte).collect();
    let first_bytes = work.first_bytes.min(work.bytes);
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body[..first_bytes])?;
    let rest = &body[first_bytes..];
    let steps = (work.rest.as_millis() / 100).max(1) as usize;
    for piece in rest.chunks(rest.len().div_ceil(steps).max(1)) {
        std::thread::sleep(work.rest / u32::try_from(steps).unwrap_or(1));
        if server.has_crashed.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("the server has crashed"));
        }
        stream.write_all(piece)?;
    }
    Ok(())
}
