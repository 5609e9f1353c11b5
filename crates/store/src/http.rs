//! The platform's services over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::platform::{
    Commit, InstanceList, ListedInstance, ObjectStore, Row, RowWrite, TableService, WireCommit,
    WireRow,
};

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 64 << 20;

/// A client of the platform's table service, object store and instance list.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
}

impl PlatformClient {
    /// A client for the platform at `address`; each call ends after one second.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: Client::builder(TokioExecutor::new()).build_http(),
            address,
            timeout: Duration::from_secs(1),
        }
    }

    /// Sets the longest wait for one call.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes)> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|cause| Error::Unavailable(cause.to_string()))?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|cause| {
                if cause.is_connect() {
                    Error::Unavailable(cause.to_string())
                } else {
                    Error::Unknown(cause.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|cause| Error::Unknown(cause.to_string()))?
                .to_bytes();
            if status == StatusCode::SERVICE_UNAVAILABLE {
                return Err(Error::Unavailable("the platform answered 503".to_owned()));
            }
            Ok((status, body))
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .unwrap_or_else(|_| Err(Error::Unknown("no answer in time".to_owned())))
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>> {
        let (status, body) = self.call(Method::GET, path, Bytes::new()).await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_success(status)?;
        decode(&body).map(Some)
    }

    async fn post_json<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T> {
        let body = serde_json::to_vec(value).map_err(malformed)?;
        let (status, body) = self.call(Method::POST, path, body.into()).await?;
        expect_success(status)?;
        decode(&body)
    }
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(malformed)
}

fn malformed(cause: impl std::fmt::Display) -> Error {
    Error::Malformed(cause.to_string())
}

fn expect_success(status: StatusCode) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    Err(Error::Malformed(format!("unexpected status {status}")))
}

impl TableService for PlatformClient {
    async fn read(&self, table: &str, key: &str) -> Result<Option<Row>> {
        self.get_json(&format!("/v1/tables/{table}/rows/{key}"))
            .await
    }

    async fn list(&self, table: &str, prefix: &str) -> Result<Vec<WireRow>> {
        let path = format!("/v1/tables/{table}/rows?prefix={prefix}");
        Ok(self.get_json(&path).await?.unwrap_or_default())
    }

    async fn commit(&self, writes: &[RowWrite]) -> Result<Commit> {
        let answer: WireCommit = self.post_json("/v1/transactions", &writes).await?;
        Ok(answer.commit)
    }
}

impl ObjectStore for PlatformClient {
    async fn put(&self, name: &str, content: &[u8]) -> Result<()> {
        let body = Bytes::copy_from_slice(content);
        let (status, _) = self
            .call(Method::PUT, &format!("/v1/objects/{name}"), body)
            .await?;
        expect_success(status)
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>> {
        let (status, body) = self
            .call(Method::GET, &format!("/v1/objects/{name}"), Bytes::new())
            .await?;
        if status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        expect_success(status)?;
        Ok(Some(body.to_vec()))
    }
}

impl InstanceList for PlatformClient {
    async fn instances(&self) -> Result<Vec<ListedInstance>> {
        Ok(self.get_json("/v1/instances").await?.unwrap_or_default())
    }
}
