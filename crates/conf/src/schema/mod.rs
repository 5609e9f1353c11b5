//! The schema of settings files: all sections and keys with kinds, defaults and bounds.
//!
//! Validation, defaults and the settings page are all derived from it.

mod deployment;
mod entry;

pub use deployment::DEPLOYMENT;
pub use entry::ENTRY;

use crate::value::ValueKind;

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// One key of a section.
#[derive(Debug, Clone, Copy)]
pub struct KeySpec {
    /// The key's name.
    pub key: &'static str,
    /// The value's kind and bounds.
    pub kind: ValueKind,
    /// The value if the key is not set; `None` if the key is required.
    pub default: Option<&'static str>,
    /// Description for the settings page.
    pub doc: &'static str,
}

/// A kind of section.
#[derive(Debug, Clone, Copy)]
pub struct SectionSpec {
    /// First word of the section's header.
    pub kind: &'static str,
    /// The whole header, with placeholders for names.
    pub form: &'static str,
    /// Number of names that follow the first word.
    pub names: usize,
    /// Description for the settings page.
    pub doc: &'static str,
    /// Allowed keys.
    pub keys: &'static [KeySpec],
}

/// A kind of settings file.
#[derive(Debug, Clone, Copy)]
pub struct FileSpec {
    /// Title on the settings page.
    pub title: &'static str,
    /// Allowed sections.
    pub sections: &'static [SectionSpec],
}

const fn key(
    key: &'static str,
    kind: ValueKind,
    default: Option<&'static str>,
    doc: &'static str,
) -> KeySpec {
    KeySpec {
        key,
        kind,
        default,
        doc,
    }
}

const fn duration(min_ms: u64, max_ms: u64) -> ValueKind {
    ValueKind::Duration { min_ms, max_ms }
}

const fn count(min: u64, max: u64) -> ValueKind {
    ValueKind::Count { min, max }
}

const fn size(min: u64, max: u64) -> ValueKind {
    ValueKind::Size { min, max }
}

const fn percent(min: f64, max: f64) -> ValueKind {
    ValueKind::Percent { min, max }
}

const fn number(min: f64, max: f64) -> ValueKind {
    ValueKind::Number { min, max }
}

/// All kinds of files, in the order of the settings page.
pub const FILES: [FileSpec; 2] = [DEPLOYMENT, ENTRY];

/// The tables of the settings page as Markdown.
pub fn markdown() -> String {
    let mut page = String::new();
    for file in FILES {
        page.push_str(&format!("## {}\n\n", file.title));
        for section in file.sections {
            page.push_str(&section_markdown(section));
        }
    }
    page
}

fn section_markdown(section: &SectionSpec) -> String {
    let mut text = format!("### `[{}]`\n\n{}\n\n", section.form, section.doc);
    text.push_str("| key | allowed | default | sets |\n| --- | --- | --- | --- |\n");
    for key in section.keys {
        let default = match key.default {
            None => "required".to_owned(),
            Some("") => "empty".to_owned(),
            Some(value) => format!("`{value}`"),
        };
        text.push_str(&format!(
            "| `{}` | {} | {} | {} |\n",
            key.key,
            key.kind.allowed(),
            default,
            key.doc
        ));
    }
    text.push('\n');
    text
}
