//! Single requests and polling, for scripts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use standin::ServerView;

use crate::error::{Error, Result};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a request.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request and returns status and body of the response.
pub(crate) async fn send_request(method: &str, url: &str, body: &str) -> Result<(u16, Bytes)> {
    send_request_with_key(None, method, url, body).await
}

/// Sends a request, optionally with the API key of a team, and returns status and body.
async fn send_request_with_key(
    key: Option<&str>,
    method: &str,
    url: &str,
    body: &str,
) -> Result<(u16, Bytes)> {
    let mut request = Request::builder()
        .method(method)
        .uri(url)
        .header("content-type", "application/json");
    if let Some(key) = key {
        request = request.header("authorization", format!("Token {key}"));
    }
    let request = request
        .body(Full::new(Bytes::from(body.to_owned())))
        .map_err(|_| Error::Url(url.to_owned()))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let exchange_error = |cause: String| Error::Exchange(format!("{url}: {cause}"));
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|cause| exchange_error(cause.to_string()))?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await;
        let body = body
            .map_err(|cause| exchange_error(cause.to_string()))?
            .to_bytes();
        Ok((status, body))
    };
    tokio::time::timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .unwrap_or_else(|_| Err(exchange_error("no answer in time".to_owned())))
}

/// Sends a request and prints the response. Fails if its status is not the expected one.
pub(crate) async fn send(
    method: &str,
    url: &str,
    (body, key): (&str, Option<&str>),
    expect: Option<u16>,
) -> Result<()> {
    let (status, response) = send_request_with_key(key, method, url, body).await?;
    println!("{}", String::from_utf8_lossy(&response));
    let is_expected_status = match expect {
        Some(expected) => status == expected,
        None => (200..300).contains(&status),
    };
    if is_expected_status {
        return Ok(());
    }
    Err(Error::Exchange(format!("{url}: status {status}")))
}

/// Waits until `server` has been idle for a while, and prints when it last was busy.
pub(crate) async fn drained(server: SocketAddr, control: SocketAddr) -> Result<()> {
    const QUIET_TIME: Duration = Duration::from_millis(500);
    let started = Instant::now();
    let mut last_busy = started;
    while last_busy.elapsed() < QUIET_TIME {
        let (_, body) = send_request("GET", &format!("http://{control}/servers"), "").await?;
        let views: Vec<ServerView> = serde_json::from_slice(&body)
            .map_err(|cause| Error::Exchange(format!("{control}: {cause}")))?;
        let name = server.to_string();
        let is_busy = views
            .iter()
            .any(|view| view.address == name && view.in_use > 0);
        if is_busy {
            last_busy = Instant::now();
        }
        tokio::time::sleep(POLL_INTERVAL / 5).await;
    }
    println!(
        "    {server} was drained after {} ms",
        (last_busy - started).as_millis()
    );
    Ok(())
}

/// Waits until every URL responds with a success status.
pub(crate) async fn wait(urls: &[String], seconds: u64) -> Result<()> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    for url in urls {
        loop {
            let response = send_request("GET", url, "").await;
            if matches!(response, Ok((200..300, _))) {
                break;
            }
            if Instant::now() >= deadline {
                return Err(Error::Exchange(format!(
                    "{url}: not ready after {seconds} s"
                )));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    Ok(())
}
