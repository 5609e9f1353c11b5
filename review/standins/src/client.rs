//! Clients: they ask any entry where to connect, and send requests there.

use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Connection};

/// What became of a request.
#[derive(Debug, Clone)]
pub struct Answer {
    /// 0 if there was none.
    pub status: u16,
    pub has_stamp: bool,
    /// Whether the answer came as a whole.
    pub is_whole: bool,
    /// Bytes of the body that came, and how many were announced.
    pub bytes: usize,
    pub announced: Option<usize>,
    pub took: Duration,
    /// Why it isn't whole.
    pub error: String,
    pub closes: bool,
}

impl Answer {
    pub fn describe(&self) -> String {
        format!(
            "status {}, {} of {} bytes{}, after {} ms{}",
            self.status,
            self.bytes,
            self.announced.map_or("?".to_owned(), |n| n.to_string()),
            if self.is_whole {
                ", whole"
            } else {
                ", NOT WHOLE"
            },
            self.took.as_millis(),
            if self.error.is_empty() {
                String::new()
            } else {
                format!(" ({})", self.error)
            }
        )
    }
}

/// Asks a directory where to connect.
pub fn resolve(directory: SocketAddr, host: &str, region: &str, zone: &str) -> Vec<SocketAddr> {
    let path = format!("/resolve?name={host}&region={region}&zone={zone}");
    let answer = http::get(&directory.to_string(), &path, Duration::from_secs(1));
    let Some((200, text)) = answer else {
        return Vec::new();
    };
    let document = crate::json::parse(&text);
    let Some(document) = document else {
        return Vec::new();
    };
    let addresses = document.get("addresses").list().iter();
    addresses
        .filter_map(|address| address.text().parse().ok())
        .collect()
}

/// Opens a connection within a second.
pub fn open(address: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    Some(Connection::new(stream))
}

/// Sends a request and waits for its answer until its deadline.
pub fn ask(
    connection: &mut Connection,
    (host, path, id, object): (&str, &str, &str, usize),
    deadline: Duration,
) -> Answer {
    let begun = Instant::now();
    let mut answer = Answer {
        status: 0,
        has_stamp: false,
        is_whole: false,
        bytes: 0,
        announced: None,
        took: Duration::ZERO,
        error: String::new(),
        closes: true,
    };
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nAffinity-Key: {object}\r\nDeadline-Ms: {}\r\n\r\n",
        deadline.as_millis()
    );
    // The client leaves at its deadline.
    connection.deadline = Some(begun + deadline);
    let result = (|| {
        connection.send(text.as_bytes())?;
        let Some(head) = connection.read_head()? else {
            return Err(std::io::Error::other("closed without an answer"));
        };
        answer.status = head.status();
        answer.has_stamp = head.get("server-stamp").is_some();
        answer.announced = head.length();
        answer.closes = head.closes();
        let mut body = Vec::new();
        let result = connection.read_body(&head, &mut body);
        answer.bytes = body.len();
        result
    })();
    answer.took = begun.elapsed();
    match result {
        Ok(()) => answer.is_whole = true,
        Err(error) => {
            answer.error = if answer.took + Duration::from_millis(5) >= deadline {
                "the client's deadline".to_owned()
            } else {
                error.to_string()
            };
            answer.closes = true;
        }
    }
    answer
}
