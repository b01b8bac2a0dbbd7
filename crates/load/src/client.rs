//! The HTTP client: sends chat requests, and times and verifies the responses.

use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::Eventsource;
use eyre::ensure;
use futures_util::StreamExt;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use tokio::time::Instant;

use crate::{Prompt, Result, StreamChecker, check_plain, request_body};

/// How long a response may take before it counts as [`Outcome::Broken`].
const TIMEOUT: Duration = Duration::from_secs(60);

/// The outcome of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The complete, expected response.
    Whole {
        /// From the due time to the first token; `None` if the response is not streamed.
        first: Option<Duration>,
        /// From the due time to the end of the response.
        total: Duration,
        /// The longest time between two tokens; zero if the response is not streamed.
        gap: Duration,
    },
    /// A response with a status other than 200.
    Refused {
        /// The HTTP status code.
        status: u16,
        /// The value of the header `x-clem-ran`; empty if absent.
        ran: String,
    },
    /// A response other than the expected one, with the reason. This is the most severe outcome.
    Wrong(String),
    /// No response, or an incomplete one, with the reason.
    Broken(String),
}

/// An HTTP client that reuses connections and never retries.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client. It opens connections on demand, with `TCP_NODELAY`.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            inner: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends a request; `bearer` is the value of the header `authorization`, which is left out if
    /// empty.
    ///
    /// # Errors
    /// The request is invalid, or no response head is received.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        bearer: &str,
        body: impl Into<Bytes>,
    ) -> Result<Response<Incoming>> {
        let mut request = Request::builder().method(method).uri(url);
        if !bearer.is_empty() {
            request = request.header(header::AUTHORIZATION, bearer);
        }
        Ok(self
            .inner
            .request(request.body(Full::new(body.into()))?)
            .await?)
    }

    /// Sends a request and returns the body of a successful response.
    ///
    /// # Errors
    /// The status is not 2xx, or the body is incomplete.
    pub async fn fetch(
        &self,
        method: Method,
        url: &str,
        bearer: &str,
        body: impl Into<Bytes>,
    ) -> Result<Bytes> {
        let response = self.send(method, url, bearer, body).await?;
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        ensure!(
            status.is_success(),
            "{url}: {status}: {}",
            String::from_utf8_lossy(&body)
        );
        Ok(body)
    }

    /// Sends one chat request and verifies the response. Latencies are measured from `due`.
    pub async fn chat(
        &self,
        url: &str,
        bearer: &str,
        model: &str,
        prompt: &Prompt,
        stream: bool,
        due: Instant,
    ) -> Outcome {
        let body = request_body(prompt, model, stream);
        let exchange = async {
            let response = match self.send(Method::POST, url, bearer, body).await {
                Ok(response) => response,
                Err(error) => return Outcome::Broken(format!("{error:#}")),
            };
            if response.status() != StatusCode::OK {
                return refused(response).await;
            }
            if stream {
                streamed(response, prompt, due).await
            } else {
                plain(response, prompt, due).await
            }
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Broken("the response timed out".to_owned()),
        }
    }
}

async fn refused(response: Response<Incoming>) -> Outcome {
    let status = response.status().as_u16();
    let ran = response.headers().get("x-clem-ran");
    let ran = ran
        .and_then(|ran| ran.to_str().ok())
        .unwrap_or("")
        .to_owned();
    // Read the body to the end, so that the connection can be reused.
    if let Err(error) = response.into_body().collect().await {
        return Outcome::Broken(format!("{error:#}"));
    }
    Outcome::Refused { status, ran }
}

async fn plain(response: Response<Incoming>, prompt: &Prompt, due: Instant) -> Outcome {
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Outcome::Broken(format!("{error:#}")),
    };
    let total = due.elapsed();
    if let Err(reason) = check_plain(prompt, &body) {
        return Outcome::Wrong(reason);
    }
    Outcome::Whole {
        first: None,
        total,
        gap: Duration::ZERO,
    }
}

async fn streamed(response: Response<Incoming>, prompt: &Prompt, due: Instant) -> Outcome {
    let mut events = response.into_body().into_data_stream().eventsource();
    let mut checker = StreamChecker::default();
    let mut first = None;
    let mut last = Duration::ZERO;
    let mut gap = Duration::ZERO;
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return Outcome::Broken(format!("{error}")),
        };
        // An error event reports the failure to the caller, so the response is broken, not wrong.
        if event.data.starts_with("{\"error\"") {
            return Outcome::Broken(event.data);
        }
        match checker.event(&event.data) {
            Ok(true) => {}
            Ok(false) => continue,
            Err(reason) => return Outcome::Wrong(reason),
        }
        let now = due.elapsed();
        if first.is_some() {
            gap = gap.max(now.saturating_sub(last));
        }
        first.get_or_insert(now);
        last = now;
    }
    if !checker.ended() {
        return Outcome::Broken("the stream ended without [DONE]".to_owned());
    }
    if let Err(reason) = checker.finish(prompt) {
        return Outcome::Wrong(reason);
    }
    let total = due.elapsed();
    Outcome::Whole { first, total, gap }
}
