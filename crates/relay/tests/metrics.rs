//! The metrics page holds what the code registers.

use relay::METRICS;

#[test]
fn the_metrics_page_is_the_table() {
    let page = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/METRICS.md");
    let page = std::fs::read_to_string(page).unwrap();
    for (name, kind, labels, meaning) in METRICS {
        let row = format!("| `{name}` | {kind} | {labels} | {meaning} |");
        assert!(page.contains(&row), "docs/METRICS.md lacks: {row}");
    }
}
