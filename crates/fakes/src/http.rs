//! HTTP helpers of all fakes: serving, request bodies, JSON answers and errors.

use std::net::SocketAddr;

use clem_boot::Listener;
use eyre::{OptionExt, Result};
use salvo::{
    Handler, Request, Response, Router, Server,
    http::{HeaderValue, StatusCode, header},
};
use serde::Serialize;

use crate::request_log::{Outcome, Record, RequestLog};

/// The size limit of a request body.
const MAX_BODY_BYTES: usize = 64 << 20;

/// Prints the bound address as a JSON line on stdout, then serves requests with `handler`.
pub(crate) async fn serve(
    kind: &str,
    listener: Option<Listener>,
    handler: impl Handler,
) -> Result<()> {
    let listener = listener.ok_or_eyre("no address to listen on")?;
    let bound = Bound {
        listening: listener.address(),
        kind,
        pid: std::process::id(),
    };
    println!("{}", serde_json::to_string(&bound)?);
    let router = Router::with_path("{**rest}").goal(handler);
    Server::new(clem_boot::acceptor(listener)?)
        .disable_fuse()
        .serve(router)
        .await;
    Ok(())
}

#[derive(Debug, Serialize)]
struct Bound<'a> {
    listening: SocketAddr,
    kind: &'a str,
    pid: u32,
}

/// Reads the whole request body as text, with invalid UTF-8 replaced.
pub(crate) async fn body_text(req: &mut Request) -> Result<String> {
    let bytes = req.payload_with_max_size(MAX_BODY_BYTES).await?;
    Ok(String::from_utf8_lossy(bytes).into_owned())
}

/// Starts the log record of a request whose body has been read.
pub(crate) fn begin(log: &RequestLog, req: &Request, body: &str) -> Result<Record> {
    log.begin(req.method(), req.uri(), req.headers(), body)
}

/// An error response.
#[derive(Debug)]
pub(crate) struct Refusal {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
}

impl Refusal {
    pub(crate) fn new(
        status: StatusCode,
        code: &'static str,
        message: impl std::fmt::Display,
    ) -> Self {
        Self {
            status,
            code,
            message: message.to_string(),
        }
    }

    pub(crate) fn bad_request(message: impl std::fmt::Display) -> Self {
        Self::new(StatusCode::BAD_REQUEST, "bad_request", message)
    }

    pub(crate) fn not_found() -> Self {
        Self::new(StatusCode::NOT_FOUND, "not_found", "not found")
    }
}

impl From<eyre::Report> for Refusal {
    fn from(report: eyre::Report) -> Self {
        Self::bad_request(report)
    }
}

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
}

/// Sends an error response and completes the log record as refused.
pub(crate) fn refuse(res: &mut Response, record: &mut Record, refusal: &Refusal) {
    record.close(Outcome::Refused, None);
    send_refusal(res, refusal);
}

/// Sends an error response.
pub(crate) fn send_refusal(res: &mut Response, refusal: &Refusal) {
    res.status_code(refusal.status);
    let error = ErrorFields {
        code: refusal.code,
        message: &refusal.message,
    };
    send_json(res, &ErrorBody { error });
}

/// Sends a value as a JSON response.
pub(crate) fn send_json(res: &mut Response, value: &impl Serialize) {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(header::CONTENT_TYPE, json);
    res.body(body);
}
