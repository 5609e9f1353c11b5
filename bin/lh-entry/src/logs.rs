//! Logging to standard output: one JSON object per line, rate-limited and non-blocking.
//!
//! Lines go into a buffer that a separate thread flushes. Lines that exceed the limits are
//! counted by kind, and a summary line reports the number for each kind with the id of one
//! request. Lines of level warning and above, such as those on a request that must not be
//! repeated and whose outcome is unknown, have a separate limit.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};

/// Interval at which the buffer is flushed: short enough for readers, long enough that the
/// thread rarely wakes up.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of lines of level info and below between two flushes. An idle entry writes a
/// tenth of that.
const MAX_INFO_LINES: usize = 150;
/// Maximum number of lines of any level between two flushes.
const MAX_LINES: usize = 2000;
/// Number of lines of each kind that are exempt from [`MAX_INFO_LINES`]. Hundreds of servers
/// that join at once must not displace the line about a change of leads.
const LINES_PER_KIND: usize = 20;

/// Maximum number of lines per window about denied requests: a flood of invalid keys must not
/// displace other lines. The metrics count all of these requests.
const MAX_LINES_PER_WINDOW: u32 = 40;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Limits the rate of one kind of log line.
#[derive(Debug, Default)]
pub(crate) struct LogRateLimiter {
    begun: Cell<Option<Instant>>,
    lines: Cell<u32>,
}

impl LogRateLimiter {
    /// Counts a line and returns whether it may be written.
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
    /// Number of buffered lines by kind.
    kinds: BTreeMap<String, usize>,
    dropped: BTreeMap<String, DroppedLines>,
}

impl LineBuffer {
    /// Returns whether another line of the kind `event` fits, and if so counts it.
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

/// Dropped lines of one kind.
#[derive(Debug, Default)]
struct DroppedLines {
    count: usize,
    example: String,
}

/// Queue of log lines that wait to be flushed.
#[derive(Debug, Clone)]
pub(crate) struct LogQueue {
    node: Arc<str>,
    buffer: Arc<Mutex<LineBuffer>>,
}

impl LogQueue {
    /// Installs a logger with a new queue and starts the thread that flushes it. Each line
    /// contains `node`.
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

    /// Writes the queued lines and summaries of dropped lines.
    pub(crate) fn flush(&self) {
        let (bytes, dropped) = {
            let mut buffer = self.lock();
            buffer.lines = 0;
            buffer.kinds.clear();
            let dropped = std::mem::take(&mut buffer.dropped);
            (std::mem::take(&mut buffer.bytes), dropped)
        };
        let mut out = std::io::stdout().lock();
        // If this fails, there is no other place to report the error.
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

/// Kind of a log record and the id of its request; determined only for dropped lines.
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
