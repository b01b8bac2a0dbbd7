//! The platform-independent model of the direct path, and the trait that translates a platform to
//! it.
//!
//! The direct path (`clem-front`, `clem-hub`, `clem-batch`) makes its decisions on these types
//! only; the platform's protocol is known to its [`Dialect`] alone. See `docs/design/platform.md`.

mod ask;
mod batch;
mod dialect;
mod finding;
mod hop;
mod refusal;
mod rules;
mod target;

pub use ask::{Ask, Inbound, OrderCall, PromptPart};
pub use batch::{BatchSpec, ItemSpec, ListedItem, ListedState, ResultsPage};
pub use dialect::{Dialect, Forward, RetireStart};
pub use finding::{Finding, Findings, Result};
pub use hop::end_to_end;
pub use refusal::{Cause, Refusal};
pub use rules::{
    Backend, BatchRules, CallerLimits, Customer, Engine, KeyDigest, Route, RouteKind, Ruleset,
    Service,
};
pub use target::{ListPage, TargetHead, TargetState, TargetVm};
