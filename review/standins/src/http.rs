//! HTTP/1.1 over blocking sockets.

use std::io::{Error, ErrorKind, Read, Result, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Largest head that is read.
const MAX_HEAD: usize = 64 << 10;

/// The start line and the headers of a message.
#[derive(Debug, Default, Clone)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of the header `name`, in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    pub fn closes(&self) -> bool {
        self.get("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }

    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let word = self.line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// When reading ends with an error, whatever has come by then.
    pub deadline: Option<Instant>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            deadline: None,
        }
    }

    fn fill(&mut self) -> Result<usize> {
        let mut chunk = [0; 16 << 10];
        if let Some(deadline) = self.deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(Some(left))?;
        }
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before it begins.
    pub fn read_head(&mut self) -> Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                });
                return Ok(Some(Head {
                    line,
                    headers: headers.collect(),
                }));
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(Error::new(ErrorKind::InvalidData, "head too long"));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn line(&mut self) -> Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, length: usize, body: &mut Vec<u8>) -> Result<()> {
        let mut left = length;
        loop {
            let take = left.min(self.buffer.len());
            body.extend(self.buffer.drain(..take));
            left -= take;
            if left == 0 {
                return Ok(());
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to `head` into `body`. What came before an error stays there.
    pub fn read_body(&mut self, head: &Head, body: &mut Vec<u8>) -> Result<()> {
        if head.is_chunked() {
            loop {
                let line = self.line()?;
                let digits = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(digits, 16)
                    .map_err(|_| Error::new(ErrorKind::InvalidData, "bad chunk"))?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    return Ok(());
                }
                self.exact(size, body)?;
                self.line()?;
            }
        }
        self.exact(head.length().unwrap_or(0), body)
    }

    pub fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}

/// Asks `address` for `path` on a new connection; the status and the body.
pub fn get(address: &str, path: &str, limit: Duration) -> Option<(u16, String)> {
    let target = address.parse().ok()?;
    let stream = TcpStream::connect_timeout(&target, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut connection = Connection::new(stream);
    let text = format!("GET {path} HTTP/1.1\r\nHost: standin\r\nConnection: close\r\n\r\n");
    connection.send(text.as_bytes()).ok()?;
    let head = connection.read_head().ok()??;
    let mut body = Vec::new();
    connection.read_body(&head, &mut body).ok()?;
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Waits until `condition` holds; `false` after `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}
