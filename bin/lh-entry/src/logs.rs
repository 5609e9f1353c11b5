//! Log lines to standard output: one JSON object a line, bounded, never blocking.
//!
//! Lines go into a buffer that a thread of its own writes out. What doesn't fit
//! is counted by kind, and a line says how many of each were left out, with the id
//! of one of them. Lines of level warning, as of a request that must not repeat and
//! whose outcome is unknown, have room of their own.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};

/// How often the buffer is written out: a reader sees a line soon enough, and
/// the thread wakes seldom.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Lines of level info and below that are kept between two writes. A calm
/// entry writes a tenth of it.
const MAX_INFO_LINES: usize = 150;
/// Lines of any level that are kept between two writes.
const MAX_LINES: usize = 2000;
/// Lines of one kind that are kept also where others have filled the room for lines of level
/// info: hundreds of servers that join at once must not push out the line that says who leads.
const LINES_PER_KIND: usize = 20;

/// Lines a second of requests that were turned away: a flood of wrong keys must not leave
/// out the lines of others. All are counted in the metrics.
const MAX_LINES_PER_WINDOW: u32 = 40;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Bounds how many lines of one kind are written.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    begun: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

impl LogRateLimiter {
    /// Whether one more line may be written.
    pub(crate) fn take(&self, now: Instant) -> bool {
        let begun = self.begun.get();
        if begun.is_none_or(|at| now.saturating_duration_since(at) >= RATE_WINDOW) {
            self.begun.set(Some(now));
            self.lines.set(0);
        }
        self.lines.set(self.lines.get() + 1);
        self.lines.get() <= MAX_LINES_PER_WINDOW
    }
}

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    lines: usize,
    /// Number of the lines of each kind.
    kinds: BTreeMap<String, usize>,
    dropped: BTreeMap<String, DroppedLines>,
}

impl LineBuffer {
    /// Whether one more line of the kind `event` is kept.
    fn admits(&mut self, level: Level, event: &str) -> bool {
        let kept = match self.kinds.get_mut(event) {
            Some(kept) => kept,
            None => self.kinds.entry(event.to_owned()).or_default(),
        };
        let is_rare = *kept < LINES_PER_KIND;
        let most = if level >= Level::Info && !is_rare {
            MAX_INFO_LINES
        } else {
            MAX_LINES
        };
        let admits = self.lines < most;
        if admits {
            *kept += 1;
            self.lines += 1;
        }
        admits
    }
}

/// Lines of one kind that were left out.
#[derive(Debug, Default)]
struct DroppedLines {
    count: usize,
    example: String,
}

/// The lines that wait to be written.
#[derive(Debug, Clone)]
pub(crate) struct LogQueue {
    node: Arc<str>,
    buffer: Arc<Mutex<LineBuffer>>,
}

impl LogQueue {
    /// Starts logging into a new queue, and the thread that writes it out. Each
    /// line names `node`.
    pub(crate) fn start(node: &str) -> Self {
        let queue = Self {
            node: Arc::from(node),
            buffer: Arc::default(),
        };
        let sink = queue.clone();
        let dispatch = fern::Dispatch::new()
            .level(LevelFilter::Info)
            .chain(fern::Output::call(move |record| sink.push(record)));
        if dispatch.apply().is_err() {
            return queue;
        }
        let writer = queue.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(FLUSH_INTERVAL);
                writer.flush();
            }
        });
        queue
    }

    /// Writes out what waits.
    pub(crate) fn flush(&self) {
        let (bytes, dropped) = {
            let mut buffer = self.lock();
            buffer.lines = 0;
            buffer.kinds.clear();
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        let mut out = std::io::stdout().lock();
        // Nobody reads the log if this fails, and there is no other place to say so.
        let _ = out.write_all(&bytes);
        for (kind, dropped) in dropped {
            let line = self.dropped_line(&kind, &dropped);
            let _ = out.write_all(line.as_bytes());
        }
        let _ = out.flush();
    }

    fn dropped_line(&self, kind: &str, dropped: &DroppedLines) -> String {
        let mut line = self.line_start(Level::Warn, "lines left out");
        let _ = write!(line, ",\"count\":{},\"kind\":", dropped.count);
        push_json_string(&mut line, kind);
        line.push_str(",\"example\":");
        push_json_string(&mut line, &dropped.example);
        line.push_str("}\n");
        line
    }

    fn line_start(&self, level: Level, event: &str) -> String {
        let mut line = String::with_capacity(400);
        let time = unix_time_ms();
        let _ = write!(line, "{{\"time_ms\":{time},\"node\":");
        push_json_string(&mut line, &self.node);
        let _ = write!(line, ",\"level\":\"{level}\",\"event\":");
        push_json_string(&mut line, event);
        line
    }

    fn push(&self, record: &Record<'_>) {
        let mut buffer = self.lock();
        let event = record.args().to_string();
        if !buffer.admits(record.level(), &event) {
            let kind = RecordKind::of(record);
            let dropped = buffer.dropped.entry(kind.name).or_default();
            dropped.count += 1;
            dropped.example = kind.request;
            return;
        }
        let mut line = self.line_start(record.level(), &event);
        let _ = record.key_values().visit(&mut JsonFields(&mut line));
        line.push_str("}\n");
        buffer.bytes.extend_from_slice(line.as_bytes());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unix_time_ms() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis())
}

struct JsonFields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let line = &mut self.0;
        let _ = write!(line, ",\"{key}\":");
        if let Some(number) = value.to_f64().filter(|_| value.to_borrowed_str().is_none()) {
            let _ = write!(line, "{number}");
        } else if let Some(flag) = value.to_bool() {
            let _ = write!(line, "{flag}");
        } else {
            push_json_string(line, &value.to_string());
        }
        Ok(())
    }
}

/// What a line is about, told only where it is left out.
#[derive(Debug, Default)]
struct RecordKind {
    name: String,
    request: String,
}

impl RecordKind {
    fn of(record: &Record<'_>) -> Self {
        let mut kind = Self {
            name: record.args().to_string(),
            request: String::new(),
        };
        let _ = record.key_values().visit(&mut kind);
        kind
    }
}

impl<'kvs> VisitSource<'kvs> for RecordKind {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        match key.as_str() {
            "outcome" | "reason" => {
                let _ = write!(self.name, " {value}");
            }
            "request" => self.request = value.to_string(),
            _ => {}
        }
        Ok(())
    }
}

fn push_json_string(line: &mut String, text: &str) {
    match serde_json::to_string(text) {
        Ok(quoted) => line.push_str(&quoted),
        Err(_) => line.push_str("\"\""),
    }
}
