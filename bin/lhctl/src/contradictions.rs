//! Finds instances that state the same position of the store's history but act on different
//! states. If that lasts longer than a change takes to reach all, one of them has missed one for
//! good: what it reads continues at its position.

use std::collections::BTreeMap;

use serde_json::Value;

/// What instances act on, and the positions in `/v1/status` that state how current it is.
const STATES: [(&str, &[&str]); 3] = [
    ("version", &["operator"]),
    ("evacuated", &["operator"]),
    // A record follows from the order, so that both positions have to be the same.
    ("rollouts", &["operator", "rollouts"]),
];

/// Returns a line for each state in which instances with equal positions differ.
pub(crate) fn find(statuses: &[Value]) -> Vec<String> {
    let mut lines = Vec::new();
    for (state, tables) in STATES {
        let mut by_position: BTreeMap<String, BTreeMap<String, Vec<&str>>> = BTreeMap::new();
        for status in statuses {
            let Some(position) = position(status, tables) else {
                continue;
            };
            let name = status["instance"].as_str().unwrap_or("?");
            let by_state = by_position.entry(position).or_default();
            by_state
                .entry(describe(status, state))
                .or_default()
                .push(name);
        }
        for (position, by_state) in by_position {
            if by_state.len() > 1 {
                lines.push(format_line(state, &position, &by_state));
            }
        }
    }
    lines
}

/// Returns the positions of `tables` as text; `None` if the instance is of a release without them.
fn position(status: &Value, tables: &[&str]) -> Option<String> {
    let stated = tables.iter().map(|table| {
        let position = status["positions"][table].as_str()?;
        Some(format!("{table} {position}"))
    });
    Some(stated.collect::<Option<Vec<String>>>()?.join(", "))
}

/// Returns what the instance acts on, without what differs between instances at any time.
fn describe(status: &Value, state: &str) -> String {
    let Some(items) = status[state].as_array() else {
        return status[state].to_string();
    };
    let described = items.iter().map(|item| {
        let text = |key: &str| item[key].as_str().unwrap_or("?");
        match item {
            Value::String(name) => name.clone(),
            _ => format!("{} {} {}", text("service"), text("version"), text("phase")),
        }
    });
    let mut described: Vec<String> = described.collect();
    if described.is_empty() {
        return "none".to_owned();
    }
    described.sort_unstable();
    described.join(", ")
}

fn format_line(state: &str, position: &str, by_state: &BTreeMap<String, Vec<&str>>) -> String {
    let groups = by_state
        .iter()
        .map(|(described, names)| format!("{} at {}", described, names.join(" and ")));
    let groups = groups.collect::<Vec<String>>().join("; ");
    format!("CONTRADICTION in {state} at the same position ({position}): {groups}")
}
