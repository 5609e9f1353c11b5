//! The `report` command: prints the report as text or JSON, and writes it as HTML.

use burn::{SLICE_LENGTH, burn_rows, html_page, text_report};
use conf::ConfigBundle;
use platform::tables::PlatformClient;

use crate::cli::ReportArguments;
use crate::error::Result;
use crate::slices;

/// Creates the report from the stored slices.
pub(crate) async fn run(arguments: &ReportArguments) -> Result<()> {
    let deployment = ConfigBundle::from_folder(&arguments.deploy)?.deployment()?;
    let platform = PlatformClient::new(arguments.platform);
    let now = slices::current_slice();
    let slice_count = arguments.hours * 3600 / SLICE_LENGTH.as_secs();
    let mut loaded = Vec::new();
    for number in now.saturating_sub(slice_count)..=now {
        loaded.extend(slices::load(&platform, number).await?);
    }
    let rows = burn_rows(&deployment, &loaded, now);
    if let Some(path) = &arguments.html {
        std::fs::write(path, html_page(&deployment, &loaded, now)?)?;
    }
    if arguments.json {
        println!("{}", serde_json::json!({"rows": rows}));
    } else {
        print!("{}", text_report(&rows, &loaded));
    }
    Ok(())
}
