//! Stand-in of the platform's metadata store: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::http::{Head, Reader};

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Most rows of an answer.
const PAGE_ROWS: usize = 500;

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    history: Vec<(u64, RowKey, Option<String>)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<Mutex<Rows>>,
    changed: watch::Sender<u64>,
    began: Instant,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store on a free loopback port.
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            rows: Arc::default(),
            changed: watch::channel(0).0,
            began: Instant::now(),
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                tokio::spawn(async move {
                    let _ = store.serve(stream).await;
                });
            }
        });
        Ok(store)
    }

    /// Writes a row of the operator or of a server.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.lock();
        rows.version += 1;
        rows.set(key, Some(STANDARD.encode(value.to_string())));
        drop(rows);
        self.changed.send_modify(|turn| *turn += 1);
    }

    /// Deletes a row of a server.
    pub fn delete(&self, table: &str, key: &str) {
        let key = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.lock();
        rows.version += 1;
        rows.set(key, None);
        drop(rows);
        self.changed.send_modify(|turn| *turn += 1);
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> String {
        format!("{}ms", self.began.elapsed().as_millis() + 1000)
    }

    async fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head().await? {
            let Some(body) = reader.body(&head).await? else {
                return Ok(());
            };
            let (status, answer) = self.answer(&head, &body).await;
            let text = answer.to_string();
            let message = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            reader.stream.write_all(message.as_bytes()).await?;
        }
        Ok(())
    }

    async fn answer(&self, head: &Head, body: &[u8]) -> (u16, Value) {
        tokio::time::sleep(ANSWER_TIME).await;
        let target = head.word(1);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        match path {
            "/rows-get" => (200, self.get(query)),
            "/rows-feed" => (200, self.feed(query).await),
            "/rows-tx" => self.transact(body),
            _ => (404, json!({})),
        }
    }

    fn get(&self, query: &str) -> Value {
        let (table, part) = (parameter(query, "table"), parameter(query, "part"));
        let (from, to) = (parameter(query, "from"), parameter(query, "to"));
        let limit = parameter(query, "limit").parse().unwrap_or(PAGE_ROWS);
        let rows = self.lock();
        let mut found: Vec<Value> = Vec::new();
        let mut has_more = false;
        for (key, (value, version)) in &rows.rows {
            let is_meant = key.0 == table && key.1 == part && key.2 >= from;
            if !is_meant || !to.is_empty() && key.2 >= to {
                continue;
            }
            if found.len() >= limit.min(PAGE_ROWS) {
                has_more = true;
                break;
            }
            found.push(row(key, Some(value), *version));
        }
        json!({"rows": found, "hasMore": has_more, "ver": rows.version, "now": self.now()})
    }

    async fn feed(&self, query: &str) -> Value {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait = parameter(query, "waitMs").parse().unwrap_or(0);
        let ends = tokio::time::Instant::now() + Duration::from_millis(wait);
        let mut changed = self.changed.subscribe();
        loop {
            let found = self.changes(&table, after);
            let is_empty = found["rows"].as_array().is_none_or(Vec::is_empty);
            if !is_empty || tokio::time::Instant::now() >= ends {
                return found;
            }
            let _ = tokio::time::timeout_at(ends, changed.changed()).await;
        }
    }

    fn changes(&self, table: &str, after: u64) -> Value {
        let rows = self.lock();
        let changes = rows.history.iter();
        let changes = changes.filter(|(version, key, _)| *version > after && key.0 == table);
        let changes: Vec<Value> = changes
            .map(|(version, key, value)| row(key, value.as_ref(), *version))
            .collect();
        json!({"rows": changes, "ver": rows.version, "now": self.now()})
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(body) = serde_json::from_slice::<Value>(body) else {
            return (400, json!({}));
        };
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mut rows = self.lock();
        let mut current = Vec::new();
        let mut holds = true;
        for condition in list("precondition") {
            let key = row_key(&condition);
            let known = rows.rows.get(&key);
            holds &= known.map_or(0, |known| known.1) == condition["ver"].as_u64().unwrap_or(0);
            current.extend(known.map(|(value, version)| row(&key, Some(value), *version)));
        }
        if !holds {
            let answer = json!({"rows": current, "ver": rows.version, "now": self.now()});
            return (412, answer);
        }
        rows.version += 1;
        for write in list("writes") {
            let value = write["value"].as_str().unwrap_or("").to_owned();
            rows.set(row_key(&write), Some(value));
        }
        for delete in list("deletes") {
            rows.set(row_key(&delete), None);
        }
        let answer = json!({"ver": rows.version, "now": self.now()});
        drop(rows);
        self.changed.send_modify(|turn| *turn += 1);
        (200, answer)
    }
}

impl Rows {
    fn set(&mut self, key: RowKey, value: Option<String>) {
        match &value {
            Some(text) => self.rows.insert(key.clone(), (text.clone(), self.version)),
            None => self.rows.remove(&key),
        };
        self.history.push((self.version, key, value));
    }
}

fn row_key(row: &Value) -> RowKey {
    let text = |name: &str| row[name].as_str().unwrap_or("").to_owned();
    (text("table"), text("part"), text("key"))
}

fn row((table, part, key): &RowKey, value: Option<&String>, version: u64) -> Value {
    match value {
        Some(value) => {
            json!({"table": table, "part": part, "key": key, "value": value, "ver": version})
        }
        None => {
            json!({"table": table, "part": part, "key": key, "tombstone": true, "ver": version})
        }
    }
}

/// Value of a query parameter, decoded.
fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(known, _)| *known == name);
    let bytes = value.map_or("", |(_, value)| value).as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes.get(at + 1..at + 3);
        let code = code.and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match code {
            Some(code) if bytes[at] == b'%' => {
                decoded.push(code);
                at += 3;
            }
            _ => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
