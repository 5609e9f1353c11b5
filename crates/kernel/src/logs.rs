//! Logs by `log` and `fern`: text or one JSON object per line, on standard error.

use std::fmt::Write as _;
use std::time::SystemTime;

use conf::{LogFormat, LogSettings};
use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};

/// Starts the logs. A second call changes nothing.
pub fn start_logs(settings: &LogSettings) {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::Info);
    let format = settings.format;
    let logs = fern::Dispatch::new()
        .level(level)
        .format(move |out, message, record| {
            let message = message.to_string();
            match format {
                LogFormat::Text => out.finish(format_args!("{}", text_line(&message, record))),
                LogFormat::Json => out.finish(format_args!("{}", json_line(&message, record))),
            }
        })
        .chain(std::io::stderr());
    // Only a second start can fail, and then the first one's settings stand.
    let _ = logs.apply();
}

fn milliseconds() -> u128 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

struct TextFields(String);

impl<'kvs> VisitSource<'kvs> for TextFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

struct JsonFields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        self.0.insert(key.to_string(), value.to_string().into());
        Ok(())
    }
}

fn text_line(message: &str, record: &Record<'_>) -> String {
    let mut fields = TextFields(String::new());
    let _ = record.key_values().visit(&mut fields);
    let time = milliseconds();
    let (level, target) = (record.level(), record.target());
    format!("{time} {level:5} {target}: {message}{}", fields.0)
}

fn json_line(message: &str, record: &Record<'_>) -> String {
    let mut fields = JsonFields(serde_json::Map::new());
    let _ = record.key_values().visit(&mut fields);
    let mut line = fields.0;
    line.insert("time_ms".into(), (milliseconds() as u64).into());
    line.insert("level".into(), record.level().as_str().into());
    line.insert("target".into(), record.target().into());
    line.insert("message".into(), message.into());
    serde_json::Value::Object(line).to_string()
}
