//! Kinds of values, with their bounds and parsers.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use team::key::KeyDigest;

/// The kind of a value, with inclusive bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ValueKind {
    /// A duration such as `250ms`; bounds in milliseconds.
    Duration { min_ms: u64, max_ms: u64 },
    /// A percentage such as `12.5%`.
    Percent { min: f64, max: f64 },
    /// A floating-point number.
    Number { min: f64, max: f64 },
    /// An integer.
    Count { min: u64, max: u64 },
    /// A size such as `64KB`; bounds in bytes.
    Size { min: u64, max: u64 },
    /// A socket address, `IP:port`.
    Address,
    /// Socket addresses separated by commas; may be empty.
    Addresses,
    /// An IP address without a port.
    Ip,
    /// A port range `FIRST-LAST` of at least two ports.
    Ports,
    /// Names with weights, `NAME WEIGHT`, separated by commas; may be empty.
    Weights,
    /// One of the given words.
    Choice(&'static [&'static str]),
    /// Names separated by commas.
    Names,
    /// Names separated by commas; may be empty.
    NamesOrNone,
    /// A name of letters, digits, `.`, `-` and `_`.
    Name,
    /// Digests of keys, separated by commas; may be empty.
    KeyDigests,
    /// Any text.
    Text,
}

impl ValueKind {
    /// Describes the allowed values, for error messages and the settings page.
    pub fn allowed(&self) -> String {
        match *self {
            Self::Duration { min_ms, max_ms } => format!(
                "a duration with its unit, {} to {}",
                format_milliseconds(min_ms),
                format_milliseconds(max_ms)
            ),
            Self::Percent { min, max } => format!("a percentage, {min}% to {max}%"),
            Self::Number { min, max } => format!("a number, {min} to {max}"),
            Self::Count { min, max } => format!("a whole number, {min} to {max}"),
            Self::Size { min, max } => {
                format!("a size in B, KB, MB or GB, {min}B to {max}B")
            }
            Self::Address => "one IP address with its port, such as 127.0.0.1:7000".into(),
            Self::Addresses => "IP addresses with ports, separated by commas".into(),
            Self::Ip => "one IP address".into(),
            Self::Ports => "two ports, such as 7620-7635".into(),
            Self::Weights => {
                "names with weights, such as `old 90, new 10`, separated by commas".into()
            }
            Self::Choice(words) => format!("one of {}", words.join(", ")),
            Self::Names => "names separated by commas".into(),
            Self::NamesOrNone => "names separated by commas, or none".into(),
            Self::Name => "one name of letters, digits, '.', '-' and '_'".into(),
            Self::KeyDigests => {
                "digests of keys, `sha256:` and 64 hexadecimal digits each, separated by commas"
                    .into()
            }
            Self::Text => "any text".into(),
        }
    }

    /// The part of `text` that a message may show. Hides values that may contain a key in
    /// plain text.
    pub(crate) fn redacted<'a>(&self, text: &'a str) -> &'a str {
        match self {
            Self::KeyDigests => "(not shown)",
            _ => text,
        }
    }

    /// Whether `text` is a value of this kind and within its bounds.
    pub fn accepts(&self, text: &str) -> bool {
        match *self {
            Self::Duration { min_ms, max_ms } => parse_duration(text).is_some_and(|d| {
                (u128::from(min_ms)..=u128::from(max_ms)).contains(&d.as_millis())
            }),
            Self::Percent { min, max } => {
                parse_percent(text).is_some_and(|p| (min..=max).contains(&(p * 100.0)))
            }
            Self::Number { min, max } => {
                text.parse::<f64>().is_ok_and(|n| (min..=max).contains(&n))
            }
            Self::Count { min, max } => text.parse::<u64>().is_ok_and(|n| (min..=max).contains(&n)),
            Self::Size { min, max } => parse_size(text).is_some_and(|n| (min..=max).contains(&n)),
            Self::Address => text.parse::<SocketAddr>().is_ok(),
            Self::Addresses => split_list(text).all(|a| a.parse::<SocketAddr>().is_ok()),
            Self::Ip => text.parse::<IpAddr>().is_ok(),
            Self::Ports => parse_ports(text).is_some(),
            Self::Weights => split_list(text).all(|part| parse_weight(part).is_some()),
            Self::Choice(words) => words.contains(&text),
            Self::Names => !text.is_empty() && split_list(text).all(is_name),
            Self::NamesOrNone => split_list(text).all(is_name),
            Self::Name => is_name(text),
            Self::KeyDigests => split_list(text).all(|digest| KeyDigest::parse(digest).is_ok()),
            Self::Text => true,
        }
    }
}

fn format_milliseconds(milliseconds: u64) -> String {
    humantime::format_duration(Duration::from_millis(milliseconds)).to_string()
}

fn is_name(text: &str) -> bool {
    !text.is_empty()
        && text
            .chars()
            .all(|c| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_'))
}

/// The items of a comma-separated list, trimmed and without empty ones.
pub(crate) fn split_list(text: &str) -> impl Iterator<Item = &str> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
}

/// Parses a duration such as `14s`, `2.5s` or `1m 30s`.
pub fn parse_duration(text: &str) -> Option<Duration> {
    if let Ok(duration) = humantime::parse_duration(text) {
        return Some(duration);
    }
    let seconds: f64 = text.strip_suffix('s')?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses a port range such as `7620-7635`; the second port must be higher.
pub(crate) fn parse_ports(text: &str) -> Option<(u16, u16)> {
    let (first, last) = text.split_once('-')?;
    let (first, last) = (first.trim().parse().ok()?, last.trim().parse().ok()?);
    (first < last).then_some((first, last))
}

/// Parses a name with a weight such as `new 10`.
pub(crate) fn parse_weight(text: &str) -> Option<(&str, u32)> {
    let (name, weight) = text.trim().split_once(char::is_whitespace)?;
    is_name(name).then_some((name, weight.trim().parse().ok()?))
}

/// Parses a percentage such as `10%` to a fraction of one.
pub fn parse_percent(text: &str) -> Option<f64> {
    let number: f64 = text.strip_suffix('%')?.trim().parse().ok()?;
    number.is_finite().then_some(number / 100.0)
}

/// Parses a size such as `64KB` to bytes; units are powers of 1024.
pub fn parse_size(text: &str) -> Option<u64> {
    const UNITS: [(&str, u64); 4] = [("KB", 1 << 10), ("MB", 1 << 20), ("GB", 1 << 30), ("B", 1)];
    for (suffix, factor) in UNITS {
        let Some(number) = text.strip_suffix(suffix) else {
            continue;
        };
        return number.trim().parse::<u64>().ok()?.checked_mul(factor);
    }
    None
}
