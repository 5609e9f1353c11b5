//! Stand-in of a backend server, as the platform's pages describe it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

use crate::http::{Head, Reader};
use crate::rig::{Outcome, Record};

/// How often a request ran, and how often its answer was sent to the end.
#[derive(Debug, Clone, Copy, Default)]
pub struct Runs {
    pub started: u32,
    pub answered: u32,
    /// When the last run began, and when it ended or was dropped.
    pub began: Option<Instant>,
    pub ended: Option<Instant>,
}

/// What the answers on a path look like.
#[derive(Debug, Clone)]
pub struct Work {
    pub prefix: &'static str,
    /// Time until the answer begins.
    pub time: Duration,
    /// Size of the body, in bytes.
    pub bytes: usize,
    /// Time over which the body is sent.
    pub send_time: Duration,
}

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    slots: u32,
    work: Vec<Work>,
    record: Record,
    runs: Arc<Mutex<BTreeMap<String, Runs>>>,
}

impl Server {
    /// Starts a server on a free loopback port.
    pub async fn start(id: &str, slots: u32, work: &[Work], record: &Record) -> Outcome<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            slots,
            work: work.to_vec(),
            record: record.clone(),
            runs: Arc::default(),
        };
        let accepting = server.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let server = accepting.clone();
                tokio::spawn(async move {
                    if let Err(error) = server.serve(stream).await {
                        server
                            .record
                            .line(&format!("{}: connection ended: {error}", server.id));
                    }
                });
            }
        });
        Ok(server)
    }

    /// What became of the request `id` here.
    pub fn runs(&self, id: &str) -> Runs {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).copied().unwrap_or_default()
    }

    /// The requests that ran here and when they began.
    pub fn begun(&self) -> Vec<(String, Instant)> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        let begun = runs
            .iter()
            .filter_map(|(id, runs)| Some((id.clone(), runs.began?)));
        begun.collect()
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head().await? {
            if reader.body(&head).await?.is_none() {
                return Ok(());
            }
            self.answer(&mut reader.stream, &head).await?;
        }
        Ok(())
    }

    async fn answer(&self, stream: &mut TcpStream, head: &Head) -> std::io::Result<()> {
        let (id, path) = (head.header("request-id").to_owned(), head.word(1));
        if path == "/health" {
            return self.write_head(stream, "200 OK", &id, "", 0).await;
        }
        let expected = head.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return self
                .write_head(stream, "421 Misdirected Request", &id, "", 0)
                .await;
        }
        let Some(work) = self.work.iter().find(|work| path.starts_with(work.prefix)) else {
            let refused = "Not-Executed: 1\r\n";
            return self
                .write_head(stream, "503 Service Unavailable", &id, refused, 0)
                .await;
        };
        self.count(&id, |runs| {
            runs.started += 1;
            runs.began = Some(Instant::now());
        });
        let (server, left) = (&self.id, head.header("deadline-ms"));
        self.record
            .line(&format!("{server} runs {id} ({path}), {left} ms left"));
        // A server drops a request when its connection closes.
        let is_dropped = tokio::select! {
            () = tokio::time::sleep(work.time) => false,
            () = wait_for_end(stream) => true,
        };
        self.count(&id, |runs| runs.ended = Some(Instant::now()));
        if is_dropped {
            self.record.line(&format!("{server} drops {id}"));
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let stamp = "Server-Stamp: stand-in\r\nKeep-Alive: timeout=15\r\n";
        self.write_head(stream, "200 OK", &id, stamp, work.bytes)
            .await?;
        self.write_body(stream, &id, work).await?;
        self.count(&id, |runs| runs.answered += 1);
        self.record
            .line(&format!("{server} has sent its whole answer to {id}"));
        Ok(())
    }

    async fn write_body(
        &self,
        stream: &mut TcpStream,
        id: &str,
        work: &Work,
    ) -> std::io::Result<()> {
        let body = body_of(id, work.bytes);
        let steps = (work.send_time.as_millis() / 20).max(1) as usize;
        for piece in body.chunks(work.bytes.div_ceil(steps).max(1)) {
            stream.write_all(piece).await?;
            tokio::time::sleep(work.send_time / steps as u32).await;
        }
        Ok(())
    }

    async fn write_head(
        &self,
        stream: &mut TcpStream,
        status: &str,
        id: &str,
        lines: &str,
        length: usize,
    ) -> std::io::Result<()> {
        let text = format!(
            "HTTP/1.1 {status}\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
             Server-Load: 1,0,{}\r\n{lines}Content-Length: {length}\r\n\r\n",
            self.id, self.slots
        );
        stream.write_all(text.as_bytes()).await
    }

    fn count(&self, id: &str, change: impl Fn(&mut Runs)) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        change(runs.entry(id.to_owned()).or_default());
    }
}

/// Returns when the connection has been closed or reset.
async fn wait_for_end(stream: &TcpStream) {
    let mut byte = [0; 1];
    while matches!(stream.peek(&mut byte).await, Ok(length) if length > 0) {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The body of the answer to the request `id`.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    let pattern = format!("answer to {id};");
    pattern.bytes().cycle().take(length).collect()
}
