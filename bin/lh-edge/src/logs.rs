//! Log lines to standard output: one JSON object a line, bounded, never blocking.
//!
//! Lines go into a buffer that a thread of its own writes out. What doesn't fit
//! is counted, and a line says how many were left out.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use log::kv::{self, Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};

/// How often the buffer is written out: a reader sees a line soon enough, and
/// the thread wakes seldom.
const WRITE_EVERY: Duration = Duration::from_millis(250);
/// Lines of level info and below that are kept between two writes. A calm
/// entry writes a tenth of it.
const INFO_LINES: usize = 150;
/// Lines of any level that are kept between two writes.
const ALL_LINES: usize = 2000;

#[derive(Debug, Default)]
struct LineBuffer {
    bytes: Vec<u8>,
    lines: usize,
    left_out: usize,
}

/// The lines that wait to be written.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogQueue {
    buffer: Arc<Mutex<LineBuffer>>,
}

impl LogQueue {
    /// Starts logging into a new queue, and the thread that writes it out.
    pub(crate) fn start() -> Self {
        let queue = Self::default();
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
                std::thread::sleep(WRITE_EVERY);
                writer.flush();
            }
        });
        queue
    }

    /// Writes out what waits.
    pub(crate) fn flush(&self) {
        let (bytes, left_out) = {
            let mut buffer = self.lock();
            buffer.lines = 0;
            let left_out = std::mem::take(&mut buffer.left_out);
            (std::mem::take(&mut buffer.bytes), left_out)
        };
        let mut out = std::io::stdout().lock();
        // Nobody reads the log if this fails, and there is no other place to say so.
        let _ = out.write_all(&bytes);
        if left_out > 0 {
            let time = milliseconds();
            let _ = writeln!(
                out,
                "{{\"time_ms\":{time},\"level\":\"WARN\",\"event\":\"log lines left out\",\"count\":{left_out}}}"
            );
        }
        let _ = out.flush();
    }

    fn push(&self, record: &Record<'_>) {
        let mut buffer = self.lock();
        let most = if record.level() >= Level::Info {
            INFO_LINES
        } else {
            ALL_LINES
        };
        if buffer.lines >= most {
            buffer.left_out += 1;
            return;
        }
        buffer.lines += 1;
        let line = json_line(record);
        buffer.bytes.extend_from_slice(line.as_bytes());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn milliseconds() -> u128 {
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
            push_text(line, &value.to_string());
        }
        Ok(())
    }
}

fn json_line(record: &Record<'_>) -> String {
    let mut line = String::with_capacity(320);
    let _ = write!(
        line,
        "{{\"time_ms\":{},\"level\":\"{}\",\"event\":",
        milliseconds(),
        record.level()
    );
    push_text(&mut line, &record.args().to_string());
    let _ = record.key_values().visit(&mut JsonFields(&mut line));
    line.push_str("}\n");
    line
}

fn push_text(line: &mut String, text: &str) {
    match serde_json::to_string(text) {
        Ok(quoted) => line.push_str(&quoted),
        Err(_) => line.push_str("\"\""),
    }
}
