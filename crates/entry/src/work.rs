//! A request that has been read and may be dispatched.

use std::time::Duration;

use clem_policy::route::Prefixes;
use clem_rules::Backend;
use clem_types::{BodyHash, RequestId, RouteId, RulesVersion, Time, Tokens};
use clem_wire::dispatch::TargetCall;

use crate::caller::Identity;

/// What has to be done for a caller.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    pub(crate) request: RequestId,
    pub(crate) came: Time,
    /// Whose request it is; none on an open route without a key.
    pub(crate) identity: Option<Identity>,
    pub(crate) route: RouteId,
    pub(crate) backend: Backend,
    /// The rules by which all this was decided.
    pub(crate) rules: RulesVersion,
    pub(crate) idempotent: bool,
    /// The caller's idempotency key of a call that may run only once.
    pub(crate) once: Option<String>,
    pub(crate) timeout: Duration,
    pub(crate) body_hash: BodyHash,
    /// The estimated cost of the whole request, and of its prompt alone.
    pub(crate) cost: Tokens,
    pub(crate) prompt: Tokens,
    pub(crate) prefixes: Prefixes,
    pub(crate) call: TargetCall,
    /// Whether it was in flight at a crash.
    pub(crate) suspect: bool,
    /// When its rate token was taken.
    pub(crate) token: Option<Time>,
}

impl Work {
    /// When the caller's time is over.
    pub(crate) fn deadline(&self) -> Time {
        self.came + self.timeout
    }

    /// The customer for logs.
    pub(crate) fn customer_name(&self) -> &str {
        self.identity
            .as_ref()
            .map_or("-", |identity| identity.customer.as_str())
    }
}
