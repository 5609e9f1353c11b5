//! Callers that send further requests before the first one was answered.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::callers::board_request;
use crate::history::{RunEvent, RunRecorder};

/// Interval between two series of requests.
const SERIES_INTERVAL: Duration = Duration::from_millis(900);
/// Number of requests in a series.
const SERIES_LENGTH: u64 = 5;
/// Time within which all responses must arrive.
const SERIES_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends series of requests to the entry number `entry` until the task is aborted.
pub(crate) async fn run_pipeline(entry: usize, address: SocketAddr, recorder: RunRecorder) {
    for number in 0_u64.. {
        sleep(SERIES_INTERVAL).await;
        let request = |part| format!("{entry}-pipeline-{number}-{part}");
        let sent: Vec<String> = (0..SERIES_LENGTH).map(request).collect();
        let mut bytes = Vec::new();
        let _ = timeout(SERIES_TIMEOUT, exchange(address, &sent, &mut bytes)).await;
        let answered = answered_ids(&bytes);
        recorder.record(RunEvent::Pipelined {
            entry,
            sent,
            answered,
        });
    }
}

/// Sends the requests `sent` at once and reads responses into `bytes` until all are there.
async fn exchange(
    address: SocketAddr,
    sent: &[String],
    bytes: &mut Vec<u8>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let requests = sent
        .iter()
        .zip(0_u64..)
        .map(|(id, object)| board_request(&format!("/board/{object}"), id, object).to_text());
    stream
        .write_all(requests.collect::<String>().as_bytes())
        .await?;
    while answered_ids(bytes).len() < sent.len() && stream.read_buf(bytes).await? > 0 {}
    Ok(())
}

/// Request ids of the complete responses in `bytes`, in their order.
fn answered_ids(mut bytes: &[u8]) -> Vec<String> {
    let mut ids = Vec::new();
    while let Some((id, length)) = first_response(bytes) {
        ids.push(id);
        bytes = &bytes[length..];
    }
    ids
}

/// Request id and length of the first response in `bytes`, if it is complete.
fn first_response(bytes: &[u8]) -> Option<(String, usize)> {
    let end = bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]);
    let field = |name: &str| {
        let mut fields = head.lines().filter_map(|line| line.split_once(':'));
        let field = fields.find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.trim().to_owned())
    };
    let length = field("content-length").map_or(Some(0), |text| text.parse().ok())?;
    let total = end + length;
    (bytes.len() >= total).then(|| (field("request-id").unwrap_or_default(), total))
}
