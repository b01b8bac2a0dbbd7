//! Refusals: what a caller is told when there is no answer.

use salvo::{
    Response,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;

/// The header that says whether a refused request ran.
pub(crate) const RAN_HEADER: &str = "x-clem-ran";

/// Whether a refused request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Ran {
    /// It certainly did not and will not.
    No,
    /// It may have.
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

/// A final answer that is no result.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    pub(crate) ran: Ran,
    /// When coming back helps, in milliseconds.
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
    /// A request that did not run, and for which coming back does not help.
    pub(crate) fn no(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            ran: Ran::No,
            retry_ms: None,
        }
    }

    /// A request that may have run.
    pub(crate) fn maybe(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            ran: Ran::Maybe,
            ..Self::no(status, code, message)
        }
    }

    /// Says when to come back.
    pub(crate) fn retry(mut self, retry_ms: u32) -> Self {
        self.retry_ms = Some(retry_ms);
        self
    }

    pub(crate) fn bad_request(code: &'static str, message: impl Into<String>) -> Self {
        Self::no(StatusCode::BAD_REQUEST, code, message)
    }

    pub(crate) fn unavailable(code: &'static str, message: impl Into<String>) -> Self {
        Self::no(StatusCode::SERVICE_UNAVAILABLE, code, message)
    }

    /// The refusal as JSON text.
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

    /// Makes this the answer.
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
            // Whole seconds, rounded up: a caller that goes by the header comes late, not early.
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(1000)));
        }
        res.body(self.json());
    }
}
