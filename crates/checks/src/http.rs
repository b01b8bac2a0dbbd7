//! A plain HTTP client for tests, which neither follows redirects nor retries.

use std::time::Duration;

use bytes::Bytes;
use eyre::{WrapErr, ensure, eyre};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};

use crate::{BOUND, Result};

/// An HTTP client with a connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    /// The whole response body.
    pub body: Bytes,
}

/// A response whose body is read in chunks.
#[derive(Debug)]
pub struct ReplyStream {
    /// The HTTP status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client. Connections are opened on demand, with a connect timeout of 5 s.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(5)));
        Self {
            inner: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends a request and returns as soon as the response headers have arrived.
    ///
    /// # Errors
    /// The request can't be sent, or no response headers arrive within [`BOUND`].
    pub async fn open(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<ReplyStream> {
        let mut request = Request::builder().method(method).uri(url);
        for &(name, value) in headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(body.into()))?;
        let response = tokio::time::timeout(BOUND, self.inner.request(request)).await;
        let response = response
            .wrap_err_with(|| format!("timed out waiting for the response headers of {url}"))??;
        let (head, body) = response.into_parts();
        Ok(ReplyStream {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// As [`Client::open`] and [`ReplyStream::next`].
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        let mut stream = self.open(method, url, headers, body).await?;
        let mut body = Vec::new();
        while let Some(chunk) = stream.next().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(Reply {
            status: stream.status,
            headers: stream.headers,
            body: body.into(),
        })
    }

    /// Sends a GET request and reads the whole response.
    ///
    /// # Errors
    /// As [`Client::send`].
    pub async fn get(&self, url: &str, headers: &[(&str, &str)]) -> Result<Reply> {
        self.send(Method::GET, url, headers, Bytes::new()).await
    }

    /// Sends a POST request and reads the whole response.
    ///
    /// # Errors
    /// As [`Client::send`].
    pub async fn post(
        &self,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        self.send(Method::POST, url, headers, body).await
    }
}

impl ReplyStream {
    /// Reads the next chunk of the body; none at its end.
    ///
    /// # Errors
    /// The connection breaks, or no data arrives within [`BOUND`].
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(BOUND, self.body.frame()).await;
            let Some(frame) = frame.wrap_err("timed out reading the response body")? else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the rest of the body as text.
    ///
    /// # Errors
    /// As [`ReplyStream::next`], and when the body isn't UTF-8.
    pub async fn text(&mut self) -> Result<String> {
        let mut text = Vec::new();
        while let Some(chunk) = self.next().await? {
            text.extend_from_slice(&chunk);
        }
        Ok(String::from_utf8(text)?)
    }
}

impl Reply {
    /// The body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// The body isn't valid JSON; the error shows it.
    pub fn json(&self) -> Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
            .wrap_err_with(|| format!("the response body is not JSON: {}", self.text()))
    }

    /// A header as text; empty when it is absent or not ASCII.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Returns the response if its status is 2xx.
    ///
    /// # Errors
    /// The status is not 2xx; the error shows the body.
    pub fn success(self) -> Result<Self> {
        ensure!(self.status.is_success(), "{}: {}", self.status, self.text());
        Ok(self)
    }

    /// The error code of a refusal, from `error.code` of its body.
    ///
    /// # Errors
    /// The body has no error code.
    pub fn error_code(&self) -> Result<String> {
        let json = self.json()?;
        let code = json["error"]["code"].as_str();
        code.map(str::to_owned)
            .ok_or_else(|| eyre!("no error code in the response: {}", self.text()))
    }
}
