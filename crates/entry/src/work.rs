//! A parsed and routed request that is ready for dispatch.

use std::time::Duration;

use clem_policy::route::Prefixes;
use clem_rules::Backend;
use clem_types::{BodyHash, RequestId, RouteId, Time, Tokens, Version};
use clem_wire::dispatch::TargetCall;

use crate::caller::Identity;

/// A request with the route and limits that were decided for it.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) request: RequestId,
    pub(crate) arrived: Time,
    /// The owner of the key; `None` on an open route without a key.
    pub(crate) identity: Option<Identity>,
    pub(crate) route: RouteId,
    pub(crate) backend: Backend,
    /// The version of the rules that the request was routed with.
    pub(crate) rules: Version,
    pub(crate) idempotent: bool,
    /// The idempotency key of a call that may run only once.
    pub(crate) once: Option<String>,
    pub(crate) timeout: Duration,
    pub(crate) body_hash: BodyHash,
    /// Estimated cost of prompt and answer together.
    pub(crate) cost: Tokens,
    /// Estimated length of the prompt.
    pub(crate) prompt: Tokens,
    pub(crate) prefixes: Prefixes,
    pub(crate) call: TargetCall,
    /// Whether the request was in flight when a target crashed.
    pub(crate) suspect: bool,
    /// When its rate token was taken; `None` without a key.
    pub(crate) token: Option<Time>,
}

impl Work {
    /// When the route's timeout ends.
    pub(crate) fn deadline(&self) -> Time {
        self.arrived + self.timeout
    }

    /// The customer for logs; `-` without a key.
    pub(crate) fn customer_name(&self) -> &str {
        self.identity
            .as_ref()
            .map_or("-", |identity| identity.customer.as_str())
    }
}
