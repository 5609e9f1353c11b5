//! Logging of the command-line tools, with `log` and `fern`: one line of text per record,
//! on standard error.

use std::fmt::Write as _;
use std::time::SystemTime;

use log::kv::{self, Key, Value, VisitSource};
use log::{LevelFilter, Record};

/// Initializes logging. Further calls have no effect.
pub fn init_logging(level: LevelFilter) {
    let logs = fern::Dispatch::new()
        .level(level)
        .format(|out, message, record| {
            out.finish(format_args!("{}", text_line(&message.to_string(), record)));
        })
        .chain(std::io::stderr());
    // Fails only if a logger is already set, which then stays in use.
    let _ = logs.apply();
}

fn milliseconds() -> u128 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |since| since.as_millis())
}

struct TextFields(String);

impl<'kvs> VisitSource<'kvs> for TextFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let _ = write!(self.0, " {key}={value}");
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
