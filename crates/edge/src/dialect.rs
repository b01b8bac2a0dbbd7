//! The trait of a platform's wire.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Response, request, response};

use crate::{
    Ask, BatchSpec, Inbound, ListPage, OrderCall, Refusal, Result, ResultsPage, Ruleset, TargetHead,
};

/// What the system adds to a request that it sends to a target.
#[derive(Debug, Clone, Copy)]
pub struct Forward<'a> {
    /// The id that the target echoes.
    pub id: &'a str,
    /// The only target that may run it.
    pub target: &'a str,
    /// The customer that it runs for; none on an open route.
    pub customer: Option<&'a str>,
    /// How long the answer is waited for; none for no bound.
    pub patience: Option<Duration>,
    /// The last event that is there already, when a stream goes on.
    pub seen: Option<u64>,
}

/// Translates one platform's wire into the project's words and back.
///
/// An implementation decides nothing and keeps nothing: the same input gives the same output.
pub trait Dialect: Send + Sync + 'static {
    /// Reads a whole set of rules.
    ///
    /// # Errors
    /// Everything that is wrong with it, with its place.
    fn read_rules(&self, document: &[u8]) -> Result<Ruleset>;

    /// Says which call a caller's request is.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_inbound(&self, head: &request::Parts) -> Result<Inbound>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// What is wrong with it.
    fn read_ask(&self, head: &request::Parts) -> Result<Ask>;

    /// The headers to send to a target, made from the caller's.
    fn forward_headers(&self, from: &HeaderMap, forward: &Forward<'_>) -> HeaderMap;

    /// Reads the head of a target's answer to the request `id`.
    fn read_head(&self, head: &response::Parts, id: &str) -> TargetHead;

    /// The headers to send to a caller, made from the target's.
    fn answer_headers(&self, from: &HeaderMap) -> HeaderMap;

    /// A refusal on the wire.
    fn refusal(&self, refusal: &Refusal) -> Response<Bytes>;

    /// Reads a batch.
    ///
    /// # Errors
    /// Everything that is wrong with it, with its place.
    fn read_batch(&self, id: &str, body: &[u8]) -> Result<BatchSpec>;

    /// The answer to a batch that was taken in.
    fn batch_accepted(&self) -> Response<Bytes>;

    /// A page of a batch's results.
    fn results(&self, page: &ResultsPage) -> Response<Bytes>;

    /// The answer to the end of a batch.
    fn batch_ended(&self) -> Response<Bytes>;

    /// Reads a call of the operator; none when there is no such call.
    fn read_order(&self, head: &request::Parts) -> Option<OrderCall>;

    /// The answer to an operator's call that took effect.
    fn order_done(&self) -> Response<Bytes>;

    /// The answer to an operator's call that is wrong.
    fn order_wrong(&self, findings: &crate::Findings) -> Response<Bytes>;

    /// The rules, as they were given.
    fn rules_document(&self, document: Bytes) -> Response<Bytes>;

    /// How far the emptying of a vm is; none for a vm that is not known.
    fn retire_state(&self, done: Option<bool>) -> Response<Bytes>;

    /// Whether a vm is being emptied.
    fn retire_started(&self, outcome: RetireStart) -> Response<Bytes>;

    /// The path of a page of the platform's list of targets.
    fn list_path(&self, page: Option<&str>) -> String;

    /// Reads a page of the platform's list of targets.
    ///
    /// # Errors
    /// The page can't be read at all.
    fn read_list(&self, body: &[u8]) -> Result<ListPage>;
}

/// What became of a call to empty a vm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetireStart {
    /// It is being emptied.
    Started,
    /// There is no such vm.
    Unknown,
    /// Too few would be left.
    TooFew,
}
