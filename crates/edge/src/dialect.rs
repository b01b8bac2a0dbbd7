//! Translation between a platform's protocol and the types of this crate.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode, request, response};

use crate::{
    BatchSpec, ListPage, OperatorCall, PromptPart, Refusal, RequestInfo, RequestKind, Result,
    ResultsPage, Ruleset, TargetHead,
};

/// What is added to a request that is forwarded to a target.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// Request id that the target must echo.
    pub id: &'a str,
    /// Id of the only target instance that may run the request.
    pub target: &'a str,
    /// The customer; `None` on a public route.
    pub customer: Option<&'a str>,
    /// How long the response is awaited; `None` for no deadline.
    pub timeout: Option<Duration>,
    /// Id of the last event received, when a stream is resumed.
    pub last_event: Option<u64>,
}

/// Translates one platform's HTTP protocol to and from the types of this crate.
///
/// Implementations are stateless and make no decisions: the same input gives the same output.
pub trait Dialect: Send + Sync + 'static {
    /// Parses a ruleset.
    ///
    /// # Errors
    /// All problems of the document, each with its path.
    fn read_rules(&self, document: &[u8]) -> Result<Ruleset>;

    /// Determines which operation a caller's request asks for.
    ///
    /// # Errors
    /// Returns why the request is malformed.
    fn read_kind(&self, head: &request::Parts) -> Result<RequestKind>;

    /// Parses the metadata in a caller's request headers.
    ///
    /// # Errors
    /// Returns why the request is malformed.
    fn read_request(&self, head: &request::Parts) -> Result<RequestInfo>;

    /// Builds the headers to send to a target from the caller's.
    fn forward_headers(&self, from: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Parses the head of a target's response to the request `id`.
    fn read_head(&self, head: &response::Parts, id: &str) -> TargetHead;

    /// Whether a status promises a caller that its request has not run and never will.
    fn promises_not_run(&self, status: StatusCode) -> bool;

    /// Builds the headers to send to a caller from the target's.
    fn response_headers(&self, from: &HeaderMap) -> HeaderMap;

    /// Builds the response for a refused request.
    fn refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Parses a submitted batch.
    ///
    /// # Errors
    /// All problems of the batch, each with its path.
    fn read_batch(&self, id: &str, body: &[u8]) -> Result<BatchSpec>;

    /// The segments of the prompt in the headers of an item.
    fn prompt_parts(&self, headers: &HeaderMap) -> Vec<PromptPart>;

    /// The response to an accepted batch.
    fn batch_accepted(&self) -> Response<Bytes>;

    /// The response with a page of a batch's results.
    fn results(&self, page: &ResultsPage) -> Response<Bytes>;

    /// The response to a deleted batch.
    fn batch_ended(&self) -> Response<Bytes>;

    /// Parses an operator's call; `None` if there is no such call.
    fn read_operator_call(&self, head: &request::Parts) -> Option<OperatorCall>;

    /// The response to an operator's call that took effect.
    fn operator_done(&self) -> Response<Bytes>;

    /// The response to rules that were rejected, with everything that is wrong with them.
    fn rules_rejected(&self, findings: &crate::Findings) -> Response<Bytes>;

    /// The response with the rules document, byte for byte as it was put.
    fn rules_document(&self, document: Bytes) -> Response<Bytes>;

    /// The response with the progress of retiring a vm: whether it is complete, or `None` for an
    /// unknown vm.
    fn retire_state(&self, done: Option<bool>) -> Response<Bytes>;

    /// The response to a call that starts to retire a vm.
    fn retire_started(&self, outcome: RetireStart) -> Response<Bytes>;

    /// The response to an order about a data centre that doesn't exist.
    fn data_centre_unknown(&self, name: &str) -> Response<Bytes>;

    /// The path of a page of the platform's target list; `None` for the first page.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Parses a page of the platform's target list.
    ///
    /// # Errors
    /// The page has no list, its end wasn't found, or its next page isn't named: targets may be missing.
    /// Single invalid entries are only counted.
    fn read_list(&self, body: &[u8]) -> Result<ListPage>;
}

/// The result of a call that starts to retire a vm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireStart {
    /// The vm is being retired.
    Started,
    /// There is no such vm.
    Unknown,
    /// Too few members of the batch group would remain.
    TooFew,
}
