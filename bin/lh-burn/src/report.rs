//! `report`: text, JSON and HTML from the slices.

use burn::{SLICE, burn_rows, page, text};
use conf::ConfigBundle;
use platform::tables::PlatformClient;

use crate::cli::ReportArguments;
use crate::error::Result;
use crate::slices;

/// Makes the report.
pub(crate) async fn run(arguments: &ReportArguments) -> Result<()> {
    let deployment = ConfigBundle::from_folder(&arguments.deploy)?.deployment()?;
    let platform = PlatformClient::new(arguments.platform);
    let now = slices::present();
    let back = arguments.hours * 3600 / SLICE.as_secs();
    let mut found = Vec::new();
    for number in now.saturating_sub(back)..=now {
        found.extend(slices::load(&platform, number).await?);
    }
    let rows = burn_rows(&deployment, &found, now);
    if let Some(path) = &arguments.html {
        std::fs::write(path, page(&deployment, &found, now)?)?;
    }
    if arguments.json {
        println!("{}", serde_json::json!({"rows": rows}));
    } else {
        print!("{}", text(&rows, &found));
    }
    Ok(())
}
