//! Reads HTTP/1.1 messages byte by byte, so that the stand-ins see exactly what was sent.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt};

/// Start line and headers of a message, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of the header `name`, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Word number `index` of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Whether the body is sent in chunks.
    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
    }

    /// Stated length of the body.
    pub fn length(&self) -> Option<usize> {
        self.header("content-length").parse().ok()
    }
}

/// A stream with the bytes that were read ahead.
pub struct Reader<S> {
    pub stream: S,
    pub buffer: Vec<u8>,
}

impl<S: AsyncRead + Unpin> Reader<S> {
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; `false` at the end of the stream.
    pub async fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 4096];
        let length = self.stream.read(&mut chunk).await?;
        self.buffer.extend_from_slice(&chunk[..length]);
        Ok(length > 0)
    }

    /// Reads a head; `None` if the stream ends before it.
    pub async fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the body of a message with `head`; `None` if the stream ends before it does.
    pub async fn body(&mut self, head: &Head) -> io::Result<Option<Vec<u8>>> {
        if !head.is_chunked() {
            return self.take(head.length().unwrap_or(0)).await;
        }
        let mut body = Vec::new();
        loop {
            let Some(line) = self.line().await? else {
                return Ok(None);
            };
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            let Some(mut chunk) = self.take(size + 2).await? else {
                return Ok(None);
            };
            chunk.truncate(size);
            body.extend_from_slice(&chunk);
            if size == 0 {
                return Ok(Some(body));
            }
        }
    }

    async fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim().to_owned()));
            }
            if !self.fill().await? {
                return Ok(None);
            }
        }
    }

    async fn take(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill().await? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
    Head {
        start,
        headers: headers.collect(),
    }
}
