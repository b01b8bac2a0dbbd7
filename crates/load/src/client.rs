//! Sends one chat request and times its answer.

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

use crate::{Answer, Reading, Result, check_plain, request_body};

/// How long an answer may take before it counts as broken.
const TIMEOUT: Duration = Duration::from_secs(60);

/// What came of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer and nothing else.
    Whole {
        /// From the due time to the first token, where the answer is streamed.
        first: Option<Duration>,
        /// From the due time to the end.
        total: Duration,
        /// The longest time between two tokens.
        gap: Duration,
    },
    /// A refusal.
    Refused {
        /// The HTTP status.
        status: u16,
        /// The header `x-clem-ran`.
        ran: String,
    },
    /// An answer that is not the one asked for; the worst that may happen.
    Wrong(String),
    /// No whole answer, and no refusal.
    Broken(String),
}

/// A client that keeps its connections and retries nothing.
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
    /// A client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            inner: legacy::Client::builder(TokioExecutor::new())
                .retry_canceled_requests(false)
                .build(connector),
        }
    }

    /// Sends a request; `bearer` is the value of the header `authorization`.
    ///
    /// # Errors
    /// No answer's head comes.
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

    /// Sends a request and reads a successful answer whole.
    ///
    /// # Errors
    /// The status is not 2xx, or the answer breaks off.
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

    /// Sends one chat request and checks its answer; times count from `due`.
    pub async fn chat(
        &self,
        url: &str,
        bearer: &str,
        model: &str,
        answer: &Answer,
        stream: bool,
        due: Instant,
    ) -> Outcome {
        let body = request_body(answer, model, stream);
        let exchange = async {
            let response = match self.send(Method::POST, url, bearer, body).await {
                Ok(response) => response,
                Err(error) => return Outcome::Broken(format!("{error:#}")),
            };
            if response.status() != StatusCode::OK {
                return refused(response).await;
            }
            if stream {
                streamed(response, answer, due).await
            } else {
                plain(response, answer, due).await
            }
        };
        match tokio::time::timeout(TIMEOUT, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Broken("no end of the answer".to_owned()),
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
    // Read to its end, so that the connection can be used again.
    if let Err(error) = response.into_body().collect().await {
        return Outcome::Broken(format!("{error:#}"));
    }
    Outcome::Refused { status, ran }
}

async fn plain(response: Response<Incoming>, answer: &Answer, due: Instant) -> Outcome {
    let body = match response.into_body().collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return Outcome::Broken(format!("{error:#}")),
    };
    let total = due.elapsed();
    if let Err(reason) = check_plain(answer, &body) {
        return Outcome::Wrong(reason);
    }
    Outcome::Whole {
        first: None,
        total,
        gap: Duration::ZERO,
    }
}

async fn streamed(response: Response<Incoming>, answer: &Answer, due: Instant) -> Outcome {
    let mut events = response.into_body().into_data_stream().eventsource();
    let mut reading = Reading::default();
    let mut first = None;
    let mut last = Duration::ZERO;
    let mut gap = Duration::ZERO;
    while let Some(event) = events.next().await {
        let event = match event {
            Ok(event) => event,
            Err(error) => return Outcome::Broken(format!("{error}")),
        };
        // An error event is an honest end: broken, not wrong.
        if event.data.starts_with("{\"error\"") {
            return Outcome::Broken(event.data);
        }
        match reading.event(&event.data) {
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
    if !reading.ended() {
        return Outcome::Broken("no end mark".to_owned());
    }
    if let Err(reason) = reading.finish(answer) {
        return Outcome::Wrong(reason);
    }
    let total = due.elapsed();
    Outcome::Whole { first, total, gap }
}
