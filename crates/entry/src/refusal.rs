//! Refusals: error answers to callers.

use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;

/// Response header that says whether a refused request ran.
pub(crate) const RAN_HEADER: &str = "x-clem-ran";

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Ran {
    /// It did not run and never will.
    No,
    /// It may have run.
    Maybe,
}

impl Ran {
    fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
        }
    }
}

/// A final error answer.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) ran: Ran,
    /// When a retry may succeed, in milliseconds; `None` when a retry is pointless.
    pub(crate) retry_ms: Option<u32>,
}

#[derive(Serialize)]
struct Body<'a> {
    error: Detail<'a>,
}

#[derive(Serialize)]
struct Detail<'a> {
    code: &'a str,
    message: &'a str,
    ran: Ran,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u32>,
}

impl Refusal {
    /// Refuses a request that did not run, without a retry delay.
    pub(crate) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_ms: None,
        }
    }

    /// Refuses a request that may have run.
    pub(crate) fn maybe_ran(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            ran: Ran::Maybe,
            ..Self::not_run(status, code, message)
        }
    }

    /// Sets the retry delay.
    pub(crate) fn retry(mut self, retry_ms: u32) -> Self {
        self.retry_ms = Some(retry_ms);
        self
    }

    pub(crate) fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, code, message)
    }

    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }

    /// The body of the answer, as JSON.
    pub(crate) fn json(&self) -> String {
        let body = Body {
            error: Detail {
                code: self.code,
                message: &self.message,
                ran: self.ran,
                retry_after_ms: self.retry_ms,
            },
        };
        serde_json::to_string(&body).unwrap_or_default()
    }

    /// Writes the refusal into the response.
    pub(crate) fn render(&self, res: &mut Response) {
        metrics::counter!("clem_entry_refusals", "code" => self.code).increment(1);
        res.status_code(self.status);
        let headers = res.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        headers.insert(RAN_HEADER, HeaderValue::from_static(self.ran.as_str()));
        if let Some(ms) = self.retry_ms {
            // Whole seconds, rounded up, so that a caller that honours the header is late rather
            // than early.
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
        }
        res.body(self.json());
    }
}
