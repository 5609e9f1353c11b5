//! A backend server as the platform's page describes it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::record::Record;

/// How a server works.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Requests that are processed at the same time.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue: usize,
    /// Time until the first byte of the body.
    pub before: Duration,
    /// Length of the body.
    pub body: usize,
    /// Time over which the body is sent.
    pub sending: Duration,
}

/// A server of the service.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    work: Work,
    record: Record,
    running: Arc<AtomicUsize>,
    waiting: Arc<AtomicUsize>,
    /// The requests that were begun, and when.
    runs: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Whether the machine has no power: nothing is accepted, read or sent.
    is_dark: Arc<AtomicBool>,
}

/// Interval at which a server looks for connections and for power.
const POLL: Duration = Duration::from_millis(2);
/// Parts into which a body is divided while it is sent.
const PARTS: usize = 40;

impl Server {
    pub fn start(id: &str, work: Work, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            work,
            record: record.clone(),
            running: Arc::default(),
            waiting: Arc::default(),
            runs: Arc::default(),
            is_dark: Arc::default(),
        };
        let accepting = server.clone();
        std::thread::spawn(move || accepting.accept(listener));
        server
    }

    /// Accepts connections. A machine without power has no listener.
    fn accept(&self, first: TcpListener) {
        let mut listener = Some(first);
        loop {
            if self.is_dark() {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            let Some(open) = &listener else {
                std::thread::sleep(POLL);
                continue;
            };
            let _ = open.set_nonblocking(true);
            match open.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let server = self.clone();
                    std::thread::spawn(move || server.serve(stream));
                }
                Err(_) => std::thread::sleep(POLL),
            }
        }
    }

    /// The row by which the server registers.
    pub fn row(&self, service: &str, zone: &str, version: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{version}\",\
             \"slots\":{},\"state\":\"ready\",\"coldRemaining\":\"0ms\",\"seq\":{seq}}}",
            self.address, self.work.slots
        )
    }

    /// Takes the machine's power away, or gives it back.
    pub fn set_dark(&self, is_dark: bool) {
        self.is_dark.store(is_dark, Ordering::SeqCst);
    }

    pub fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::SeqCst)
    }

    /// The requests that the server began to work on, and when.
    pub fn runs(&self) -> Vec<(String, Instant)> {
        self.runs.lock().expect("the runs").clone()
    }

    fn wait_for_power(&self) {
        while self.is_dark() {
            std::thread::sleep(POLL);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            self.wait_for_power();
            let Ok(Some(head)) = connection.read_head() else {
                return;
            };
            let mut body = Vec::new();
            if connection.read_body(&head, &mut body).is_err() {
                return;
            }
            self.wait_for_power();
            if self.answer(&mut connection, &head).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!(
            "{},{},{}",
            self.running.load(Ordering::SeqCst),
            self.waiting.load(Ordering::SeqCst),
            self.work.slots
        )
    }

    fn answer(&self, connection: &mut Connection, head: &Head) -> std::io::Result<()> {
        let path = head.line.split(' ').nth(1).unwrap_or("").to_owned();
        if path == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.load()
            );
            return connection.send(text.as_bytes());
        }
        let request = head.get("request-id").unwrap_or("").to_owned();
        let begin = |status: &str| format!("HTTP/1.1 {status}\r\nRequest-Id: {request}\r\n");
        if head.get("expect-instance").is_some_and(|id| id != self.id) {
            let text = format!(
                "{}Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                begin("421 Misdirected Request"),
                self.id
            );
            return connection.send(text.as_bytes());
        }
        let running = self.running.fetch_add(1, Ordering::SeqCst);
        let held = Held(&self.running);
        if running >= self.work.slots + self.work.queue {
            self.record.note(&format!("{} rejects {request}", self.id));
            let text = format!(
                "{}Not-Executed: 1\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                begin("503 Service Unavailable"),
                self.load()
            );
            return connection.send(text.as_bytes());
        }
        self.record.note(&format!("{} runs {request}", self.id));
        let run = (request.clone(), Instant::now());
        self.runs.lock().expect("the runs").push(run);
        std::thread::sleep(self.work.before);
        self.wait_for_power();
        let text = format!(
            "{}Server-Stamp: {}.{request}\r\nServer-Load: {}\r\nKeep-Alive: timeout=10\r\n\
             Content-Type: application/octet-stream\r\nContent-Length: {}\r\n\r\n",
            begin("200 OK"),
            self.id,
            self.load(),
            self.work.body
        );
        connection.send(text.as_bytes())?;
        let begun = Instant::now();
        let mut sent = 0;
        for part in 1..=PARTS {
            self.wait_for_power();
            let end = self.work.body * part / PARTS;
            if let Err(error) = connection.send(&vec![b'x'; end - sent]) {
                self.record.note(&format!(
                    "{} can't send the rest of {request} after {sent} bytes: {error}",
                    self.id
                ));
                return Err(error);
            }
            sent = end;
            let due = begun + self.work.sending * part as u32 / PARTS as u32;
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        drop(held);
        self.record
            .note(&format!("{} has sent all of {request}", self.id));
        Ok(())
    }
}

struct Held<'a>(&'a AtomicUsize);

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
