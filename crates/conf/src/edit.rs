//! Edits single keys in configuration files and preserves everything else in them.

use crate::value::split_list;

/// Whether `text` contains the section `[header]`.
pub fn has_section(text: &str, header: &str) -> bool {
    text.lines().any(|line| is_header(line, header))
}

/// Returns `text` with `key` in the section `[header]` set to `value`; `None` if there is no
/// such section.
pub fn set_key(text: &str, header: &str, key: &str, value: &str) -> Option<String> {
    let mut lines: Vec<String> = text.lines().map(str::to_owned).collect();
    let start = lines.iter().position(|line| is_header(line, header))?;
    let rest = &lines[start + 1..];
    let length = rest
        .iter()
        .position(|line| line.trim_start().starts_with('['));
    let end = length.map_or(lines.len(), |length| start + 1 + length);
    let assignment = format!("{key} = {value}");
    let known = (start + 1..end).find(|index| is_key(&lines[*index], key));
    match known {
        Some(index) => lines[index] = assignment,
        None => lines.insert(start + 1, assignment),
    }
    Some(lines.join("\n") + "\n")
}

/// Appends `item` to the comma-separated `list`.
pub fn with_item(list: &str, item: &str) -> String {
    let items: Vec<&str> = split_list(list).chain([item]).collect();
    items.join(", ")
}

/// Removes `item` from the comma-separated `list`.
pub fn without_item(list: &str, item: &str) -> String {
    let items: Vec<&str> = split_list(list).filter(|known| *known != item).collect();
    items.join(", ")
}

fn is_header(line: &str, header: &str) -> bool {
    let name = line
        .trim()
        .strip_prefix('[')
        .and_then(|line| line.strip_suffix(']'));
    name.is_some_and(|name| name.split_whitespace().eq(header.split_whitespace()))
}

fn is_key(line: &str, key: &str) -> bool {
    line.split_once('=')
        .is_some_and(|(name, _)| name.trim() == key)
}
