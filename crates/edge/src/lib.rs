//! The platform-independent model of the direct path, and the trait that translates a platform to
//! it.
//!
//! The direct path (`clem-front`, `clem-hub`, `clem-batch`) makes its decisions on these types
//! only; the platform's protocol is known to its [`Dialect`] alone. See `docs/design/platform.md`.

mod batch;
mod dialect;
mod finding;
mod headers;
mod refusal;
mod request;
mod rules;
mod target;

pub use batch::{BatchSpec, ItemResult, ItemSpec, ItemStatus, ResultsPage};
pub use dialect::{Dialect, Forward, RetireStart};
pub use finding::{Finding, Findings, Result};
pub use headers::end_to_end;
pub use refusal::{Cause, Refusal};
pub use request::{OperatorCall, PromptPart, RequestInfo, RequestKind, common_parts};
pub use rules::{
    Backend, BatchRules, CallerLimits, Customer, Engine, KeyDigest, Route, RouteKind, Ruleset,
    Service,
};
pub use target::{
    Framing, ListPage, NamedLimit, NamedRequest, SkippedEntry, TargetHead, TargetState, TargetVm,
};
