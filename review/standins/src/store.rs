//! The platform's store as its page describes it: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Connection, Head};
use crate::json::{self, Json};

type RowKey = (String, String);

#[derive(Default)]
struct Rows {
    /// The version and the value of each row; dropped rows have none.
    rows: BTreeMap<RowKey, (u64, Option<String>)>,
    version: u64,
}

/// The store. Values are base64.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    begun: Instant,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let store = Self {
            rows: Arc::default(),
            begun: Instant::now(),
            address: listener.local_addr().expect("an address"),
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a row, as the operator and the servers do.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(base64(value.as_bytes())));
    }

    pub fn delete(&self, table: &str, key: &str) {
        self.change(table, key, None);
    }

    /// The value of a row.
    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let rows = self.rows.0.lock().expect("rows");
        let (_, value) = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        unbase64(value.as_ref()?)
    }

    fn change(&self, table: &str, key: &str, value: Option<String>) {
        let mut rows = self.rows.0.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        rows.rows
            .insert((table.to_owned(), key.to_owned()), (version, value));
        self.rows.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(head)) = connection.read_head() {
            let mut body = Vec::new();
            if connection.read_body(&head, &mut body).is_err() {
                return;
            }
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            std::thread::sleep(Duration::from_millis(4));
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if connection.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (u16, String) {
        let target = head.line.split(' ').nth(1).unwrap_or("");
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut found = pairs.filter(|(key, _)| *key == name);
            found.next().map(|(_, value)| unescape(value))
        };
        match path {
            "/rows-get" => {
                let table = parameter("table").unwrap_or_default();
                let from = parameter("from").unwrap_or_default();
                let to = parameter("to");
                let rows = self.rows.0.lock().expect("rows");
                let listed = rows.rows.iter().filter(|((own, key), (_, value))| {
                    let is_before = to.as_ref().is_none_or(|to| key < to);
                    *own == table && *key >= from && is_before && value.is_some()
                });
                let listed: Vec<String> = listed.map(row_json).collect();
                (200, self.rows_json(&listed, rows.version))
            }
            "/rows-feed" => {
                let table = parameter("table").unwrap_or_default();
                let number = |name: &str| -> u64 {
                    parameter(name)
                        .and_then(|text| text.parse().ok())
                        .unwrap_or(0)
                };
                let (after, wait) = (number("after"), number("waitMs"));
                let end = Instant::now() + Duration::from_millis(wait);
                let mut rows = self.rows.0.lock().expect("rows");
                loop {
                    let mut newer: Vec<_> = rows
                        .rows
                        .iter()
                        .filter(|((own, _), (version, _))| *own == table && *version > after)
                        .collect();
                    newer.sort_by_key(|(_, (version, _))| *version);
                    let now = Instant::now();
                    if !newer.is_empty() || now >= end {
                        let listed: Vec<String> = newer.into_iter().map(row_json).collect();
                        return (200, self.rows_json(&listed, rows.version));
                    }
                    rows = self.rows.1.wait_timeout(rows, end - now).expect("rows").0;
                }
            }
            "/rows-tx" => self.transact(body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| -> RowKey {
            (
                row.get("table").text().to_owned(),
                row.get("key").text().to_owned(),
            )
        };
        let mut rows = self.rows.0.lock().expect("rows");
        for condition in call.get("precondition").list() {
            let known = rows.rows.get(&key(condition));
            let version = known.map_or(
                0,
                |(version, value)| {
                    if value.is_some() {
                        *version
                    } else {
                        0
                    }
                },
            );
            if version != condition.get("ver").number() {
                let version = rows.version;
                return (412, self.rows_json(&[], version));
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.get("writes").list() {
            let value = row.get("value").text().to_owned();
            rows.rows.insert(key(row), (version, Some(value)));
        }
        for row in call.get("deletes").list() {
            rows.rows.insert(key(row), (version, None));
        }
        self.rows.1.notify_all();
        (200, self.rows_json(&[], version))
    }

    fn rows_json(&self, rows: &[String], version: u64) -> String {
        format!(
            "{{\"rows\":[{}],\"ver\":{version},\"now\":\"{}ms\",\"hasMore\":false}}",
            rows.join(","),
            self.begun.elapsed().as_millis() + 1
        )
    }
}

fn row_json(((table, key), (version, value)): (&RowKey, &(u64, Option<String>))) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"tombstone\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{version},{rest}}}")
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut plain, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = text.get(at + 1..(at + 3).min(bytes.len()));
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                plain.push(code);
                at += 3;
            }
            (byte, _) => {
                plain.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut word = 0u32;
        for index in 0..3 {
            word = word << 8 | u32::from(*part.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            if index <= part.len() {
                let digit = (word >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

fn unbase64(text: &str) -> Option<String> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in text.bytes().filter(|byte| *byte != b'=') {
        let value = DIGITS.iter().position(|known| *known == digit)? as u32;
        word = word << 6 | value;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    String::from_utf8(bytes).ok()
}
