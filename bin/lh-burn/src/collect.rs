//! The `collect` command: scrapes metrics and stores slices.

use std::net::SocketAddr;
use std::time::Duration;

use burn::{Scrape, SliceRecorder, parse_scrape};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use platform::tables::PlatformClient;

use crate::cli::CollectArguments;
use crate::error::Result;
use crate::slices;

/// Timeout for scraping one instance.
const SCRAPE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a metrics response.
const MAX_METRICS_BYTES: usize = 4 << 20;

/// Collects until SIGTERM or for the given number of scrapes.
pub(crate) async fn run(arguments: &CollectArguments) -> Result<()> {
    let platform = PlatformClient::new(arguments.platform);
    let mut recorder = SliceRecorder::new();
    if let Some(slice) = slices::load(&platform, slices::current_slice()).await? {
        recorder.resume(slice);
    }
    let mut readings = tokio::time::interval(Duration::from_secs(arguments.period.max(1)));
    let mut count = 0;
    let mut stop = std::pin::pin!(kernel::wait_for_termination());
    loop {
        tokio::select! {
            _ = readings.tick() => {}
            stopped = &mut stop => return Ok(stopped?),
        }
        for instance in &arguments.instances {
            match scrape(*instance).await {
                Some(scrape) => recorder.record(slices::current_slice(), &scrape),
                None => log::warn!(instance:% = instance; "can't read the metrics of an instance"),
            }
        }
        if let Err(error) = slices::store(&platform, recorder.slice()).await {
            log::warn!(error:% = error; "can't store the slice; retrying after the next scrape");
        }
        count += 1;
        if arguments.readings.is_some_and(|limit| count >= limit) {
            return Ok(());
        }
    }
}

async fn scrape(instance: SocketAddr) -> Option<Scrape> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .uri(format!("http://{instance}/metrics"))
        .body(Empty::<Bytes>::new())
        .ok()?;
    let fetch = async {
        let response = client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_METRICS_BYTES)
            .collect()
            .await
            .ok()?;
        parse_scrape(&String::from_utf8_lossy(&body.to_bytes())).ok()
    };
    tokio::time::timeout(SCRAPE_TIMEOUT, fetch).await.ok()?
}
