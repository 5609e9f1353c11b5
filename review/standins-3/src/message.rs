//! Reads HTTP/1.1 messages from a socket.

use std::io::{Error, ErrorKind, Read, Result};
use std::net::TcpStream;
use std::time::Duration;

/// A message head: its first line and headers, names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// How fast a reader takes bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReadPace {
    /// Bytes per second; `None` without a limit.
    pub bytes_per_s: Option<usize>,
}

/// Reads messages one after the other.
pub struct MessageReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    pace: ReadPace,
}

impl MessageReader {
    pub fn new(stream: TcpStream, pace: ReadPace) -> Self {
        Self { stream, buffer: Vec::new(), pace }
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 4096];
        let count = self.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(Error::from(ErrorKind::UnexpectedEof));
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        if let Some(rate) = self.pace.bytes_per_s {
            std::thread::sleep(Duration::from_secs_f64(count as f64 / rate as f64));
        }
        Ok(())
    }

    /// Reads the next head.
    pub fn head(&mut self) -> Result<Head> {
        let end = loop {
            let end = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                break end;
            }
            self.fill()?;
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Head { line, headers })
    }

    /// Reads `length` bytes. On an error, returns how many came before.
    pub fn body(&mut self, length: usize) -> std::result::Result<Vec<u8>, (usize, Error)> {
        while self.buffer.len() < length {
            if let Err(error) = self.fill() {
                return Err((self.buffer.len(), error));
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a chunked body. On an error, returns how many bytes came before.
    pub fn chunked(&mut self) -> std::result::Result<Vec<u8>, (usize, Error)> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                let end = self.buffer.windows(2).position(|bytes| bytes == b"\r\n");
                if let Some(end) = end {
                    break end;
                }
                if let Err(error) = self.fill() {
                    return Err((body.len(), error));
                }
            };
            let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            self.buffer.drain(..end + 2);
            let length = usize::from_str_radix(text.trim(), 16).unwrap_or(0);
            match self.body(length + 2) {
                Ok(bytes) if length == 0 => {
                    drop(bytes);
                    return Ok(body);
                }
                Ok(bytes) => body.extend_from_slice(&bytes[..length]),
                Err((read, error)) => return Err((body.len() + read, error)),
            }
        }
    }

    /// Reads the body that belongs to `head`.
    pub fn body_of(&mut self, head: &Head) -> std::result::Result<Vec<u8>, (usize, Error)> {
        match head.length() {
            Some(length) => self.body(length),
            None if head.get("transfer-encoding").is_some() => self.chunked(),
            None => Ok(Vec::new()),
        }
    }
}
