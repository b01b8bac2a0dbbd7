//! A plain HTTP client for tests, which follows nothing and retries nothing.

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

/// A client that keeps its connections.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// An answer whose body is still coming.
#[derive(Debug)]
pub struct ReplyStream {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    body: Incoming,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// A client without connections.
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

    /// Sends a request and returns when the answer's head has come.
    ///
    /// # Errors
    /// No answer within [`BOUND`].
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
        let answer = tokio::time::timeout(BOUND, self.inner.request(request)).await;
        let answer = answer.wrap_err_with(|| format!("no answer from {url}"))??;
        let (head, body) = answer.into_parts();
        Ok(ReplyStream {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// No whole answer within [`BOUND`].
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Reply> {
        let mut stream = self.open(method, url, headers, body).await?;
        let mut body = Vec::new();
        while let Some(piece) = stream.next().await? {
            body.extend_from_slice(&piece);
        }
        Ok(Reply {
            status: stream.status,
            headers: stream.headers,
            body: body.into(),
        })
    }

    /// Sends a GET.
    ///
    /// # Errors
    /// As [`Client::send`].
    pub async fn get(&self, url: &str, headers: &[(&str, &str)]) -> Result<Reply> {
        self.send(Method::GET, url, headers, Bytes::new()).await
    }

    /// Sends a POST.
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
    /// The next piece of the body; none at its end.
    ///
    /// # Errors
    /// The connection breaks, or nothing comes within [`BOUND`].
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(BOUND, self.body.frame()).await;
            let Some(frame) = frame.wrap_err("the answer stalls")? else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// The rest of the body as text.
    ///
    /// # Errors
    /// As [`ReplyStream::next`].
    pub async fn text(&mut self) -> Result<String> {
        let mut text = Vec::new();
        while let Some(piece) = self.next().await? {
            text.extend_from_slice(&piece);
        }
        Ok(String::from_utf8(text)?)
    }
}

impl Reply {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    ///
    /// # Errors
    /// It isn't JSON.
    pub fn json(&self) -> Result<serde_json::Value> {
        serde_json::from_slice(&self.body).wrap_err_with(|| format!("not JSON: {}", self.text()))
    }

    /// A header as text; empty when it is absent.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// Passes a successful answer on.
    ///
    /// # Errors
    /// The status is not 2xx; the error shows the body.
    pub fn success(self) -> Result<Self> {
        ensure!(self.status.is_success(), "{}: {}", self.status, self.text());
        Ok(self)
    }

    /// The code of a refusal.
    ///
    /// # Errors
    /// The answer isn't a refusal.
    pub fn error_code(&self) -> Result<String> {
        let json = self.json()?;
        let code = json["error"]["code"].as_str();
        code.map(str::to_owned)
            .ok_or_else(|| eyre!("not a refusal: {}", self.text()))
    }
}
